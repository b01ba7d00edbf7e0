/** @file wait_queue.cpp Queue of a service with priorities and fair queuing. */
#include "banyanring/core/wait_queue_base.h"

#include <algorithm>

namespace banyanring {

namespace {

constexpr double Quantum = 1000; ///< Tokens added to the deficit counter in a round at weight 1.

} // namespace

auto WaitQueue::push(const WaitingRequest &entry) -> void
{
    auto &lane = this->lane(entry);
    auto &flow = lane.flows[entry.organisation];
    if (flow.calls.empty()) {
        lane.activeFlows.push_back(entry.organisation);
    }
    flow.calls.push_back(entry.call);
    this->entries[entry.call] = entry;
    ++this->counts[entry.tier];
}

auto WaitQueue::requeue(const WaitingRequest &entry) -> void
{
    auto &lane = this->lane(entry);
    auto &flow = lane.flows[entry.organisation];
    if (flow.calls.empty()) {
        lane.activeFlows.push_front(entry.organisation);
    }
    flow.calls.push_front(entry.call);
    flow.deficit += entry.tokens;
    this->entries[entry.call] = entry;
    ++this->counts[entry.tier];
}

auto WaitQueue::remove(CallId call) -> void
{
    const auto found = this->entries.find(call);
    if (found == this->entries.end()) {
        return;
    }
    const auto entry = found->second;
    this->entries.erase(found);
    --this->counts[entry.tier];
    auto &lane = this->lane(entry);
    auto &flow = lane.flows.at(entry.organisation);
    std::erase(flow.calls, call);
    if (flow.calls.empty()) {
        lane.activeFlows.remove(entry.organisation);
        lane.flows.erase(entry.organisation);
    }
}

auto WaitQueue::front(Lane &lane) -> std::optional<WaitingRequest>
{
    if (lane.activeFlows.empty()) {
        return std::nullopt;
    }
    while (true) {
        const auto organisation = lane.activeFlows.front();
        auto &flow = lane.flows.at(organisation);
        const auto &entry = this->entries.at(flow.calls.front());
        if (flow.deficit >= entry.tokens) {
            return entry;
        }
        flow.deficit += Quantum * std::max(entry.weight, 0.01);
        lane.activeFlows.splice(lane.activeFlows.end(), lane.activeFlows, lane.activeFlows.begin());
    }
}

auto WaitQueue::removeFront(const WaitingRequest &entry) -> void
{
    auto &lane = this->lane(entry);
    auto &flow = lane.flows.at(entry.organisation);
    flow.deficit -= entry.tokens;
    flow.calls.pop_front();
    if (flow.calls.empty()) {
        lane.activeFlows.remove(entry.organisation);
        lane.flows.erase(entry.organisation);
    }
    this->entries.erase(entry.call);
    --this->counts[entry.tier];
}

auto WaitQueue::pop(bool allowLong) -> std::optional<WaitingRequest>
{
    for (auto &tierLanes : this->lanes) {
        auto chosen = this->front(tierLanes[0]);
        const auto longRequest = allowLong ? this->front(tierLanes[1]) : std::nullopt;
        if (longRequest && (!chosen || longRequest->enqueuedAt < chosen->enqueuedAt)) {
            chosen = longRequest;
        }
        if (chosen) {
            this->removeFront(*chosen);
            return chosen;
        }
    }
    return std::nullopt;
}

auto WaitQueue::shedCandidate() const -> std::optional<WaitingRequest>
{
    std::optional<WaitingRequest> candidate;
    for (auto tier = this->lanes.rbegin(); tier != this->lanes.rend() && !candidate; ++tier) {
        for (const auto &lane : *tier) {
            for (const auto &[organisation, flow] : lane.flows) {
                const auto &newest = this->entries.at(flow.calls.back());
                const bool later = !candidate
                                   || std::pair{newest.enqueuedAt, newest.call}
                                          > std::pair{candidate->enqueuedAt, candidate->call};
                if (later) {
                    candidate = newest;
                }
            }
        }
    }
    return candidate;
}

auto WaitQueue::hasLessUrgent(Tier tier) const -> bool
{
    return std::any_of(this->counts.begin() + tier + 1, this->counts.end(),
                       [](std::size_t count) { return count > 0; });
}

auto WaitQueue::mostUrgentTier() const -> Tier
{
    for (Tier tier = 0; tier < TierCount; ++tier) {
        if (this->counts[tier] > 0) {
            return tier;
        }
    }
    return TierCount;
}

} // namespace banyanring
