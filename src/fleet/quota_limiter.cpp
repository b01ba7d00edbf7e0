/**
 * @file quota_limiter.cpp Rate limits of organisations over the whole fleet, as enforced by this
 * node.
 */
#include "banyanring/fleet/quota_limiter.h"

#include <algorithm>
#include <utility>

namespace banyanring::fleet {

namespace {

/** Largest and smallest fraction of the tolerated overshoot that is used. */
constexpr double MaxTolerance = 0.9;
/** Largest fraction in a partition, as its sides cannot report to each other. */
constexpr double MaxPartitionTolerance = 0.6;
constexpr double MinTolerance = 0.3;
constexpr double CompleteFraction = 0.999; ///< From this reachable fraction on, no node is missing.
/**
 * Smallest reachable fraction of the larger side of a partition. For a moment, both sides may
 * consider themselves the larger one.
 */
constexpr double HalfFraction = 0.5;
/** Additional fraction of the limit for the larger side, out of the others' fraction. */
constexpr double LargerSideExtra = 0.05;
/**
 * Fraction of the limit that may be used within half a window, as a restart only loses the usage of
 * the other half.
 */
constexpr double HalfWindowFraction = 0.7;
/** Time for which a total of a coordinator is used; several reports arrive within it. */
constexpr Duration TotalLifetime = std::chrono::seconds(1);
/**
 * Nodes that query at the same time do not see each other's requests; coordinators may be far away.
 */
constexpr Duration MinTotalAge = std::chrono::milliseconds(60);
/** Pending units of a peer count as admitted until its next report arrives or is overdue. */
constexpr Duration PendingLifetime = std::chrono::milliseconds(250);
/** Demand of this time must fit into the limit to skip the query. */
constexpr Duration NearLimitTime = std::chrono::seconds(1);
/** Window in which the current demand is measured. */
constexpr Duration DemandWindow = std::chrono::seconds(2);
/** Longer than a typical partition; a peer that returns later counts as new. */
constexpr Duration PeerRetentionTime = std::chrono::seconds(60);
/**
 * Fraction of a limit that a new process assumes was used evenly in the window before its start.
 * While demand exceeds the limit, the process admits only as much as leaves the window.
 */
constexpr double AssumedUsedFraction = 0.8;
/** Fraction of the tolerance that a new process uses while demand is below the limit. */
constexpr double StartupTolerance = 0.2;
/** Shortest time over which a new process averages the demand. */
constexpr Duration MinDemandTime = std::chrono::milliseconds(500);
/** An earlier retry would be rejected again. */
constexpr Duration MinRetryAfter = std::chrono::milliseconds(200);

/** @return The time in seconds, with fractions. */
auto secondsOf(Duration time) -> double
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

auto QuotaLimiter::usageOf(std::uint32_t organisation) -> Usage &
{
    return this->usages.try_emplace(organisation, Usage(this->bounds.quotaWindow, DemandWindow))
        .first->second;
}

auto QuotaLimiter::windowLimit(const OrganisationConfig &organisation) const -> double
{
    return organisation.ratePerSecond * secondsOf(this->bounds.quotaWindow) + organisation.burst;
}

auto QuotaLimiter::totalAge(const Usage &usage, Instant now) const -> std::optional<Duration>
{
    std::optional<Duration> age;
    for (const auto &[coordinator, received] : usage.totals) {
        if (received.total.complete && now - received.receivedAt < TotalLifetime) {
            age = std::min(age.value_or(TotalLifetime), now - received.receivedAt);
        }
    }
    return age;
}

auto QuotaLimiter::usableLimit(const OrganisationConfig &organisation, double limit, Usage &usage,
                               double reachableFraction, Instant now) const -> double
{
    const double limitShare = reachableFraction < HalfFraction
                                  ? reachableFraction
                                  : std::min(1.0, reachableFraction + LargerSideExtra);
    const double slack = organisation.countsTokens ? this->bounds.quotaSlack : 0;
    const double tolerance = limit * this->bounds.quotaOvershoot + slack;
    const double demand = this->demand(hashName(organisation.name), usage, now);
    const auto knownAge = this->totalAge(usage, now);
    if (this->recentlyStarted(now) && !knownAge) {
        const bool demandUnknown = now - this->startedAt < DemandWindow;
        return demandUnknown
                       || demand * secondsOf(this->bounds.quotaWindow) > limit * reachableFraction
                   ? AssumedUsedFraction * limit * limitShare
                   : limit * limitShare + StartupTolerance * tolerance * reachableFraction;
    }
    const double unreported =
        demand * secondsOf(knownAge ? std::max(MinTotalAge, *knownAge) : this->propagationDelay);
    const double maxTolerance =
        reachableFraction < CompleteFraction ? MaxPartitionTolerance : MaxTolerance;
    return limit * limitShare
           + std::max(MinTolerance * tolerance, maxTolerance * tolerance - unreported)
                 * reachableFraction;
}

auto QuotaLimiter::peerUsage(std::uint32_t organisation, std::uint64_t except,
                             double reachableFraction, Instant now) -> UsageSums
{
    UsageSums result;
    for (auto &[incarnation, peer] : this->peerUsages[organisation]) {
        // A peer in another part of a partition uses its own fraction of the limit. If no node is
        // missing, a peer that is not alive has restarted, and its usage still counts.
        if (incarnation != except
            && (reachableFraction >= CompleteFraction || this->alivePeers.contains(incarnation))) {
            const double pending = now - peer.reportedAt < PendingLifetime ? peer.pendingUnits : 0;
            result.window += peer.window.sum(now) + pending;
            result.newerHalf += peer.window.newerHalfSum(now) + pending;
        }
    }
    return result;
}

auto QuotaLimiter::fleetUsage(std::uint32_t organisation, Usage &usage, double reachableFraction,
                              Instant now) -> UsageSums
{
    auto result = this->peerUsage(organisation, 0, reachableFraction, now);
    for (const auto &[coordinator, received] : usage.totals) {
        if (now - received.receivedAt < TotalLifetime) {
            result.window = std::max(result.window, received.total.windowUnits);
            result.newerHalf = std::max(result.newerHalf, received.total.newerHalfUnits);
        }
    }
    if (!this->totalAge(usage, now)) {
        result.window += reachableFraction * usage.beforeStart.sum(now);
    }
    result.window += usage.own.sum(now);
    result.newerHalf += usage.own.newerHalfSum(now);
    return result;
}

auto QuotaLimiter::demandSeconds(Instant now) const -> double
{
    return secondsOf(std::clamp(now - this->startedAt, MinDemandTime, DemandWindow));
}

auto QuotaLimiter::peerDemand(std::uint32_t organisation, std::uint64_t except, Instant now) const
    -> double
{
    double perSecond = 0;
    const auto found = this->peerUsages.find(organisation);
    if (found == this->peerUsages.end()) {
        return perSecond;
    }
    for (const auto &[incarnation, peer] : found->second) {
        if (incarnation != except
            && now - peer.reportedAt < std::max(DemandWindow, this->propagationDelay)) {
            perSecond += peer.demandPerSecond;
        }
    }
    return perSecond;
}

auto QuotaLimiter::demand(std::uint32_t organisation, Usage &usage, Instant now) const -> double
{
    double peers = this->peerDemand(organisation, 0, now);
    for (const auto &[coordinator, received] : usage.totals) {
        if (now - received.receivedAt < TotalLifetime) {
            peers = std::max(peers, received.total.demandPerSecond);
        }
    }
    return peers + usage.demand.sum(now) / this->demandSeconds(now);
}

auto QuotaLimiter::startNewWindow(std::uint32_t organisation, Usage &usage) -> void
{
    usage.own.clear();
    usage.beforeStart.clear();
    usage.totals.clear();
    usage.limits.clear();
    for (auto &[incarnation, peer] : this->peerUsages[organisation]) {
        peer.window.clear();
    }
}

auto QuotaLimiter::updateLimit(const OrganisationConfig &organisation, Instant now) -> void
{
    const auto id = hashName(organisation.name);
    const auto found = this->usages.find(id);
    if (found == this->usages.end()) {
        return;
    }
    auto &usage = found->second;
    if (organisation.ratePerSecond <= 0) {
        usage.wasUnlimited = true;
        return;
    }
    const double limit = this->windowLimit(organisation);
    const bool isOtherUnit =
        usage.limits.isSet() && usage.countsTokens != organisation.countsTokens;
    if (!usage.wasUnlimited && !isOtherUnit && usage.limits.isInForce(limit)) {
        return;
    }
    if (std::exchange(usage.wasUnlimited, false) || isOtherUnit) {
        this->startNewWindow(id, usage);
    } else if (!usage.limits.isSet() && !usage.beforeStartReported) {
        usage.beforeStart.addEvenly(AssumedUsedFraction * limit, this->startedAt);
    }
    usage.countsTokens = organisation.countsTokens;
    usage.limits.set(limit, this->fleetUsage(id, usage, this->lastReachableFraction, now), now);
}

auto QuotaLimiter::nearLimit(const OrganisationConfig &organisation, double units,
                             double reachableFraction, Instant now) -> bool
{
    if (organisation.ratePerSecond <= 0) {
        return false;
    }
    const auto id = hashName(organisation.name);
    auto &usage = this->usageOf(id);
    this->lastReachableFraction = reachableFraction;
    this->updateLimit(organisation, now);
    const double expected = units + this->demand(id, usage, now) * secondsOf(NearLimitTime);
    const auto fleet = this->fleetUsage(id, usage, reachableFraction, now);
    const auto held = usage.limits.heldUsages(fleet, now);
    return !this->totalAge(usage, now)
           || std::any_of(held.begin(), held.end(), [&](const HeldUsage &item) {
                  const double limit = item.limit * reachableFraction;
                  return item.used.window + expected > limit
                         || item.used.newerHalf + expected > HalfWindowFraction * limit;
              });
}

auto QuotaLimiter::admit(const OrganisationConfig &organisation, double units,
                         double reachableFraction, Instant now) -> QuotaDecision
{
    QuotaDecision decision;
    const auto id = hashName(organisation.name);
    auto &usage = this->usageOf(id);
    usage.demand.add(units, now);
    this->lastReachableFraction = reachableFraction;
    this->updateLimit(organisation, now);
    if (organisation.ratePerSecond > 0) {
        const auto fleet = this->fleetUsage(id, usage, reachableFraction, now);
        decision.totalAge = this->totalAge(usage, now).value_or(Duration(-1));
        for (const auto &held : usage.limits.heldUsages(fleet, now)) {
            decision.usableUnits =
                this->usableLimit(organisation, held.limit, usage, reachableFraction, now);
            decision.usedUnits = held.used.window;
            decision.admitted =
                held.used.window + units <= decision.usableUnits
                && held.used.newerHalf + units <= HalfWindowFraction * decision.usableUnits;
            if (!decision.admitted) {
                return decision;
            }
        }
    }
    usage.own.add(units, now);
    usage.ownTotalUnits += units;
    return decision;
}

auto QuotaLimiter::refund(std::string_view organisation, double units, Instant now) -> void
{
    auto &usage = this->usageOf(hashName(organisation));
    usage.own.add(-units, now);
    usage.ownTotalUnits -= units;
}

auto QuotaLimiter::retryAfter(const OrganisationConfig &organisation, double units, Instant now)
    -> Duration
{
    auto &usage = this->usageOf(hashName(organisation.name));
    const auto fleet = this->fleetUsage(hashName(organisation.name), usage, 1, now);
    const double excess = fleet.window + units - this->windowLimit(organisation);
    // Assumes that the other nodes' usage leaves the window at the rate of this node's own.
    const double ownExcess = excess * usage.own.sum(now) / std::max(1.0, fleet.window);
    return std::max(MinRetryAfter, usage.own.timeUntilExpired(ownExcess, now));
}

auto QuotaLimiter::mergePeerUsage(std::uint64_t peer,
                                  const std::vector<OrganisationUsage> &peerReports, Instant now)
    -> void
{
    for (const auto &report : peerReports) {
        const auto [entry, added] = this->peerUsages[report.organisation].try_emplace(
            peer, PeerUsage{SlidingWindowCounter(this->bounds.quotaWindow)});
        auto &usage = entry->second;
        const double addedUnits = report.totalUnits - usage.totalUnits;
        usage.totalUnits = report.totalUnits;
        usage.demandPerSecond = report.demandPerSecond;
        usage.pendingUnits = report.pendingUnits;
        usage.reportedAt = now;
        if (!added) {
            usage.window.add(addedUnits, now);
        } else if (!this->recentlyStarted(now)) {
            usage.window.addHalves(report.windowUnits - report.newerHalfUnits,
                                   report.newerHalfUnits, now);
        } else if (report.fleetWindowUnits > 0) {
            // This node has assumed its usage before the start; a peer that has run longer reports
            // it.
            auto &own = this->usageOf(report.organisation);
            if (!own.beforeStartReported) {
                own.beforeStartReported = true;
                own.beforeStart.clear();
                own.beforeStart.addEvenly(report.fleetWindowUnits, now);
            }
        }
    }
}

auto QuotaLimiter::setTotal(std::uint32_t coordinator, const UsageTotal &total, Instant now) -> void
{
    auto &totals = this->usageOf(total.organisation).totals;
    std::erase_if(totals, [now](const auto &entry) {
        return now - entry.second.receivedAt >= TotalLifetime;
    });
    totals[coordinator] = {total, now};
}

auto QuotaLimiter::totalExcept(std::uint32_t organisation, std::uint64_t peer,
                               double reachableFraction, Instant now) -> UsageTotal
{
    auto &usage = this->usageOf(organisation);
    const auto others = this->peerUsage(organisation, peer, reachableFraction, now);
    return {organisation, others.window + usage.own.sum(now),
            others.newerHalf + usage.own.newerHalfSum(now),
            this->peerDemand(organisation, peer, now)
                + usage.demand.sum(now) / this->demandSeconds(now),
            !this->recentlyStarted(now)};
}

auto QuotaLimiter::setAlivePeers(std::set<std::uint64_t> incarnations, Duration delay) -> void
{
    this->alivePeers = std::move(incarnations);
    this->propagationDelay = delay;
}

auto QuotaLimiter::ownUsage(std::uint32_t organisation, double pending, Instant now)
    -> OrganisationUsage
{
    auto &usage = this->usageOf(organisation);
    return {organisation,
            usage.ownTotalUnits,
            usage.own.sum(now),
            this->recentlyStarted(now) ? 0 : this->fleetUsage(organisation, usage, 1, now).window,
            usage.demand.sum(now) / this->demandSeconds(now),
            pending,
            usage.own.newerHalfSum(now)};
}

auto QuotaLimiter::ownUsages(Instant now) -> std::vector<OrganisationUsage>
{
    std::vector<OrganisationUsage> result;
    for (auto &[organisation, usage] : this->usages) {
        if (usage.ownTotalUnits > 0 || usage.demand.sum(now) > 0) {
            result.push_back(this->ownUsage(organisation, 0, now));
        }
    }
    return result;
}

auto QuotaLimiter::expire(Instant now) -> void
{
    for (auto &[organisation, peers] : this->peerUsages) {
        std::erase_if(peers, [&](const auto &entry) {
            return now - entry.second.reportedAt > PeerRetentionTime;
        });
    }
    std::erase_if(this->peerUsages, [](const auto &entry) { return entry.second.empty(); });
}

} // namespace banyanring::fleet
