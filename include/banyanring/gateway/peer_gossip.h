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
        bool heartbeats = false; ///< Heartbeats of other nodes.
        bool slowlyChanging = false; ///< Server latencies and known crash suspects.
        bool loadsAndUsages = false; ///< Own load on the servers and own quota usages.
        bool complete = false; ///< For a node that has just started: all that would go in turns.
    };

    auto handleMessage(const fleet::GossipMessage &message) -> void;
    auto mergeStatus(const fleet::NodeStatus &status, bool direct, Instant now) -> void;
    auto requestStatuses(const std::string &peer, std::vector<std::uint32_t> addressHashes,
                         Instant now) -> void;
    auto verifyDoubtfulMembers(Instant now) -> void;
    auto sendStatuses(const std::string &peer, std::span<const std::uint32_t> addressHashes)
        -> void;
    auto sendToPeers(std::size_t fanOut, std::size_t distantFanOut, const Sections &sections)
        -> void;
    auto beginMessage() -> fleet::GossipMessage;
    auto compose(const Sections &sections) -> std::string;
    auto ownLoads() const -> std::vector<fleet::ServerLoadReport>;
    auto latencyReports() const -> std::vector<fleet::ServerLatencyReport>;

    PeerSocket &socket;
    NodeState &state;
    std::function<fleet::NodeStatus()> ownStatus;
    std::mt19937_64 random;
    std::uint64_t sequence = 0;
    std::uint64_t rounds = 0;
    std::size_t latenciesSent = 0; ///< Reports sent so far; the next ones follow in turn.
    std::size_t usagesSent = 0; ///< The same of usages.
    /** Last message of a node that relays no heartbeats. */
    std::optional<Instant> olderReleaseHeardAt;
    std::unordered_map<std::uint32_t, Instant> statusRequestedAt; ///< By hash of the address.
    std::map<std::string, std::vector<fleet::ServerLoadReport>> peerLoads; ///< By peer address.
    bool loadsChanged = false; ///< Since they were last applied.
    std::uint64_t appliedGeneration = 0; ///< Generation of the members when they were applied.
};

} // namespace banyanring::gateway
