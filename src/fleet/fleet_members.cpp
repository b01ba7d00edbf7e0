/** @file fleet_members.cpp Fleet membership by gossip. */
#include "banyanring/fleet/fleet_members.h"

#include <algorithm>
#include <utility>

namespace banyanring::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/**
 * Twenty lost gossip rounds; well below the time after which the directory must not list a
 * crashed node.
 */
constexpr Duration AliveTimeout = milliseconds(2000);
constexpr std::size_t AliveTimeoutNodes = 100; ///< Number of nodes up to which it suffices.
/** Covers the slowest of the heartbeats in simulated fleets of 150 to 350 nodes. */
constexpr Duration AliveTimeoutPerNode = milliseconds(10);
/** The directory may list a crashed node for six seconds. */
constexpr Duration MaxAliveTimeout = milliseconds(4000);
/** Longer than a typical partition, so that each side keeps to its own fraction of the limits. */
constexpr Duration RetentionTime = seconds(30);
/**
 * Gossip reaches all nodes within this time; before, more nodes may exist than are known.
 */
constexpr Duration StartupTime = seconds(2);
constexpr std::size_t AssumedFleetSize = 8; ///< Usual number of nodes of a small installation.
/** Interval of the messages to seeds and nodes that are not alive. */
constexpr Duration SeedInterval = milliseconds(500);

/**
 * @param key Hash of what is assigned.
 * @param addressHash hashName of the node's peer address.
 * @return Rank of a node for a key by rendezvous hashing; the highest ranked nodes are chosen.
 */
auto rankOf(std::uint32_t key, std::uint32_t addressHash) -> std::uint64_t
{
    return mix64((static_cast<std::uint64_t>(key) << 32U) ^ addressHash);
}

} // namespace

auto statusStamp(const NodeStatus &status) -> std::uint16_t
{
    const auto access = (status.watchesStore ? 1ULL : 0ULL) | (status.storeReachable ? 2ULL : 0ULL)
                        | (status.storeUntried ? 16ULL : 0ULL);
    const auto phase = static_cast<std::uint64_t>(status.phase);
    return static_cast<std::uint16_t>(
        mix64(mix64(status.incarnation) ^ (status.storeEra << 8U) ^ (phase << 2U) ^ access));
}

auto watchRank(std::uint32_t addressHash) -> std::uint64_t
{
    return mix64(addressHash);
}

FleetMembers::FleetMembers(std::string self, std::vector<std::string> seeds, Instant now,
                           std::string domain)
    : self(std::move(self)), domain(std::move(domain)), seeds(std::move(seeds)), startedAt(now)
{
}

auto FleetMembers::mergeStatus(const NodeStatus &status, Instant now) -> bool
{
    if (status.peerAddress == this->self || status.age > RetentionTime) {
        return false;
    }
    const auto issuedAt = now - status.age;
    auto &member = this->members[status.peerAddress];
    this->membersByHash[hashName(status.peerAddress)] = &member;
    const bool wasAlive = member.status.incarnation != 0 && this->isAlive(member, now);
    const bool sameIncarnation = member.status.incarnation == status.incarnation;
    if (sameIncarnation ? status.sequence <= member.status.sequence : issuedAt <= member.issuedAt) {
        return false;
    }
    const bool samePhase = member.status.phase == status.phase;
    member.status = status;
    member.addressHash = hashName(status.peerAddress);
    member.issuedAt = sameIncarnation ? std::max(member.issuedAt, issuedAt) : issuedAt;
    const bool alive = this->isAlive(member, now);
    if (alive != wasAlive || !sameIncarnation || !samePhase) {
        this->invalidateView();
    }
    return !wasAlive && alive;
}

auto FleetMembers::mergeHeartbeat(const MemberHeartbeat &heartbeat, Instant now) -> bool
{
    if (heartbeat.addressHash == hashName(this->self) || heartbeat.age >= this->aliveTimeout()) {
        return false;
    }
    const auto found = this->membersByHash.find(heartbeat.addressHash);
    if (found == this->membersByHash.end()) {
        return true;
    }
    auto &member = *found->second;
    const auto issuedAt = now - heartbeat.age;
    if (heartbeat.stamp != statusStamp(member.status)) {
        return issuedAt > member.issuedAt;
    }
    const auto newer = static_cast<std::int16_t>(
        heartbeat.sequence - static_cast<std::uint16_t>(member.status.sequence));
    if (newer <= 0) {
        return false; // Received late, perhaps because this process was suspended.
    }
    const bool wasAlive = this->isAlive(member, now);
    member.status.sequence += static_cast<std::uint64_t>(newer);
    member.issuedAt = std::max(member.issuedAt, issuedAt);
    if (!wasAlive) {
        this->invalidateView();
    }
    return false;
}

auto FleetMembers::aliveTimeout() const -> Duration
{
    const auto nodes = this->members.size() + 1;
    const auto additional =
        AliveTimeoutPerNode * static_cast<std::int64_t>(nodes - std::min(nodes, AliveTimeoutNodes));
    return std::min<Duration>(MaxAliveTimeout, AliveTimeout + additional);
}

