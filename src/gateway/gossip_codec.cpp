/** @file gossip_codec.cpp Encodes and decodes messages between nodes as msgpack. */
#include "banyanring/gateway/gossip_codec.h"

#include "msgpack_func.h"
#include "request_limit_codec_func.h"

#include <span>

namespace banyanring::gateway {

namespace {

using std::chrono::milliseconds;

constexpr std::int64_t NoAnswer = -1; ///< Sent for a suspect that was not answered recently.
constexpr std::size_t HeartbeatBytes = 9; ///< Hash, stamp, sequence and age, little-endian.
constexpr Duration HeartbeatAgeUnit = milliseconds(20); ///< Ages up to 5.1 s fit into a byte.
constexpr std::int64_t MaxHeartbeatAge = 255; ///< In units.

using StatusTuple =
    std::tuple<std::string, std::string, std::string, std::uint64_t, std::uint64_t, std::uint8_t,
               std::uint64_t, std::uint64_t, bool, bool, std::int64_t, std::uint64_t, bool>;
using LoadTuple = std::tuple<std::uint32_t, std::uint32_t, std::uint32_t>;
using LatencyTuple = std::tuple<std::uint32_t, float, float, float>;
using UsageTuple = std::tuple<std::uint32_t, double, double, double, double, double, double>;
using UsageReportTuple = std::tuple<int, std::uint64_t, std::uint64_t, UsageTuple>;
using UsageReplyTuple = std::tuple<int, std::uint64_t, std::uint32_t, double, double, double, bool>;
/** Suspect, servers, age of the last answer, ages of the crashes, run times; times in ms. */
using SuspectTuple = std::tuple<std::uint64_t, std::vector<std::uint32_t>, std::int64_t,
                                std::vector<std::uint32_t>, std::vector<std::uint32_t>>;
using GossipTuple =
    std::tuple<int, StatusTuple, std::vector<StatusTuple>, std::vector<LoadTuple>,
               std::vector<UsageTuple>, std::vector<SuspectTuple>, bool, std::vector<LatencyTuple>,
               bool, std::vector<RequestLimitTuple>, bool, std::string>;
using StatusRequestTuple = std::tuple<int, std::vector<std::uint32_t>>;
using ItemTuple = std::tuple<std::string, std::string, std::uint64_t, std::uint64_t>;
using ChangeTuple = std::tuple<std::string, std::string, std::uint64_t, bool>;
using ChangeBatchTuple =
    std::tuple<int, std::uint64_t, std::uint64_t, std::vector<ChangeTuple>, bool, std::uint64_t>;
using MirrorTuple =
    std::tuple<int, std::uint64_t, std::vector<ItemTuple>, std::uint64_t, std::string, std::string>;

/** @return The tuple that is sent for a node's status. */
auto toTuple(const fleet::NodeStatus &status) -> StatusTuple
{
    return {status.peerAddress,    status.entryAddress,  status.domain,
            status.incarnation,    status.sequence,      static_cast<std::uint8_t>(status.phase),
            status.configVersion,  status.storeRevision, status.watchesStore,
            status.storeReachable, status.age.count(),   status.storeEra,
            status.storeUntried};
}

/** @return The node status of a received tuple; a negative age counts as zero. */
auto fromTuple(const StatusTuple &tuple) -> fleet::NodeStatus
{
    fleet::NodeStatus status;
    std::uint8_t phase = 0;
    std::int64_t age = 0;
    std::tie(status.peerAddress, status.entryAddress, status.domain, status.incarnation,
             status.sequence, phase, status.configVersion, status.storeRevision,
             status.watchesStore, status.storeReachable, age, status.storeEra,
             status.storeUntried) = tuple;
    status.phase = static_cast<fleet::NodePhase>(phase);
    status.age = Duration(std::max<std::int64_t>(0, age));
    return status;
}

/** Appends the lowest bytes of a number, the least significant first. */
auto appendBytes(std::string &bytes, std::uint64_t value, int count) -> void
{
    for (int index = 0; index < count; ++index) {
        bytes.push_back(static_cast<char>((value >> (8 * index)) & 0xffU));
    }
}

/** @return The number in the first bytes, which are removed. */
auto takeBytes(std::string_view &bytes, std::size_t count) -> std::uint64_t
{
    std::uint64_t value = 0;
    for (std::size_t index = 0; index < count; ++index) {
        value |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[index]))
                 << (8 * index);
    }
    bytes.remove_prefix(count);
    return value;
}

