/** @file wait_queue.cpp Waiting requests of one service. */
#include "banyanring/core/wait_queue_base.h"

#include <algorithm>

namespace banyanring {

namespace {

constexpr double Quantum = 1000; ///< Tokens that a weight of 1 earns in a round.

} // namespace

auto WaitQueue::push(const WaitEntry &entry) -> void
{
    auto &lane = this->lane(entry);
    auto &share = lane.shares[entry.organisation];
    if (share.calls.empty()) {
        lane.active.push_back(entry.organisation);
    }
    share.calls.push_back(entry.call);
    this->entries[entry.call] = entry;
    ++this->counts[entry.tier];
}

auto WaitQueue::putBack(const WaitEntry &entry) -> void
{
    auto &lane = this->lane(entry);
    auto &share = lane.shares[entry.organisation];
    if (share.calls.empty()) {
        lane.active.push_front(entry.organisation);
    }
    share.calls.push_front(entry.call);
    share.deficit += entry.tokens;
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
    auto &share = lane.shares.at(entry.organisation);
    std::erase(share.calls, call);
    if (share.calls.empty()) {
        lane.active.remove(entry.organisation);
        lane.shares.erase(entry.organisation);
    }
}

auto WaitQueue::front(Lane &lane) -> std::optional<WaitEntry>
{
    if (lane.active.empty()) {
        return std::nullopt;
    }
    while (true) {
        const auto organisation = lane.active.front();
        auto &share = lane.shares.at(organisation);
        const auto &entry = this->entries.at(share.calls.front());
        if (share.deficit >= entry.tokens) {
            return entry;
        }
        share.deficit += Quantum * std::max(entry.weight, 0.01);
        lane.active.splice(lane.active.end(), lane.active, lane.active.begin());
    }
}

auto WaitQueue::take(const WaitEntry &entry) -> void
{
    auto &lane = this->lane(entry);
    auto &share = lane.shares.at(entry.organisation);
    share.deficit -= entry.tokens;
    share.calls.pop_front();
    if (share.calls.empty()) {
        lane.active.remove(entry.organisation);
        lane.shares.erase(entry.organisation);
    }
    this->entries.erase(entry.call);
    --this->counts[entry.tier];
}

auto WaitQueue::pop(bool allowLong) -> std::optional<WaitEntry>
{
    for (auto &tierLanes : this->lanes) {
        auto chosen = this->front(tierLanes[0]);
        const auto longOne = allowLong ? this->front(tierLanes[1]) : std::nullopt;
        if (longOne && (!chosen || longOne->since < chosen->since)) {
            chosen = longOne;
        }
        if (chosen) {
            this->take(*chosen);
            return chosen;
        }
    }
    return std::nullopt;
}

auto WaitQueue::shedCandidate() const -> std::optional<WaitEntry>
{
    std::optional<WaitEntry> candidate;
    for (auto tier = this->lanes.rbegin(); tier != this->lanes.rend() && !candidate; ++tier) {
        for (const auto &lane : *tier) {
            for (const auto &[organisation, share] : lane.shares) {
                const auto &newest = this->entries.at(share.calls.back());
                const bool later = !candidate
                                   || std::pair{newest.since, newest.call}
                                          > std::pair{candidate->since, candidate->call};
                if (later) {
                    candidate = newest;
                }
            }
        }
    }
    return candidate;
}

auto WaitQueue::waitsBelow(Tier tier) const -> bool
{
    return std::any_of(this->counts.begin() + tier + 1, this->counts.end(),
                       [](std::size_t count) { return count > 0; });
}

auto WaitQueue::topTier() const -> Tier
{
    for (Tier tier = 0; tier < TierCount; ++tier) {
        if (this->counts[tier] > 0) {
            return tier;
        }
    }
    return TierCount;
}

} // namespace banyanring
