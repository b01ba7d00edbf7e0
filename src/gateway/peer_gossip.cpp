/** @file peer_gossip.cpp Gossip between nodes over UDP. */
#include "banyanring/gateway/peer_gossip.h"

#include "banyanring/adapters/log_func.h"
#include "banyanring/gateway/gossip_codec.h"
#include "banyanring/ports/clock_func.h"
#include "request_limit_log.h"

namespace banyanring::gateway {

namespace {

/** Covers a whole small fleet and bounds the traffic of a large one. */
constexpr std::size_t FanOut = 10;
/** Rounds between messages that contain all sections. */
constexpr std::uint64_t RoundsPerFullMessage = 5;
/**
 * In a larger fleet statuses spread by relaying: every second round is skipped, and the others
 * relay statuses. Loads and usages are sent in full messages only, as coordinators have newer ones.
 */
constexpr std::size_t LargeFleetSize = 2 * FanOut;
constexpr std::uint64_t LargeFleetRoundStride = 2;
/** A draining phase has to reach all nodes within a second. */
constexpr std::size_t AnnounceFanOut = 3 * FanOut;
constexpr int ToleratedLostRounds = 4; ///< Lost or late rounds that propagationDelay() allows for.
/** A sample suffices, since a status reaches all nodes within a few rounds. */
constexpr std::size_t MaxRelayedStatuses = 8;

} // namespace

PeerGossip::PeerGossip(PeerSocket &socket, NodeState &state,
                       std::function<fleet::NodeStatus()> ownStatus)
    : socket(socket), state(state), ownStatus(std::move(ownStatus)), random(std::random_device{}())
{
    socket.setDecodedHandler(PeerMessageType::Gossip, decodeGossip,
                             [this](const fleet::GossipMessage &message, const std::string &) {
                                 this->handleMessage(message);
                             });
}

auto PeerGossip::handleMessage(const fleet::GossipMessage &message) -> void
{
    const auto now = bootClockNow();
    const auto mergeStatus = [this, now](const fleet::NodeStatus &status, bool direct) {
        const auto member = this->state.members.all().find(status.peerAddress);
        const auto previousPhase = member == this->state.members.all().end()
                                       ? fleet::NodePhase::Starting
                                       : member->second.status.phase;
        if (this->state.members.mergeStatus(status, now)) {
            logEvent("member_joined",
                     {{"member", status.peerAddress},
                      {"direct", direct},
                      {"age_ms", static_cast<std::int64_t>(status.age.count() / 1000)}});
        } else if (status.phase == fleet::NodePhase::Draining
                   && previousPhase == fleet::NodePhase::Ready) {
            logEvent("member_draining", {{"member", status.peerAddress}});
        }
    };
    mergeStatus(message.sender, true);
    for (const auto &relayed : message.relayedStatuses) {
        mergeStatus(relayed, false);
    }
    if (message.hasLoads) {
        this->peerLoads[message.sender.peerAddress] = message.loads;
    }
    this->state.servers.adoptPeerLatencies(message.latencies);
    this->state.quotas.mergePeerUsage(message.sender.incarnation, message.usages, now);
    this->state.crashSuspects.mergePeerReports(message.crashSuspects, now);
    mergeRequestLimits(this->state.servers, message.requestLimits, message.sender.peerAddress, now);
    if (message.replyRequested) {
        this->socket.send(message.sender.peerAddress, PeerMessageType::Gossip,
                          this->compose({false, true, true, true}));
    }
}

auto PeerGossip::applyPeerLoads(Instant now) -> void
{
    std::unordered_map<std::uint32_t, fleet::ServerLoad> sums;
    for (auto peer = this->peerLoads.begin(); peer != this->peerLoads.end();) {
        const auto member = this->state.members.all().find(peer->first);
        if (member == this->state.members.all().end()
            || !fleet::FleetMembers::isAlive(member->second, now)) {
            peer = this->peerLoads.erase(peer);
            continue;
        }
        for (const auto &load : peer->second) {
            auto &sum = sums[load.serverHash];
            sum.requests += load.requests;
            sum.promptWork += load.promptWork;
        }
        ++peer;
    }
    this->state.servers.setPeerLoads(sums);
}

auto PeerGossip::propagationDelay(Instant now) const -> Duration
{
    const auto aliveCount = this->state.members.aliveMembers(now).size();
    const auto roundsBetween =
        aliveCount > LargeFleetSize ? LargeFleetRoundStride * RoundsPerFullMessage : 1;
    return ToleratedLostRounds * RoundInterval
           + RoundInterval * static_cast<std::int64_t>(roundsBetween * aliveCount / FanOut);
}

auto PeerGossip::compose(const Sections &sections) -> std::string
{
    const auto now = bootClockNow();
    fleet::GossipMessage message;
    message.sender = this->ownStatus();
    message.sender.sequence = ++this->sequence;
    message.replyRequested = sections.replyRequested;
    if (sections.relayedStatuses) {
        message.relayedStatuses =
            this->state.members.sampleStatuses(MaxRelayedStatuses, this->random, now);
    }
    if (sections.slowlyChanging || this->state.crashSuspects.hasNews(now)) {
        message.crashSuspects = this->state.crashSuspects.reports(now);
    }
    message.requestLimits = this->state.servers.requestLimitNews(now);
    if (sections.slowlyChanging) {
        message.latencies = this->latencyReports();
    }
    if (sections.loadsAndUsages) {
        message.hasLoads = true;
        message.loads = this->ownLoads();
        message.usages = this->state.quotas.ownUsages(now);
    }
    return encodeGossip(message);
}

auto PeerGossip::ownLoads() const -> std::vector<fleet::ServerLoadReport>
{
    std::vector<fleet::ServerLoadReport> result;
    for (const auto &[id, server] : this->state.servers.all()) {
        if (server->ownLoad.requests > 0) {
            result.push_back(
                {server->hash, server->ownLoad.requests,
                 static_cast<std::uint32_t>(std::max(0.0, server->ownLoad.promptWork))});
        }
    }
    return result;
}

auto PeerGossip::latencyReports() const -> std::vector<fleet::ServerLatencyReport>
{
    std::vector<fleet::ServerLatencyReport> result;
    for (const auto &[id, server] : this->state.servers.all()) {
        const auto &stats = server->stats;
        if (stats.firstByteFit.hasSamples()) {
            result.push_back({server->hash, static_cast<float>(stats.firstByteFit.intercept()),
                              static_cast<float>(stats.firstByteFit.slope()),
                              static_cast<float>(stats.outputMsPerToken)});
        }
    }
    return result;
}

auto PeerGossip::sendRound() -> void
{
    const auto now = bootClockNow();
    const auto round = this->rounds++;
    const auto aliveCount = this->state.members.aliveMembers(now).size();
    const bool alone = aliveCount == 0;
    const bool largeFleet = aliveCount > LargeFleetSize;
    if (largeFleet && round % LargeFleetRoundStride != 0) {
        return;
    }
    const auto fullMessageStride =
        largeFleet ? LargeFleetRoundStride * RoundsPerFullMessage : RoundsPerFullMessage;
    const bool fullMessage = alone || round % fullMessageStride == 0;
    this->sendToPeers(FanOut,
                      {alone, fullMessage || largeFleet, fullMessage, fullMessage || !largeFleet});
}

auto PeerGossip::announcePhase() -> void
{
    this->sendToPeers(AnnounceFanOut, {false, false, true, true});
}

auto PeerGossip::sendToPeers(std::size_t fanOut, const Sections &sections) -> void
{
    const auto targets = this->state.members.gossipTargets(fanOut, this->random, bootClockNow());
    if (targets.empty()) {
        return;
    }
    const auto bytes = this->compose(sections);
    for (const auto &target : targets) {
        this->socket.send(target, PeerMessageType::Gossip, bytes);
    }
}

} // namespace banyanring::gateway
