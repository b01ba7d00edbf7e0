/** @file membership.cpp Gossip membership and quorum leases on what a node owns. */
#include "banyanring/core/membership_base.h"

#include <algorithm>
#include <iterator>

namespace banyanring {

namespace {

constexpr std::size_t MaxEpochs = 8; ///< Maximum number of VM lists stored.
/** Age at which a VM list is dropped. */
constexpr Duration EpochRetention = std::chrono::minutes(10);
constexpr Duration PullTimeout = std::chrono::seconds(2); ///< Replies after this time are ignored.
constexpr int ClockDriftDivisor = 50; ///< Clock rates of nodes differ by less than 1/50.

/** @return The smallest majority of @p count nodes. */
auto majorityOf(std::size_t count) -> std::size_t
{
    return count / 2 + 1;
}

/** @return The nodes of @p list that are not draining, sorted. */
auto activeNodesOf(const VmList &list) -> std::vector<NodeId>
{
    std::vector<NodeId> nodes;
    for (const auto &vm : list.vms) {
        if (!vm.draining) {
            nodes.push_back(vm.id);
        }
    }
    std::sort(nodes.begin(), nodes.end());
    return nodes;
}

} // namespace

Membership::Membership(const NodeSettings &nodeSettings, NodeId self, Incarnation incarnation,
                       Instant now)
    : settings(nodeSettings), self(self), incarnation(incarnation), startedAt(now)
{
}

auto Membership::activeNodes() const -> const std::vector<NodeId> &
{
    static const std::vector<NodeId> None;
    return this->epochs.empty() ? None : this->epochs.back().nodes;
}

auto Membership::updateList(const VmListPtr &list, Instant now) -> bool
{
    if (this->currentList && list->revision <= this->currentList->revision) {
        return false;
    }
    this->revisionGap = this->currentList && list->revision != this->currentList->revision + 1;
    if (this->revisionGap) {
        // The skipped lists may have transferred any slot or partition away and back, so that older
        // lists give no lease.
        for (auto &epoch : this->epochs) {
            epoch.contiguous = false;
        }
    }
    this->currentList = list;
    this->epochs.push_back({list->revision, activeNodesOf(*list), now, {}, {}, true});
    while (this->epochs.size() > MaxEpochs
           || now - this->epochs.front().receivedAt > EpochRetention) {
        if (this->epochs.size() == 1) {
            break;
        }
        this->epochs.pop_front();
    }
    this->pullOrder.clear();
    this->updateQuorums(now);
    return true;
}

auto Membership::startPull(std::mt19937_64 &random, Instant now)
    -> std::optional<std::pair<NodeId, GossipPull>>
{
    std::erase_if(this->openPulls,
                  [&](const auto &pull) { return now - pull.second > PullTimeout; });
    if (this->pullOrder.empty() && this->currentList) {
        for (const auto &vm : this->currentList->vms) {
            if (vm.id != this->self) {
                this->pullOrder.push_back(vm.id);
            }
        }
        std::shuffle(this->pullOrder.begin(), this->pullOrder.end(), random);
    }
    if (this->pullOrder.empty()) {
        return std::nullopt;
    }
    const auto peer = this->pullOrder.back();
    this->pullOrder.pop_back();
    const auto pullId = this->nextPullId++;
    this->openPulls[pullId] = now;
    return std::pair{peer, GossipPull{pullId, !this->mayVote(now)}};
}

auto Membership::ownHeartbeat(Instant now) -> Heartbeat
{
    Heartbeat heartbeat;
    heartbeat.node = this->self;
    heartbeat.incarnation = this->incarnation;
    heartbeat.sequence = ++this->sequence;
    heartbeat.configRevision = this->configRevision;
    heartbeat.vmListRevision =
        this->currentList && this->mayVote(now) ? this->currentList->revision : 0;
    heartbeat.draining = this->draining;
    heartbeat.shedThresholds = this->shedThresholds;
    return heartbeat;
}

auto Membership::answerPull(NodeId from, const GossipPull &pull, std::mt19937_64 &random,
                            Instant now) -> GossipReply
{
    GossipReply reply;
    reply.pullId = pull.pullId;
    reply.heartbeats.push_back(this->ownHeartbeat(now));
    std::vector<const Peer *> fresh;
    for (const auto &[node, peer] : this->peerStates) {
        if (node != from && now - peer.sentAfter < this->settings.peerTimeout) {
            fresh.push_back(&peer);
        }
    }
    // Half of the entries are the freshest heartbeats, so that changes spread fast; the others are
    // a random sample of the rest, so that no node is left out.
    const auto count = std::min<std::size_t>(this->settings.maxGossipHeartbeats, fresh.size());
    const auto freshestEnd = fresh.begin() + static_cast<std::ptrdiff_t>(count / 2);
    std::partial_sort(fresh.begin(), freshestEnd, fresh.end(),
                      [](const Peer *left, const Peer *right) {
                          return std::pair{left->sentAfter, left->heartbeat.node}
                                 > std::pair{right->sentAfter, right->heartbeat.node};
                      });
    std::vector<const Peer *> chosen(fresh.begin(), freshestEnd);
    std::sample(freshestEnd, fresh.end(), std::back_inserter(chosen), count - count / 2, random);
    for (const auto *peer : chosen) {
        reply.heartbeats.push_back(peer->heartbeat);
        reply.heartbeats.back().age = now - peer->sentAfter;
    }
    return reply;
}

auto Membership::handleReply(const GossipReply &reply, Instant now) -> void
{
    const auto pull = this->openPulls.find(reply.pullId);
    if (pull == this->openPulls.end() || now - pull->second > PullTimeout) {
        return;
    }
    for (const auto &heartbeat : reply.heartbeats) {
        this->recordHeartbeat(heartbeat, pull->second - heartbeat.age);
    }
    this->openPulls.erase(pull);
    this->updateQuorums(now);
}

auto Membership::recordHeartbeat(const Heartbeat &heartbeat, Instant sentAfter) -> void
{
    if (heartbeat.node == this->self || heartbeat.node == 0) {
        return;
    }
    auto &peer = this->peerStates[heartbeat.node];
    const auto &previous = peer.heartbeat;
    const auto version = std::pair{heartbeat.incarnation, heartbeat.sequence};
    const auto previousVersion = std::pair{previous.incarnation, previous.sequence};
    if (version < previousVersion) {
        return;
    }
    if (version > previousVersion) {
        peer.heartbeat = heartbeat;
        peer.sentAfter = sentAfter;
    } else {
        // The same heartbeat by another path: the later lower bound is the tighter one.
        peer.sentAfter = std::max(peer.sentAfter, sentAfter);
    }
}

auto Membership::majorityUntil(const Epoch &epoch, const std::vector<NodeId> &voters,
                               Instant now) const -> Instant
{
    std::vector<Instant> expiries;
    for (const auto node : voters) {
        if (node == this->self) {
            if (now - this->startedAt >= this->settings.peerTimeout) {
                expiries.push_back(Never);
            }
            continue;
        }
        const auto peer = this->peerStates.find(node);
        if (peer == this->peerStates.end()) {
            continue;
        }
        const auto revision = peer->second.heartbeat.vmListRevision;
        if (revision >= epoch.revision && revision <= this->currentList->revision) {
            expiries.push_back(peer->second.sentAfter + this->settings.peerTimeout);
        }
    }
    const auto needed = majorityOf(voters.size());
    if (expiries.size() < needed) {
        return {};
    }
    const auto nth = expiries.begin() + static_cast<std::ptrdiff_t>(needed - 1);
    std::nth_element(expiries.begin(), nth, expiries.end(), std::greater<>());
    return *nth;
}

auto Membership::quorumsIntersect(const Epoch &older, const Epoch &newer) const -> bool
{
    std::vector<NodeId> allNodes;
    std::set_union(older.nodes.begin(), older.nodes.end(), newer.nodes.begin(), newer.nodes.end(),
                   std::back_inserter(allNodes));
    return majorityOf(older.nodes.size()) + majorityOf(newer.nodes.size()) > allNodes.size();
}

auto Membership::updateQuorums(Instant now) -> void
{
    this->currentLeaseRevision = 0;
    this->currentLeaseExpiry = {};
    if (!this->currentList || !this->mayVote(now)) {
        return;
    }
    if (!this->startupRevision) {
        this->startupRevision = this->currentList->revision;
        for (const auto &[node, peer] : this->peerStates) {
            this->startupRevision = std::max(*this->startupRevision, peer.heartbeat.vmListRevision);
        }
    }
    for (auto epoch = this->epochs.rbegin(); epoch != this->epochs.rend(); ++epoch) {
        if (!epoch->contiguous) {
            break;
        }
        epoch->quorumUntil = this->majorityUntil(*epoch, epoch->nodes, now);
        auto takeoverQuorumUntil = epoch->quorumUntil;
        for (auto older = std::next(epoch); older != this->epochs.rend(); ++older) {
            if (!this->quorumsIntersect(*older, *epoch)) {
                takeoverQuorumUntil =
                    std::min(takeoverQuorumUntil, this->majorityUntil(*epoch, older->nodes, now));
            }
        }
        if (takeoverQuorumUntil > now && !epoch->takeoverQuorumSince) {
            epoch->takeoverQuorumSince = now;
        }
        if (this->currentLeaseRevision == 0 && epoch->quorumUntil > now) {
            this->currentLeaseRevision = epoch->revision;
            this->currentLeaseExpiry = epoch->quorumUntil;
        }
    }
}

auto Membership::leaseRevision(Instant now) const -> std::optional<Revision>
{
    if (this->currentLeaseRevision == 0 || now >= this->currentLeaseExpiry) {
        return std::nullopt;
    }
    return this->currentLeaseRevision;
}

auto Membership::takeoverRevision(Instant now) const -> Revision
{
    const auto wait = this->settings.peerTimeout + this->settings.peerTimeout / ClockDriftDivisor;
    for (auto epoch = this->epochs.rbegin(); epoch != this->epochs.rend(); ++epoch) {
        if (epoch->contiguous && epoch->takeoverQuorumSince
            && now - *epoch->takeoverQuorumSince > wait) {
            return epoch->revision;
        }
    }
    return 0;
}

auto Membership::previousOwnerIsAuthoritative(Revision vmListRevision) const -> bool
{
    return this->startupRevision && vmListRevision > *this->startupRevision;
}

auto Membership::isReachable(NodeId node, Instant now) const -> bool
{
    const auto peer = this->peerStates.find(node);
    return peer != this->peerStates.end()
           && now - peer->second.sentAfter < this->settings.peerTimeout;
}

auto Membership::reachablePeers(Instant now) const -> std::vector<const Peer *>
{
    std::vector<const Peer *> result;
    for (const auto &[node, peer] : this->peerStates) {
        if (now - peer.sentAfter < this->settings.peerTimeout) {
            result.push_back(&peer);
        }
    }
    std::sort(result.begin(), result.end(), [](const Peer *left, const Peer *right) {
        return left->heartbeat.node < right->heartbeat.node;
    });
    return result;
}

auto Membership::mayVote(Instant now) const -> bool
{
    if (!this->currentList || now - this->startedAt < this->settings.peerTimeout) {
        return false;
    }
    std::size_t reachable = 0;
    for (const auto node : this->activeNodes()) {
        reachable += node == this->self || this->isReachable(node, now) ? 1 : 0;
    }
    return reachable >= majorityOf(this->activeNodes().size());
}

auto Membership::newestAmongPeers(Revision Heartbeat::*field, Revision own, std::mt19937_64 &random,
                                  Instant now) const -> std::optional<std::pair<Revision, NodeId>>
{
    auto best = own;
    std::vector<NodeId> candidates;
    for (const auto &[node, peer] : this->peerStates) {
        const auto revision = peer.heartbeat.*field;
        if (now - peer.sentAfter >= this->settings.peerTimeout) {
            continue;
        }
        if (revision > best) {
            best = revision;
            candidates.clear();
        }
        if (revision == best && best > own) {
            candidates.push_back(node);
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    return std::pair{best, candidates[random() % candidates.size()]};
}

auto Membership::newerConfig(std::mt19937_64 &random, Instant now) const
    -> std::optional<std::pair<Revision, NodeId>>
{
    return this->newestAmongPeers(&Heartbeat::configRevision, this->configRevision, random, now);
}

auto Membership::newerVmList(std::mt19937_64 &random, Instant now) const
    -> std::optional<std::pair<Revision, NodeId>>
{
    const auto own = this->currentList ? this->currentList->revision : 0;
    return this->newestAmongPeers(&Heartbeat::vmListRevision, own, random, now);
}

} // namespace banyanring
