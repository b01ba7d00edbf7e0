/** @file fair_shares.cpp Weighted fair shares of the organisations that use a service. */
#include "banyanring/fleet/fair_shares.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace banyanring::fleet {

namespace {

/** Half-life of an organisation's usage; a burst affects its priority for several seconds. */
constexpr Duration UsageHalfLife = std::chrono::seconds(3);
/**
 * State of an organisation is dropped after this time without a request, when less than a
 * thousandth of its usage is left. A weight that no node has sent for this time is no longer valid;
 * nodes of an old release send none meanwhile.
 */
constexpr Duration Retention = 10 * UsageHalfLife;
constexpr double ShareTolerance = 0.25; ///< Tolerated excess; usage is a noisy sample.
constexpr double RankStep = 1.5; ///< Factor of usage per rank.
constexpr double MaxRank = 64; ///< Bounds the conversion to an integer.

/** Demand and usage of an organisation in one round. */
struct Entry
{
    double usage = 0;
    double demand = 0; ///< Usage and waiting work.
    double weight = 0;
};

auto decay(Duration age) -> double
{
    return std::exp2(
        -(std::chrono::duration<double>(age) / std::chrono::duration<double>(UsageHalfLife)));
}

auto isWeight(double weight) -> bool
{
    return std::isfinite(weight) && weight > 0;
}

/** Sets missing weights to the mean of the others. */
auto completeWeights(std::unordered_map<std::uint32_t, Entry> &entries) -> void
{
    double sum = 0;
    double count = 0;
    for (const auto &[organisation, entry] : entries) {
        sum += entry.weight;
        count += entry.weight > 0 ? 1 : 0;
    }
    for (auto &[organisation, entry] : entries) {
        entry.weight = entry.weight > 0 ? entry.weight : sum / std::max(1.0, count);
    }
}

/** @return Work per weight of the organisations that could use more than their share. */
auto fairLevel(const std::unordered_map<std::uint32_t, Entry> &entries, double work) -> double
{
    std::vector<Entry> byDemand;
    byDemand.reserve(entries.size());
    double weightLeft = 0;
    for (const auto &[organisation, entry] : entries) {
        byDemand.push_back(entry);
        weightLeft += entry.weight;
    }
    std::sort(byDemand.begin(), byDemand.end(), [](const Entry &left, const Entry &right) {
        return left.demand / left.weight < right.demand / right.weight;
    });
    double level = 0;
    for (const auto &entry : byDemand) {
        level = std::max(0.0, work) / std::max(weightLeft, entry.weight);
        if (entry.demand > entry.weight * level) {
            break;
        }
        work -= entry.demand;
        weightLeft -= entry.weight;
    }
    return level;
}

} // namespace

auto FairShares::recordUsage(std::uint32_t organisation, double cost, double weight, Instant now)
    -> void
{
    this->dropIdle(now);
    auto &usage = this->usages[organisation];
    const auto remaining = decay(now - usage.updatedAt);
    usage.decayedCost = usage.decayedCost * remaining + cost;
    usage.decayedRequests = usage.decayedRequests * remaining + 1;
    usage.updatedAt = now;
    if (isWeight(weight)) {
        usage.weight = weight;
        usage.weightAt = now;
    }
}

auto FairShares::usage(std::uint32_t organisation, Instant now) const -> double
{
    const auto found = this->usages.find(organisation);
    return found == this->usages.end()
               ? 0
               : found->second.decayedCost * decay(now - found->second.updatedAt);
}

auto FairShares::ranks(const Waiting &waiting, Instant now) const -> std::optional<Ranks>
{
    const auto currentWeight = [now](const Usage &usage) {
        return now - usage.weightAt <= Retention ? usage.weight : 0;
    };
    if (std::none_of(waiting.begin(), waiting.end(),
                     [](const auto &item) { return isWeight(item.second.weight); })
        && std::none_of(this->usages.begin(), this->usages.end(),
                        [&](const auto &item) { return currentWeight(item.second) > 0; })) {
        return std::nullopt;
    }
    std::unordered_map<std::uint32_t, Entry> entries;
    entries.reserve(this->usages.size() + waiting.size());
    double work = 0;
    double requests = 0;
    for (const auto &[organisation, usage] : this->usages) {
        const auto remaining = decay(now - usage.updatedAt);
        const auto cost = usage.decayedCost * remaining;
        entries[organisation] = {cost, cost, currentWeight(usage)};
        work += cost;
        requests += usage.decayedRequests * remaining;
    }
    for (const auto &[organisation, waitingWork] : waiting) {
        auto &entry = entries[organisation];
        entry.demand += waitingWork.cost;
        entry.weight = isWeight(waitingWork.weight) ? waitingWork.weight : entry.weight;
    }
    completeWeights(entries);
    const auto level = fairLevel(entries, work);
    // A share of few requests is a noisier sample: its standard deviation and one more request are
    // no sign of excess. Without this, the smallest of 16 organisations lost 6 points in the test.
    const auto meanCost = requests > 0 ? work / requests : 0;
    Ranks ranks;
    for (const auto &[organisation, waitingWork] : waiting) {
        const auto &entry = entries.at(organisation);
        const auto share = std::min(entry.demand, entry.weight * level);
        const auto noise = meanCost + std::sqrt(share * meanCost);
        const auto tolerated = share + std::max(ShareTolerance * share, noise);
        const auto steps = std::log(entry.usage / tolerated) / std::log(RankStep);
        ranks[organisation] =
            entry.usage <= tolerated ? 0 : 1 + static_cast<std::uint32_t>(std::min(MaxRank, steps));
    }
    return ranks;
}

auto FairShares::dropIdle(Instant now) -> void
{
    if (now - this->idleDroppedAt < UsageHalfLife) {
        return;
    }
    this->idleDroppedAt = now;
    std::erase_if(this->usages,
                  [now](const auto &item) { return now - item.second.updatedAt > Retention; });
}

} // namespace banyanring::fleet
