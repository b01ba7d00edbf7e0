/** @file slot_allocator_counts.cpp Counts slots and waiting requests for operators and peers. */
#include "banyanring/fleet/slot_allocator.h"

#include <algorithm>

namespace banyanring::fleet {

auto SlotAllocator::occupancy(Instant now) const -> std::map<std::string, OccupancySample>
{
    std::map<std::string, OccupancySample> samples;
    for (const auto &[id, server] : this->servers.all()) {
        if (!server->coordinatedHere) {
            continue;
        }
        const auto &registration = server->registration;
        auto &sample = samples[registration.service];
        if (!this->usable(*server, now) || server->isCold(now) || now < server->ejectedUntil
            || server->isProbed(now)) {
            sample.unusableSlots += registration.slots;
            continue;
        }
        const auto occupied = std::min(server->occupiedSlots(now), registration.slots);
        sample.occupiedSlots += occupied;
        sample.freeSlots += registration.slots - occupied;
    }
    for (const auto &[number, waiting] : this->waitingRequests) {
        const auto found = samples.find(waiting.service);
        if (found != samples.end()) {
            ++found->second.waitingRequests;
        }
    }
    return samples;
}

auto SlotAllocator::freeSlotCounts(Instant now) const -> std::vector<FreeSlotCount>
{
    std::map<std::uint32_t, std::uint32_t> freeSlots;
    for (const auto &[id, server] : this->servers.all()) {
        if (!server->coordinatedHere) {
            continue;
        }
        auto &freeOfService = freeSlots[hashName(server->registration.service)];
        const auto occupied = server->occupiedSlots(now);
        if (this->usable(*server, now) && !server->isCold(now) && now >= server->ejectedUntil
            && !server->isProbed(now) && occupied < server->registration.slots) {
            const auto freeOfServer = server->registration.slots - occupied;
            freeOfService += static_cast<std::uint32_t>(std::min<double>(
                freeOfServer, server->requestLimit.allowance(this->limitShare, now)));
        }
    }
    std::vector<FreeSlotCount> counts;
    counts.reserve(freeSlots.size());
    for (const auto &[service, freeOfService] : freeSlots) {
        counts.push_back({service, freeOfService});
    }
    return counts;
}

} // namespace banyanring::fleet
