/** @file fleet_directory.cpp Selects the entry addresses that the directory returns to callers. */
#include "banyanring/fleet/fleet_directory.h"

namespace banyanring::fleet {

namespace {

constexpr std::size_t MostAddresses = 64; ///< Callers ignore further addresses.

} // namespace

auto callerAddresses(const NodeStatement &self, const FleetMembers &members, Instant now)
    -> std::vector<std::string>
{
    std::map<std::string, std::vector<std::string>> byDomain;
    if (self.phase == NodePhase::Ready) {
        byDomain[self.domain].push_back(self.entryAddress);
    }
    for (const auto *member : members.live(now)) {
        if (member->statement.phase == NodePhase::Ready) {
            byDomain[member->statement.domain].push_back(member->statement.entryAddress);
        }
    }
    std::vector<std::string> addresses;
    for (std::size_t round = 0; addresses.size() < MostAddresses; ++round) {
        const auto before = addresses.size();
        for (const auto &[domain, ofDomain] : byDomain) {
            if (round < ofDomain.size() && addresses.size() < MostAddresses) {
                addresses.push_back(ofDomain[round]);
            }
        }
        if (addresses.size() == before) {
            break;
        }
    }
    return addresses;
}

} // namespace banyanring::fleet
