/** @file fleet_directory.h Selects the entry addresses that the directory returns to callers. */
#pragma once

#include "banyanring/fleet/fleet_members.h"

#include <string>
#include <vector>

namespace banyanring::fleet {

/**
 * Lists the entry addresses of the nodes that serve callers, alternating between failure domains.
 * A caller knows few addresses only, so in a larger fleet the callers of each domain get others and
 * all nodes share the load. All nodes list the same, so that callers can keep their connections.
 * @param self Status of this node.
 * @param members The other nodes.
 * @param callerDomain Failure domain of the caller; may be unknown.
 * @param now Current time.
 * @return Addresses as "IP:port"; empty if no node is known to serve callers.
 */
auto listEntryAddresses(const NodeStatus &self, const FleetMembers &members,
                        std::string_view callerDomain, Instant now) -> std::vector<std::string>;

} // namespace banyanring::fleet
