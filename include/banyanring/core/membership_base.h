/** @file membership_base.h Gossip with ages, and the rule that says which rights a node may use. */
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
 * Knows the published VM lists and what was heard of the other nodes.
 *
 * A peer's statement is dated by the instant at which this node issued the pull that brought it,
 * less the ages added up over the hops. Both err towards "older", so that a message delayed by the
 * network or by a paused process never counts as fresh, and no clocks are compared.
 */
class Membership
{
public:
    /** What is known of a peer. */
    struct Peer
    {
        Heartbeat heartbeat;
        Instant sentAfter{}; ///< Latest instant at which it certainly had not yet stated this.
    };

    /**
     * @param nodeSettings Tunable values; must outlive this object.
     * @param self This node.
     * @param incarnation This life of the process.
     * @param now Start of the process.
     */
    Membership(const NodeSettings &nodeSettings, NodeId self, Incarnation incarnation, Instant now);

    /**
     * Takes a VM list unless it is older than the known one.
     * @param list The list.
     * @param now The present.
     * @return Whether it was taken.
     */
    auto updateList(const VmListPtr &list, Instant now) -> bool;

    /**
     * Chooses the next peer to pull from and notes the pull.
     * @param random Source of chance.
     * @param now The present.
     * @return Peer and message, or nothing without peers.
     */
    auto startPull(std::mt19937_64 &random, Instant now)
        -> std::optional<std::pair<NodeId, GossipPull>>;

    /**
     * Answers a pull with this node's heartbeat and a sample of fresh ones.
     * @param from The asker.
     * @param pull The peer's message.
     * @param random Source of chance.
     * @param now The present.
     * @return The reply.
     */
    auto answerPull(NodeId from, const GossipPull &pull, std::mt19937_64 &random, Instant now)
        -> GossipReply;

    /**
     * Takes the heartbeats of a reply.
     * @param reply The peer's message; ignored unless it answers a pull of this incarnation.
     * @param now The present.
     */
    auto handleReply(const GossipReply &reply, Instant now) -> void;

    /**
     * Looks again at what holds; a VM that is alone in its list hears of nobody.
     * @param now The present.
     */
    auto refresh(Instant now) -> void
    {
        this->updateQuorums(now);
    }

    /**
     * Gives the newest list revision under which rights may be used now. A right may be used if it
     * has been this node's under every list since, that one included.
     * @param now The present.
     * @return The revision; nothing if no right may be used.
     */
    auto leaseRevision(Instant now) const -> std::optional<Revision>;

    /**
     * Tells until when the present anchor holds if nothing more is heard.
     * @return The instant.
     */
    auto leaseExpiry() const -> Instant
    {
        return this->currentLeaseExpiry;
    }

    /**
     * Gives the newest list revision whose rights, newly come to this node, may be begun: a
     * majority stated it a whole lapse time ago.
     * @param now The present.
     * @return The revision; 0 for none.
     */
    auto takeoverRevision(Instant now) const -> Revision;

    /**
     * Tells whether a peer was heard within the lapse time.
     * @param node The peer.
     * @param now The present.
     * @return Whether it is in contact.
     */
    auto isReachable(NodeId node, Instant now) const -> bool;

    /**
     * Lists the peers in contact.
     * @param now The present.
     * @return Their states.
     */
    auto reachablePeers(Instant now) const -> std::vector<const Peer *>;

    /**
     * Tells whether this incarnation is older than the lapse time and has heard a majority.
     * @param now The present.
     * @return Whether its statements count.
     */
    auto mayVote(Instant now) const -> bool;

    /**
     * Builds this node's own heartbeat.
     * @param now The present.
     * @return The heartbeat.
     */
    auto ownHeartbeat(Instant now) -> Heartbeat;

    /**
     * Finds a newer configuration among the peers in contact.
     * @param random Chooses among the peers that have it.
     * @param now The present.
     * @return Its revision and a peer that has it; nothing if none is newer.
     */
    auto newerConfig(std::mt19937_64 &random, Instant now) const
        -> std::optional<std::pair<Revision, NodeId>>;

    /**
     * Finds a newer VM list among the peers in contact.
     * @param random Chooses among the peers that have it.
     * @param now The present.
     * @return Its revision and a peer that has it; nothing if none is newer.
     */
    auto newerVmList(std::mt19937_64 &random, Instant now) const
        -> std::optional<std::pair<Revision, NodeId>>;

    /**
     * Tells whether another node's word on a right that moves with a list covers every earlier
     * holder. It does not while this incarnation is young, nor for lists that a majority had
     * stated by then: an earlier incarnation of this node may have held the right under them.
     * @param list Revision of the list.
     * @return Whether it does.
     */
    auto previousOwnerIsAuthoritative(Revision vmListRevision) const -> bool;

    /** @return The newest list, or null. */
    auto vmList() const -> const VmListPtr &
    {
        return this->currentList;
    }
    /** @return Sorted nodes of the newest list that are not leaving. */
    auto activeNodes() const -> const std::vector<NodeId> &;
    /** @return Whether a revision was missed between the last two lists. */
    auto missedRevision() const -> bool
    {
        return this->revisionGap;
    }
    /** @return All that is known of the peers. */
    auto peers() const -> const std::unordered_map<NodeId, Peer> &
    {
        return this->peerStates;
    }

    Revision configRevision = 0; ///< Configuration in force here, for the heartbeat.
    bool draining = false; ///< This node is stopping, for the heartbeat.
    std::vector<ShedThresholds> shedThresholds; ///< For the heartbeat.

private:
    /** A list that is or was the newest. */
    struct Epoch
    {
        Revision revision = 0;
        std::vector<NodeId> nodes; ///< Sorted, live.
        Instant receivedAt{};
        Instant quorumUntil{}; ///< Majority condition holds until then.
        std::optional<Instant> takeoverQuorumSince; ///< When the majority condition first held.
        bool contiguous = true; ///< No revision was missed between it and the current list.
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
    std::deque<Epoch> epochs; ///< Oldest first; the last one is current; revisions adjoin.
    std::unordered_map<NodeId, Peer> peerStates;
    std::map<std::uint64_t, Instant> openPulls; ///< Open pulls by token.
    std::vector<NodeId> pullOrder; ///< Peers still to pull from in this round.
    std::optional<Revision> startupRevision; ///< Newest list heard of when this incarnation grew up.
    Revision currentLeaseRevision = 0;
    Instant currentLeaseExpiry{};
};

} // namespace banyanring
