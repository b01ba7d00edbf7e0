/** @file slot_codec.cpp Encodes and decodes slot messages as msgpack. */
#include "banyanring/gateway/slot_codec.h"

#include "msgpack_func.h"
#include "request_limit_codec_func.h"

#include <vector>

namespace banyanring::gateway {

namespace {

using ProfileTuple = std::tuple<bool, float, float, float, float, float, float>;
using RequestTuple = std::tuple<int, std::uint64_t, std::uint64_t, std::string, std::uint32_t,
                                ProfileTuple, std::uint32_t, std::uint32_t, float, std::int64_t,
                                std::int64_t, std::vector<std::uint32_t>, bool, float>;
using ReplyTuple = std::tuple<int, std::uint64_t, std::uint8_t, std::uint32_t, std::int64_t>;
using SlowdownTuple = std::tuple<float, std::int64_t>; ///< Factor, age in microseconds.
using ReportTuple =
    std::tuple<int, std::uint64_t, std::uint64_t, std::uint8_t, std::int64_t, std::int64_t, float,
               std::vector<RequestLimitTuple>, std::vector<SlowdownTuple>>;
using HeldSlotTuple = std::tuple<std::uint64_t, std::uint32_t, float>;
using HeldSlotsTuple =
    std::tuple<int, std::uint64_t, std::vector<HeldSlotTuple>, std::vector<RequestLimitTuple>>;
using FreeSlotsTuple = std::tuple<int, std::vector<std::tuple<std::uint32_t, std::uint32_t>>>;

/** @return The tuple that is sent; single precision suffices for estimates. */
auto toTuple(const fleet::RequestProfile &profile) -> ProfileTuple
{
    const auto toFloat = [](double value) { return static_cast<float>(value); };
    return {profile.engine,
            toFloat(profile.promptWork),
            toFloat(profile.expectedOutputTokens),
            toFloat(profile.maxOutputTokens),
            toFloat(profile.firstByteTargetMs),
            toFloat(profile.tokenGapTargetMs),
            toFloat(profile.timeLeftMs)};
}

/** @return The profile of a received tuple. */
auto fromTuple(const ProfileTuple &tuple) -> fleet::RequestProfile
{
    const auto &[engine, promptWork, expectedOutputTokens, maxOutputTokens, firstByteTargetMs,
                 tokenGapTargetMs, timeLeftMs] = tuple;
    return {engine,
            promptWork,
            expectedOutputTokens,
            maxOutputTokens,
            firstByteTargetMs,
            tokenGapTargetMs,
            timeLeftMs,
            0};
}

/** @return The momentary slowdown of a received list, unless it is empty or its item unusable. */
auto fromTuples(const std::vector<SlowdownTuple> &tuples) -> std::optional<fleet::SlowdownReport>
{
    if (tuples.empty()) {
        return std::nullopt;
    }
    const auto &[factor, microseconds] = tuples.front();
    const Duration age(microseconds);
    const bool isUsable = fleet::MomentarySlowdown::isValid(factor) && age >= Duration(0)
                          && age <= fleet::MomentarySlowdown::MaxReportAge;
    return isUsable ? std::optional(fleet::SlowdownReport{factor, age}) : std::nullopt;
}

} // namespace

auto encodeSlotRequest(const fleet::SlotRequest &request) -> std::string
{
    return packMessage(
        RequestTuple{WireVersion, request.incarnation, request.id, request.replyAddress,
                     request.service, toTuple(request.profile), request.tier, request.organisation,
                     static_cast<float>(request.cost), request.latencyBudget.count(),
                     request.queueTimeout.count(), request.excludedServers, request.forwarded,
                     static_cast<float>(request.organisationWeight)});
}

auto decodeSlotRequest(std::string_view bytes) -> std::optional<fleet::SlotRequest>
{
    const auto tuple = unpackMessage<RequestTuple>(bytes);
    if (!tuple) {
        return std::nullopt;
    }
    const auto &[version, incarnation, id, replyAddress, service, profile, tier, organisation, cost,
                 latencyBudget, queueTimeout, excludedServers, forwarded, organisationWeight] =
        *tuple;
    return fleet::SlotRequest{incarnation,
                              id,
                              replyAddress,
                              service,
                              fromTuple(profile),
                              tier,
                              organisation,
                              cost,
                              Duration(latencyBudget),
                              Duration(queueTimeout),
                              excludedServers,
                              forwarded,
                              organisationWeight};
}

auto encodeSlotReply(const fleet::SlotReply &reply) -> std::string
{
    return packMessage(ReplyTuple{WireVersion, reply.requestId,
                                  static_cast<std::uint8_t>(reply.outcome), reply.serverHash,
                                  reply.expectedWait.count()});
}

auto decodeSlotReply(std::string_view bytes) -> std::optional<fleet::SlotReply>
{
    const auto tuple = unpackMessage<ReplyTuple>(bytes);
    if (!tuple) {
        return std::nullopt;
    }
    const auto &[version, requestId, outcome, serverHash, expectedWait] = *tuple;
    return fleet::SlotReply{requestId, static_cast<fleet::SlotOutcome>(outcome), serverHash,
                            Duration(expectedWait)};
}

auto encodeSlotReport(const fleet::SlotReport &report) -> std::string
{
    ReportTuple tuple{WireVersion,
                      report.incarnation,
                      report.requestId,
                      static_cast<std::uint8_t>(report.event),
                      report.firstByte.count(),
                      report.rest.count(),
                      static_cast<float>(report.outputTokens),
                      {},
                      {}};
    if (report.requestLimit) {
        std::get<7>(tuple).push_back(toTuple(*report.requestLimit));
    }
    if (report.slowdown) {
        std::get<8>(tuple).emplace_back(static_cast<float>(report.slowdown->factor),
                                        report.slowdown->age.count());
    }
    return packMessage(tuple);
}

auto decodeSlotReport(std::string_view bytes) -> std::optional<fleet::SlotReport>
{
    const auto tuple = unpackMessage<ReportTuple>(bytes);
    if (!tuple) {
        return std::nullopt;
    }
    const auto &[version, incarnation, requestId, event, firstByte, rest, outputTokens, limits,
                 slowdowns] = *tuple;
    const auto requestLimits = fromTuples(limits);
    return fleet::SlotReport{incarnation,
                             requestId,
                             static_cast<fleet::SlotEvent>(event),
                             Duration(firstByte),
                             Duration(rest),
                             outputTokens,
                             requestLimits.empty() ? std::nullopt
                                                   : std::optional(requestLimits.front()),
                             fromTuples(slowdowns)};
}

auto encodeHeldSlots(const fleet::HeldSlots &heldSlots) -> std::string
{
    HeldSlotsTuple tuple{WireVersion, heldSlots.incarnation, {}, {}};
    for (const auto &slot : heldSlots.slots) {
        std::get<2>(tuple).emplace_back(slot.requestId, slot.serverHash,
                                        static_cast<float>(slot.promptWork));
    }
    for (const auto &limit : heldSlots.requestLimits) {
        std::get<3>(tuple).push_back(toTuple(limit));
    }
    return packMessage(tuple);
}

auto decodeHeldSlots(std::string_view bytes) -> std::optional<fleet::HeldSlots>
{
    const auto tuple = unpackMessage<HeldSlotsTuple>(bytes);
    if (!tuple) {
        return std::nullopt;
    }
    fleet::HeldSlots heldSlots{std::get<1>(*tuple), {}, fromTuples(std::get<3>(*tuple))};
    for (const auto &[requestId, serverHash, promptWork] : std::get<2>(*tuple)) {
        heldSlots.slots.push_back({requestId, serverHash, promptWork});
    }
    return heldSlots;
}

auto encodeFreeSlots(const std::vector<fleet::FreeSlotCount> &counts) -> std::string
{
    FreeSlotsTuple tuple{WireVersion, {}};
    for (const auto &count : counts) {
        std::get<1>(tuple).emplace_back(count.service, count.freeSlots);
    }
    return packMessage(tuple);
}

auto decodeFreeSlots(std::string_view bytes) -> std::optional<std::vector<fleet::FreeSlotCount>>
{
    const auto tuple = unpackMessage<FreeSlotsTuple>(bytes);
    if (!tuple) {
        return std::nullopt;
    }
    std::vector<fleet::FreeSlotCount> counts;
    for (const auto &[service, freeSlots] : std::get<1>(*tuple)) {
        counts.push_back({service, freeSlots});
    }
    return counts;
}

} // namespace banyanring::gateway
