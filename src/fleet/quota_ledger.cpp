/** @file quota_ledger.cpp What the fleet has admitted of each organisation. */
#include "banyanring/fleet/quota_ledger.h"

#include <algorithm>

namespace banyanring::fleet {

namespace {

/** Part of the tolerated overshoot that is used at most, and at least. */
constexpr double MostTolerance = 0.9;
constexpr double CutTolerance = 0.6; ///< Instead, as groups of a partition cannot hear each other.
constexpr double LeastTolerance = 0.3;
/** Two groups of a partition may both count themselves as the larger one for a moment. */
constexpr double WholePart = 0.999; ///< From here no node is missing.
constexpr double HalfPart = 0.5;
constexpr double LargerGroupExtra = 0.05; ///< What the larger group uses of the others' part.
/** Part of a window's limit that may go in half of it: a restart forgets the other half only. */
constexpr double HalfWindowPart = 0.7;
/** A total that a keeper told counts for so long; reports come several times within it. */
constexpr Duration ToldLifetime = std::chrono::seconds(1);
/** Nodes that ask at the same time do not see each other's requests; keepers may be far. */
constexpr Duration LeastLag = std::chrono::milliseconds(60);
/** What a peer asked about counts as admitted until it reports again or could have. */
constexpr Duration PendingLifetime = std::chrono::milliseconds(250);
constexpr Duration NearTime = std::chrono::seconds(1); ///< Demand that must fit to not ask first.
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
constexpr Duration LeastRetryAfter = std::chrono::milliseconds(200); ///< Below, a retry is early.

/** @return Seconds with fractions. */
auto secondsOf(Duration time) -> double
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

auto QuotaLedger::account(std::uint32_t organisation) -> Account &
{
    const WindowCounter empty(this->bounds.quotaWindow);
    return this->accounts
        .try_emplace(organisation,
                     Account{empty, empty, WindowCounter(AskedWindow), false, 0, 0, {}})
        .first->second;
}

auto QuotaLedger::windowLimit(const OrganisationRule &organisation) const -> double
{
    return organisation.ratePerSecond * secondsOf(this->bounds.quotaWindow) + organisation.burst;
}

auto QuotaLedger::toldAge(const Account &held, Instant now) const -> std::optional<Duration>
{
    std::optional<Duration> age;
    for (const auto &[keeper, told] : held.told) {
        if (told.total.complete && now - told.at < ToldLifetime) {
            age = std::min(age.value_or(ToldLifetime), now - told.at);
        }
    }
    return age;
}

auto QuotaLedger::usableLimit(const OrganisationRule &organisation, Account &held, double part,
                              Instant now) const -> double
{
    const double limit = this->windowLimit(organisation);
    const double limitPart = part < HalfPart ? part : std::min(1.0, part + LargerGroupExtra);
    const double slack = organisation.countsTokens ? this->bounds.quotaSlack : 0;
    const double tolerance = limit * this->bounds.quotaOvershoot + slack;
    const double demand = this->demand(hashName(organisation.name), held, now);
    const auto told = this->toldAge(held, now);
    if (this->young(now) && !told) {
        const bool unmeasured = now - this->startedAt < AskedWindow;
        return unmeasured || demand * secondsOf(this->bounds.quotaWindow) > limit * part
                   ? AssumedSpent * limit * limitPart
                   : limit * limitPart + YoungTolerance * tolerance * part;
    }
    const double unheard = demand * secondsOf(told ? std::max(LeastLag, *told) : this->gossipLag);
    const double most = part < WholePart ? CutTolerance : MostTolerance;
    return limit * limitPart
           + std::max(LeastTolerance * tolerance, most * tolerance - unheard) * part;
}

auto QuotaLedger::heard(std::uint32_t organisation, std::uint64_t except, double part, Instant now)
    -> Sums
{
    Sums result;
    for (auto &[incarnation, spend] : this->peerSpends[organisation]) {
        // A silent peer that was cut off keeps to its own part of the limit; while none is
        // missing, a silent one has restarted.
        if (incarnation != except && (part >= WholePart || this->contact.contains(incarnation))) {
            const double pending = now - spend.at < PendingLifetime ? spend.pending : 0;
            result.window += spend.window.sum(now) + pending;
            result.recent += spend.window.recentSum(now) + pending;
        }
    }
    return result;
}

auto QuotaLedger::sums(std::uint32_t organisation, Account &held, double part, Instant now) -> Sums
{
    auto result = this->heard(organisation, 0, part, now);
    for (const auto &[keeper, told] : held.told) {
        if (now - told.at < ToldLifetime) {
            result.window = std::max(result.window, told.total.window);
            result.recent = std::max(result.recent, told.total.recent);
        }
    }
    if (!this->toldAge(held, now)) {
        result.window += part * held.before.sum(now);
    }
    result.window += held.own.sum(now);
    result.recent += held.own.recentSum(now);
    return result;
}

auto QuotaLedger::askedSeconds(Instant now) const -> double
{
    return secondsOf(std::clamp(now - this->startedAt, LeastAskedTime, AskedWindow));
}

auto QuotaLedger::peersDemand(std::uint32_t organisation, std::uint64_t except, Instant now) const
    -> double
{
    double perSecond = 0;
    const auto told = this->peerSpends.find(organisation);
    if (told == this->peerSpends.end()) {
        return perSecond;
    }
    for (const auto &[incarnation, spend] : told->second) {
        if (incarnation != except && now - spend.at < std::max(AskedWindow, this->gossipLag)) {
            perSecond += spend.askedPerSecond;
        }
    }
    return perSecond;
}

auto QuotaLedger::demand(std::uint32_t organisation, Account &held, Instant now) const -> double
{
    double peers = this->peersDemand(organisation, 0, now);
    for (const auto &[keeper, told] : held.told) {
        if (now - told.at < ToldLifetime) {
            peers = std::max(peers, told.total.askedPerSecond);
        }
    }
    return peers + held.asked.sum(now) / this->askedSeconds(now);
}

auto QuotaLedger::noteLimit(const OrganisationRule &organisation) -> void
{
    const auto id = hashName(organisation.name);
    const auto found = this->accounts.find(id);
    if (found == this->accounts.end()) {
        return;
    }
    auto &held = found->second;
    const double limit = this->windowLimit(organisation);
    if (limit < held.limit) {
        held.own.clear();
        held.before.clear();
        held.told.clear();
        for (auto &[incarnation, spend] : this->peerSpends[id]) {
            spend.window.clear();
        }
    }
    if (held.limit == 0 && !held.beforeTold) {
        held.before.spread(AssumedSpent * limit, this->startedAt);
    }
    held.limit = limit;
}

auto QuotaLedger::nearLimit(const OrganisationRule &organisation, double units, double part,
                            Instant now) -> bool
{
    if (organisation.ratePerSecond <= 0) {
        return false;
    }
    const auto id = hashName(organisation.name);
    auto &held = this->account(id);
    this->noteLimit(organisation);
    const auto spent = this->sums(id, held, part, now);
    const double limit = this->windowLimit(organisation) * part;
    const double coming = units + this->demand(id, held, now) * secondsOf(NearTime);
    return !this->toldAge(held, now) || spent.window + coming > limit
           || spent.recent + coming > HalfWindowPart * limit;
}

auto QuotaLedger::admit(const OrganisationRule &organisation, double units, double part,
                        Instant now) -> QuotaDecision
{
    QuotaDecision decision;
    const auto id = hashName(organisation.name);
    auto &held = this->account(id);
    held.asked.add(units, now);
    if (organisation.ratePerSecond > 0) {
        this->noteLimit(organisation);
        const auto spent = this->sums(id, held, part, now);
        decision.usable = this->usableLimit(organisation, held, part, now);
        decision.spent = spent.window;
        decision.toldAge = this->toldAge(held, now).value_or(Duration(-1));
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
    auto &held = this->account(hashName(organisation));
    held.own.add(-units, now);
    held.ownTotal -= units;
}

auto QuotaLedger::retryAfter(const OrganisationRule &organisation, double units, Instant now)
    -> Duration
{
    auto &held = this->account(hashName(organisation.name));
    const auto spent = this->sums(hashName(organisation.name), held, 1, now);
    const double excess = spent.window + units - this->windowLimit(organisation);
    // The others' admissions fall out of the window at the pace of this node's own.
    const double ownExcess = excess * held.own.sum(now) / std::max(1.0, spent.window);
    return std::max(LeastRetryAfter, held.own.timeToShed(ownExcess, now));
}

auto QuotaLedger::takePeer(std::uint64_t peer, const std::vector<SpendStatement> &spends,
                           Instant now) -> void
{
    for (const auto &spend : spends) {
        const auto [known, added] = this->peerSpends[spend.organisation].try_emplace(
            peer, PeerSpend{WindowCounter(this->bounds.quotaWindow)});
        auto &held = known->second;
        const double fresh = spend.units - held.total;
        held.total = spend.units;
        held.askedPerSecond = spend.askedPerSecond;
        held.pending = spend.pending;
        held.at = now;
        if (!added) {
            held.window.add(fresh, now);
        } else if (!this->young(now)) {
            held.window.spread(spend.window, now);
        } else if (spend.fleetRecent > 0) {
            // A young node has assumed what went before; an older peer knows it.
            auto &own = this->account(spend.organisation);
            if (!own.beforeTold) {
                own.beforeTold = true;
                own.before.clear();
                own.before.spread(spend.fleetRecent, now);
            }
        }
    }
}

auto QuotaLedger::takeTotal(std::uint32_t keeper, const SpendTotal &total, Instant now) -> void
{
    auto &told = this->account(total.organisation).told;
    std::erase_if(told, [now](const auto &item) { return now - item.second.at >= ToldLifetime; });
    told[keeper] = {total, now};
}

auto QuotaLedger::totalFor(std::uint32_t organisation, std::uint64_t asker, double part,
                           Instant now) -> SpendTotal
{
    auto &held = this->account(organisation);
    const auto others = this->heard(organisation, asker, part, now);
    return {
        organisation, others.window + held.own.sum(now), others.recent + held.own.recentSum(now),
        this->peersDemand(organisation, asker, now) + held.asked.sum(now) / this->askedSeconds(now),
        !this->young(now)};
}

auto QuotaLedger::noteContact(std::set<std::uint64_t> incarnations, Duration lag) -> void
{
    this->contact = std::move(incarnations);
    this->gossipLag = lag;
}

auto QuotaLedger::ownSpend(std::uint32_t organisation, double pending, Instant now)
    -> SpendStatement
{
    auto &held = this->account(organisation);
    return {organisation,
            held.ownTotal,
            held.own.sum(now),
            this->young(now) ? 0 : this->sums(organisation, held, 1, now).window,
            held.asked.sum(now) / this->askedSeconds(now),
            pending};
}

auto QuotaLedger::ownSpends(Instant now) -> std::vector<SpendStatement>
{
    std::vector<SpendStatement> result;
    for (auto &[organisation, held] : this->accounts) {
        if (held.ownTotal > 0 || held.asked.sum(now) > 0) {
            result.push_back(this->ownSpend(organisation, 0, now));
        }
    }
    return result;
}

auto QuotaLedger::expire(Instant now) -> void
{
    for (auto &[organisation, peers] : this->peerSpends) {
        std::erase_if(peers, [&](const auto &item) { return now - item.second.at > PeerMemory; });
    }
    std::erase_if(this->peerSpends, [](const auto &item) { return item.second.empty(); });
}

} // namespace banyanring::fleet
