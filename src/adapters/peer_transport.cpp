/** @file peer_transport.cpp Message transport between nodes over nng. */
#include "banyanring/adapters/peer_transport.h"

#include "banyanring/adapters/log_func.h"
#include "banyanring/ports/clock_func.h"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

namespace banyanring {

namespace {

constexpr std::size_t MaxMessageBytes = 32U << 20U; ///< Large enough for every published value.
constexpr std::size_t SendQueueCapacity = 4096; ///< Messages queued for the sending thread.
constexpr int SendBufferMessages = 64; ///< Messages buffered for one connection.
/** Interval of stop checks in the receiving thread. */
constexpr nng_duration ReceiveTimeoutMs = 200;
constexpr nng_duration MinReconnectMs = 50; ///< First delay before a reconnect.
constexpr nng_duration MaxReconnectMs = 1000; ///< Maximum delay before a reconnect.
/** Sockets whose sends fail for longer are replaced. */
constexpr Duration RedialTimeout = std::chrono::seconds(3);
/** Interval of stop checks in the sending thread. */
constexpr std::chrono::milliseconds PopTimeout{200};

/** @return The nng socket with this id. */
auto socketFromId(std::uint32_t id) -> nng_socket
{
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    socket.id = id;
    return socket;
}

/** Opens a socket that connects to @p address in the background; returns its id, 0 on failure. */
auto dial(const std::string &address) -> std::uint32_t
{
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    if (nng_push0_open(&socket) != 0) {
        return 0;
    }
    nng_socket_set_int(socket, NNG_OPT_SENDBUF, SendBufferMessages);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, MinReconnectMs);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, MaxReconnectMs);
    nng_dialer dialer = NNG_DIALER_INITIALIZER;
    if (nng_dialer_create(&dialer, socket, ("tcp://" + address).c_str()) != 0) {
        nng_close(socket);
        return 0;
    }
    nng_dialer_set_bool(dialer, NNG_OPT_TCP_KEEPALIVE, true);
    nng_dialer_set_bool(dialer, NNG_OPT_TCP_NODELAY, true);
    nng_dialer_start(dialer, NNG_FLAG_NONBLOCK);
    return socket.id;
}

} // namespace

PeerTransport::PeerTransport(NodeId self, const std::string &listen, MessageHandler handler)
    : self(self), handler(std::move(handler)), sendTasks(SendQueueCapacity, 1)
{
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    auto error = nng_pull0_open(&socket);
    if (error == 0) {
        nng_socket_set_size(socket, NNG_OPT_RECVMAXSZ, MaxMessageBytes);
        nng_socket_set_ms(socket, NNG_OPT_RECVTIMEO, ReceiveTimeoutMs);
        error = nng_listen(socket, ("tcp://" + listen).c_str(), nullptr, 0);
    }
    if (error != 0) {
        throw std::runtime_error("cannot listen on peer address " + listen + ": "
                                 + nng_strerror(error));
    }
    this->listenSocket = socket.id;
    this->receiveThread = std::thread([this] { this->receiveLoop(); });
    this->sendThread = std::thread([this] { this->sendLoop(); });
}

PeerTransport::~PeerTransport()
{
    this->stopping = true;
    this->receiveThread.join();
    this->sendThread.join();
    nng_close(socketFromId(this->listenSocket));
    for (const auto &[node, peer] : this->peers) {
        nng_close(socketFromId(peer.socket));
    }
}

auto PeerTransport::setPeers(const VmListPtr &list) -> void
{
    this->sendTasks.tryPush(Lane::Control, list);
}

auto PeerTransport::send(NodeId to, WireMessage message) -> void
{
    if (!this->sendTasks.tryPush(Lane::Control, std::pair{to, std::move(message)})) {
        ++this->counters.droppedMessages;
    }
}

auto PeerTransport::receiveLoop() -> void
{
    while (!this->stopping) {
        void *bytes = nullptr;
        std::size_t size = 0;
        if (nng_recv(socketFromId(this->listenSocket), &bytes, &size, NNG_FLAG_ALLOC) != 0) {
            continue;
        }
        auto envelope = decodeEnvelope({static_cast<const char *>(bytes), size});
        nng_free(bytes, size);
        this->counters.receivedBytes += size;
        ++this->counters.receivedMessages;
        if (envelope) {
            this->handler(std::move(*envelope));
        } else if (++this->counters.malformedMessages == 1) {
            logEvent("peer_garbage", {{"bytes", std::to_string(size)}});
        }
    }
}

auto PeerTransport::sendLoop() -> void
{
    while (!this->stopping) {
        const auto task = this->sendTasks.pop(PopTimeout);
        if (!task) {
            continue;
        }
        if (const auto *vmList = std::get_if<VmListPtr>(&*task)) {
            this->applyPeers(**vmList);
        } else {
            const auto &[to, message] = std::get<std::pair<NodeId, WireMessage>>(*task);
            this->sendToPeer(to, message);
        }
    }
}

auto PeerTransport::applyPeers(const VmList &list) -> void
{
    std::map<NodeId, Peer> newPeers;
    for (const auto &vm : list.vms) {
        if (vm.id == this->self) {
            continue;
        }
        const auto existing = this->peers.find(vm.id);
        if (existing != this->peers.end() && existing->second.address == vm.peerAddress) {
            newPeers[vm.id] = existing->second;
            this->peers.erase(existing);
        } else {
            newPeers[vm.id] = {vm.peerAddress, dial(vm.peerAddress), {}};
        }
    }
    for (const auto &[node, peer] : this->peers) {
        nng_close(socketFromId(peer.socket));
    }
    this->peers = std::move(newPeers);
}

auto PeerTransport::sendToPeer(NodeId to, const WireMessage &message) -> void
{
    const auto peer = this->peers.find(to);
    if (peer == this->peers.end()) {
        ++this->counters.droppedMessages;
        return;
    }
    auto &[address, socket, failingSince] = peer->second;
    auto bytes = encodeEnvelope({this->self, message});
    if (nng_send(socketFromId(socket), bytes.data(), bytes.size(), NNG_FLAG_NONBLOCK) == 0) {
        failingSince = {};
        this->counters.sentBytes += bytes.size();
        ++this->counters.sentMessages;
        return;
    }
    ++this->counters.droppedMessages;
    const auto now = bootClockNow();
    if (failingSince == Instant{}) {
        failingSince = now;
    } else if (now - failingSince > RedialTimeout) {
        nng_close(socketFromId(socket));
        socket = dial(address);
        failingSince = {};
    }
}

} // namespace banyanring
