/** @file gossip_codec.cpp Messages between nodes as msgpack. */
#include "banyanring/gateway/gossip_codec.h"

#include "msgpack_func.h"

namespace banyanring::gateway {

namespace {

using Statement = std::tuple<std::string, std::string, std::string, std::uint64_t, std::uint64_t,
                             std::uint8_t, std::uint64_t, std::uint64_t, bool, bool, std::int64_t>;
using Load = std::tuple<std::uint32_t, std::uint32_t, std::uint32_t>;
using Pace = std::tuple<std::uint32_t, float, float, float>;
using Spend = std::tuple<std::uint32_t, double, double, double, double, double>;
using Report = std::tuple<int, std::uint64_t, std::uint64_t, Spend>;
using Answer = std::tuple<int, std::uint64_t, std::uint32_t, double, double, double, bool>;
using Suspect = std::tuple<std::uint64_t, std::vector<std::uint32_t>>;
using Message = std::tuple<int, Statement, std::vector<Statement>, std::vector<Load>,
                           std::vector<Spend>, std::vector<Suspect>, bool, std::vector<Pace>, bool>;
using Item = std::tuple<std::string, std::string, std::uint64_t>;
using Change = std::tuple<std::string, std::string, std::uint64_t, bool>;
using Batch = std::tuple<int, std::uint64_t, std::uint64_t, std::vector<Change>, bool>;
using Mirror = std::tuple<int, std::uint64_t, std::vector<Item>>;

/** @return A statement as it is sent. */
auto pack(const fleet::NodeStatus &statement) -> Statement
{
    return {statement.peerAddress,   statement.entryAddress,
            statement.domain,        statement.incarnation,
            statement.sequence,      static_cast<std::uint8_t>(statement.phase),
            statement.configVersion, statement.storeRevision,
            statement.watchesStore,  statement.storeReachable,
            statement.age.count()};
}

/** @return A statement as it was received. */
auto unpack(const Statement &sent) -> fleet::NodeStatus
{
    fleet::NodeStatus statement;
    std::uint8_t phase = 0;
    std::int64_t age = 0;
    std::tie(statement.peerAddress, statement.entryAddress, statement.domain, statement.incarnation,
             statement.sequence, phase, statement.configVersion, statement.storeRevision,
             statement.watchesStore, statement.storeReachable, age) = sent;
    statement.phase = static_cast<fleet::NodePhase>(phase);
    statement.age = Duration(std::max<std::int64_t>(0, age));
    return statement;
}

/** @return A node's admissions as they were received. */
auto unpack(const Spend &sent) -> fleet::OrganisationUsage
{
    const auto &[organisation, units, window, recent, asked, pending] = sent;
    return {organisation, units, window, recent, asked, pending};
}

/** @return A node's admissions as they are sent. */
auto pack(const fleet::OrganisationUsage &spend) -> Spend
{
    return {spend.organisation,     spend.totalUnits,      spend.windowUnits,
            spend.fleetWindowUnits, spend.demandPerSecond, spend.pendingUnits};
}

} // namespace

auto encodeGossip(const fleet::GossipMessage &message) -> std::string
{
    Message sent;
    std::get<0>(sent) = WireVersion;
    std::get<1>(sent) = pack(message.sender);
    for (const auto &other : message.relayedStatuses) {
        std::get<2>(sent).push_back(pack(other));
    }
    for (const auto &load : message.loads) {
        std::get<3>(sent).emplace_back(load.serverHash, load.requests, load.promptWork);
    }
    for (const auto &pace : message.latencies) {
        std::get<7>(sent).emplace_back(pace.serverHash, pace.firstByteMs, pace.promptMsPerToken,
                                       pace.outputMsPerToken);
    }
    for (const auto &spend : message.usages) {
        std::get<4>(sent).push_back(pack(spend));
    }
    for (const auto &suspect : message.crashSuspects) {
        std::get<5>(sent).emplace_back(suspect.fingerprint, suspect.serverHashes);
    }
    std::get<6>(sent) = message.replyRequested;
    std::get<8>(sent) = message.hasLoads;
    return packed(sent);
}

auto decodeGossip(std::string_view bytes) -> std::optional<fleet::GossipMessage>
{
    const auto sent = unpackAs<Message>(bytes);
    if (!sent) {
        return std::nullopt;
    }
    fleet::GossipMessage message;
    message.sender = unpack(std::get<1>(*sent));
    for (const auto &other : std::get<2>(*sent)) {
        message.relayedStatuses.push_back(unpack(other));
    }
    for (const auto &[server, requests, work] : std::get<3>(*sent)) {
        message.loads.push_back({server, requests, work});
    }
    for (const auto &[server, base, promptPace, outputPace] : std::get<7>(*sent)) {
        message.latencies.push_back({server, base, promptPace, outputPace});
    }
    for (const auto &spend : std::get<4>(*sent)) {
        message.usages.push_back(unpack(spend));
    }
    for (const auto &[fingerprint, servers] : std::get<5>(*sent)) {
        message.crashSuspects.push_back({fingerprint, servers});
    }
    message.replyRequested = std::get<6>(*sent);
    message.hasLoads = std::get<8>(*sent);
    return message;
}

auto encodeReport(const fleet::UsageReport &report) -> std::string
{
    return packed(Report{WireVersion, report.incarnation, report.queryId, pack(report.usage)});
}

auto decodeReport(std::string_view bytes) -> std::optional<fleet::UsageReport>
{
    const auto sent = unpackAs<Report>(bytes);
    if (!sent) {
        return std::nullopt;
    }
    return fleet::UsageReport{std::get<1>(*sent), std::get<2>(*sent), unpack(std::get<3>(*sent))};
}

auto encodeAnswer(const fleet::UsageReply &answer) -> std::string
{
    const auto &total = answer.total;
    return packed(Answer{WireVersion, answer.queryId, total.organisation, total.windowUnits,
                         total.newerHalfUnits, total.demandPerSecond, total.complete});
}

auto decodeAnswer(std::string_view bytes) -> std::optional<fleet::UsageReply>
{
    const auto sent = unpackAs<Answer>(bytes);
    if (!sent) {
        return std::nullopt;
    }
    const auto &[version, question, organisation, window, recent, asked, complete] = *sent;
    return fleet::UsageReply{question, {organisation, window, recent, asked, complete}};
}

auto encodeBatch(const fleet::StoreChangeBatch &batch) -> std::string
{
    Batch sent{WireVersion, batch.fromRevision, batch.toRevision, {}, batch.complete};
    for (const auto &change : batch.changes) {
        std::get<3>(sent).emplace_back(change.key, change.value, change.revision, change.removed);
    }
    return packed(sent);
}

auto decodeBatch(std::string_view bytes) -> std::optional<fleet::StoreChangeBatch>
{
    const auto sent = unpackAs<Batch>(bytes);
    if (!sent) {
        return std::nullopt;
    }
    fleet::StoreChangeBatch batch{std::get<1>(*sent), std::get<2>(*sent), std::get<4>(*sent), {}};
    for (const auto &[key, value, revision, removed] : std::get<3>(*sent)) {
        batch.changes.push_back({key, value, revision, removed});
    }
    return batch;
}

auto encodeMirror(const fleet::StoreMirror &mirror) -> std::string
{
    Mirror sent{WireVersion, mirror.revision(), {}};
    for (const auto &[key, item] : mirror.all()) {
        std::get<2>(sent).emplace_back(key, item.value, item.revision);
    }
    return packed(sent);
}

auto decodeMirror(std::string_view bytes) -> std::optional<PeerMirror>
{
    const auto sent = unpackAs<Mirror>(bytes);
    if (!sent) {
        return std::nullopt;
    }
    PeerMirror mirror;
    mirror.revision = std::get<1>(*sent);
    for (const auto &[key, value, revision] : std::get<2>(*sent)) {
        mirror.items[key] = {value, revision};
    }
    return mirror;
}

} // namespace banyanring::gateway
