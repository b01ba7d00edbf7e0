/** @file loopback.h Helpers for tests that use the loopback interface. */
#pragma once

#include "banyanring/core/ids_type.h"
#include "banyanring/gateway/http_listener.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>

namespace banyanring::test {

constexpr auto Loopback = "127.0.0.1"; ///< Address that the test listeners bind.

/**
 * @return A port that is free for TCP and UDP at the time of the call; a peer socket binds it for
 * UDP, where another process may use the same number.
 */
inline auto freePort() -> std::uint16_t
{
    namespace asio = boost::asio;
    asio::io_context context;
    const auto address = asio::ip::make_address_v4(Loopback);
    for (;;) {
        asio::ip::tcp::acceptor acceptor(context, asio::ip::tcp::endpoint(address, 0));
        const auto port = acceptor.local_endpoint().port();
        asio::ip::udp::socket socket(context, asio::ip::udp::v4());
        boost::system::error_code error;
        socket.bind(asio::ip::udp::endpoint(address, port), error);
        if (!error) {
            return port;
        }
    }
}

/**
 * Starts a server for requests that a node sends.
 * @param context The event loop.
 * @param endpoint Where it listens.
 * @param onRequest Called for each request.
 * @return The listener.
 */
inline auto
startListener(boost::asio::io_context &context, const fleet::Endpoint &endpoint,
              std::function<void(const gateway::CallerSessionPtr &, const gateway::CallerRequest &)>
                  onRequest) -> std::unique_ptr<gateway::HttpListener>
{
    gateway::HttpHandler handler;
    handler.limits = [](Instant) { return fleet::CallerLimits{}; };
    handler.onRequest = std::move(onRequest);
    return std::make_unique<gateway::HttpListener>(context, endpoint, std::move(handler));
}

/**
 * Runs the event loop until a condition holds, for 5 seconds at most.
 * @param context The event loop.
 * @param condition Checked every 5 ms.
 * @return Whether the condition holds.
 */
inline auto runUntil(boost::asio::io_context &context, const std::function<bool()> &condition)
    -> bool
{
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!condition() && std::chrono::steady_clock::now() < until) {
        context.restart();
        context.run_for(std::chrono::milliseconds(5));
    }
    return condition();
}

} // namespace banyanring::test
