/** @file admission_queue.cpp Queue of the requests of one service that wait for a free slot. */
#include "banyanring/fleet/admission_queue.h"

#include <algorithm>
#include <tuple>

namespace banyanring::fleet {

namespace {

constexpr double ResponseTimeWeight = 0.05; ///< Weight of one request in the average response time.

} // namespace

auto AdmissionQueue::push(const QueuedRequest &request) -> void
{
    this->waiting.push_back(request);
}

auto AdmissionQueue::remove(std::uint64_t number) -> bool
{
    return std::erase_if(this->waiting,
                         [number](const auto &request) { return request.number == number; })
           > 0;
}

auto AdmissionQueue::shareRanks(Instant now) const -> std::optional<FairShares::Ranks>
{
    FairShares::Waiting byOrganisation;
    for (const auto &request : this->waiting) {
        auto &work = byOrganisation[request.organisation];
        work.cost += request.cost;
        work.weight = request.weight != 0 ? request.weight : work.weight;
    }
    return this->shares.ranks(byOrganisation, now);
}

auto AdmissionQueue::rankedOrder(Instant now) const -> std::vector<OrderedRequest>
{
    using Rank = std::tuple<bool, std::uint32_t, double, Instant, std::uint64_t>;
    const auto shareRanks = this->shareRanks(now);
    std::vector<Rank> ranks;
    ranks.reserve(this->waiting.size());
    for (const auto &request : this->waiting) {
        ranks.emplace_back(request.latencyDeadline < now, request.tier,
                           shareRanks ? shareRanks->at(request.organisation)
                                      : this->shares.usage(request.organisation, now),
                           request.latencyDeadline, request.number);
    }
    std::sort(ranks.begin(), ranks.end());
    std::vector<OrderedRequest> order;
    order.reserve(ranks.size());
    for (const auto &[late, tier, rank, deadline, number] : ranks) {
        order.push_back(
            {number, shareRanks ? std::optional(static_cast<std::uint32_t>(rank)) : std::nullopt});
    }
    return order;
}

auto AdmissionQueue::dispatchOrder(Instant now) const -> std::vector<std::uint64_t>
{
    std::vector<std::uint64_t> numbers;
    numbers.reserve(this->waiting.size());
    for (const auto &request : this->rankedOrder(now)) {
        numbers.push_back(request.number);
    }
    return numbers;
}

auto AdmissionQueue::recordUsage(std::uint32_t organisation, double cost, Instant now,
                                 double weight) -> void
{
    this->shares.recordUsage(organisation, cost, weight, now);
}

auto AdmissionQueue::popExpired(Instant now) -> std::vector<std::uint64_t>
{
    std::vector<std::uint64_t> numbers;
    std::erase_if(this->waiting, [&](const auto &request) {
        if (request.queueDeadline > now) {
            return false;
        }
        numbers.push_back(request.number);
        return true;
    });
    return numbers;
}

auto AdmissionQueue::countAhead(std::uint32_t tier, Instant latencyDeadline, Instant now) const
    -> std::size_t
{
    const std::tuple newRank(latencyDeadline < now, tier);
    return static_cast<std::size_t>(
        std::count_if(this->waiting.begin(), this->waiting.end(), [&](const auto &request) {
            return std::tuple(request.latencyDeadline < now, request.tier) <= newRank;
        }));
}

auto AdmissionQueue::countAheadOf(std::uint64_t number, Instant now) const -> std::size_t
{
    const auto rank = [now](const QueuedRequest &request) {
        return std::tuple(request.latencyDeadline < now, request.tier, request.latencyDeadline);
    };
    const auto found =
        std::find_if(this->waiting.begin(), this->waiting.end(),
                     [number](const QueuedRequest &request) { return request.number == number; });
    if (found == this->waiting.end()) {
        return 0;
    }
    return static_cast<std::size_t>(
        std::count_if(this->waiting.begin(), this->waiting.end(),
                      [&](const QueuedRequest &request) { return rank(request) < rank(*found); }));
}

auto AdmissionQueue::placeOf(std::uint64_t number, LaterArrivals later, Instant now) const
    -> QueuePlace
{
    const auto &own =
        *std::find_if(this->waiting.begin(), this->waiting.end(),
                      [number](const QueuedRequest &request) { return request.number == number; });
    const auto lateAt = std::max(now, own.latencyDeadline);
    const auto rank = [](const QueuedRequest &request) {
        return std::tuple(request.tier, request.latencyDeadline, request.number);
    };
    QueuePlace place{own.tier, own.latencyDeadline - now, 0, 0};
    for (const auto &request : this->waiting) {
        if (request.number > number
            && (later == LaterArrivals::None
                || (later == LaterArrivals::MoreUrgent && request.tier >= own.tier))) {
            continue;
        }
        const bool isFirst = rank(request) < rank(own);
        if (request.latencyDeadline >= now && isFirst) {
            place.workAhead += request.work;
        }
        if (isFirst || request.latencyDeadline > lateAt) {
            place.workAheadIfLate += request.work;
        }
    }
    return place;
}

auto ServiceQueue::recordResponseTime(Duration duration) -> void
{
    const auto durationMs = static_cast<double>(duration.count()) / 1000;
    this->averageResponseMs += (this->averageResponseMs > 0 ? ResponseTimeWeight : 1)
                               * (durationMs - this->averageResponseMs);
}

auto ServiceQueue::recordProfile(const RequestProfile &profile) -> void
{
    this->averageExpectedMs += (this->averageExpectedMs > 0 ? ResponseTimeWeight : 1)
                               * (expectedServiceMs(profile) - this->averageExpectedMs);
}

auto ServiceQueue::expectedWait(std::size_t ahead) const -> Duration
{
    const auto runningRequests = static_cast<double>(std::max<std::size_t>(1, this->runningCount));
    return Duration(static_cast<std::int64_t>(static_cast<double>(ahead) * this->averageResponseMs
                                              * 1000 / runningRequests));
}

} // namespace banyanring::fleet
