/** @file slot_codec.cpp Messages about slots as msgpack. */
#include "banyanring/gateway/slot_codec.h"

#include "msgpack_func.h"

#include <vector>

namespace banyanring::gateway {

namespace {

using Shape = std::tuple<bool, float, float, float, float, float, float>;
using Ask =
    std::tuple<int, std::uint64_t, std::uint64_t, std::string, std::uint32_t, Shape, std::uint32_t,
               std::uint32_t, float, std::int64_t, std::int64_t, std::vector<std::uint32_t>, bool>;
using Reply = std::tuple<int, std::uint64_t, std::uint8_t, std::uint32_t, std::int64_t>;
using Report =
    std::tuple<int, std::uint64_t, std::uint64_t, std::uint8_t, std::int64_t, std::int64_t, float>;
using Slot = std::tuple<std::uint64_t, std::uint32_t, float>;
using Holdings = std::tuple<int, std::uint64_t, std::vector<Slot>>;
using Rooms = std::tuple<int, std::vector<std::tuple<std::uint32_t, std::uint32_t>>>;

/** @return A shape as it is sent; a few digits are enough for estimates. */
auto pack(const fleet::RequestShape &shape) -> Shape
{
    const auto small = [](double value) { return static_cast<float>(value); };
    return {shape.engine,
            small(shape.promptWork),
            small(shape.outputTokens),
            small(shape.longestOutput),
            small(shape.targetMs),
            small(shape.eventTargetMs),
            small(shape.timeLeftMs)};
}

/** @return A shape as it was received. */
auto unpack(const Shape &sent) -> fleet::RequestShape
{
    const auto &[engine, prompt, output, longest, target, eventTarget, left] = sent;
    return {engine, prompt, output, longest, target, eventTarget, left, 0};
}

} // namespace

auto encodeSlotRequest(const fleet::SlotAsk &ask) -> std::string
{
    return packMessage(Ask{WireVersion, ask.node, ask.ask, ask.origin, ask.service, pack(ask.shape),
                           ask.tier, ask.organisation, static_cast<float>(ask.cost),
                           ask.dueIn.count(), ask.refuseIn.count(), ask.tried, ask.forwarded});
}

auto decodeSlotRequest(std::string_view bytes) -> std::optional<fleet::SlotAsk>
{
    const auto sent = unpackMessage<Ask>(bytes);
    if (!sent) {
        return std::nullopt;
    }
    const auto &[version, node, ask, origin, service, shape, tier, organisation, cost, dueIn,
                 refuseIn, tried, forwarded] = *sent;
    return fleet::SlotAsk{node,  ask,          origin, service,         unpack(shape),
                          tier,  organisation, cost,   Duration(dueIn), Duration(refuseIn),
                          tried, forwarded};
}

auto encodeSlotReply(const fleet::SlotReply &reply) -> std::string
{
    return packMessage(Reply{WireVersion, reply.ask, static_cast<std::uint8_t>(reply.outcome),
                             reply.server, reply.wait.count()});
}

auto decodeSlotReply(std::string_view bytes) -> std::optional<fleet::SlotReply>
{
    const auto sent = unpackMessage<Reply>(bytes);
    if (!sent) {
        return std::nullopt;
    }
    const auto &[version, ask, outcome, server, wait] = *sent;
    return fleet::SlotReply{ask, static_cast<fleet::SlotOutcome>(outcome), server, Duration(wait)};
}

auto encodeSlotReport(const fleet::SlotReport &report) -> std::string
{
    return packMessage(Report{WireVersion, report.node, report.ask,
                              static_cast<std::uint8_t>(report.event), report.firstByte.count(),
                              report.rest.count(), static_cast<float>(report.outputTokens)});
}

auto decodeSlotReport(std::string_view bytes) -> std::optional<fleet::SlotReport>
{
    const auto sent = unpackMessage<Report>(bytes);
    if (!sent) {
        return std::nullopt;
    }
    const auto &[version, node, ask, event, firstByte, rest, output] = *sent;
    return fleet::SlotReport{
        node,           ask,   static_cast<fleet::SlotEvent>(event), Duration(firstByte),
        Duration(rest), output};
}

auto encodeHeldSlots(const fleet::SlotHoldings &holdings) -> std::string
{
    Holdings sent{WireVersion, holdings.node, {}};
    for (const auto &slot : holdings.slots) {
        std::get<2>(sent).emplace_back(slot.ask, slot.server, static_cast<float>(slot.promptWork));
    }
    return packMessage(sent);
}

auto decodeHeldSlots(std::string_view bytes) -> std::optional<fleet::SlotHoldings>
{
    const auto sent = unpackMessage<Holdings>(bytes);
    if (!sent) {
        return std::nullopt;
    }
    fleet::SlotHoldings holdings{std::get<1>(*sent), {}};
    for (const auto &[ask, server, work] : std::get<2>(*sent)) {
        holdings.slots.push_back({ask, server, work});
    }
    return holdings;
}

auto encodeFreeSlots(const std::vector<fleet::SlotRoom> &rooms) -> std::string
{
    Rooms sent{WireVersion, {}};
    for (const auto &room : rooms) {
        std::get<1>(sent).emplace_back(room.service, room.freeSlots);
    }
    return packMessage(sent);
}

auto decodeFreeSlots(std::string_view bytes) -> std::optional<std::vector<fleet::SlotRoom>>
{
    const auto sent = unpackMessage<Rooms>(bytes);
    if (!sent) {
        return std::nullopt;
    }
    std::vector<fleet::SlotRoom> rooms;
    for (const auto &[service, free] : std::get<1>(*sent)) {
        rooms.push_back({service, free});
    }
    return rooms;
}

} // namespace banyanring::gateway
