/** @file peer_socket.h Sends and receives datagrams between nodes. */
#pragma once

#include "banyanring/fleet/process_settings_type.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <string_view>

namespace banyanring::gateway {

/** Type of a datagram; its first byte. */
enum class PeerMessageType : std::uint8_t {
    Gossip = 'g', ///< Status of a node, its loads and usages.
    StatusRequest = 's', ///< Request for the statuses of nodes, answered by gossip.
    StoreChanges = 'b', ///< Changes of the store.
    UsageReport = 'r', ///< An organisation's usage at one node, possibly with a query.
    UsageReply = 't', ///< Usage total of the other nodes, as the reply to a query.
    SlotRequest = 'q', ///< Request for a slot of a service.
    SlotReply = 'a', ///< The slot was granted, or the request is queued.
    SlotReport = 'e', ///< Outcome at the server, or cancellation of a slot request.
    HeldSlots = 'h', ///< All slots of a coordinator that a node's requests hold.
    FreeSlots = 'm', ///< Free slots of a coordinator.
};

/**
 * Returns the name of a message type for logs and metrics.
 * @param type The message type.
 * @return Name in snake case.
 */
auto messageTypeName(PeerMessageType type) -> std::string_view;

/**
 * Sends and receives datagrams without acknowledgement. The messages are idempotent: a later one
 * repeats or supersedes the content of a lost one.
 */
class PeerSocket
{
public:
    /** Messages sent, of one type or of all. */
    struct SentMessages
    {
        std::uint64_t count = 0; ///< Datagrams.
        std::uint64_t bytes = 0; ///< Without the headers of UDP and IP.
    };

    /** Counters for the metrics. */
    struct TrafficCounters
    {
        SentMessages sent; ///< Messages of all types.
        std::map<PeerMessageType, SentMessages> sentByType;
        std::uint64_t received = 0; ///< Datagrams.
        std::uint64_t malformed = 0; ///< Datagrams of unknown type or that failed to decode.
    };

    /** Handles the body of a datagram from an address; returns false if it is malformed. */
    using Handler = std::function<bool(std::string_view body, const std::string &from)>;

    /**
     * @param context Runs the asynchronous operations.
     * @param endpoint IP and UDP port to bind.
     * @throws boost::system::system_error if the endpoint cannot be bound.
     */
    PeerSocket(boost::asio::io_context &context, const fleet::Endpoint &endpoint);

    /**
     * Sets the handler of a message type.
     * @param type The message type.
     * @param handler Called with the body and the sender's address.
     */
    auto setHandler(PeerMessageType type, Handler handler) -> void
    {
        this->handlers[type] = std::move(handler);
    }

    /**
     * Sets the handler of a message type that is decoded first.
     * @param type The message type.
     * @param decode Returns the message; nullopt if the body is malformed.
     * @param handle Called with the message and the sender's address.
     */
    template <typename Decode, typename Handle>
    auto setDecodedHandler(PeerMessageType type, Decode decode, Handle handle) -> void
    {
        this->setHandler(type, [decode, handle](std::string_view body, const std::string &from) {
            const auto message = decode(body);
            if (message) {
                handle(*message, from);
            }
            return message.has_value();
        });
    }

    /**
     * Sends a message once. A body over MaxBodyBytes or a malformed address is logged and dropped.
     * @param address The node's "IP:port".
     * @param type The message type.
     * @param body The encoded message.
     */
    auto send(const std::string &address, PeerMessageType type, std::string_view body) -> void;

    /** @return Counters for the metrics. */
    auto traffic() const -> const TrafficCounters &
    {
        return this->counters;
    }

    static constexpr std::size_t MaxBodyBytes = 60000; ///< Maximum length of a body.

private:
    static constexpr std::size_t ReceiveBufferBytes = 65536; ///< More than UDP can carry.

    auto receive() -> void;
    auto dispatch(std::string_view datagram) -> void;

    boost::asio::ip::udp::socket socket;
    boost::asio::ip::udp::endpoint sender;
    std::array<char, ReceiveBufferBytes> receiveBuffer{};
    std::map<PeerMessageType, Handler> handlers;
    TrafficCounters counters;
};

} // namespace banyanring::gateway
