/**
 * @file limit_shares.cpp This node's shares of the fleet-wide bounds on retries and on requests to
 * cold servers.
 */
#include "banyanring/fleet/limit_shares.h"

#include <algorithm>
#include <cmath>

namespace banyanring::fleet {

namespace {

constexpr double RetryMargin =
    0.8; ///< Fraction of the share that is used; a restarted node counts from zero again.
constexpr double ColdMargin =
    0.85; ///< Fraction of the bound that is used, as the clocks of the nodes' bursts differ.
constexpr std::size_t MostColdOwners =
    5; ///< Low enough to allow each of them several requests per second.
constexpr Duration ColdWindow =
    std::chrono::milliseconds(1050); ///< One second of the bound, plus jitter.

} // namespace

auto RetryShare::counters(const std::string &service) -> Counters &
{
    const auto window = this->bounds.retryWindow;
    return this->services
        .try_emplace(service, Counters{WindowCounter(window), WindowCounter(window)})
        .first->second;
}

auto RetryShare::noteRequest(const std::string &service, Instant now) -> void
{
    this->counters(service).requests.add(1, now);
}

auto RetryShare::take(const std::string &service, std::size_t fleetSize, Instant now) -> bool
{
    auto &counters = this->counters(service);
    const double share = this->bounds.retryRatio * counters.requests.sum(now)
                         + this->bounds.retrySlack / static_cast<double>(fleetSize);
    if (counters.repeats.sum(now) + 1 > RetryMargin * share) {
        return false;
    }
    counters.repeats.add(1, now);
    return true;
}

auto ColdShare::total(const ServiceRule &service) const -> double
{
    return ColdMargin
           * (service.coldPerSecond * this->bounds.coldOvershoot + this->bounds.coldSlack);
}

auto ColdShare::owners(const ServiceRule &service, std::size_t fleetSize) const -> std::size_t
{
    const auto bearable = static_cast<std::size_t>(std::max(1.0, std::floor(this->total(service))));
    return std::min({fleetSize, bearable, MostColdOwners});
}

auto ColdShare::allows(std::uint32_t server, const ServiceRule &service, std::size_t fleetSize,
                       Instant now) -> bool
{
    auto &times = this->sent[server];
    while (!times.empty() && now - times.front() > ColdWindow) {
        times.pop_front();
    }
    const auto share = this->total(service) / static_cast<double>(this->owners(service, fleetSize));
    return static_cast<double>(times.size()) + 1 <= share;
}

auto ColdShare::note(std::uint32_t server, Instant now) -> void
{
    this->sent[server].push_back(now);
}

} // namespace banyanring::fleet
