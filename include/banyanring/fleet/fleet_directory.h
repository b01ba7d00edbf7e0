/** @file fleet_directory.h Which addresses callers are given. */
#pragma once

#include "banyanring/fleet/fleet_members.h"

#include <string>
#include <vector>

namespace banyanring::fleet {

/**
 * Lists the entry addresses of the nodes that take callers, spread over the failure domains.
 * @param self This node's own statement.
 * @param members The other nodes.
 * @param now The present.
 * @return Addresses; empty if no node is known to take callers.
 */
auto callerAddresses(const NodeStatement &self, const FleetMembers &members, Instant now)
    -> std::vector<std::string>;

} // namespace banyanring::fleet