auto FleetMembers::view(Instant now) const -> const View &
{
    auto &view = this->currentView;
    if (now >= view.computedAt && now < view.validUntil) {
        return view;
    }
    const auto previouslyAlive = std::exchange(view.alive, {});
    view.alive.reserve(this->members.size());
    view.computedAt = now;
    view.validUntil = Never;
    view.candidates.assign(1, {hashName(this->self), this->self});
    for (const auto &[address, member] : this->members) {
        if (!this->isAlive(member, now)) {
            continue;
        }
        view.alive.push_back(&member);
        view.validUntil = std::min(view.validUntil, member.issuedAt + this->aliveTimeout());
        if (member.status.phase == NodePhase::Ready) {
            view.candidates.push_back({member.addressHash, address});
        }
    }
    if (std::exchange(view.outdated, false) || view.alive != previouslyAlive) {
        ++view.generation;
    }
    return view;
}

auto FleetMembers::aliveMembers(Instant now) const -> std::span<const Member *const>
{
    return this->view(now).alive;
}

auto FleetMembers::generation(Instant now) const -> std::uint64_t
{
    return this->view(now).generation;
}

auto FleetMembers::sampleAlive(std::size_t maxCount, std::mt19937_64 &random, Instant now) const
    -> std::vector<const Member *>
{
    const auto alive = this->aliveMembers(now);
    std::vector<const Member *> sampled(alive.begin(), alive.end());
    if (sampled.size() > maxCount) {
        std::shuffle(sampled.begin(), sampled.end(), random);
        sampled.resize(maxCount);
    }
    return sampled;
}

auto FleetMembers::sampleNearby(std::size_t maxCount, std::size_t distantCount,
                                std::mt19937_64 &random, Instant now) const
    -> std::vector<const Member *>
{
    const auto alive = this->aliveMembers(now);
    std::vector<const Member *> sampled(alive.begin(), alive.end());
    if (sampled.size() <= maxCount) {
        return sampled;
    }
    std::shuffle(sampled.begin(), sampled.end(), random);
    const auto distant =
        std::partition(sampled.begin(), sampled.end(), [this](const Member *member) {
            return member->status.domain == this->domain;
        });
    const auto nearCount = std::min(static_cast<std::size_t>(distant - sampled.begin()),
                                    maxCount - std::min(maxCount, distantCount));
    sampled.erase(sampled.begin() + static_cast<std::ptrdiff_t>(nearCount), distant);
    sampled.resize(std::min(maxCount, sampled.size()));
    return sampled;
}

auto FleetMembers::unwatchedDomains(Instant now) const -> std::set<std::string_view>
{
    std::set<std::string_view> domains{this->domain};
    std::set<std::string_view> watched;
    for (const auto *member : this->aliveMembers(now)) {
        const auto &status = member->status;
        domains.insert(status.domain);
        if (status.storeReachable) {
            watched.insert(status.domain);
        }
    }
    for (const auto domain : watched) {
        domains.erase(domain);
    }
    return domains;
}

auto FleetMembers::aliveIncarnations(Instant now) const -> std::set<std::uint64_t>
{
    std::set<std::uint64_t> result;
    for (const auto *member : this->aliveMembers(now)) {
        result.insert(member->status.incarnation);
    }
    return result;
}

auto FleetMembers::fleetSize(Instant now) const -> std::size_t
{
    const auto knownNodes = this->members.size() + 1;
    return now - this->startedAt < StartupTime ? std::max(knownNodes, AssumedFleetSize)
                                               : knownNodes;
}

auto FleetMembers::reachableFraction(Instant now) const -> double
{
    return static_cast<double>(this->aliveMembers(now).size() + 1)
           / static_cast<double>(this->fleetSize(now));
}

auto FleetMembers::isDesignatedSender(std::uint32_t serverHash, std::size_t senders,
                                      Instant now) const -> bool
{
    if (now - this->startedAt < StartupTime) {
        return false;
    }
    const auto ownRank = rankOf(serverHash, hashName(this->self));
    std::size_t higherRanked = 0;
    for (const auto &[address, member] : this->members) {
        higherRanked += rankOf(serverHash, member.addressHash) > ownRank ? 1 : 0;
    }
    return higherRanked < senders;
}

auto FleetMembers::coordinators(std::uint32_t key, std::size_t count, Instant now) const
    -> std::vector<std::string>
{
    using Ranked = std::pair<std::uint64_t, std::string_view>;
    std::vector<Ranked> chosen; // Sorted; few are chosen of many.
    for (const auto &candidate : this->view(now).candidates) {
        const Ranked ranked(rankOf(key, candidate.addressHash), candidate.address);
        if (chosen.size() == count && (count == 0 || ranked < chosen.back())) {
            continue;
        }
        if (chosen.size() == count) {
            chosen.pop_back();
        }
        chosen.insert(std::upper_bound(chosen.begin(), chosen.end(), ranked, std::greater<>()),
                      ranked);
    }
    std::vector<std::string> coordinators;
    coordinators.reserve(chosen.size());
    for (const auto &[rank, address] : chosen) {
        coordinators.emplace_back(address);
    }
    return coordinators;
}

