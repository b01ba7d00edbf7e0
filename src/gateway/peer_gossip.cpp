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
                       std::function<fleet::NodeStatement()> statement)
    : socket(socket), books(books), statement(std::move(statement)), random(std::random_device{}())
{
    socket.handleDecoded(
        PeerMessage::Gossip, decodeGossip,
        [this](const fleet::GossipMessage &message, const std::string &) { this->take(message); });
}

auto PeerGossip::take(const fleet::GossipMessage &message) -> void
{
    const auto now = bootClockNow();
    const auto note = [this, now](const fleet::NodeStatement &heard, bool direct) {
        const auto known = this->books.members.all().find(heard.peerAddress);
        const auto before = known == this->books.members.all().end()
                                ? fleet::NodePhase::Starting
                                : known->second.statement.phase;
        if (this->books.members.take(heard, now)) {
            logEvent("member_joined",
                     {{"member", heard.peerAddress},
                      {"direct", direct},
                      {"age_ms", static_cast<std::int64_t>(heard.age.count() / 1000)}});
        } else if (heard.phase == fleet::NodePhase::Draining && before == fleet::NodePhase::Ready) {
            logEvent("member_draining", {{"member", heard.peerAddress}});
        }
    };
    note(message.sender, true);
    for (const auto &other : message.others) {
        note(other, false);
    }
    if (message.workTold) {
        this->loads[message.sender.peerAddress] = message.loads;
    }
    this->books.servers.adoptPaces(message.paces);
    this->books.quotas.takePeer(message.sender.incarnation, message.spends, now);
    this->books.suspects.takePeer(message.suspects, now);
    if (message.replyWanted) {
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
            || !fleet::FleetMembers::alive(member->second, now)) {
            at = this->loads.erase(at);
            continue;
        }
        for (const auto &load : at->second) {
            auto &sum = sums[load.server];
            sum.requests += load.requests;
            sum.promptWork += load.promptWork;
        }
        ++at;
    }
    this->books.servers.takePeerLoads(sums);
}

auto PeerGossip::lag(Instant now) const -> Duration
{
    const auto nodes = this->books.members.live(now).size();
    const auto apart = nodes > LargeFleet ? LargeFleetRounds * FullRounds : 1;
    return LostRounds * RoundInterval
           + RoundInterval * static_cast<std::int64_t>(apart * nodes / FanOut);
}

auto PeerGossip::compose(const Parts &parts) -> std::string
{
    const auto now = bootClockNow();
    fleet::GossipMessage message;
    message.sender = this->statement();
    message.sender.sequence = ++this->sequence;
    message.replyWanted = parts.replyWanted;
    if (parts.others) {
        message.others = this->books.members.relaySample(RelayedStatements, this->random, now);
    }
    if (parts.slow) {
        message.suspects = this->books.suspects.statements(now);
        message.paces = this->paces();
    }
    if (parts.work) {
        message.workTold = true;
        message.loads = this->loadsHere();
        message.spends = this->books.quotas.ownSpends(now);
    }
    return encodeGossip(message);
}

auto PeerGossip::loadsHere() const -> std::vector<fleet::LoadStatement>
{
    std::vector<fleet::LoadStatement> result;
    for (const auto &[id, server] : this->books.servers.all()) {
        if (server->own.requests > 0) {
            result.push_back({server->number, server->own.requests,
                              static_cast<std::uint32_t>(std::max(0.0, server->own.promptWork))});
        }
    }
    return result;
}

auto PeerGossip::paces() const -> std::vector<fleet::PaceStatement>
{
    std::vector<fleet::PaceStatement> result;
    for (const auto &[id, server] : this->books.servers.all()) {
        const auto &pace = server->pace;
        if (pace.firstByte.known()) {
            result.push_back({server->number, static_cast<float>(pace.firstByte.base()),
                              static_cast<float>(pace.firstByte.slope()),
                              static_cast<float>(pace.outputMsPerToken)});
        }
    }
    return result;
}

auto PeerGossip::sendRound() -> void
{
    const auto now = bootClockNow();
    const auto round = this->rounds++;
    const auto known = this->books.members.live(now).size();
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
    const auto targets = this->books.members.gossipTargets(fanOut, this->random, bootClockNow());
    if (targets.empty()) {
        return;
    }
    const auto bytes = this->compose(parts);
    for (const auto &target : targets) {
        this->socket.send(target, PeerMessage::Gossip, bytes);
    }
}

} // namespace banyanring::gateway
