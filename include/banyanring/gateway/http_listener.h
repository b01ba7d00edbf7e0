/** @file http_listener.h A listening HTTP socket and the sessions of its callers. */
#pragma once

#include "banyanring/fleet/process_settings_type.h"
#include "banyanring/gateway/caller_session.h"

#include <vector>

namespace banyanring::gateway {

/** Accepts HTTP connections on one address. */
class HttpListener
{
public:
    /**
     * Starts to listen.
     * @param context Runs the I/O handlers.
     * @param endpoint Address to listen on.
     * @param handler Handles the requests of all sessions.
     * @throws boost::system::system_error if the address cannot be bound.
     */
    HttpListener(boost::asio::io_context &context, const fleet::Endpoint &endpoint,
                 HttpHandler handler);

    /**
     * Checks the timeouts of all sessions and resumes accepting after a failure.
     * @param now Current time.
     */
    auto tick(Instant now) -> void;

    /** Sends "Connection: close" in all further responses, as the node is stopping. */
    auto closeAfterResponses() -> void;

    /** Closes the connections without a request in progress. */
    auto closeIdleSessions() -> void;

    /** Stops accepting connections. */
    auto stopAccepting() -> void;

    /** @return Number of open connections. */
    auto openSessions() const -> std::size_t;

private:
    auto startAccept() -> void;

    boost::asio::io_context &context;
    boost::asio::ip::tcp::acceptor acceptor;
    HttpHandler handler;
    bool stopping = false; ///< New sessions close after their first response.
    bool acceptPaused = false; ///< Accepting failed; the next tick retries.
    std::vector<std::weak_ptr<CallerSession>> sessions;
};

} // namespace banyanring::gateway
