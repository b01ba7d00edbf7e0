/** @file slot_type.h What nodes tell each other about slots of backend servers. */
#pragma once

#include "banyanring/fleet/placement.h"

#include <vector>

namespace banyanring::fleet {

/** A request for a slot of any server of a service. */
struct SlotAsk
{
    std::uint64_t node = 0; ///< Incarnation of the asking node.
    std::uint64_t ask = 0; ///< Number of the ask, unique at that node.
    std::string origin; ///< Peer address of the asking node.
    std::uint32_t service = 0; ///< hashName of the service.
    RequestShape shape; ///< What it will cost.
    std::uint32_t tier = 0; ///< Urgency, 0 the most urgent.
    std::uint32_t organisation = 0; ///< hashName of its organisation; 0 for none.
    double cost = 1; ///< Work that it brings.
    Duration dueIn{}; ///< Sent later, it misses its latency target.
    Duration refuseIn{}; ///< It is given up then.
    std::vector<std::uint32_t> tried; ///< Numbers of servers that it may not get.
    bool forwarded = false; ///< Another keeper had no slot for it.
};

/** What became of an ask. */
enum class SlotOutcome : std::uint8_t {
    Granted, ///< It holds a slot.
    Queued, ///< It waits.
    Unkept, ///< This node keeps no server of the service.
};

/** The answer to an ask; a queued one is granted later. */
struct SlotReply
{
    std::uint64_t ask = 0; ///< Its number.
    SlotOutcome outcome = SlotOutcome::Unkept; ///< What became of it.
    std::uint32_t server = 0; ///< Number of the server, if granted.
    Duration wait{}; ///< Expected wait, if queued.
};

/** What happened to a request that holds a slot. */
enum class SlotEvent : std::uint8_t {
    FirstByte, ///< Its prompt is read.
    Good, ///< Answered as it should.
    Failed, ///< The server answered with an error, broke off or fell silent.
    Rejected, ///< The server is full.
    Unreachable, ///< No connection could be opened.
    Neutral, ///< Ended, or never sent, for another reason.
};

/** A report on a request that holds a slot. */
struct SlotReport
{
    std::uint64_t node = 0; ///< Incarnation of the reporting node.
    std::uint64_t ask = 0; ///< Number of its ask.
    SlotEvent event = SlotEvent::Neutral; ///< What happened.
    Duration firstByte{}; ///< From sending to the first byte; for a good end.
    Duration rest{}; ///< From there to the end.
    double outputTokens = 0; ///< Output tokens that came after the first byte.
};

/** A slot that a node's request holds. */
struct SlotHolding
{
    std::uint64_t ask = 0; ///< Number of the ask.
    std::uint32_t server = 0; ///< Number of the server.
    double promptWork = 0; ///< Work of its prompt; 0 once it is read.
};

/** All slots that a node's requests hold of the servers that one keeper keeps. */
struct SlotHoldings
{
    std::uint64_t node = 0; ///< Incarnation of the node.
    std::vector<SlotHolding> slots; ///< All of them.
};

/** How much room a keeper has; told among keepers. */
struct SlotRoom
{
    std::uint32_t service = 0; ///< hashName of the service.
    std::uint32_t freeSlots = 0; ///< Free slots of servers in good order.
};

} // namespace banyanring::fleet