/**
 * Packs heartbeats densely, as they are most of what a node sends in a large fleet. Ages are
 * rounded up, so that no relaying node makes a heartbeat younger.
 */
auto packHeartbeats(std::span<const fleet::MemberHeartbeat> heartbeats) -> std::string
{
    std::string bytes;
    bytes.reserve(heartbeats.size() * HeartbeatBytes);
    for (const auto &heartbeat : heartbeats) {
        const auto age = (heartbeat.age + HeartbeatAgeUnit - Duration(1)) / HeartbeatAgeUnit;
        if (age > MaxHeartbeatAge) {
            continue;
        }
        appendBytes(bytes, heartbeat.addressHash, 4);
        appendBytes(bytes, heartbeat.stamp, 2);
        appendBytes(bytes, heartbeat.sequence, 2);
        appendBytes(bytes, static_cast<std::uint64_t>(std::max<std::int64_t>(0, age)), 1);
    }
    return bytes;
}

/** @return The packed heartbeats; an incomplete one at the end is left out. */
auto unpackHeartbeats(std::string_view bytes) -> std::vector<fleet::MemberHeartbeat>
{
    std::vector<fleet::MemberHeartbeat> heartbeats;
    heartbeats.reserve(bytes.size() / HeartbeatBytes);
    while (bytes.size() >= HeartbeatBytes) {
        fleet::MemberHeartbeat heartbeat;
        heartbeat.addressHash = static_cast<std::uint32_t>(takeBytes(bytes, 4));
        heartbeat.stamp = static_cast<std::uint16_t>(takeBytes(bytes, 2));
        heartbeat.sequence = static_cast<std::uint16_t>(takeBytes(bytes, 2));
        heartbeat.age = HeartbeatAgeUnit * static_cast<std::int64_t>(takeBytes(bytes, 1));
        heartbeats.push_back(heartbeat);
    }
    return heartbeats;
}

/** @return The usage of a received tuple. */
auto fromTuple(const UsageTuple &tuple) -> fleet::OrganisationUsage
{
    const auto &[organisation, totalUnits, windowUnits, fleetWindowUnits, demandPerSecond,
                 pendingUnits, newerHalfUnits] = tuple;
    return {organisation,    totalUnits,   windowUnits,   fleetWindowUnits,
            demandPerSecond, pendingUnits, newerHalfUnits};
}

/** @return A time of a received message, given in milliseconds. */
auto toDuration(std::uint32_t timeMs) -> Duration
{
    return milliseconds(timeMs);
}

/** @return A time in whole milliseconds. */
auto toMs(Duration time) -> std::uint32_t
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, time / milliseconds(1)));
}

/** @return The tuple that is sent for a crash suspect. */
auto toTuple(const fleet::CrashSuspectReport &report) -> SuspectTuple
{
    SuspectTuple tuple{report.suspect, {}, NoAnswer, {}, {}};
    if (report.answerAge) {
        std::get<2>(tuple) = toMs(*report.answerAge);
    }
    for (const auto &crash : report.crashes) {
        std::get<1>(tuple).push_back(crash.serverHash);
        std::get<3>(tuple).push_back(toMs(crash.age));
        std::get<4>(tuple).push_back(toMs(crash.runTime));
    }
    return tuple;
}

