/** @file peer_socket.cpp Sends and receives datagrams between nodes. */
#include "banyanring/gateway/peer_socket.h"

#include "banyanring/adapters/log_func.h"

namespace banyanring::gateway {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

auto messageTypeName(PeerMessageType type) -> std::string_view
{
    switch (type) {
    case PeerMessageType::Gossip:
        return "gossip";
    case PeerMessageType::StatusRequest:
        return "status_request";
    case PeerMessageType::StoreChanges:
        return "store_changes";
    case PeerMessageType::UsageReport:
        return "usage_report";
    case PeerMessageType::UsageReply:
        return "usage_reply";
    case PeerMessageType::SlotRequest:
        return "slot_request";
    case PeerMessageType::SlotReply:
        return "slot_reply";
    case PeerMessageType::SlotReport:
        return "slot_report";
    case PeerMessageType::HeldSlots:
        return "held_slots";
    case PeerMessageType::FreeSlots:
        return "free_slots";
    }
    return "unknown";
}

PeerSocket::PeerSocket(asio::io_context &context, const fleet::Endpoint &endpoint)
    : socket(context, udp::endpoint(asio::ip::make_address_v4(endpoint.ip), endpoint.port))
{
    this->socket.non_blocking(true);
    this->receive();
}

auto PeerSocket::receive() -> void
{
    this->socket.async_receive_from(asio::buffer(this->receiveBuffer), this->sender,
                                    [this](const error_code &error, std::size_t count) {
                                        if (error == asio::error::operation_aborted) {
                                            return;
                                        }
                                        if (!error) {
                                            this->dispatch({this->receiveBuffer.data(), count});
                                        }
                                        this->receive();
                                    });
}

auto PeerSocket::dispatch(std::string_view datagram) -> void
{
    const auto address =
        this->sender.address().to_string() + ":" + std::to_string(this->sender.port());
    if (!datagram.empty()) {
        const auto handler = this->handlers.find(static_cast<PeerMessageType>(datagram.front()));
        if (handler != this->handlers.end() && handler->second(datagram.substr(1), address)) {
            ++this->counters.received;
            return;
        }
    }
    ++this->counters.malformed;
    logEvent("gossip_garbage",
             {{"from", address}, {"bytes", static_cast<std::int64_t>(datagram.size())}});
}

auto PeerSocket::send(const std::string &address, PeerMessageType type, std::string_view body)
    -> void
{
    const auto destination = fleet::parseEndpoint(address);
    if (!destination || body.size() > MaxBodyBytes) {
        logEvent("datagram_not_sent",
                 {{"to", address}, {"bytes", static_cast<std::int64_t>(body.size())}});
        return;
    }
    const auto typeByte = static_cast<char>(type);
    const std::array<asio::const_buffer, 2> buffers{asio::buffer(&typeByte, 1), asio::buffer(body)};
    error_code error;
    this->socket.send_to(buffers, {asio::ip::make_address_v4(destination->ip), destination->port},
                         0, error);
    if (!error) {
        for (auto *sent : {&this->counters.sent, &this->counters.sentByType[type]}) {
            ++sent->count;
            sent->bytes += body.size() + 1;
        }
    }
    // A failed send counts as a lost datagram; later messages supersede its content.
}

} // namespace banyanring::gateway
