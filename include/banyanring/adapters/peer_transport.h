/** @file peer_transport.h Message transport between nodes over nng. */
#pragma once

#include "banyanring/adapters/peer_codec.h"
#include "banyanring/core/config_type.h"
#include "banyanring/ports/bounded_queue.h"

#include <atomic>
#include <functional>
#include <map>
#include <thread>

namespace banyanring {

/**
 * Sends and receives messages between nodes, with one thread for each direction. Delivery is best
 * effort: messages may be lost, and no function blocks on a peer.
 */
class PeerTransport
{
public:
    using MessageHandler = std::function<void(Envelope)>; ///< Called on the receiving thread.

    /** Traffic counters since the start of the process. */
    struct TrafficCounters
    {
        std::atomic<std::uint64_t> sentBytes = 0;
        std::atomic<std::uint64_t> sentMessages = 0;
        std::atomic<std::uint64_t> receivedBytes = 0;
        std::atomic<std::uint64_t> receivedMessages = 0;
        /** Received messages that could not be decoded. */
        std::atomic<std::uint64_t> malformedMessages = 0;
        /** Messages not sent: unknown peer, no connection, full queue. */
        std::atomic<std::uint64_t> droppedMessages = 0;
    };

    /**
     * Starts to listen.
     * @param self This node.
     * @param listen Address, "host:port".
     * @param handler Called with each message.
     * @throws std::runtime_error if it cannot listen on the address.
     */
    PeerTransport(NodeId self, const std::string &listen, MessageHandler handler);
    ~PeerTransport();
    PeerTransport(const PeerTransport &) = delete;
    auto operator=(const PeerTransport &) -> PeerTransport & = delete;

    /** @param list VM list with the peers to connect to; others are disconnected. */
    auto setPeers(const VmListPtr &list) -> void;

    /**
     * Queues a message, which is dropped if the queue is full or the peer not connected.
     * @param to The peer.
     * @param message The message.
     */
    auto send(NodeId to, WireMessage message) -> void;

    /** @return Traffic counters. */
    auto traffic() const -> const TrafficCounters &
    {
        return this->counters;
    }

private:
    /** A connection to a peer. */
    struct Peer
    {
        std::string address;
        std::uint32_t socket = 0; ///< nng socket id; 0 if no socket could be opened.
        /** Time since which all sends have failed; zero if the last one succeeded. */
        Instant failingSince{};
    };

    /** Work for the sending thread: a message to send, or a new VM list. */
    using SendTask = std::variant<std::pair<NodeId, WireMessage>, VmListPtr>;

    auto receiveLoop() -> void;
    auto sendLoop() -> void;
    auto sendToPeer(NodeId to, const WireMessage &message) -> void;
    auto applyPeers(const VmList &list) -> void;

    NodeId self;
    MessageHandler handler;
    std::uint32_t listenSocket = 0;
    std::map<NodeId, Peer> peers; ///< Used by the sending thread only.
    BoundedQueue<SendTask> sendTasks;
    TrafficCounters counters;
    std::atomic<bool> stopping = false;
    std::thread receiveThread;
    std::thread sendThread;
};

} // namespace banyanring