/** @return The crash suspect of a received tuple; a crash without a time has just happened. */
auto fromTuple(const SuspectTuple &tuple) -> fleet::CrashSuspectReport
{
    const auto &[suspect, serverHashes, answerAgeMs, agesMs, runTimesMs] = tuple;
    fleet::CrashSuspectReport report{suspect, std::nullopt, {}};
    if (answerAgeMs >= 0) {
        report.answerAge = toDuration(static_cast<std::uint32_t>(answerAgeMs));
    }
    for (std::size_t index = 0; index < serverHashes.size(); ++index) {
        report.crashes.push_back({serverHashes[index],
                                  toDuration(index < agesMs.size() ? agesMs[index] : 0),
                                  toDuration(index < runTimesMs.size() ? runTimesMs[index] : 0)});
    }
    return report;
}

/** @return The tuple that is sent for an organisation's usage. */
auto toTuple(const fleet::OrganisationUsage &usage) -> UsageTuple
{
    return {usage.organisation,    usage.totalUnits,   usage.windowUnits,   usage.fleetWindowUnits,
            usage.demandPerSecond, usage.pendingUnits, usage.newerHalfUnits};
}

} // namespace

auto encodeGossip(const fleet::GossipMessage &message) -> std::string
{
    GossipTuple tuple;
    std::get<0>(tuple) = WireVersion;
    std::get<1>(tuple) = toTuple(message.sender);
    for (const auto &other : message.relayedStatuses) {
        std::get<2>(tuple).push_back(toTuple(other));
    }
    for (const auto &load : message.loads) {
        std::get<3>(tuple).emplace_back(load.serverHash, load.requests, load.promptWork);
    }
    for (const auto &latency : message.latencies) {
        std::get<7>(tuple).emplace_back(latency.serverHash, latency.firstByteMs,
                                        latency.promptMsPerToken, latency.outputMsPerToken);
    }
    for (const auto &usage : message.usages) {
        std::get<4>(tuple).push_back(toTuple(usage));
    }
    for (const auto &suspect : message.crashSuspects) {
        std::get<5>(tuple).push_back(toTuple(suspect));
    }
    std::get<6>(tuple) = message.replyRequested;
    std::get<8>(tuple) = message.hasLoads;
    for (const auto &limit : message.requestLimits) {
        std::get<9>(tuple).push_back(toTuple(limit));
    }
    std::get<10>(tuple) = message.relaysHeartbeats;
    std::get<11>(tuple) = packHeartbeats(message.heartbeats);
    return packMessage(tuple);
}

auto decodeGossip(std::string_view bytes) -> std::optional<fleet::GossipMessage>
{
    const auto tuple = unpackMessage<GossipTuple>(bytes);
    if (!tuple) {
        return std::nullopt;
    }
    fleet::GossipMessage message;
    message.sender = fromTuple(std::get<1>(*tuple));
    for (const auto &other : std::get<2>(*tuple)) {
        message.relayedStatuses.push_back(fromTuple(other));
    }
    for (const auto &[serverHash, requests, promptWork] : std::get<3>(*tuple)) {
        message.loads.push_back({serverHash, requests, promptWork});
    }
    for (const auto &[serverHash, firstByteMs, promptMsPerToken, outputMsPerToken] :
         std::get<7>(*tuple)) {
        message.latencies.push_back({serverHash, firstByteMs, promptMsPerToken, outputMsPerToken});
    }
    for (const auto &usage : std::get<4>(*tuple)) {
        message.usages.push_back(fromTuple(usage));
    }
    for (const auto &suspect : std::get<5>(*tuple)) {
        message.crashSuspects.push_back(fromTuple(suspect));
    }
    message.replyRequested = std::get<6>(*tuple);
    message.hasLoads = std::get<8>(*tuple);
    message.requestLimits = fromTuples(std::get<9>(*tuple));
    message.relaysHeartbeats = std::get<10>(*tuple);
    message.heartbeats = unpackHeartbeats(std::get<11>(*tuple));
    return message;
}

auto encodeStatusRequest(const std::vector<std::uint32_t> &addressHashes) -> std::string
{
    return packMessage(StatusRequestTuple{WireVersion, addressHashes});
}

