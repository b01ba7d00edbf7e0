/** @file door.h A listening socket and the sessions of its callers. */
#pragma once

#include "banyanring/fleet/process_settings_type.h"
#include "banyanring/gateway/caller_session.h"

#include <vector>

namespace banyanring::gateway {

/** Accepts connections on one address. */
class Door
{
public:
    /**
     * Starts to listen.
     * @param context Runs all its work.
     * @param endpoint Where to listen.
     * @param handler Handles the requests.
     * @throws boost::system::system_error if the address cannot be used.
     */
    Door(boost::asio::io_context &context, const fleet::Endpoint &endpoint, DoorHandler handler);

    /** @param now The present; checks all sessions' time limits and accepts again after a failure.
     */
    auto tick(Instant now) -> void;

    /** The node is stopping: each answer says that the connection closes. */
    auto announceClose() -> void;

    /** Closes the connections that have no request in progress. */
    auto closeIdle() -> void;

    /** Stops accepting. */
    auto stop() -> void;

    /** @return Open connections. */
    auto openSessions() const -> std::size_t;

private:
    auto accept() -> void;

    boost::asio::io_context &context;
    boost::asio::ip::tcp::acceptor acceptor;
    DoorHandler handler;
    bool closing = false;
    bool paused = false; ///< Accepting failed; the next tick goes on.
    std::vector<std::weak_ptr<CallerSession>> sessions;
};

} // namespace banyanring::gateway
