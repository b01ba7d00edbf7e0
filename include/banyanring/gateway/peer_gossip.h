/** @file peer_gossip.h Gossip between nodes over UDP. */
#pragma once

#include "banyanring/gateway/peer_socket.h"
#include "banyanring/gateway/scheduler.h"

namespace banyanring::gateway {

/**
 * Sends this node's status to other nodes and merges theirs. Each message supersedes the one
 * before, so a lost datagram is corrected by the next.
 */
class PeerGossip
{
public:
    /**
     * @param socket Sends and receives the messages; must outlive this object.
     * @param state Updated with received messages; must outlive this object.
     * @param ownStatus Returns this node's status, without its sequence number.
     */
    PeerGossip(PeerSocket &socket, NodeState &state, std::function<fleet::NodeStatus()> ownStatus);

    static constexpr Duration RoundInterval = std::chrono::milliseconds(100); ///< Between rounds.

    /** Sends one round of gossip if one is due; to be called every RoundInterval. */
    auto sendRound() -> void;

    /** Sends a changed phase to many nodes at once. */
    auto announcePhase() -> void;

    /** @return Time in which gossip of every alive node usually arrives. */
    auto propagationDelay(Instant now) const -> Duration;

    /** Sums the loads that alive peers reported into the server registry. */
    auto applyPeerLoads(Instant now) -> void;

private:
    /** Optional sections of a message. */
    struct Sections
    {
        /** Requests a message in return; set while no other node is alive. */
        bool replyRequested = false;
        bool relayedStatuses = false; ///< Statuses of other nodes.
        bool slowlyChanging = false; ///< Server latencies and known crash suspects.
        bool loadsAndUsages = false; ///< Own load on the servers and own quota usages.
    };

    auto handleMessage(const fleet::GossipMessage &message) -> void;
    auto sendToPeers(std::size_t fanOut, const Sections &sections) -> void;
    auto compose(const Sections &sections) -> std::string;
    auto ownLoads() const -> std::vector<fleet::ServerLoadReport>;
    auto latencyReports() const -> std::vector<fleet::ServerLatencyReport>;

    PeerSocket &socket;
    NodeState &state;
    std::function<fleet::NodeStatus()> ownStatus;
    std::mt19937_64 random;
    std::uint64_t sequence = 0;
    std::uint64_t rounds = 0;
    std::map<std::string, std::vector<fleet::ServerLoadReport>> peerLoads; ///< By peer address.
};

} // namespace banyanring::gateway
