/** @file slot_type.h Messages between nodes about slots of backend servers. */
#pragma once

#include "banyanring/fleet/placement.h"

#include <vector>

namespace banyanring::fleet {

/** Requests a slot of any server of a service. */
struct SlotAsk
{
    std::uint64_t node = 0; ///< Incarnation of the requesting node.
    std::uint64_t ask = 0; ///< Number of the slot request, unique at that node.
    std::string origin; ///< Peer address of the requesting node.
    std::uint32_t service = 0; ///< hashName of the service.
    RequestShape shape; ///< Expected cost and latency targets.
    std::uint32_t tier = 0; ///< Priority tier, 0 the most urgent.
    std::uint32_t organisation = 0; ///< hashName of its organisation; 0 for none.
    double cost = 1; ///< Work of the request.
    Duration dueIn{}; ///< Time left for a dispatch that meets the latency target.
    Duration refuseIn{}; ///< Time left until it is rejected.
    std::vector<std::uint32_t> tried; ///< Hashes of the servers that must not be granted.
    bool forwarded = false; ///< Another coordinator without a free slot passed it on.
};

/** Outcome of a slot request. */
enum class SlotOutcome : std::uint8_t {
    Granted, ///< A slot was granted.
    Queued, ///< The request waits.
    Unkept, ///< This node coordinates no server of the service.
};

/** Reply to a slot request; a queued one is granted by a later reply. */
struct SlotReply
{
    std::uint64_t ask = 0; ///< Number of the slot request.
    SlotOutcome outcome = SlotOutcome::Unkept; ///< Outcome of the slot request.
    std::uint32_t server = 0; ///< Hash of the server, if granted.
    Duration wait{}; ///< Expected wait, if queued.
};

/** Progress or end of a request that holds a slot. */
enum class SlotEvent : std::uint8_t {
    FirstByte, ///< The first byte arrived, so the prompt is read.
    Good, ///< Successful response.
    Failed, ///< The server responded with an error, closed the connection early or stopped sending.
    Rejected, ///< The server rejected the request as it is full.
    Unreachable, ///< No connection could be opened.
    Neutral, ///< Ended, or was never sent, for another reason.
};

/** Report on a request that holds a slot. */
struct SlotReport
{
    std::uint64_t node = 0; ///< Incarnation of the reporting node.
    std::uint64_t ask = 0; ///< Number of its slot request.
    SlotEvent event = SlotEvent::Neutral; ///< What happened.
    Duration firstByte{}; ///< From sending to the first byte; only for a successful response.
    Duration rest{}; ///< From the first byte to the end.
    double outputTokens = 0; ///< Number of output tokens after the first byte.
};

/** A slot held by a request. */
struct SlotHolding
{
    std::uint64_t ask = 0; ///< Number of the slot request.
    std::uint32_t server = 0; ///< Hash of the server.
    double promptWork = 0; ///< Prompt work; 0 once the prompt is read.
};

/** All slots that a node holds of the servers of one coordinator. */
struct SlotHoldings
{
    std::uint64_t node = 0; ///< Incarnation of the node.
    std::vector<SlotHolding> slots; ///< All of its held slots.
};

/** Free slots of a coordinator, for other coordinators. */
struct SlotRoom
{
    std::uint32_t service = 0; ///< hashName of the service.
    std::uint32_t freeSlots =
        0; ///< Free slots of usable servers that are neither cold nor ejected.
};

} // namespace banyanring::fleet
