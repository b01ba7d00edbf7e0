/** @file socket_options.h TCP options that detect broken connections quickly. */
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace banyanring::gateway {

/**
 * Sets TCP_NODELAY, keep-alive probes and the timeout for unacknowledged data.
 * @param socket An open socket.
 */
auto setTcpOptions(boost::asio::ip::tcp::socket &socket) -> void;

/**
 * Tells a connection that is gone from one on which only the other side has finished sending.
 * @param socket A socket that has been connected.
 * @return Whether nothing can be sent any more, as the connection was reset or timed out.
 */
auto isDisconnected(boost::asio::ip::tcp::socket &socket) -> bool;

} // namespace banyanring::gateway
