/** @file admission_queue.cpp Queue of the requests of one service that wait for a free slot. */
#include "banyanring/fleet/admission_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace banyanring::fleet {

namespace {

/** Half-life of an organisation's usage; a burst affects its priority for several seconds. */
constexpr Duration UsageHalfLife = std::chrono::seconds(3);
constexpr double AverageWeight = 0.05; ///< Weight of one request in the average response time.

} // namespace

auto AdmissionQueue::push(const QueuedRequest &request) -> void
{
    this->waiting.push_back(request);
}

auto AdmissionQueue::remove(std::uint64_t run) -> bool
{
    return std::erase_if(this->waiting, [run](const auto &item) { return item.run == run; }) > 0;
}

auto AdmissionQueue::usage(std::uint32_t organisation, Instant now) const -> double
{
    const auto found = this->usages.find(organisation);
    if (found == this->usages.end()) {
        return 0;
    }
    const auto halves = std::chrono::duration<double>(now - found->second.at)
                        / std::chrono::duration<double>(UsageHalfLife);
    return found->second.cost * std::exp2(-halves);
}

auto AdmissionQueue::order(Instant now) const -> std::vector<std::uint64_t>
{
    using Rank = std::tuple<bool, std::uint32_t, double, Instant, std::uint64_t>;
    std::vector<Rank> ranks;
    ranks.reserve(this->waiting.size());
    for (const auto &item : this->waiting) {
        ranks.emplace_back(item.dueAt < now, item.tier, this->usage(item.organisation, now),
                           item.dueAt, item.run);
    }
    std::sort(ranks.begin(), ranks.end());
    std::vector<std::uint64_t> runs;
    runs.reserve(ranks.size());
    for (const auto &rank : ranks) {
        runs.push_back(std::get<std::uint64_t>(rank));
    }
    return runs;
}

auto AdmissionQueue::noteServed(std::uint32_t organisation, double cost, Instant now) -> void
{
    const auto earlier = this->usage(organisation, now);
    this->usages[organisation] = {earlier + cost, now};
}

auto AdmissionQueue::takeExpired(Instant now) -> std::vector<std::uint64_t>
{
    std::vector<std::uint64_t> runs;
    std::erase_if(this->waiting, [&](const auto &item) {
        if (item.refuseAt > now) {
            return false;
        }
        runs.push_back(item.run);
        return true;
    });
    return runs;
}

auto AdmissionQueue::ahead(std::uint32_t tier, Instant now) const -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(this->waiting.begin(), this->waiting.end(),
                      [&](const auto &item) { return item.tier <= tier && item.dueAt >= now; }));
}

auto AdmissionQueue::aheadOf(std::uint64_t run, Instant now) const -> std::size_t
{
    const auto rank = [now](const QueuedRequest &item) {
        return std::tuple(item.dueAt < now, item.tier, item.dueAt);
    };
    const auto found = std::find_if(this->waiting.begin(), this->waiting.end(),
                                    [run](const QueuedRequest &item) { return item.run == run; });
    if (found == this->waiting.end()) {
        return 0;
    }
    return static_cast<std::size_t>(
        std::count_if(this->waiting.begin(), this->waiting.end(),
                      [&](const QueuedRequest &item) { return rank(item) < rank(*found); }));
}

auto ServiceQueue::noteAnswer(Duration took) -> void
{
    const auto tookMs = static_cast<double>(took.count()) / 1000;
    this->averageMs += (this->averageMs > 0 ? AverageWeight : 1) * (tookMs - this->averageMs);
}

auto ServiceQueue::expectedWait(std::size_t ahead) const -> Duration
{
    const auto served = static_cast<double>(std::max<std::size_t>(1, this->running));
    return Duration(
        static_cast<std::int64_t>(static_cast<double>(ahead) * this->averageMs * 1000 / served));
}

} // namespace banyanring::fleet
