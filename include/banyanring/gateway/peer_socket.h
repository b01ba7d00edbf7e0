/** @file peer_socket.h Datagrams between nodes. */
#pragma once

#include "banyanring/fleet/environment_type.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <string_view>

namespace banyanring::gateway {

/** What a datagram holds; its first byte. */
enum class PeerMessageType : std::uint8_t {
    Gossip = 'g', ///< A node's state.
    StoreChanges = 'b', ///< What changed in the store.
    UsageReport = 'r', ///< What a node has admitted of an organisation.
    UsageReply = 't', ///< What the others have, as the answer.
    SlotRequest = 'q', ///< A request needs a slot.
    SlotReply = 'a', ///< It gets one, or waits.
    SlotReport = 'e', ///< What happened to it.
    HeldSlots = 'h', ///< Slots that a node's requests hold.
    FreeSlots = 'm', ///< Room that a keeper has.
};

/**
 * Sends and receives datagrams. Each message replaces or repeats what a lost one said, so none is
 * acknowledged here.
 */
class PeerSocket
{
public:
    /** Numbers for the metrics. */
    struct TrafficCounters
    {
        std::uint64_t sent = 0; ///< Datagrams.
        std::uint64_t sentBytes = 0;
        std::uint64_t received = 0; ///< Datagrams.
        std::uint64_t malformed = 0; ///< Received datagrams that are no message.
    };

    /** Takes the body of a datagram from an address; says whether it was a message. */
    using Handler = std::function<bool(std::string_view body, const std::string &from)>;

    /**
     * @param context Runs all its work.
     * @param endpoint Where it listens.
     */
    PeerSocket(boost::asio::io_context &context, const fleet::Endpoint &endpoint);

    /**
     * Sets who takes a kind of message.
     * @param kind The kind.
     * @param handler Takes it.
     */
    auto setHandler(PeerMessageType type, Handler handler) -> void
    {
        this->handlers[type] = std::move(handler);
    }

    /**
     * Sets who takes a kind of message, decoded.
     * @param kind The kind.
     * @param decode Gives the message; nothing if the body is none.
     * @param take Takes the message and the address that it came from.
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
     * Sends a message once.
     * @param address The node's "IP:port".
     * @param kind The kind of message.
     * @param body Its bytes.
     */
    auto send(const std::string &address, PeerMessageType type, std::string_view body) -> void;

    /** @return Numbers for the metrics. */
    auto traffic() const -> const TrafficCounters &
    {
        return this->counters;
    }

    static constexpr std::size_t MaxBodyBytes = 60000; ///< Longest body that is sent.

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
