/** @file fleet_directory.cpp Selects the entry addresses that the directory returns to callers. */
#include "banyanring/fleet/fleet_directory.h"

#include <algorithm>

namespace banyanring::fleet {

namespace {

constexpr std::size_t MaxAddresses = 64; ///< Callers ignore further addresses.

} // namespace

auto listEntryAddresses(const NodeStatus &self, const FleetMembers &members,
                        std::string_view callerDomain, Instant now) -> std::vector<std::string>
{
    std::map<std::string_view, std::vector<std::string_view>> byDomain;
    if (self.phase == NodePhase::Ready) {
        byDomain[self.domain].push_back(self.entryAddress);
    }
    for (const auto *member : members.aliveMembers(now)) {
        if (member->status.phase == NodePhase::Ready) {
            byDomain[member->status.domain].push_back(member->status.entryAddress);
        }
    }
    if (byDomain.empty()) {
        return {};
    }
    const auto found = byDomain.find(callerDomain);
    const auto callerIndex = found == byDomain.end()
                                 ? hashName(callerDomain) % byDomain.size()
                                 : static_cast<std::size_t>(std::distance(byDomain.begin(), found));
    const auto listedPerDomain = (MaxAddresses + byDomain.size() - 1) / byDomain.size();
    for (auto &[domain, ofDomain] : byDomain) {
        std::sort(ofDomain.begin(), ofDomain.end());
        const auto first = callerIndex * listedPerDomain % ofDomain.size();
        std::rotate(ofDomain.begin(), ofDomain.begin() + static_cast<std::ptrdiff_t>(first),
                    ofDomain.end());
    }
    std::vector<std::string> addresses;
    for (std::size_t round = 0; addresses.size() < MaxAddresses; ++round) {
        const auto previousSize = addresses.size();
        for (const auto &[domain, ofDomain] : byDomain) {
            if (round < ofDomain.size() && addresses.size() < MaxAddresses) {
                addresses.emplace_back(ofDomain[round]);
            }
        }
        if (addresses.size() == previousSize) {
            break;
        }
    }
    return addresses;
}

} // namespace banyanring::fleet