auto decodeStatusRequest(std::string_view bytes) -> std::optional<std::vector<std::uint32_t>>
{
    auto tuple = unpackMessage<StatusRequestTuple>(bytes);
    return tuple ? std::optional(std::move(std::get<1>(*tuple))) : std::nullopt;
}

auto encodeUsageReport(const fleet::UsageReport &report) -> std::string
{
    return packMessage(
        UsageReportTuple{WireVersion, report.incarnation, report.queryId, toTuple(report.usage)});
}

auto decodeUsageReport(std::string_view bytes) -> std::optional<fleet::UsageReport>
{
    const auto tuple = unpackMessage<UsageReportTuple>(bytes);
    if (!tuple) {
        return std::nullopt;
    }
    return fleet::UsageReport{std::get<1>(*tuple), std::get<2>(*tuple),
                              fromTuple(std::get<3>(*tuple))};
}

auto encodeUsageReply(const fleet::UsageReply &reply) -> std::string
{
    const auto &total = reply.total;
    return packMessage(UsageReplyTuple{WireVersion, reply.queryId, total.organisation,
                                       total.windowUnits, total.newerHalfUnits,
                                       total.demandPerSecond, total.complete});
}

auto decodeUsageReply(std::string_view bytes) -> std::optional<fleet::UsageReply>
{
    const auto tuple = unpackMessage<UsageReplyTuple>(bytes);
    if (!tuple) {
        return std::nullopt;
    }
    const auto &[version, queryId, organisation, windowUnits, newerHalfUnits, demandPerSecond,
                 complete] = *tuple;
    return fleet::UsageReply{
        queryId, {organisation, windowUnits, newerHalfUnits, demandPerSecond, complete}};
}

auto encodeChangeBatch(const fleet::StoreChangeBatch &batch) -> std::string
{
    ChangeBatchTuple tuple{WireVersion, batch.fromRevision, batch.toRevision,
                           {},          batch.complete,     batch.era};
    for (const auto &change : batch.changes) {
        std::get<3>(tuple).emplace_back(change.key, change.value, change.revision, change.removed);
    }
    return packMessage(tuple);
}

auto decodeChangeBatch(std::string_view bytes) -> std::optional<fleet::StoreChangeBatch>
{
    const auto tuple = unpackMessage<ChangeBatchTuple>(bytes);
    if (!tuple) {
        return std::nullopt;
    }
    fleet::StoreChangeBatch batch{
        std::get<1>(*tuple), std::get<2>(*tuple), std::get<4>(*tuple), {}, std::get<5>(*tuple)};
    for (const auto &[key, value, revision, removed] : std::get<3>(*tuple)) {
        batch.changes.push_back({key, value, revision, removed});
    }
    return batch;
}

auto encodeMirror(const fleet::StoreMirror &mirror, std::string_view configText) -> std::string
{
    MirrorTuple tuple{WireVersion,  mirror.revision(),       {},
                      mirror.era(), std::string(configText), ""};
    for (const auto &[key, item] : mirror.all()) {
        std::get<2>(tuple).emplace_back(key, item.value, item.position.revision, item.position.era);
        if (item.value == configText) {
            std::get<4>(tuple).clear(); // Large, and already among the items.
            std::get<5>(tuple) = key;
        }
    }
    return packMessage(tuple);
}

auto decodeMirror(std::string_view bytes) -> std::optional<MirrorSnapshot>
{
    const auto tuple = unpackMessage<MirrorTuple>(bytes);
    if (!tuple) {
        return std::nullopt;
    }
    MirrorSnapshot mirror;
    mirror.position = {std::get<3>(*tuple), std::get<1>(*tuple)};
    mirror.configText = std::get<4>(*tuple);
    for (const auto &[key, value, revision, era] : std::get<2>(*tuple)) {
        mirror.items[key] = {value, {era, revision}};
        if (key == std::get<5>(*tuple)) {
            mirror.configText = value;
        }
    }
    return mirror;
}

} // namespace banyanring::gateway
