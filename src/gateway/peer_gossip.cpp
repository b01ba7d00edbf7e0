/** @file peer_gossip.cpp Gossip between nodes over UDP. */
#include "banyanring/gateway/peer_gossip.h"

#include "banyanring/adapters/log_func.h"
#include "banyanring/fleet/store_watch_election.h"
#include "banyanring/gateway/gossip_codec.h"
#include "banyanring/ports/clock_func.h"
#include "request_limit_log.h"

#include <algorithm>

namespace banyanring::gateway {

namespace {

/** Covers a whole small fleet and bounds the traffic of a larger one. */
constexpr std::size_t FanOut = 10;
/** Rounds between messages that contain all sections. */
constexpr std::uint64_t RoundsPerFullMessage = 5;
/**
 * In a larger fleet nodes relay heartbeats: every second round is skipped, and the others reach few
 * nodes. Loads and usages are sent in full messages only, as coordinators have newer ones.
 */
constexpr std::size_t LargeFleetSize = 20;
constexpr std::uint64_t LargeFleetRoundStride = 2;
constexpr std::size_t LargeFleetFanOut = 3;
/** Nodes of other domains among these; heartbeats spread within the domains meanwhile. */
constexpr std::size_t LargeFleetDistantFanOut = 1;
constexpr std::uint64_t StartupRounds = 30; ///< A node that has just started skips none of these.
/** Together with the fan-out, refreshes 350 nodes within their timeout. */
constexpr std::size_t MaxHeartbeats = 64;
/** A draining phase has to reach all nodes within a second. */
constexpr std::size_t AnnounceFanOut = 30;
constexpr int ToleratedLostRounds = 4; ///< Lost or late rounds that propagationDelay() allows for.
/** A sample suffices for a node that has just started: it requests the others by their heartbeats.
 */
constexpr std::size_t MaxRelayedStatuses = 8;
constexpr std::size_t MaxRequestedStatuses = 64; ///< Limits the size of a message.
/** Covers the round trip to a distant node, and the time of its tick. */
constexpr Duration StatusRequestInterval = std::chrono::milliseconds(200);
/** A node of an earlier release is heard within this time in fleets of the usual sizes. */
constexpr Duration OlderReleaseMemory = std::chrono::seconds(10);
constexpr std::size_t MaxLatencyReports = 16; ///< Per message; the others follow in turn.
constexpr std::size_t MaxUsageReports = 64; ///< Likewise.

/**
 * Selects the next items of a list in turn.
 * @param items The list; reduced to the selected items.
 * @param maxCount Maximum number of items.
 * @param sent Number of items selected so far, in all turns.
 */
template <typename Item>
auto selectInTurn(std::vector<Item> &items, std::size_t maxCount, std::size_t &sent) -> void
{
    if (items.size() <= maxCount) {
        return;
    }
    std::rotate(items.begin(), items.begin() + static_cast<std::ptrdiff_t>(sent % items.size()),
                items.end());
    items.resize(maxCount);
    sent += maxCount;
}

} // namespace

PeerGossip::PeerGossip(PeerSocket &socket, NodeState &state,
                       std::function<fleet::NodeStatus()> ownStatus)
    : socket(socket), state(state), ownStatus(std::move(ownStatus)), random(std::random_device{}())
{
    socket.setDecodedHandler(PeerMessageType::Gossip, decodeGossip,
                             [this](const fleet::GossipMessage &message, const std::string &) {
                                 this->handleMessage(message);
                             });
    socket.setDecodedHandler(
        PeerMessageType::StatusRequest, decodeStatusRequest,
        [this](const std::vector<std::uint32_t> &addressHashes, const std::string &from) {
            this->sendStatuses(from, addressHashes);
        });
}

auto PeerGossip::mergeStatus(const fleet::NodeStatus &status, bool direct, Instant now) -> void
{
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
}

auto PeerGossip::handleMessage(const fleet::GossipMessage &message) -> void
{
    const auto now = bootClockNow();
    this->mergeStatus(message.sender, true, now);
    for (const auto &relayed : message.relayedStatuses) {
        this->mergeStatus(relayed, false, now);
    }
    std::vector<std::uint32_t> unknownStatuses;
    for (const auto &heartbeat : message.heartbeats) {
        if (this->state.members.mergeHeartbeat(heartbeat, now)) {
            unknownStatuses.push_back(heartbeat.addressHash);
        }
    }
    this->requestStatuses(message.sender.peerAddress, std::move(unknownStatuses), now);
    if (!message.relaysHeartbeats) {
        this->olderReleaseHeardAt = now;
    }
    if (message.hasLoads) {
        this->peerLoads[message.sender.peerAddress] = message.loads;
        this->loadsChanged = true;
    }
    this->state.servers.adoptPeerLatencies(message.latencies);
    this->state.quotas.mergePeerUsage(message.sender.incarnation, message.usages, now);
    this->state.crashSuspects.mergePeerReports(message.crashSuspects, now);
    mergeRequestLimits(this->state.servers, message.requestLimits, message.sender.peerAddress, now);
    if (message.replyRequested) {
        this->socket.send(message.sender.peerAddress, PeerMessageType::Gossip,
                          this->compose({.relayedStatuses = true,
                                         .heartbeats = true,
                                         .slowlyChanging = true,
                                         .loadsAndUsages = true,
                                         .complete = true}));
    }
}

auto PeerGossip::requestStatuses(const std::string &peer, std::vector<std::uint32_t> addressHashes,
                                 Instant now) -> void
{
    std::erase_if(this->statusRequestedAt, [now](const auto &request) {
        return now - request.second >= StatusRequestInterval;
    });
    std::erase_if(addressHashes, [this](std::uint32_t addressHash) {
        return this->statusRequestedAt.contains(addressHash);
    });
    if (addressHashes.empty()) {
        return;
    }
    addressHashes.resize(std::min(addressHashes.size(), MaxRequestedStatuses));
    for (const auto addressHash : addressHashes) {
        this->statusRequestedAt[addressHash] = now;
    }
    this->socket.send(peer, PeerMessageType::StatusRequest, encodeStatusRequest(addressHashes));
}

auto PeerGossip::sendStatuses(const std::string &peer, std::span<const std::uint32_t> addressHashes)
    -> void
{
    auto message = this->beginMessage();
    message.relayedStatuses = this->state.members.findStatuses(
        addressHashes.first(std::min(addressHashes.size(), MaxRequestedStatuses)), bootClockNow());
    this->socket.send(peer, PeerMessageType::Gossip, encodeGossip(message));
}

auto PeerGossip::applyPeerLoads(Instant now) -> void
{
    const auto generation = this->state.members.generation(now);
    const bool membersChanged = std::exchange(this->appliedGeneration, generation) != generation;
    if (!std::exchange(this->loadsChanged, false) && !membersChanged) {
        return;
    }
    std::unordered_map<std::uint32_t, fleet::ServerLoad> sums;
    for (auto peer = this->peerLoads.begin(); peer != this->peerLoads.end();) {
        const auto member = this->state.members.all().find(peer->first);
        if (member == this->state.members.all().end()
            || !this->state.members.isAlive(member->second, now)) {
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
    const bool largeFleet = aliveCount > LargeFleetSize;
    const auto roundsBetween = largeFleet ? LargeFleetRoundStride * RoundsPerFullMessage : 1;
    return ToleratedLostRounds * RoundInterval
           + RoundInterval
                 * static_cast<std::int64_t>(roundsBetween * aliveCount
                                             / (largeFleet ? LargeFleetFanOut : FanOut));
}

auto PeerGossip::beginMessage() -> fleet::GossipMessage
{
    fleet::GossipMessage message;
    message.sender = this->ownStatus();
    message.sender.sequence = ++this->sequence;
    message.relaysHeartbeats = true;
    return message;
}

auto PeerGossip::compose(const Sections &sections) -> std::string
{
    const auto now = bootClockNow();
    auto message = this->beginMessage();
    message.replyRequested = sections.replyRequested;
    if (sections.relayedStatuses) {
        message.relayedStatuses =
            this->state.members.sampleStatuses(MaxRelayedStatuses, this->random, now);
    }
    if (sections.heartbeats) {
        message.heartbeats = this->state.members.selectHeartbeats(MaxHeartbeats, this->random, now);
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
    if (!sections.complete) {
        selectInTurn(message.latencies, MaxLatencyReports, this->latenciesSent);
        selectInTurn(message.usages, MaxUsageReports, this->usagesSent);
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
    if (largeFleet && round >= StartupRounds && round % LargeFleetRoundStride != 0) {
        return;
    }
    this->verifyDoubtfulMembers(now);
    const auto fullMessageStride =
        largeFleet ? LargeFleetRoundStride * RoundsPerFullMessage : RoundsPerFullMessage;
    const bool fullMessage = alone || round % fullMessageStride == 0;
    const bool withOlderRelease =
        this->olderReleaseHeardAt && now - *this->olderReleaseHeardAt < OlderReleaseMemory;
    const bool reachesFew = largeFleet && !withOlderRelease;
    this->sendToPeers(reachesFew ? LargeFleetFanOut : FanOut,
                      reachesFew ? LargeFleetDistantFanOut : FanOut,
                      {.replyRequested = alone,
                       .relayedStatuses = fullMessage || (largeFleet && withOlderRelease),
                       .heartbeats = fullMessage || largeFleet,
                       .slowlyChanging = fullMessage,
                       .loadsAndUsages = fullMessage || !largeFleet});
}

auto PeerGossip::verifyDoubtfulMembers(Instant now) -> void
{
    auto doubtful = this->state.members.doubtfulMembers(now);
    if (doubtful.empty()) {
        return;
    }
    const auto peer = this->state.members.sampleAlive(1, this->random, now);
    this->requestStatuses(peer.front()->status.peerAddress, std::move(doubtful), now);
}

auto PeerGossip::announcePhase() -> void
{
    this->sendToPeers(AnnounceFanOut, AnnounceFanOut,
                      {.slowlyChanging = true, .loadsAndUsages = true});
}

auto PeerGossip::sendToPeers(std::size_t fanOut, std::size_t distantFanOut,
                             const Sections &sections) -> void
{
    const auto now = bootClockNow();
    auto targets = this->state.members.gossipTargets(fanOut, distantFanOut, this->random, now);
    if (this->ownStatus().watchesStore) {
        for (auto &successor :
             this->state.members.watchSuccessors(fleet::StoreWatchElection::Successors, now)) {
            if (std::find(targets.begin(), targets.end(), successor) == targets.end()) {
                targets.push_back(std::move(successor));
            }
        }
    }
    if (targets.empty()) {
        return;
    }
    const auto bytes = this->compose(sections);
    for (const auto &target : targets) {
        this->socket.send(target, PeerMessageType::Gossip, bytes);
    }
}

} // namespace banyanring::gateway
