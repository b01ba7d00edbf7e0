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
auto pack(const fleet::NodeStatement &statement) -> Statement
{
    return {statement.peerAddress,   statement.entryAddress,
            statement.domain,        statement.incarnation,
            statement.sequence,      static_cast<std::uint8_t>(statement.phase),
            statement.configVersion, statement.storeRevision,
            statement.storeTried,    statement.storeReached,
            statement.age.count()};
}

/** @return A statement as it was received. */
auto unpack(const Statement &sent) -> fleet::NodeStatement
{
    fleet::NodeStatement statement;
    std::uint8_t phase = 0;
    std::int64_t age = 0;
    std::tie(statement.peerAddress, statement.entryAddress, statement.domain, statement.incarnation,
             statement.sequence, phase, statement.configVersion, statement.storeRevision,
             statement.storeTried, statement.storeReached, age) = sent;
    statement.phase = static_cast<fleet::NodePhase>(phase);
    statement.age = Duration(std::max<std::int64_t>(0, age));
    return statement;
}

/** @return A node's admissions as they were received. */
auto unpack(const Spend &sent) -> fleet::SpendStatement
{
    const auto &[organisation, units, window, recent, asked, pending] = sent;
    return {organisation, units, window, recent, asked, pending};
}

/** @return A node's admissions as they are sent. */
auto pack(const fleet::SpendStatement &spend) -> Spend
{
    return {spend.organisation, spend.units,          spend.window,
            spend.fleetRecent,  spend.askedPerSecond, spend.pending};
}

} // namespace

auto encodeGossip(const fleet::GossipMessage &message) -> std::string
{
    Message sent;
    std::get<0>(sent) = WireVersion;
    std::get<1>(sent) = pack(message.sender);
    for (const auto &other : message.others) {
        std::get<2>(sent).push_back(pack(other));
    }
    for (const auto &load : message.loads) {
        std::get<3>(sent).emplace_back(load.server, load.requests, load.promptWork);
    }
    for (const auto &pace : message.paces) {
        std::get<7>(sent).emplace_back(pace.server, pace.firstByteMs, pace.promptMsPerToken,
                                       pace.outputMsPerToken);
    }
    for (const auto &spend : message.spends) {
        std::get<4>(sent).push_back(pack(spend));
    }
    for (const auto &suspect : message.suspects) {
        std::get<5>(sent).emplace_back(suspect.fingerprint, suspect.servers);
    }
    std::get<6>(sent) = message.replyWanted;
    std::get<8>(sent) = message.workTold;
    return packMessage(sent);
}

auto decodeGossip(std::string_view bytes) -> std::optional<fleet::GossipMessage>
{
    const auto sent = unpackMessage<Message>(bytes);
    if (!sent) {
        return std::nullopt;
    }
    fleet::GossipMessage message;
    message.sender = unpack(std::get<1>(*sent));
    for (const auto &other : std::get<2>(*sent)) {
        message.others.push_back(unpack(other));
    }
    for (const auto &[server, requests, work] : std::get<3>(*sent)) {
        message.loads.push_back({server, requests, work});
    }
    for (const auto &[server, base, promptPace, outputPace] : std::get<7>(*sent)) {
        message.paces.push_back({server, base, promptPace, outputPace});
    }
    for (const auto &spend : std::get<4>(*sent)) {
        message.spends.push_back(unpack(spend));
    }
    for (const auto &[fingerprint, servers] : std::get<5>(*sent)) {
        message.suspects.push_back({fingerprint, servers});
    }
    message.replyWanted = std::get<6>(*sent);
    message.workTold = std::get<8>(*sent);
    return message;
}

auto encodeUsageReport(const fleet::SpendReport &report) -> std::string
{
    return packMessage(
        Report{WireVersion, report.incarnation, report.question, pack(report.spend)});
}

auto decodeUsageReport(std::string_view bytes) -> std::optional<fleet::SpendReport>
{
    const auto sent = unpackMessage<Report>(bytes);
    if (!sent) {
        return std::nullopt;
    }
    return fleet::SpendReport{std::get<1>(*sent), std::get<2>(*sent), unpack(std::get<3>(*sent))};
}

auto encodeUsageReply(const fleet::SpendAnswer &answer) -> std::string
{
    const auto &total = answer.total;
    return packMessage(Answer{WireVersion, answer.question, total.organisation, total.window,
                              total.recent, total.askedPerSecond, total.complete});
}

auto decodeUsageReply(std::string_view bytes) -> std::optional<fleet::SpendAnswer>
{
    const auto sent = unpackMessage<Answer>(bytes);
    if (!sent) {
        return std::nullopt;
    }
    const auto &[version, question, organisation, window, recent, asked, complete] = *sent;
    return fleet::SpendAnswer{question, {organisation, window, recent, asked, complete}};
}

auto encodeChangeBatch(const fleet::PublishedBatch &batch) -> std::string
{
    Batch sent{WireVersion, batch.since, batch.until, {}, batch.whole};
    for (const auto &change : batch.changes) {
        std::get<3>(sent).emplace_back(change.key, change.value, change.revision, change.removed);
    }
    return packMessage(sent);
}

auto decodeChangeBatch(std::string_view bytes) -> std::optional<fleet::PublishedBatch>
{
    const auto sent = unpackMessage<Batch>(bytes);
    if (!sent) {
        return std::nullopt;
    }
    fleet::PublishedBatch batch{std::get<1>(*sent), std::get<2>(*sent), std::get<4>(*sent), {}};
    for (const auto &[key, value, revision, removed] : std::get<3>(*sent)) {
        batch.changes.push_back({key, value, revision, removed});
    }
    return batch;
}

auto encodeMirror(const fleet::PublishedBook &mirror) -> std::string
{
    Mirror sent{WireVersion, mirror.revision(), {}};
    for (const auto &[key, item] : mirror.all()) {
        std::get<2>(sent).emplace_back(key, item.value, item.revision);
    }
    return packMessage(sent);
}

auto decodeMirror(std::string_view bytes) -> std::optional<MirrorSnapshot>
{
    const auto sent = unpackMessage<Mirror>(bytes);
    if (!sent) {
        return std::nullopt;
    }
    MirrorSnapshot mirror;
    mirror.revision = std::get<1>(*sent);
    for (const auto &[key, value, revision] : std::get<2>(*sent)) {
        mirror.items[key] = {value, revision};
    }
    return mirror;
}

} // namespace banyanring::gateway
