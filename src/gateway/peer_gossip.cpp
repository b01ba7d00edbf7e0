/** @file peer_gossip.cpp Gossip between nodes over UDP. */
#include "banyanring/gateway/peer_gossip.h"

#include "banyanring/adapters/log_func.h"
#include "banyanring/gateway/gossip_codec.h"
#include "banyanring/ports/clock_func.h"

namespace banyanring::gateway {

namespace {

/** Everyone in a small fleet; keeps the bytes of a large one bounded. */
constexpr std::size_t FanOut = 10;
/** Rounds between messages with what a small fleet hears of often enough. */
constexpr std::uint64_t FullRounds = 5;
/**
 * In a larger fleet each node is heard of by relays, so every second round is left out, the others
 * relay, and work and admissions, which keepers know better, go with full messages only.
 */
constexpr std::size_t LargeFleet = 2 * FanOut;
constexpr std::uint64_t LargeFleetRounds = 2;
/** News of a stop is to be everywhere within a second. */
constexpr std::size_t AnnounceFanOut = 3 * FanOut;
constexpr int LostRounds = 4; ///< Rounds that may be lost or late before a node is missed.
constexpr std::size_t RelayedStatements = 8; ///< A sample; news spreads in a few rounds.

} // namespace

PeerGossip::PeerGossip(PeerSocket &socket, NodeBooks &books,
                       std::function<fleet::NodeStatus()> statement)
    : socket(socket), books(books), statement(std::move(statement)), random(std::random_device{}())
{
    socket.handleDecoded(
        PeerMessage::Gossip, decodeGossip,
        [this](const fleet::GossipMessage &message, const std::string &) { this->take(message); });
}

auto PeerGossip::take(const fleet::GossipMessage &message) -> void
{
    const auto now = bootNow();
    const auto note = [this, now](const fleet::NodeStatus &heard, bool direct) {
        const auto known = this->books.members.all().find(heard.peerAddress);
        const auto before = known == this->books.members.all().end() ? fleet::NodePhase::Starting
                                                                     : known->second.status.phase;
        if (this->books.members.mergeStatus(heard, now)) {
            logEvent("member_joined",
                     {{"member", heard.peerAddress},
                      {"direct", direct},
                      {"age_ms", static_cast<std::int64_t>(heard.age.count() / 1000)}});
        } else if (heard.phase == fleet::NodePhase::Draining && before == fleet::NodePhase::Ready) {
            logEvent("member_draining", {{"member", heard.peerAddress}});
        }
    };
    note(message.sender, true);
    for (const auto &other : message.relayedStatuses) {
        note(other, false);
    }
    if (message.hasLoads) {
        this->loads[message.sender.peerAddress] = message.loads;
    }
    this->books.servers.adoptPeerLatencies(message.latencies);
    this->books.quotas.mergePeerUsage(message.sender.incarnation, message.usages, now);
    this->books.suspects.mergePeerReports(message.crashSuspects, now);
    if (message.replyRequested) {
        this->socket.send(message.sender.peerAddress, PeerMessage::Gossip,
                          this->compose({false, true, true, true}));
    }
}

auto PeerGossip::applyLoads(Instant now) -> void
{
    std::unordered_map<std::uint32_t, fleet::ServerLoad> sums;
    for (auto at = this->loads.begin(); at != this->loads.end();) {
        const auto member = this->books.members.all().find(at->first);
        if (member == this->books.members.all().end()
            || !fleet::FleetMembers::isAlive(member->second, now)) {
            at = this->loads.erase(at);
            continue;
        }
        for (const auto &load : at->second) {
            auto &sum = sums[load.serverHash];
            sum.requests += load.requests;
            sum.promptWork += load.promptWork;
        }
        ++at;
    }
    this->books.servers.setPeerLoads(sums);
}

auto PeerGossip::lag(Instant now) const -> Duration
{
    const auto nodes = this->books.members.aliveMembers(now).size();
    const auto apart = nodes > LargeFleet ? LargeFleetRounds * FullRounds : 1;
    return LostRounds * RoundInterval
           + RoundInterval * static_cast<std::int64_t>(apart * nodes / FanOut);
}

auto PeerGossip::compose(const Parts &parts) -> std::string
{
    const auto now = bootNow();
    fleet::GossipMessage message;
    message.sender = this->statement();
    message.sender.sequence = ++this->sequence;
    message.replyRequested = parts.replyWanted;
    if (parts.others) {
        message.relayedStatuses =
            this->books.members.sampleStatuses(RelayedStatements, this->random, now);
    }
    if (parts.slow) {
        message.crashSuspects = this->books.suspects.reports(now);
        message.latencies = this->paces();
    }
    if (parts.work) {
        message.hasLoads = true;
        message.loads = this->loadsHere();
        message.usages = this->books.quotas.ownUsages(now);
    }
    return encodeGossip(message);
}

auto PeerGossip::loadsHere() const -> std::vector<fleet::ServerLoadReport>
{
    std::vector<fleet::ServerLoadReport> result;
    for (const auto &[id, server] : this->books.servers.all()) {
        if (server->ownLoad.requests > 0) {
            result.push_back(
                {server->hash, server->ownLoad.requests,
                 static_cast<std::uint32_t>(std::max(0.0, server->ownLoad.promptWork))});
        }
    }
    return result;
}

auto PeerGossip::paces() const -> std::vector<fleet::ServerLatencyReport>
{
    std::vector<fleet::ServerLatencyReport> result;
    for (const auto &[id, server] : this->books.servers.all()) {
        const auto &pace = server->stats;
        if (pace.firstByteFit.hasSamples()) {
            result.push_back({server->hash, static_cast<float>(pace.firstByteFit.intercept()),
                              static_cast<float>(pace.firstByteFit.slope()),
                              static_cast<float>(pace.outputMsPerToken)});
        }
    }
    return result;
}

auto PeerGossip::sendRound() -> void
{
    const auto now = bootNow();
    const auto round = this->rounds++;
    const auto known = this->books.members.aliveMembers(now).size();
    const bool alone = known == 0;
    const bool large = known > LargeFleet;
    if (large && round % LargeFleetRounds != 0) {
        return;
    }
    const auto fullRounds = large ? LargeFleetRounds * FullRounds : FullRounds;
    const bool full = alone || round % fullRounds == 0;
    this->sendTo(FanOut, {alone, full || large, full, full || !large});
}

auto PeerGossip::announce() -> void
{
    this->sendTo(AnnounceFanOut, {false, false, true, true});
}

auto PeerGossip::sendTo(std::size_t fanOut, const Parts &parts) -> void
{
    const auto targets = this->books.members.gossipTargets(fanOut, this->random, bootNow());
    if (targets.empty()) {
        return;
    }
    const auto bytes = this->compose(parts);
    for (const auto &target : targets) {
        this->socket.send(target, PeerMessage::Gossip, bytes);
    }
}

} // namespace banyanring::gateway
