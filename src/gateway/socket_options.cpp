/** @file socket_options.cpp TCP options that detect broken connections quickly. */
#include "socket_options.h"

#include <netinet/tcp.h>

namespace banyanring::gateway {

namespace {

/** Well below the deadlines of requests, but above a round trip with retransmissions. */
constexpr int UnacknowledgedMs = 2500;
constexpr int ProbeIdleSeconds = 1; ///< A dead peer is detected after this and two probes.
constexpr int ProbeIntervalSeconds = 1; ///< The minimum of the operating system.
constexpr int ProbeCount = 2; ///< A single lost probe must not close the connection.

} // namespace

auto setTcpOptions(boost::asio::ip::tcp::socket &socket) -> void
{
    namespace asio = boost::asio;
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    using KeepIdle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using KeepInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using KeepCount = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    boost::system::error_code ignored; // Without an option, failures are only detected later.
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(KeepIdle(ProbeIdleSeconds), ignored);
    socket.set_option(KeepInterval(ProbeIntervalSeconds), ignored);
    socket.set_option(KeepCount(ProbeCount), ignored);
    socket.set_option(UserTimeout(UnacknowledgedMs), ignored);
}

auto isDisconnected(boost::asio::ip::tcp::socket &socket) -> bool
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    return ::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0
           && info.tcpi_state == TCP_CLOSE;
}

} // namespace banyanring::gateway
