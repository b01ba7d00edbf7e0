/** @file store_watch_election.cpp Elects the nodes that watch the store on behalf of the fleet. */
#include "banyanring/fleet/store_watch_election.h"

#include <algorithm>

namespace banyanring::fleet {

namespace {

using std::chrono::milliseconds;

/** From this number of domains on, one watcher each leaves two when one is lost. */
constexpr std::size_t SingleWatcherDomains = 3;
/**
 * After a start, gossip of the others arrives within this time; a whole fleet may start at once.
 */
constexpr Duration StartupDelay = milliseconds(300);
/** Delay between one node and the next, by rank. */
constexpr Duration TakeoverStep = milliseconds(300);
/**
 * Delay while higher-ranked nodes fail to reach the store: it is down, and further calls only add
 * load.
 */
constexpr Duration OutageTakeoverStep = milliseconds(1500);
constexpr std::size_t MaxTakeoverSteps = 6; ///< Limits the delay of the lowest-ranked node.
/**
 * Servers write all the time, and each watcher sends their changes about twice a second. Together
 * with a takeover, this has to fit into the time after which a server that left gets no requests.
 */
constexpr Duration MinOverdueTime = milliseconds(1100);
constexpr int OverdueIntervals = 2; ///< Intervals between changes after which more are overdue.
/** Changes within this time may be copies that were relayed on different paths. */
constexpr Duration MinChangesInterval = milliseconds(200);
/** Gossip tells within this time whether the silent watchers are still alive. */
constexpr Duration SilentTakeoverTime = std::chrono::seconds(5);
/** Other nodes may be about to step down as well. */
constexpr Duration StepDownDelay = milliseconds(1500);

} // namespace

StoreWatchElection::StoreWatchElection(const ProcessSettings &settings, Instant now)
    : self(settings.peers.text()), domain(settings.domain), startedAt(now)
{
}

auto StoreWatchElection::countDomainPeers(const FleetMembers &members, std::uint64_t ownEra,
                                          Instant now) const -> DomainPeers
{
    const auto ownRank = mix64(hashName(this->self));
    DomainPeers others;
    std::set<std::string_view> domains{this->domain};
    for (const auto *member : members.aliveMembers(now)) {
        const auto &status = member->status;
        const bool sameDomain = status.domain == this->domain;
        if (!sameDomain && domains.size() < SingleWatcherDomains) {
            domains.insert(status.domain);
        }
        if (!sameDomain || status.phase == NodePhase::Draining
            || mix64(member->addressHash) < ownRank) {
            continue;
        }
        ++others.higherRanked;
        // A node of an older era, such as one of the previous release, sends no changes of this
        // one.
        others.reachingStore += status.storeReachable && status.storeEra >= ownEra ? 1 : 0;
        others.failing += status.watchesStore && !status.storeReachable ? 1 : 0;
    }
    others.requiredWatchers = domains.size() < SingleWatcherDomains ? 2 : 1;
    return others;
}

auto StoreWatchElection::noteChanges(Instant now) -> void
{
    const auto interval = now - this->changesAt.value_or(now);
    if (interval >= MinChangesInterval) {
        this->changesInterval = interval;
    }
    this->changesAt = now;
}

auto StoreWatchElection::changesOverdue(Instant now) const -> bool
{
    return this->changesAt
           && now - *this->changesAt
                  > std::max<Duration>(MinOverdueTime, OverdueIntervals * this->changesInterval);
}

auto StoreWatchElection::update(const FleetMembers &members, std::uint64_t ownEra, Instant now)
    -> bool
{
    const auto others = this->countDomainPeers(members, ownEra, now);
    const bool tooFewReach = others.reachingStore < others.requiredWatchers;
    const bool isOverdue = !tooFewReach && this->changesOverdue(now);
    // The silent watchers themselves are not waited for.
    const auto firstRank = others.requiredWatchers - (isOverdue ? 0 : 1);
    const auto nodesAhead = others.higherRanked - std::min(others.higherRanked, firstRank);
    // The store may be away as well, and a large fleet must not try all at once.
    const bool shouldWatch = tooFewReach || (isOverdue && nodesAhead < MaxTakeoverSteps)
                             || (this->watching && now < this->watchUntil);
    if (shouldWatch == this->watching) {
        this->changeDueSince.reset();
        return this->watching;
    }
    if (!this->changeDueSince) {
        this->changeDueSince = now;
    }
    Duration delay = StepDownDelay;
    if (shouldWatch) {
        const auto step = others.failing > 0 ? OutageTakeoverStep : TakeoverStep;
        delay = step * static_cast<std::int64_t>(std::min(nodesAhead, MaxTakeoverSteps));
    }
    if (now - *this->changeDueSince >= delay && now - this->startedAt >= StartupDelay) {
        this->watching = shouldWatch;
        this->changeDueSince.reset();
        if (isOverdue) {
            this->watchUntil = now + SilentTakeoverTime;
        }
    }
    return this->watching;
}

} // namespace banyanring::fleet
