/** @file socket_options.h Options that let a dead path show itself on every socket. */
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace banyanring::gateway {

/**
 * Sets no-delay, keep-alive probes and a bound on unacknowledged data.
 * @param socket An open socket.
 */
auto setLinkOptions(boost::asio::ip::tcp::socket &socket) -> void;

} // namespace banyanring::gateway
