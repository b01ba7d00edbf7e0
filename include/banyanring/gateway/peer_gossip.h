/** @file peer_gossip.h Gossip between nodes over UDP. */
#pragma once

#include "banyanring/fleet/environment_type.h"
#include "banyanring/gateway/scheduler.h"

#include <array>
#include <boost/asio/ip/udp.hpp>

namespace banyanring::gateway {

/**
 * Sends this node's state to the nodes that it knows and takes theirs. Datagrams fit what is
 * said: each replaces the one before, and a lost one is made up for by the next.
 */
class PeerGossip
{
public:
    /** Numbers for the metrics. */
    struct Traffic
    {
        std::uint64_t sent = 0; ///< Messages.
        std::uint64_t sentBytes = 0;
        std::uint64_t received = 0; ///< Messages.
        std::uint64_t garbage = 0; ///< Received datagrams that are no message.
    };

    /**
     * @param context Runs all its work.
     * @param environment Addresses of this node.
     * @param books Where news goes.
     * @param statement Gives this node's own statement, without its sequence.
     */
    PeerGossip(boost::asio::io_context &context, const fleet::Environment &environment,
               NodeBooks &books, std::function<fleet::NodeStatement()> statement);

    /** Sends one round. */
    auto sendRound() -> void;

    /** Sums up what peers said of the servers into the server book. */
    auto applyLoads(Instant now) -> void;

    /** @return Numbers for the metrics. */
    auto traffic() const -> const Traffic &
    {
        return this->counts;
    }

private:
    static constexpr std::size_t MostBytes = 65536; ///< Longest datagram.

    auto receive() -> void;
    auto take(const fleet::GossipMessage &message) -> void;
    auto sendTo(const std::string &address, const std::string &bytes) -> void;
    auto compose(bool replyWanted, bool full) -> std::string;

    NodeBooks &books;
    std::function<fleet::NodeStatement()> statement;
    boost::asio::ip::udp::socket socket;
    boost::asio::ip::udp::endpoint sender;
    std::array<char, MostBytes> incoming{};
    std::mt19937_64 random;
    std::uint64_t sequence = 0;
    std::uint64_t rounds = 0;
    std::map<std::string, std::vector<fleet::LoadStatement>> loads; ///< By peer address.
    Traffic counts;
};

} // namespace banyanring::gateway
