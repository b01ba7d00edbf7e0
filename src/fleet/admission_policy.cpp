/**
 * @file admission_policy.cpp Decides how long a request may wait for a slot, and when a rejected
 * caller should return.
 */
#include "banyanring/fleet/admission_policy.h"

#include <algorithm>
#include <cmath>

namespace banyanring::fleet {

namespace {

using std::chrono::milliseconds;

/** Expected times to the first byte are averages, so a request needs time for twice as long. */
constexpr int FirstByteMargin = 2;
/** Divides the time left of a request that has not enough for the margin, but for its average. */
constexpr int ShortBudgetDivisor = 2;
/** Fraction of the caller's timeout that a request may be queued; the rest is for processing. */
constexpr double QueueTimeFraction = 0.25;
/** The same of a request that is late: it waits until the requests that are on time permit. */
constexpr double LateQueueTimeFraction = 0.5;
/** Requests are not rejected for an expected wait below this. */
constexpr Duration MinRejectedWait = milliseconds(100);
/**
 * Limits of the fraction of the time left after which a rejected caller returns. Bursts last for
 * seconds, so a short delay would not help; callers wait for a third at most.
 */
constexpr double MinReturnFraction = 0.2;
constexpr double MaxReturnFraction = 0.33;

constexpr double BucketRatio = 1.05; ///< Between the timeouts of two buckets.
constexpr double CountDecay = 0.995; ///< Per request of the route; remembers some 200 requests.
constexpr double MinCount = 20; ///< Requests of a route before anything follows from them.
/** First attempts of at least one caller in five; further attempts spread over many buckets. */
constexpr double CommonFraction = 0.2;

} // namespace

auto waitBudget(const RequestTiming &timing, Instant now) -> WaitBudget
{
    const auto forReading = timing.latencyTarget - timing.firstByteTime;
    const auto forWaiting =
        std::max<Duration>(timing.latencyTarget - FirstByteMargin * timing.firstByteTime,
                           forReading > Duration(0) ? forReading / ShortBudgetDivisor : forReading);
    WaitBudget budget;
    budget.latencyDeadline = timing.arrivedAt - timing.waitedBefore + forWaiting;
    const auto fraction = budget.latencyDeadline < now ? LateQueueTimeFraction : QueueTimeFraction;
    budget.queueDeadline =
        now + std::chrono::duration_cast<Duration>(timing.callerTimeout * fraction);
    return budget;
}

auto isWaitTooLong(const WaitBudget &budget, Duration expectedWait, Instant now) -> bool
{
    if (expectedWait <= MinRejectedWait) {
        return false;
    }
    const auto dispatchAt = now + expectedWait;
    return dispatchAt
           > (budget.latencyDeadline < now ? budget.queueDeadline : budget.latencyDeadline);
}

auto overloadRetryAfter(Duration expectedWait, Duration timeLeft, std::mt19937_64 &random)
    -> Duration
{
    std::uniform_real_distribution<double> fraction(MinReturnFraction, MaxReturnFraction);
    return std::max(expectedWait,
                    std::chrono::duration_cast<Duration>(timeLeft * fraction(random)));
}

auto CallerTimeouts::waitedBefore(std::string_view route, Duration timeLeft) -> Duration
{
    const auto timeLeftMs = std::max(1.0, static_cast<double>(timeLeft.count()) / 1000);
    const auto number = static_cast<int>(std::floor(std::log(timeLeftMs) / std::log(BucketRatio)));
    auto found = this->routes.find(route);
    if (found == this->routes.end()) {
        found = this->routes.emplace(route, RouteTimeouts{}).first;
    }
    auto &timeouts = found->second;
    timeouts.count = timeouts.count * CountDecay + 1;
    for (auto &[bucketNumber, bucket] : timeouts.buckets) {
        bucket.count *= CountDecay;
    }
    auto &own = timeouts.buckets[number];
    own.count += 1;
    own.averageMs += (timeLeftMs - own.averageMs) / own.count;
    std::erase_if(timeouts.buckets, [](const auto &item) { return item.second.count < 0.1; });
    const auto isCommon = [&](const auto &item) {
        return item.second.count >= CommonFraction * timeouts.count;
    };
    if (timeouts.count < MinCount) {
        return Duration(0);
    }
    const auto common =
        std::find_if(timeouts.buckets.lower_bound(number), timeouts.buckets.end(), isCommon);
    if (common == timeouts.buckets.end() || common->first == number) {
        return Duration(0);
    }
    const auto waitedMs = std::max(0.0, common->second.averageMs - timeLeftMs);
    return Duration(static_cast<std::int64_t>(waitedMs * 1000));
}

} // namespace banyanring::fleet
