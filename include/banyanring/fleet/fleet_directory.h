/** @file fleet_directory.h Selects the entry addresses that the directory returns to callers. */
#pragma once

#include "banyanring/fleet/fleet_members.h"

#include <string>
#include <vector>

namespace banyanring::fleet {

/**
 * Lists the entry addresses of the nodes that serve callers, alternating between failure domains.
 * @param self Status of this node.
 * @param members The other nodes.
 * @param now Current time.
 * @return Addresses as "IP:port"; empty if no node is known to serve callers.
 */
auto listEntryAddresses(const NodeStatus &self, const FleetMembers &members, Instant now)
    -> std::vector<std::string>;

} // namespace banyanring::fleet
