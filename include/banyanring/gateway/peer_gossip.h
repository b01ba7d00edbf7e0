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
    PeerGossip(PeerSocket &socket, NodeBooks &books,
               std::function<fleet::NodeStatement()> statement);

    static constexpr Duration RoundInterval = std::chrono::milliseconds(100); ///< Between rounds.

    /** Sends one round. */
    auto sendRound() -> void;

    /** @return Time in which gossip of every node in contact is heard, as a rule. */
    auto lag(Instant now) const -> Duration;

    /** Sums up what peers said of the servers into the server book. */
    auto applyLoads(Instant now) -> void;

private:
    auto take(const fleet::GossipMessage &message) -> void;
    auto compose(bool replyWanted, bool full) -> std::string;

    PeerSocket &socket;
    NodeBooks &books;
    std::function<fleet::NodeStatement()> statement;
    std::mt19937_64 random;
    std::uint64_t sequence = 0;
    std::uint64_t rounds = 0;
    std::map<std::string, std::vector<fleet::LoadStatement>> loads; ///< By peer address.
};

} // namespace banyanring::gateway
