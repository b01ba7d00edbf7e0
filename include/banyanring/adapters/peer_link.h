/** @file peer_link.h Message transport between nodes over nng. */
#pragma once

#include "banyanring/adapters/peer_codec.h"
#include "banyanring/core/config_type.h"
#include "banyanring/ports/bounded_ring.h"

#include <atomic>
#include <functional>
#include <map>
#include <thread>

namespace banyanring {

/**
 * Sends and receives messages between nodes, with one thread for each direction. Delivery is best
 * effort: messages may be lost, and no function blocks on a peer.
 */
class PeerLink
{
public:
    using Receiver = std::function<void(Envelope)>; ///< Called on the receiving thread.

    /** Traffic counters since the start of the process. */
    struct Traffic
    {
        std::atomic<std::uint64_t> sentBytes = 0;
        std::atomic<std::uint64_t> sentMessages = 0;
        std::atomic<std::uint64_t> receivedBytes = 0;
        std::atomic<std::uint64_t> receivedMessages = 0;
        std::atomic<std::uint64_t> garbage = 0; ///< Received messages that could not be decoded.
        std::atomic<std::uint64_t> lost =
            0; ///< Messages not sent: unknown peer, no connection or a full queue.
    };

    /**
     * Starts to listen.
     * @param self This node.
     * @param listen Address, "host:port".
     * @param receiver Called with each message.
     * @throws std::runtime_error if it cannot listen on the address.
     */
    PeerLink(NodeId self, const std::string &listen, Receiver receiver);
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    auto operator=(const PeerLink &) -> PeerLink & = delete;

    /** @param list VM list with the addresses of the peers; VMs that are not in it are
     * disconnected. */
    auto setPeers(const VmListPtr &list) -> void;

    /**
     * Queues a message, which is dropped if the queue is full or the peer not connected.
     * @param to The peer.
     * @param message The message.
     */
    auto send(NodeId to, WireMessage message) -> void;

    /** @return Traffic counters. */
    auto traffic() const -> const Traffic &
    {
        return this->counters;
    }

private:
    /** A connection to a peer. */
    struct Peer
    {
        std::string address;
        std::uint32_t socket = 0; ///< nng socket id; 0 if the socket could not be made.
        Instant failingSince{}; ///< First of the sends that failed in a row; zero if the last one
                                ///< succeeded.
    };

    /** Work for the sending thread: a message to send, or a new VM list. */
    using SendTask = std::variant<std::pair<NodeId, WireMessage>, VmListPtr>;

    auto receiveLoop() -> void;
    auto sendLoop() -> void;
    auto sendToPeer(NodeId to, const WireMessage &message) -> void;
    auto applyPeers(const VmList &list) -> void;

    NodeId self;
    Receiver receiver;
    std::uint32_t listenSocket = 0;
    std::map<NodeId, Peer> peers; ///< Used by the sending thread only.
    BoundedRing<SendTask> sendTasks;
    Traffic counters;
    std::atomic<bool> stopping = false;
    std::thread receiveThread;
    std::thread sendThread;
};

} // namespace banyanring
