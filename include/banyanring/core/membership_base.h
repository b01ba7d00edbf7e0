/** @file membership_base.h Gossip membership and quorum leases on what a node owns. */
#pragma once

#include "banyanring/core/config_type.h"
#include "banyanring/core/message_type.h"
#include "banyanring/core/node_settings_type.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <unordered_map>

namespace banyanring {

/**
 * Tracks the published VM lists and the heartbeats of peers, and derives from them which of its
 * slots and rate limit partitions this node may use (quorum lease).
 *
 * The time of a peer's heartbeat is the time at which this node sent the gossip pull that fetched
 * it, minus the ages accumulated over the hops. This never makes a heartbeat look newer than it is,
 * so that a message delayed by the network or by a paused process does not count as fresh, and no
 * clocks of different nodes are compared.
 */
class Membership
{
public:
    /** Last heartbeat of a peer. */
    struct Peer
    {
        Heartbeat heartbeat;
        Instant sentAfter{}; ///< Lower bound of the time at which the peer made the heartbeat.
    };

    /**
     * @param nodeSettings Tunable values; must outlive this object.
     * @param self This node.
     * @param incarnation Incarnation of this process.
     * @param now Start time of the process.
     */
    Membership(const NodeSettings &nodeSettings, NodeId self, Incarnation incarnation, Instant now);

    /**
     * Replaces the VM list if the new one is newer.
     * @param list The list.
     * @param now Current time.
     * @return Whether the list was replaced.
     */
    auto updateList(const VmListPtr &list, Instant now) -> bool;

    /**
     * Chooses the next peer to pull gossip from and records the pull.
     * @param random Random number generator.
     * @param now Current time.
     * @return Peer and message; nothing if there are no peers.
     */
    auto startPull(std::mt19937_64 &random, Instant now)
        -> std::optional<std::pair<NodeId, GossipPull>>;

    /**
     * Replies to a pull with this node's heartbeat and a sample of fresh ones.
     * @param from The peer that sent the pull.
     * @param pull The peer's message.
     * @param random Random number generator.
     * @param now Current time.
     * @return The reply.
     */
    auto answerPull(NodeId from, const GossipPull &pull, std::mt19937_64 &random, Instant now)
        -> GossipReply;

    /**
     * Records the heartbeats of a reply.
     * @param reply The peer's message; ignored unless it replies to a pull of this incarnation.
     * @param now Current time.
     */
    auto handleReply(const GossipReply &reply, Instant now) -> void;

    /**
     * Re-evaluates the quorum leases. Needed for a VM that is alone in its list, as it gets no
     * replies.
     * @param now Current time.
     */
    auto refresh(Instant now) -> void
    {
        this->updateQuorums(now);
    }

    /**
     * Returns the newest VM list revision for which this node holds a quorum lease. A slot or
     * partition may be used if this node has owned it under that list and every later one.
     * @param now Current time.
     * @return The revision; nothing without a lease.
     */
    auto leaseRevision(Instant now) const -> std::optional<Revision>;

    /**
     * Returns the expiry time of the current lease if no further heartbeat arrives.
     * @return The time.
     */
    auto leaseExpiry() const -> Instant
    {
        return this->currentLeaseExpiry;
    }

    /**
     * Returns the newest VM list revision whose transferred slots and partitions this node may take
     * over: a majority reported it more than a peer timeout ago, so that the lease of any
     * previous owner has expired.
     * @param now Current time.
     * @return The revision; 0 for none.
     */
    auto takeoverRevision(Instant now) const -> Revision;

    /**
     * Returns whether a peer's last heartbeat is younger than the peer timeout.
     * @param node The peer.
     * @param now Current time.
     * @return Whether it is reachable.
     */
    auto isReachable(NodeId node, Instant now) const -> bool;

    /**
     * Returns the reachable peers.
     * @param now Current time.
     * @return Their last heartbeats, sorted by node.
     */
    auto reachablePeers(Instant now) const -> std::vector<const Peer *>;

