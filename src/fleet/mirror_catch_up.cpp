/** @file mirror_catch_up.cpp Decides how a node catches up with changes that it missed. */
#include "banyanring/fleet/mirror_catch_up.h"

#include <algorithm>

namespace banyanring::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration StaleTimeout = milliseconds(300); ///< Changes usually arrive sooner.
/** If the store has not responded by then, a stale node fetches a peer's mirror. */
constexpr Duration CatchUpTimeout = milliseconds(400);
constexpr Duration PeerFetchInterval = milliseconds(700); ///< Between fetches from peers.
/** Peers that have the contents of a new era answer sooner; otherwise the store is read. */
constexpr Duration EraStoreDelay = milliseconds(1500);
/** Bounds how many nodes fetch a mirror at a time. */
constexpr Duration FetchSpreadPerMember = milliseconds(5);
/** After this time, a target that no alive peer has reached is given up: its peer has stopped. */
constexpr Duration TargetTimeout = seconds(3);
/** A new configuration usually arrives sooner as a change of the store. */
constexpr Duration ConfigLagTimeout = milliseconds(600);
/** Limits the fetches of a configuration that this node cannot use. */
constexpr Duration MaxConfigFetchDelay = seconds(30);

/** @return The newest position that an alive peer has reached. */
auto newestPosition(const FleetMembers &members, Instant now) -> StorePosition
{
    StorePosition newest;
    for (const auto *member : members.aliveMembers(now)) {
        newest = std::max(newest, member->status.storePosition());
    }
    return newest;
}

} // namespace

auto MirrorCatchUp::update(const Progress &own, const FleetMembers &members, Instant now) -> void
{
    const auto newest = newestPosition(members, now);
    const bool reached = own.position >= this->target;
    const bool abandoned =
        this->staleSince && newest < this->target && now - *this->staleSince > TargetTimeout;
    if (reached || abandoned) {
        this->staleSince.reset();
    }
    const bool isNews = !this->staleSince || !own.isLoaded || newest.era > this->target.era;
    if (newest > own.position && isNews) {
        this->setTarget(own, newest, members, now);
    }
    this->updateConfigLag(own, members, now);
}

auto MirrorCatchUp::setTarget(const Progress &own, StorePosition position,
                              const FleetMembers &members, Instant now) -> void
{
    if (!this->staleSince || position.era > this->target.era) {
        this->staleSince = now;
        this->eraFetchAt = now + this->randomDelay(members, now);
    }
    this->target = position;
    if (!own.isLoaded) {
        this->eraFetchAt = now;
    }
}

auto MirrorCatchUp::noteUnreachable(const Progress &own, StorePosition announced,
                                    const FleetMembers &members, Instant now) -> bool
{
    if (!own.isLoaded || announced <= own.position) {
        return false;
    }
    if (announced.era > own.position.era) {
        const bool isNews = !this->staleSince || announced.era > this->target.era;
        if (isNews) {
            this->setTarget(own, announced, members, now);
        }
        return isNews;
    }
    // What the batch lacks will not arrive in another one, so catch up without waiting.
    if (!this->staleSince || announced > this->target) {
        this->target = announced;
    }
    this->staleSince = std::min(this->staleSince.value_or(now), now - StaleTimeout);
    return false;
}

auto MirrorCatchUp::lacksEra(const Progress &own) const -> bool
{
    return this->staleSince && this->target.era > own.position.era;
}

auto MirrorCatchUp::shouldReadStore(const Progress &own, Instant now) const -> bool
{
    if (!own.isLoaded || !this->staleSince) {
        return false;
    }
    return this->lacksEra(own) ? now >= this->eraFetchAt + EraStoreDelay
                               : now - *this->staleSince >= StaleTimeout;
}

auto MirrorCatchUp::updateConfigLag(const Progress &own, const FleetMembers &members, Instant now)
    -> void
{
    if (!own.isLoaded || this->peersWithNewerConfig(own, members, now).empty()) {
        this->configFetchAt.reset();
        return;
    }
    if (!this->configFetchAt || this->laggingVersion != own.configVersion) {
        this->laggingVersion = own.configVersion;
        this->configFetchDelay = ConfigLagTimeout;
        this->configFetchAt = now + ConfigLagTimeout + this->randomDelay(members, now);
    }
}

auto MirrorCatchUp::choosePeer(const Progress &own, const FleetMembers &members, Instant now)
    -> std::optional<std::string>
{
    if (now < this->nextFetchAt) {
        return std::nullopt;
    }
    auto peers = this->peersWithTarget(own, members, now);
    if (peers.empty() && this->configFetchAt && now >= *this->configFetchAt) {
        peers = this->peersWithNewerConfig(own, members, now);
        this->configFetchDelay = std::min(MaxConfigFetchDelay, 2 * this->configFetchDelay);
        this->configFetchAt = now + this->configFetchDelay;
    }
    if (peers.empty()) {
        return std::nullopt;
    }
    auto untriedPeers = peers;
    std::erase_if(untriedPeers, [this](const Member *member) {
        return this->failedPeers.contains(member->status.peerAddress);
    });
    if (untriedPeers.empty()) {
        this->failedPeers.clear();
    } else {
        peers = std::move(untriedPeers);
    }
    this->nextFetchAt = now + PeerFetchInterval;
    return peers.at(this->random() % peers.size())->status.peerAddress;
}

auto MirrorCatchUp::peersWithTarget(const Progress &own, const FleetMembers &members,
                                    Instant now) const -> Peers
{
    if (!this->staleSince) {
        return {};
    }
    const bool lacksEra = this->lacksEra(own);
    const bool isDue = !own.isLoaded
                       || (lacksEra ? now >= this->eraFetchAt
                                    : now - *this->staleSince > StaleTimeout + CatchUpTimeout);
    Peers peers;
    if (!isDue) {
        return peers;
    }
    const auto alive = members.aliveMembers(now);
    std::copy_if(alive.begin(), alive.end(), std::back_inserter(peers), [&](const Member *member) {
        const auto position = member->status.storePosition();
        return lacksEra ? position.era >= this->target.era : position >= this->target;
    });
    return peers;
}

auto MirrorCatchUp::peersWithNewerConfig(const Progress &own, const FleetMembers &members,
                                         Instant now) const -> Peers
{
    Peers peers;
    const auto alive = members.aliveMembers(now);
    std::copy_if(alive.begin(), alive.end(), std::back_inserter(peers), [&](const Member *member) {
        return member->status.configVersion > own.configVersion;
    });
    return peers;
}

auto MirrorCatchUp::onFetchFailed(const std::string &peer) -> void
{
    ++this->fetchFailures;
    this->failedPeers.insert(peer);
    this->nextFetchAt = Instant(0);
}

auto MirrorCatchUp::onFetched() -> void
{
    this->fetchFailures = 0;
    this->failedPeers.clear();
}

auto MirrorCatchUp::randomDelay(const FleetMembers &members, Instant now) -> Duration
{
    const auto spread = FetchSpreadPerMember * members.aliveMembers(now).size();
    return Duration(
        static_cast<std::int64_t>(this->random() % static_cast<std::uint64_t>(spread.count() + 1)));
}

} // namespace banyanring::fleet
