/** @file limit_shares.cpp This node's shares of the fleet-wide limits. */
#include "banyanring/fleet/limit_shares.h"

#include <algorithm>
#include <cmath>

namespace banyanring::fleet {

namespace {

/** Part of the tolerated overshoot that is used at most, and at least. */
constexpr double MostTolerance = 0.9;
constexpr double LeastTolerance = 0.3;
/** Two groups of a partition may both count themselves as the larger one for a moment. */
constexpr double WholePart = 0.999; ///< From here no node is missing.
/** A peer in contact is heard many times within it. */
constexpr Duration HeardLately = std::chrono::seconds(2);
constexpr double HalfPart = 0.5;
constexpr double LargerGroupExtra = 0.05; ///< What the larger group uses of the others' part.
/** Part of a window's limit that may go in half of it: a restart forgets the other half only. */
constexpr double HalfWindowPart = 0.7;
/** What is asked for within it may be admitted by several nodes before they hear of each other. */
constexpr Duration GossipLag = std::chrono::milliseconds(500);
constexpr Duration AskedWindow = std::chrono::seconds(2); ///< Measures the present demand.
/** Longer than a partition usually lasts; a peer that comes back later counts as a new one. */
constexpr Duration PeerMemory = std::chrono::seconds(60);
/**
 * Part of a limit that a new process assumes spent, evenly, before its start. While more than the
 * limit is asked for it admits just what falls out of the window.
 */
constexpr double AssumedSpent = 0.8;
constexpr double YoungTolerance = 0.2; ///< Part of the tolerance that it uses in calm times.
/** The demand at a new process is averaged over this at least. */
constexpr Duration LeastAskedTime = std::chrono::milliseconds(500);
constexpr double RetryMargin = 0.8; ///< Part of the share used; restarted nodes count anew.
constexpr double ColdMargin = 0.85; ///< Part of the cold bound used; clocks of bursts differ.
constexpr std::size_t MostColdOwners = 5; ///< Few enough to leave each several requests a second.
constexpr Duration ColdWindow = std::chrono::milliseconds(1050); ///< The bound's second, jittered.
constexpr Duration LeastRetryAfter = std::chrono::milliseconds(200); ///< Below, a retry is early.

} // namespace

auto WindowCounter::advance(Instant now) -> void
{
    const std::int64_t number = now / this->bucketLength;
    const auto size = static_cast<std::int64_t>(this->amounts.size());
    for (auto next = std::max(this->newest + 1, number - size + 1); next <= number; ++next) {
        this->amounts.at(static_cast<std::size_t>(next % size)) = 0;
    }
    this->newest = std::max(this->newest, number);
}

auto WindowCounter::add(double amount, Instant now) -> void
{
    this->advance(now);
    const auto size = static_cast<std::int64_t>(this->amounts.size());
    this->amounts.at(static_cast<std::size_t>(this->newest % size)) += amount;
}

auto WindowCounter::sum(Instant now) -> double
{
    this->advance(now);
    double result = 0;
    for (const auto amount : this->amounts) {
        result += amount;
    }
    return result;
}

auto WindowCounter::recentSum(Instant now) -> double
{
    this->advance(now);
    const auto size = static_cast<std::int64_t>(this->amounts.size());
    double result = 0;
    for (std::int64_t age = 0; age <= Buckets / 2 && age <= this->newest; ++age) {
        result += this->amounts.at(static_cast<std::size_t>((this->newest - age) % size));
    }
    return result;
}

auto WindowCounter::spread(double amount, Instant now) -> void
{
    this->advance(now);
    for (auto &bucket : this->amounts) {
        bucket += amount / static_cast<double>(this->amounts.size());
    }
}

auto WindowCounter::timeToShed(double amount, Instant now) -> Duration
{
    this->advance(now);
    const auto size = static_cast<std::int64_t>(this->amounts.size());
    const auto nextBucket = (this->newest + 1) * this->bucketLength - now;
    for (std::int64_t age = size - 1; age >= 0; --age) {
        const auto number = this->newest - age;
        amount -= number < 0 ? 0 : this->amounts.at(static_cast<std::size_t>(number % size));
        if (amount <= 0) {
            return nextBucket + (size - 1 - age) * this->bucketLength;
        }
    }
    return size * this->bucketLength;
}

auto QuotaLedger::account(std::uint32_t organisation) -> Account &
{
    const WindowCounter empty(this->bounds.quotaWindow);
    return this->accounts
        .try_emplace(organisation, Account{empty, empty, false, WindowCounter(AskedWindow)})
        .first->second;
}

auto QuotaLedger::windowLimit(const OrganisationRule &organisation) const -> double
{
    const auto window = std::chrono::duration<double>(this->bounds.quotaWindow).count();
    return organisation.ratePerSecond * window + organisation.burst;
}

auto QuotaLedger::usableLimit(const OrganisationRule &organisation, Account &held, double part,
                              Instant now) const -> double
{
    const double limit = this->windowLimit(organisation);
    const double limitPart = part < HalfPart ? part : std::min(1.0, part + LargerGroupExtra);
    const double slack = organisation.countsTokens ? this->bounds.quotaSlack : 0;
    const double tolerance = limit * this->bounds.quotaOvershoot + slack;
    const double demand = this->demand(nameId(organisation.name), held, now);
    if (now - this->startedAt < this->bounds.quotaWindow) {
        const auto window = std::chrono::duration<double>(this->bounds.quotaWindow).count();
        return demand * window > limit * part
                   ? AssumedSpent * limit * limitPart
                   : limit * limitPart + YoungTolerance * tolerance * part;
    }
    const double unheard = demand * std::chrono::duration<double>(GossipLag).count();
    return limit * limitPart
           + std::max(LeastTolerance * tolerance, MostTolerance * tolerance - unheard) * part;
}

auto QuotaLedger::sums(std::uint32_t organisation, Account &held, double part, Instant now) -> Sums
{
    Sums result{held.own.sum(now) + part * held.before.sum(now), held.own.recentSum(now)};
    for (auto peer = this->peerSpends.lower_bound({organisation, 0});
         peer != this->peerSpends.end() && peer->first.first == organisation; ++peer) {
        // A silent peer that was cut off keeps to its own part of the limit; while none is
        // missing, a silent one has restarted.
        if (part >= WholePart || now - peer->second.at < HeardLately) {
            result.window += peer->second.window.sum(now);
            result.recent += peer->second.window.recentSum(now);
        }
    }
    return result;
}

auto QuotaLedger::forgetPeers(std::uint32_t organisation) -> void
{
    for (auto peer = this->peerSpends.lower_bound({organisation, 0});
         peer != this->peerSpends.end() && peer->first.first == organisation; ++peer) {
        peer->second.window.clear();
    }
}

auto QuotaLedger::askedSeconds(Instant now) const -> double
{
    const auto counted = std::clamp(now - this->startedAt, LeastAskedTime, AskedWindow);
    return std::chrono::duration<double>(counted).count();
}

auto QuotaLedger::demand(std::uint32_t organisation, Account &held, Instant now) const -> double
{
    double perSecond = held.asked.sum(now) / this->askedSeconds(now);
    for (auto peer = this->peerSpends.lower_bound({organisation, 0});
         peer != this->peerSpends.end() && peer->first.first == organisation; ++peer) {
        if (now - peer->second.at < AskedWindow) {
            perSecond += peer->second.askedPerSecond;
        }
    }
    return perSecond;
}

auto QuotaLedger::admit(const OrganisationRule &organisation, double units, double part,
                        Instant now) -> QuotaDecision
{
    QuotaDecision decision;
    auto &held = this->account(nameId(organisation.name));
    held.asked.add(units, now);
    if (organisation.ratePerSecond > 0) {
        const double limit = this->windowLimit(organisation);
        if (held.limit == 0 && !held.beforeTold
            && now - this->startedAt < this->bounds.quotaWindow) {
            held.before.spread(AssumedSpent * limit, this->startedAt);
        }
        if (limit < held.limit) {
            // What was admitted under the higher limit was allowed.
            held.own.clear();
            held.before.clear();
            this->forgetPeers(nameId(organisation.name));
        }
        held.limit = limit;
        const auto spent = this->sums(nameId(organisation.name), held, part, now);
        decision.usable = this->usableLimit(organisation, held, part, now);
        decision.spent = spent.window;
        decision.admitted = spent.window + units <= decision.usable
                            && spent.recent + units <= HalfWindowPart * decision.usable;
        if (!decision.admitted) {
            return decision;
        }
    }
    held.own.add(units, now);
    held.ownTotal += units;
    return decision;
}

auto QuotaLedger::giveBack(std::string_view organisation, double units, Instant now) -> void
{
    auto &held = this->account(nameId(organisation));
    held.own.add(-units, now);
    held.ownTotal -= units;
}

auto QuotaLedger::retryAfter(const OrganisationRule &organisation, double units, Instant now)
    -> Duration
{
    auto &held = this->account(nameId(organisation.name));
    const auto spent = this->sums(nameId(organisation.name), held, 1, now);
    const double excess = spent.window + units - this->windowLimit(organisation);
    // The others' admissions fall out of the window at the pace of this node's own.
    const double ownExcess = excess * held.own.sum(now) / std::max(1.0, spent.window);
    return std::max(LeastRetryAfter, held.own.timeToShed(ownExcess, now));
}

auto QuotaLedger::takePeer(std::uint64_t peer, const std::vector<SpendStatement> &spends,
                           Instant now) -> void
{
    const bool young = now - this->startedAt < this->bounds.quotaWindow;
    for (const auto &spend : spends) {
        const auto [known, added] =
            this->peerSpends.try_emplace(std::pair(spend.organisation, peer),
                                         PeerSpend{WindowCounter(this->bounds.quotaWindow)});
        const double fresh = spend.units - known->second.total;
        known->second.total = spend.units;
        known->second.askedPerSecond = spend.askedPerSecond;
        known->second.at = now;
        const bool peerYoung = spend.fleetRecent == 0;
        if (added && young && !peerYoung) {
            auto &held = this->account(spend.organisation);
            if (!held.beforeTold) {
                held.beforeTold = true;
                held.before.clear();
                held.before.spread(spend.fleetRecent, now);
            }
        } else if (!added || (!young && peerYoung)) {
            // What a young peer has admitted in all counts; a young node has assumed it already.
            known->second.window.add(fresh, now);
        }
    }
}

auto QuotaLedger::ownSpends(Instant now) -> std::vector<SpendStatement>
{
    const auto seconds = this->askedSeconds(now);
    const bool young = now - this->startedAt < this->bounds.quotaWindow;
    std::vector<SpendStatement> result;
    for (auto &[organisation, held] : this->accounts) {
        if (held.ownTotal > 0 || held.asked.sum(now) > 0) {
            result.push_back({organisation, held.ownTotal,
                              young ? 0 : this->sums(organisation, held, 1, now).window,
                              held.asked.sum(now) / seconds});
        }
    }
    return result;
}

auto QuotaLedger::expire(Instant now) -> void
{
    std::erase_if(this->peerSpends,
                  [&](const auto &item) { return now - item.second.at > PeerMemory; });
}

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
