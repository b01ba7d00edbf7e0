/**
 * @file limit_shares.cpp This node's shares of the fleet-wide bounds on retries and on requests to
 * cold servers.
 */
#include "banyanring/fleet/limit_shares.h"

#include <algorithm>
#include <cmath>

namespace banyanring::fleet {

namespace {

/** Fraction of the share that is used; a restarted node counts from zero again. */
constexpr double RetryMargin = 0.8;
/** Fraction of the bound that is used, as the nodes time their bursts by different clocks. */
constexpr double ColdMargin = 0.85;
/** Low enough to allow each of them several requests per second. */
constexpr std::size_t MaxColdSenders = 5;
/** The bound holds for each second; the rest allows for jitter. */
constexpr Duration ColdWindow = std::chrono::milliseconds(1050);

} // namespace

auto RetryBudget::counters(const std::string &service) -> Counters &
{
    const auto window = this->bounds.retryWindow;
    return this->services
        .try_emplace(service, Counters{SlidingWindowCounter(window), SlidingWindowCounter(window)})
        .first->second;
}

auto RetryBudget::recordRequest(const std::string &service, Instant now) -> void
{
    this->counters(service).requests.add(1, now);
}

auto RetryBudget::tryTake(const std::string &service, std::size_t fleetSize, Instant now) -> bool
{
    auto &counters = this->counters(service);
    const double share = this->bounds.retryRatio * counters.requests.sum(now)
                         + this->bounds.retrySlack / static_cast<double>(fleetSize);
    if (counters.retries.sum(now) + 1 > RetryMargin * share) {
        return false;
    }
    counters.retries.add(1, now);
    return true;
}

auto ColdServerLimiter::fleetRate(const ServiceConfig &service) const -> double
{
    return ColdMargin
           * (service.coldRatePerSecond * this->bounds.coldOvershoot + this->bounds.coldSlack);
}

auto ColdServerLimiter::senderCount(const ServiceConfig &service, std::size_t fleetSize) const
    -> std::size_t
{
    const auto allowed =
        static_cast<std::size_t>(std::max(1.0, std::floor(this->fleetRate(service))));
    return std::min({fleetSize, allowed, MaxColdSenders});
}

auto ColdServerLimiter::allows(std::uint32_t serverHash, const ServiceConfig &service,
                               std::size_t fleetSize, Instant now) -> bool
{
    auto &recentSends = this->sendTimes[serverHash];
    while (!recentSends.empty() && now - recentSends.front() > ColdWindow) {
        recentSends.pop_front();
    }
    const auto share =
        this->fleetRate(service) / static_cast<double>(this->senderCount(service, fleetSize));
    return static_cast<double>(recentSends.size()) + 1 <= share;
}

auto ColdServerLimiter::recordRequest(std::uint32_t serverHash, Instant now) -> void
{
    this->sendTimes[serverHash].push_back(now);
}

} // namespace banyanring::fleet
