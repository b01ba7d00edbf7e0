/** @file fleet_directory.cpp Selects the entry addresses that the directory returns to callers. */
#include "banyanring/fleet/fleet_directory.h"

namespace banyanring::fleet {

namespace {

constexpr std::size_t MaxAddresses = 64; ///< Callers ignore further addresses.

} // namespace

auto listEntryAddresses(const NodeStatus &self, const FleetMembers &members, Instant now)
    -> std::vector<std::string>
{
    std::map<std::string, std::vector<std::string>> byDomain;
    if (self.phase == NodePhase::Ready) {
        byDomain[self.domain].push_back(self.entryAddress);
    }
    for (const auto *member : members.aliveMembers(now)) {
        if (member->status.phase == NodePhase::Ready) {
            byDomain[member->status.domain].push_back(member->status.entryAddress);
        }
    }
    std::vector<std::string> addresses;
    for (std::size_t round = 0; addresses.size() < MaxAddresses; ++round) {
        const auto previousSize = addresses.size();
        for (const auto &[domain, ofDomain] : byDomain) {
            if (round < ofDomain.size() && addresses.size() < MaxAddresses) {
                addresses.push_back(ofDomain[round]);
            }
        }
        if (addresses.size() == previousSize) {
            break;
        }
    }
    return addresses;
}

} // namespace banyanring::fleet
