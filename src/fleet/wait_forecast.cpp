/** @file wait_forecast.cpp Forecasts how long a request of a service waits for a slot. */
#include "banyanring/fleet/wait_forecast.h"

#include "banyanring/fleet/admission_policy.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace banyanring::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** After the loss of half of the servers, an eighth of the difference remains after a second. */
constexpr Duration ServiceTimeConstant = milliseconds(500);
/**
 * Follows steps of the load. At 700 ms, 10% of the forecasts were over twice the wait, at 300 ms 7%
 * (simulated load of short requests).
 */
constexpr Duration ArrivalTimeConstant = milliseconds(300);
/** The forecast applies after this time with waiting requests, or this many completed ones. */
constexpr Duration MinWaitingTime = seconds(1);
constexpr std::uint64_t MinCompleted = 20;
/** A tier without a request for this time no longer counts as in use. */
constexpr Duration TierLifetime = seconds(60);

auto toSeconds(Duration duration) -> double
{
    return std::chrono::duration<double>(duration).count();
}

/** @return Time in which work is done at a rate that may be negative; NeverWait at most. */
auto timeFor(double work, double perSecond) -> Duration
{
    constexpr auto MaxSeconds = std::chrono::duration<double>(WaitForecast::NeverWait).count();
    if (work <= 0) {
        return Duration(0);
    }
    if (work >= perSecond * MaxSeconds) {
        return WaitForecast::NeverWait;
    }
    return Duration(static_cast<std::int64_t>(1e6 * work / perSecond));
}

} // namespace

auto DecayingRate::advance(Duration elapsed) -> void
{
    const auto factor = std::exp(-toSeconds(elapsed) / toSeconds(this->timeConstant));
    this->sum *= factor;
    this->weight = 1 - (1 - this->weight) * factor;
}

auto DecayingRate::perSecond() const -> double
{
    return this->weight > 0 ? this->sum / (this->weight * toSeconds(this->timeConstant)) : 0;
}

WaitForecast::WaitForecast() : service(ServiceTimeConstant) {}

auto WaitForecast::advance(bool requestsWait, Instant now) -> void
{
    const auto elapsed =
        std::max<Duration>(Duration(0), now - std::exchange(this->advancedAt, now).value_or(now));
    this->waiting = requestsWait;
    if (elapsed == Duration(0)) {
        return;
    }
    if (requestsWait) {
        this->waitingTime += elapsed;
        this->service.advance(elapsed);
    }
    const auto factor = std::exp(-toSeconds(elapsed) / toSeconds(ArrivalTimeConstant));
    this->arrivalWeight = 1 - (1 - this->arrivalWeight) * factor;
    for (auto &[tier, arrivals] : this->tiers) {
        for (auto &work : arrivals.onTime) {
            work *= factor;
        }
        arrivals.late *= factor;
    }
    std::erase_if(this->tiers,
                  [now](const auto &item) { return now - item.second.lastAt > TierLifetime; });
}

auto WaitForecast::recordTier(std::uint32_t tier) -> void
{
    this->tiers[tier].lastAt = this->advancedAt.value();
}

auto WaitForecast::recordAccepted(std::uint32_t tier, Duration untilLate, double work) -> void
{
    auto &arrivals = this->tiers.at(tier);
    if (untilLate < Duration(0)) {
        arrivals.late += work;
        return;
    }
    const auto step = static_cast<std::size_t>(untilLate / BudgetStep);
    arrivals.onTime.at(std::min(step, BudgetSteps - 1)) += work;
}

auto WaitForecast::recordCompleted(double work) -> void
{
    if (this->waiting) {
        this->service.add(work);
        this->completedWork += work;
        ++this->completedCount;
    }
}

auto WaitForecast::isReady() const -> bool
{
    const auto differs = [this](const auto &item) {
        return item.first % TierStep != this->tiers.begin()->first % TierStep;
    };
    return std::any_of(this->tiers.begin(), this->tiers.end(), differs)
           && (this->waitingTime >= MinWaitingTime || this->completedCount >= MinCompleted);
}

auto WaitForecast::expectedWait(const QueuePlace &place, LaterArrivals later) const
    -> std::optional<Duration>
{
    if (!this->isReady() || this->arrivalWeight <= 0) {
        return std::nullopt;
    }
    const auto divisor = this->arrivalWeight * toSeconds(ArrivalTimeConstant);
    double moreUrgentPerSecond = 0;
    double lateAheadPerSecond = 0;
    std::vector<ArrivalsAhead> ahead; // In descending order of the time.
    for (const auto &[tier, arrivals] : this->tiers) {
        const bool isMoreUrgent = tier < place.tier && later != LaterArrivals::None;
        for (std::size_t step = 0; step < BudgetSteps; ++step) {
            const auto perSecond = arrivals.onTime.at(step) / divisor;
            if (isMoreUrgent || later == LaterArrivals::All) {
                lateAheadPerSecond += perSecond;
            }
            if (isMoreUrgent) {
                moreUrgentPerSecond += perSecond;
            }
            const auto until =
                place.untilLate - static_cast<std::int64_t>(2 * step + 1) * BudgetStep / 2;
            if (tier == place.tier && later == LaterArrivals::All && until > Duration(0)) {
                ahead.push_back({until, perSecond});
            }
        }
        if (isMoreUrgent) {
            lateAheadPerSecond += arrivals.late / divisor;
        }
    }
    const auto service = this->service.perSecond();
    // The request starts when the next slot is free, after the work of one more completion.
    const auto ownStart =
        this->completedWork / static_cast<double>(std::max<std::uint64_t>(1, this->completedCount));
    if (place.untilLate >= Duration(0)) {
        auto work = place.workAhead + ownStart;
        auto rate = service - moreUrgentPerSecond;
        for (const auto &arrivals : ahead) {
            rate -= arrivals.perSecond;
        }
        auto start = Duration(0);
        auto wait = timeFor(work, rate);
        while (!ahead.empty() && start + wait > ahead.back().until) {
            work -= rate * toSeconds(ahead.back().until - start);
            start = ahead.back().until;
            rate += ahead.back().perSecond;
            ahead.pop_back();
            wait = timeFor(work, rate);
        }
        if (start + wait <= place.untilLate) {
            return std::min<Duration>(start + wait, NeverWait);
        }
    }
    const auto waitIfLate = timeFor(place.workAheadIfLate + ownStart, service - lateAheadPerSecond);
    return std::min(std::max(place.untilLate, waitIfLate), NeverWait);
}

} // namespace banyanring::fleet