    /**
     * Returns whether this incarnation is older than the peer timeout and reaches a majority.
     * @param now Current time.
     * @return Whether its heartbeats count towards quorums.
     */
    auto mayVote(Instant now) const -> bool;

    /**
     * Creates a new heartbeat of this node.
     * @param now Current time.
     * @return The heartbeat.
     */
    auto ownHeartbeat(Instant now) -> Heartbeat;

    /**
     * Finds a newer configuration among the reachable peers.
     * @param random Used to choose among the peers that have it.
     * @param now Current time.
     * @return Its revision and a peer that has it; nothing if none is newer.
     */
    auto newerConfig(std::mt19937_64 &random, Instant now) const
        -> std::optional<std::pair<Revision, NodeId>>;

    /**
     * Finds a newer VM list among the reachable peers.
     * @param random Used to choose among the peers that have it.
     * @param now Current time.
     * @return Its revision and a peer that has it; nothing if none is newer.
     */
    auto newerVmList(std::mt19937_64 &random, Instant now) const
        -> std::optional<std::pair<Revision, NodeId>>;

    /**
     * Returns whether a release by the previous owner of a slot also covers the owners before it.
     * It does not while this incarnation may not vote yet, nor for VM lists that it or its peers
     * had by then, as an earlier incarnation of this node may have owned the slot under them.
     * @param vmListRevision VM list that transferred the slot.
     * @return Whether the previous owner's reply suffices.
     */
    auto previousOwnerIsAuthoritative(Revision vmListRevision) const -> bool;

    /** @return The newest VM list, or null. */
    auto vmList() const -> const VmListPtr &
    {
        return this->currentList;
    }
    /** @return Sorted nodes of the newest list that are not draining. */
    auto activeNodes() const -> const std::vector<NodeId> &;
    /** @return Whether a revision was skipped between the last two lists. */
    auto missedRevision() const -> bool
    {
        return this->revisionGap;
    }
    /** @return Last heartbeats of all peers, by node. */
    auto peers() const -> const std::unordered_map<NodeId, Peer> &
    {
        return this->peerStates;
    }

    Revision configRevision = 0; ///< Configuration in force, for the heartbeat.
    bool draining = false; ///< This node is shutting down, for the heartbeat.
    std::vector<ShedThresholds> shedThresholds; ///< For the heartbeat.

private:
    /** A VM list that is or was the newest one. */
    struct Epoch
    {
        Revision revision = 0;
        std::vector<NodeId> nodes; ///< Active nodes, sorted.
        Instant receivedAt{};
        Instant quorumUntil{}; ///< End of the quorum lease.
        /** First time at which every quorum needed for a takeover was reached. */
        std::optional<Instant> takeoverQuorumSince;
        bool contiguous = true; ///< No revision was skipped between it and the current list.
    };

    auto newestAmongPeers(Revision Heartbeat::*field, Revision own, std::mt19937_64 &random,
                          Instant now) const -> std::optional<std::pair<Revision, NodeId>>;
    auto recordHeartbeat(const Heartbeat &heartbeat, Instant sentAfter) -> void;
    auto updateQuorums(Instant now) -> void;
    auto majorityUntil(const Epoch &epoch, const std::vector<NodeId> &voters, Instant now) const
        -> Instant;
    auto quorumsIntersect(const Epoch &older, const Epoch &newer) const -> bool;

    const NodeSettings &settings;
    NodeId self;
    Incarnation incarnation;
    Instant startedAt;
    std::uint64_t sequence = 0;
    std::uint64_t nextPullId = 1;
    bool revisionGap = false;
    VmListPtr currentList;
    std::deque<Epoch> epochs; ///< Oldest first; the last one is the current list.
    std::unordered_map<NodeId, Peer> peerStates;
    std::map<std::uint64_t, Instant> openPulls; ///< Send times of open pulls, by id.
    std::vector<NodeId> pullOrder; ///< Peers still to pull from in this round.
    /** Newest VM list revision at this node and its peers when this node could first vote. */
    std::optional<Revision> startupRevision;
    Revision currentLeaseRevision = 0;
    Instant currentLeaseExpiry{};
};

} // namespace banyanring