auto FleetMembers::watchSuccessors(std::size_t maxCount, Instant now) const
    -> std::vector<std::string>
{
    const auto ownRank = watchRank(hashName(this->self));
    std::vector<const Member *> lower;
    for (const auto *member : this->aliveMembers(now)) {
        if (member->status.domain == this->domain && member->status.phase != NodePhase::Draining
            && watchRank(member->addressHash) < ownRank) {
            lower.push_back(member);
        }
    }
    const auto count = std::min(maxCount, lower.size());
    std::partial_sort(lower.begin(), lower.begin() + static_cast<std::ptrdiff_t>(count),
                      lower.end(), [](const Member *first, const Member *second) {
                          return watchRank(first->addressHash) > watchRank(second->addressHash);
                      });
    std::vector<std::string> addresses;
    for (std::size_t index = 0; index < count; ++index) {
        addresses.push_back(lower[index]->status.peerAddress);
    }
    return addresses;
}

auto FleetMembers::gossipTargets(std::size_t fanOut, std::size_t distantCount,
                                 std::mt19937_64 &random, Instant now) -> std::vector<std::string>
{
    std::vector<std::string> targets;
    for (const auto *member : this->sampleNearby(fanOut, distantCount, random, now)) {
        targets.push_back(member->status.peerAddress);
    }
    if (now < this->nextSeedAt) {
        return targets;
    }
    this->nextSeedAt = now + SeedInterval;
    // Nodes that are not alive are tried as well: after a partition there may be no other path to
    // them.
    std::vector<std::string> unresponsive;
    std::set<std::string> seedsToTry(this->seeds.begin(), this->seeds.end());
    seedsToTry.erase(this->self);
    for (const auto &[address, member] : this->members) {
        if (this->isAlive(member, now)) {
            seedsToTry.erase(address);
        } else if (!seedsToTry.contains(address)) {
            unresponsive.push_back(address);
        }
    }
    // After the loss of a failure domain these may be many.
    std::shuffle(unresponsive.begin(), unresponsive.end(), random);
    unresponsive.resize(std::min(unresponsive.size(), fanOut));
    targets.insert(targets.end(), unresponsive.begin(), unresponsive.end());
    targets.insert(targets.end(), seedsToTry.begin(), seedsToTry.end());
    return targets;
}

auto FleetMembers::sampleStatuses(std::size_t maxCount, std::mt19937_64 &random, Instant now) const
    -> std::vector<NodeStatus>
{
    std::vector<NodeStatus> statuses;
    for (const auto *member : this->sampleAlive(maxCount, random, now)) {
        statuses.push_back(statusOf(*member, now));
    }
    return statuses;
}

auto FleetMembers::statusOf(const Member &member, Instant now) -> NodeStatus
{
    auto status = member.status;
    status.age = now - member.issuedAt;
    return status;
}

auto FleetMembers::selectHeartbeats(std::size_t maxCount, std::mt19937_64 &random,
                                    Instant now) const -> std::vector<MemberHeartbeat>
{
    const auto alive = this->aliveMembers(now);
    std::vector<const Member *> selected(alive.begin(), alive.end());
    if (selected.size() > maxCount) {
        const auto newestEnd = selected.begin() + static_cast<std::ptrdiff_t>(maxCount / 2);
        std::nth_element(selected.begin(), newestEnd, selected.end(),
                         [](const Member *first, const Member *second) {
                             return first->issuedAt > second->issuedAt;
                         });
        std::shuffle(newestEnd, selected.end(), random);
        selected.resize(maxCount);
    }
    std::vector<MemberHeartbeat> heartbeats;
    heartbeats.reserve(selected.size());
    for (const auto *member : selected) {
        heartbeats.push_back({member->addressHash, statusStamp(member->status),
                              static_cast<std::uint16_t>(member->status.sequence),
                              now - member->issuedAt});
    }
    return heartbeats;
}

auto FleetMembers::findStatuses(std::span<const std::uint32_t> addressHashes, Instant now) const
    -> std::vector<NodeStatus>
{
    std::vector<NodeStatus> statuses;
    for (const auto hash : addressHashes) {
        const auto found = this->membersByHash.find(hash);
        if (found != this->membersByHash.end() && !this->isDoubtful(*found->second, now)) {
            statuses.push_back(statusOf(*found->second, now));
        }
    }
    return statuses;
}

auto FleetMembers::doubtfulMembers(Instant now) const -> std::vector<std::uint32_t>
{
    std::vector<std::uint32_t> hashes;
    for (const auto *member : this->aliveMembers(now)) {
        if (this->isDoubtful(*member, now)) {
            hashes.push_back(member->addressHash);
        }
    }
    return hashes;
}

auto FleetMembers::expire(Instant now) -> void
{
    const auto removed = std::erase_if(this->members, [this, now](const auto &entry) {
        if (now - entry.second.issuedAt <= RetentionTime) {
            return false;
        }
        this->membersByHash.erase(entry.second.addressHash);
        return true;
    });
    if (removed > 0) {
        this->invalidateView();
    }
}

} // namespace banyanring::fleet
