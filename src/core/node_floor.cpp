/** @file node_floor.cpp The decision core: waiting room, and shedding lower tiers first fleet-wide.
 */
#include "banyanring/core/invariant_func.h"
#include "banyanring/core/node_base.h"

#include <algorithm>
#include <array>

namespace banyanring {

namespace {

constexpr std::array<double, TierCount> RoomShare{1.0, 0.85, 0.7, 0.5}; ///< Of the room, by tier.
constexpr std::size_t HardRoomFactor = 4; ///< Room kept for tiers that wait for acknowledgements.
constexpr Duration WishKeep = std::chrono::seconds(3); ///< A wish outlives its last need.
constexpr Duration ShedRetry = std::chrono::seconds(2); ///< Told to callers that are shed.
constexpr Tier LowestTier = TierCount - 1; ///< May always be shed.

/** @return The entry of @p service, or the default. */
auto pressureOf(const std::vector<ServicePressure> &pressures, ServiceId service) -> ServicePressure
{
    const auto found = std::find_if(pressures.begin(), pressures.end(),
                                    [&](const auto &entry) { return entry.service == service; });
    return found == pressures.end() ? ServicePressure{} : *found;
}

} // namespace

auto Node::floorAcknowledged(ServiceId service, Tier floor) const -> bool
{
    const auto contacts = this->members.contacts(this->now);
    return std::all_of(contacts.begin(), contacts.end(), [&](const auto *peer) {
        return pressureOf(peer->heartbeat.pressures, service).enforcedFloor <= floor;
    });
}

auto Node::mayShed(ServiceId service, const ServiceState &state, Tier tier) const -> bool
{
    if (state.queue.waitsBelow(tier)) {
        return false;
    }
    return tier == LowestTier
           || (state.enforced <= tier + 1 && this->floorAcknowledged(service, tier + 1));
}

auto Node::shed(CallId id) -> void
{
    const auto &call = this->calls.at(id);
    auto &state = this->services[call.service];
    ensure(this->mayShed(call.service, state, call.tier),
           "a higher tier is not shed before a lower");
    ++this->counts.shedByTier.at(call.tier);
    this->refuse(id, {Outcome::NotRun, Reason::Overload, ShedRetry});
}

auto Node::makeRoom(const Call &newcomer) -> bool
{
    auto &state = this->services[newcomer.service];
    const auto room = static_cast<double>(this->settings.waitRoom);
    const bool full = static_cast<double>(state.queue.size()) >= room * RoomShare.at(newcomer.tier);
    const bool belowFloor = newcomer.tier >= state.enforced;
    if (!full && !belowFloor) {
        return true;
    }
    const auto candidate = state.queue.shedCandidate();
    if (full && !belowFloor && candidate && candidate->tier > newcomer.tier
        && this->mayShed(newcomer.service, state, candidate->tier)) {
        this->shed(candidate->call);
        return true;
    }
    const auto lowest = candidate ? std::max(candidate->tier, newcomer.tier) : newcomer.tier;
    if (newcomer.tier == lowest && this->mayShed(newcomer.service, state, newcomer.tier)) {
        ++this->counts.shedByTier.at(newcomer.tier);
        this->tell(newcomer.id, newcomer.request.requestId,
                   {Outcome::NotRun, Reason::Overload, ShedRetry});
        return false;
    }
    // Lower tiers go first: ask the fleet to shed them, and wait in the reserve meanwhile.
    state.wish = std::min<Tier>(state.wish, lowest + 1);
    state.wishUntil = this->now + WishKeep;
    if (state.queue.size() < this->settings.waitRoom * HardRoomFactor) {
        return true;
    }
    ++this->counts.roomExhausted;
    this->tell(newcomer.id, newcomer.request.requestId,
               {Outcome::NotRun, Reason::Overload, ShedRetry});
    return false;
}

auto Node::updateFloors() -> void
{
    if (!this->currentConfig) {
        return;
    }
    std::unordered_map<ServiceId, Tier> wishes;
    for (const auto *peer : this->members.contacts(this->now)) {
        for (const auto &pressure : peer->heartbeat.pressures) {
            const auto wish = wishes.try_emplace(pressure.service, TierCount).first;
            wish->second = std::min(wish->second, pressure.wishedFloor);
        }
    }
    this->members.pressures.clear();
    for (const auto &[service, unused] : this->currentConfig->services) {
        auto &state = this->services[service];
        if (this->now >= state.wishUntil) {
            state.wish = TierCount;
        }
        const auto heard = wishes.find(service);
        const auto wish = std::min(state.wish, heard == wishes.end() ? TierCount : heard->second);
        Tier floor = TierCount;
        // A floor comes into force one tier at a time, each when the one below is in force
        // everywhere.
        while (floor > wish && floor > 0
               && (floor == TierCount
                   || (state.enforced <= floor && this->floorAcknowledged(service, floor)))) {
            --floor;
        }
        state.enforced = floor;
        for (auto candidate = state.queue.shedCandidate();
             candidate && candidate->tier >= floor
             && this->mayShed(service, state, candidate->tier);
             candidate = state.queue.shedCandidate()) {
            this->shed(candidate->call);
        }
        if (state.wish < TierCount || state.enforced < TierCount) {
            this->members.pressures.push_back({service, state.wish, state.enforced});
        }
    }
}

} // namespace banyanring
