/** @file peer_gossip.h Gossip between nodes. */
#pragma once

#include "banyanring/gateway/peer_socket.h"
#include "banyanring/gateway/scheduler.h"

namespace banyanring::gateway {

/**
 * Sends this node's state to the nodes that it knows and takes theirs. Datagrams fit what is
 * said: each replaces the one before, and a lost one is made up for by the next.
 */
class PeerGossip
{
public:
    /**
     * @param socket Carries the messages; must outlive this object.
     * @param books Where news goes.
     * @param statement Gives this node's own statement, without its sequence.
     */
    PeerGossip(PeerSocket &socket, NodeBooks &state,
               std::function<fleet::NodeStatement()> ownStatus);

    static constexpr Duration RoundInterval = std::chrono::milliseconds(100); ///< Between rounds.

    /** Sends one round, where one is due; to be called each RoundInterval. */
    auto sendRound() -> void;

    /** Tells many nodes at once that this one's phase has changed. */
    auto announcePhase() -> void;

    /** @return Time in which gossip of every node in contact is heard, as a rule. */
    auto propagationDelay(Instant now) const -> Duration;

    /** Sums up what peers said of the servers into the server book. */
    auto applyPeerLoads(Instant now) -> void;

private:
    /** What a message holds beside the sender's statement. */
    struct Sections
    {
        bool replyRequested = false; ///< The sender knows nobody.
        bool relayedStatuses = false; ///< Statements of other nodes.
        bool slowlyChanging = false; ///< What changes slowly: paces, suspects.
        bool loadsAndUsages = false; ///< Own work at servers and own admissions.
    };

    auto handleMessage(const fleet::GossipMessage &message) -> void;
    auto sendToPeers(std::size_t fanOut, const Sections &sections) -> void;
    auto compose(const Sections &sections) -> std::string;
    auto ownLoads() const -> std::vector<fleet::LoadStatement>;
    auto latencyReports() const -> std::vector<fleet::PaceStatement>;

    PeerSocket &socket;
    NodeBooks &state;
    std::function<fleet::NodeStatement()> ownStatus;
    std::mt19937_64 random;
    std::uint64_t sequence = 0;
    std::uint64_t rounds = 0;
    std::map<std::string, std::vector<fleet::LoadStatement>> peerLoads; ///< By peer address.
};

} // namespace banyanring::gateway
