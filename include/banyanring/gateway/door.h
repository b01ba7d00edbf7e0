/** @file door.h A listening HTTP socket and the sessions of its callers. */
#pragma once

#include "banyanring/fleet/environment_type.h"
#include "banyanring/gateway/caller_session.h"

#include <vector>

namespace banyanring::gateway {

/** Accepts HTTP connections on one address. */
class Door
{
public:
    /**
     * Starts to listen.
     * @param context Runs the I/O handlers.
     * @param endpoint Address to listen on.
     * @param handler Handles the requests of all sessions.
     * @throws boost::system::system_error if the address cannot be bound.
     */
    Door(boost::asio::io_context &context, const fleet::Endpoint &endpoint, DoorHandler handler);

    /**
     * Checks the timeouts of all sessions and resumes accepting after a failure.
     * @param now Current time.
     */
    auto tick(Instant now) -> void;

    /** Sends "Connection: close" in all further responses, as the node is stopping. */
    auto announceClose() -> void;

    /** Closes the connections without a request in progress. */
    auto closeIdle() -> void;

    /** Stops to accept connections. */
    auto stop() -> void;

    /** @return Number of open connections. */
    auto openSessions() const -> std::size_t;

private:
    auto accept() -> void;

    boost::asio::io_context &context;
    boost::asio::ip::tcp::acceptor acceptor;
    DoorHandler handler;
    bool closing = false; ///< New sessions close after their first response.
    bool paused = false; ///< Accepting failed; the next tick retries.
    std::vector<std::weak_ptr<CallerSession>> sessions;
};

} // namespace banyanring::gateway
