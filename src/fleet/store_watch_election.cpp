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
 * Delay while requests of higher-ranked nodes fail, and for nodes ranked below the successors: the
 * store may be down, and further calls only add load.
 */
constexpr Duration OutageTakeoverStep = milliseconds(1500);
constexpr std::size_t MaxTakeoverSteps = 6; ///< Limits the delay of the lowest-ranked node.
/** Several lost rounds. Together with a takeover, well within the time for a server to drain. */
constexpr Duration WatcherTimeout = milliseconds(1000);
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
    const auto ownRank = watchRank(hashName(this->self));
    DomainPeers others;
    DomainPeers silent; // Watchers that only those who are not their successors take for alive.
    std::set<std::string_view> domains{this->domain};
    for (const auto *member : members.aliveMembers(now)) {
        const auto &status = member->status;
        const bool sameDomain = status.domain == this->domain;
        if (!sameDomain && domains.size() < SingleWatcherDomains) {
            domains.insert(status.domain);
        }
        if (!sameDomain || status.phase == NodePhase::Draining
            || watchRank(member->addressHash) < ownRank) {
            continue;
        }
        const bool isSilent = status.watchesStore && now - member->issuedAt >= WatcherTimeout;
        auto &counts = isSilent ? silent : others;
        ++counts.higherRanked;
        // A node of an older era, such as one of the previous release, sends no changes of this
        // one.
        counts.reachingStore += status.storeReachable && status.storeEra >= ownEra ? 1 : 0;
        counts.failing += status.failsToReachStore() ? 1 : 0;
    }
    if (others.higherRanked >= Successors) {
        others.higherRanked += silent.higherRanked;
        others.reachingStore += silent.reachingStore;
        others.failing += silent.failing;
    }
    others.requiredWatchers = domains.size() < SingleWatcherDomains ? 2 : 1;
    return others;
}

auto StoreWatchElection::update(const FleetMembers &members, std::uint64_t ownEra, Instant now)
    -> bool
{
    const auto others = this->countDomainPeers(members, ownEra, now);
    const bool shouldWatch = others.reachingStore < others.requiredWatchers;
    if (shouldWatch == this->watching) {
        this->changeDueSince.reset();
        return this->watching;
    }
    if (!this->changeDueSince) {
        this->changeDueSince = now;
    }
    Duration delay = StepDownDelay;
    if (shouldWatch) {
        const auto nodesAhead = others.higherRanked < others.requiredWatchers
                                    ? 0
                                    : others.higherRanked - others.requiredWatchers + 1;
        const auto step =
            others.failing > 0 || nodesAhead > Successors ? OutageTakeoverStep : TakeoverStep;
        delay = step * static_cast<std::int64_t>(std::min(nodesAhead, MaxTakeoverSteps));
    }
    if (now - *this->changeDueSince >= delay && now - this->startedAt >= StartupDelay) {
        this->watching = shouldWatch;
        this->changeDueSince.reset();
    }
    return this->watching;
}

} // namespace banyanring::fleet
