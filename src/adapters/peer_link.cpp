/** @file peer_link.cpp The transport between nodes over nng. */
#include "banyanring/adapters/peer_link.h"

#include "banyanring/adapters/log_func.h"
#include "banyanring/ports/clock_func.h"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

namespace banyanring {

namespace {

constexpr std::size_t MaxMessageBytes = 32U << 20U; ///< Holds every published value.
constexpr std::size_t RingCapacity = 4096; ///< Messages that wait for the sending thread.
constexpr int SendBuffer = 64; ///< Messages that wait on one connection.
constexpr nng_duration ReceiveTimeoutMs = 200; ///< The receiving thread looks for a stop then.
constexpr nng_duration MinReconnectMs = 50; ///< First wait before a new connection.
constexpr nng_duration MaxReconnectMs = 1000; ///< Longest wait before a new connection.
constexpr Duration RedialAfter =
    std::chrono::seconds(3); ///< A connection refusing sends is replaced.
constexpr std::chrono::milliseconds PopTimeout{200};

/** @return The nng socket with a raw id. */
auto socketOf(std::uint32_t id) -> nng_socket
{
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    socket.id = id;
    return socket;
}

/** Opens a socket that dials @p address in the background; returns 0 if it cannot be made. */
auto dial(const std::string &address) -> std::uint32_t
{
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    if (nng_push0_open(&socket) != 0) {
        return 0;
    }
    nng_socket_set_int(socket, NNG_OPT_SENDBUF, SendBuffer);
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

PeerLink::PeerLink(NodeId self, const std::string &listen, Receiver receiver)
    : self(self), receiver(std::move(receiver)), jobs(RingCapacity, 1)
{
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    auto error = nng_pull0_open(&socket);
    if (error == 0) {
        nng_socket_set_size(socket, NNG_OPT_RECVMAXSZ, MaxMessageBytes);
        nng_socket_set_ms(socket, NNG_OPT_RECVTIMEO, ReceiveTimeoutMs);
        error = nng_listen(socket, ("tcp://" + listen).c_str(), nullptr, 0);
    }
    if (error != 0) {
        throw std::runtime_error("peer address " + listen + ": " + nng_strerror(error));
    }
    this->listenSocket = socket.id;
    this->receiving = std::thread([this] { this->receiveLoop(); });
    this->sending = std::thread([this] { this->sendLoop(); });
}

PeerLink::~PeerLink()
{
    this->stopping = true;
    this->receiving.join();
    this->sending.join();
    nng_close(socketOf(this->listenSocket));
    for (const auto &[node, peer] : this->peers) {
        nng_close(socketOf(peer.socket));
    }
}

auto PeerLink::setPeers(const VmListPtr &list) -> void
{
    this->jobs.push(Lane::Control, list);
}

auto PeerLink::send(NodeId to, WireMessage message) -> void
{
    if (!this->jobs.push(Lane::Control, std::pair{to, std::move(message)})) {
        ++this->counts.lost;
    }
}

auto PeerLink::receiveLoop() -> void
{
    while (!this->stopping) {
        void *bytes = nullptr;
        std::size_t size = 0;
        if (nng_recv(socketOf(this->listenSocket), &bytes, &size, NNG_FLAG_ALLOC) != 0) {
            continue;
        }
        auto envelope = decodePeer({static_cast<const char *>(bytes), size});
        nng_free(bytes, size);
        this->counts.receivedBytes += size;
        ++this->counts.receivedMessages;
        if (envelope) {
            this->receiver(std::move(*envelope));
        } else if (++this->counts.garbage == 1) {
            logEvent("peer_garbage", {{"bytes", std::to_string(size)}});
        }
    }
}

auto PeerLink::sendLoop() -> void
{
    while (!this->stopping) {
        const auto job = this->jobs.pop(PopTimeout);
        if (!job) {
            continue;
        }
        if (const auto *list = std::get_if<VmListPtr>(&*job)) {
            this->applyPeers(**list);
        } else {
            const auto &[to, message] = std::get<std::pair<NodeId, WireMessage>>(*job);
            this->sendNow(to, message);
        }
    }
}

auto PeerLink::applyPeers(const VmList &list) -> void
{
    std::map<NodeId, Peer> next;
    for (const auto &vm : list.vms) {
        if (vm.id == this->self) {
            continue;
        }
        const auto old = this->peers.find(vm.id);
        if (old != this->peers.end() && old->second.address == vm.peerAddress) {
            next[vm.id] = old->second;
            this->peers.erase(old);
        } else {
            next[vm.id] = {vm.peerAddress, dial(vm.peerAddress), {}};
        }
    }
    for (const auto &[node, peer] : this->peers) {
        nng_close(socketOf(peer.socket));
    }
    this->peers = std::move(next);
}

auto PeerLink::sendNow(NodeId to, const WireMessage &message) -> void
{
    const auto peer = this->peers.find(to);
    if (peer == this->peers.end()) {
        ++this->counts.lost;
        return;
    }
    auto &[address, socket, refusedSince] = peer->second;
    auto bytes = encodePeer({this->self, message});
    if (nng_send(socketOf(socket), bytes.data(), bytes.size(), NNG_FLAG_NONBLOCK) == 0) {
        refusedSince = {};
        this->counts.sentBytes += bytes.size();
        ++this->counts.sentMessages;
        return;
    }
    ++this->counts.lost;
    const auto now = bootNow();
    if (refusedSince == Instant{}) {
        refusedSince = now;
    } else if (now - refusedSince > RedialAfter) {
        nng_close(socketOf(socket));
        socket = dial(address);
        refusedSince = {};
    }
}

} // namespace banyanring
