/** @file request_limit_log.h Records the limits that servers name, and logs changes. */
#pragma once

#include "banyanring/fleet/server_registry.h"

namespace banyanring::gateway {

/**
 * Logs that a server named a limit, changed it or names none any more.
 * @param server The server.
 * @param source Id of the request whose response says so, or peer address of the node that knows.
 */
auto logRequestLimit(const fleet::Server &server, std::string_view source) -> void;

/**
 * Records the limits that a peer reported.
 * @param servers All servers.
 * @param reports The limits.
 * @param peer Peer address of the node.
 * @param now Current time.
 */
auto mergeRequestLimits(fleet::ServerRegistry &servers,
                        const std::vector<fleet::RequestLimitReport> &reports,
                        std::string_view peer, Instant now) -> void;

} // namespace banyanring::gateway
