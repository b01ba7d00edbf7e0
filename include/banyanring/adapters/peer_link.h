/** @file peer_link.h The transport between nodes over nng: one receiving and one sending thread. */
#pragma once

#include "banyanring/adapters/peer_codec.h"
#include "banyanring/core/config_type.h"
#include "banyanring/ports/bounded_ring.h"

#include <atomic>
#include <functional>
#include <map>
#include <thread>

namespace banyanring {

/** Sends and receives messages between nodes. Messages may be lost; nothing waits for a peer. */
class PeerLink
{
public:
    using Receiver = std::function<void(Envelope)>; ///< Called on the receiving thread.

    /** Numbers for the metrics. */
    struct Traffic
    {
        std::atomic<std::uint64_t> sentBytes = 0;
        std::atomic<std::uint64_t> sentMessages = 0;
        std::atomic<std::uint64_t> receivedBytes = 0;
        std::atomic<std::uint64_t> receivedMessages = 0;
        std::atomic<std::uint64_t> garbage = 0; ///< Received bytes that are no message.
        std::atomic<std::uint64_t> lost = 0; ///< Not sent: no connection, or a full ring.
    };

    /**
     * Starts to listen.
     * @param self This node.
     * @param listen "host:port".
     * @param receiver Gets each message.
     * @throws std::runtime_error if the address cannot be used.
     */
    PeerLink(NodeId self, const std::string &listen, Receiver receiver);
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    auto operator=(const PeerLink &) -> PeerLink & = delete;

    /** @param list Addresses of the peers. */
    auto setPeers(const VmListPtr &list) -> void;

    /**
     * Sends a message, if it can be sent soon.
     * @param to The peer.
     * @param message The message.
     */
    auto send(NodeId to, WireMessage message) -> void;

    /** @return Numbers for the metrics. */
    auto traffic() const -> const Traffic &
    {
        return this->counts;
    }

private:
    /** A connection to a peer. */
    struct Peer
    {
        std::string address;
        std::uint32_t socket = 0;
        Instant refusedSince{}; ///< Since when each send was refused; zero if the last one went.
    };

    /** Work for the sending thread: a message, or new addresses. */
    using Job = std::variant<std::pair<NodeId, WireMessage>, VmListPtr>;

    auto receiveLoop() -> void;
    auto sendLoop() -> void;
    auto sendNow(NodeId to, const WireMessage &message) -> void;
    auto applyPeers(const VmList &list) -> void;

    NodeId self;
    Receiver receiver;
    std::uint32_t listenSocket = 0;
    std::map<NodeId, Peer> peers; ///< Used by the sending thread only.
    BoundedRing<Job> jobs;
    Traffic counts;
    std::atomic<bool> stopping = false;
    std::thread receiving;
    std::thread sending;
};

} // namespace banyanring
