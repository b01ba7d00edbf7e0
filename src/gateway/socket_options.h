/** @file socket_options.h TCP options that detect broken connections quickly. */
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace banyanring::gateway {

/**
 * Sets TCP_NODELAY, keep-alive probes and the timeout for unacknowledged data.
 * @param socket An open socket.
 */
auto setTcpOptions(boost::asio::ip::tcp::socket &socket) -> void;

} // namespace banyanring::gateway
