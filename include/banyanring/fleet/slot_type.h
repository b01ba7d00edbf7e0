/** @file slot_type.h Messages between nodes about slots of backend servers. */
#pragma once

#include "banyanring/fleet/placement.h"

#include <vector>

namespace banyanring::fleet {

/** Request for a slot of any server of a service. */
struct SlotRequest
{
    std::uint64_t incarnation = 0; ///< Incarnation of the requesting node.
    std::uint64_t id = 0; ///< Number of the slot request, unique at that node.
    std::string replyAddress; ///< Peer address of the requesting node.
    std::uint32_t service = 0; ///< hashName of the service.
    RequestProfile profile; ///< Expected cost and latency targets.
    std::uint32_t tier = 0; ///< Priority tier, 0 the most urgent.
    std::uint32_t organisation = 0; ///< hashName of its organisation; 0 for none.
    double cost = 1; ///< Work of the request.
    Duration latencyBudget{}; ///< Time left for a dispatch that meets the latency target.
    Duration queueTimeout{}; ///< Time left until it is rejected.
    std::vector<std::uint32_t> excludedServers; ///< Hashes of the servers that must not be granted.
    bool forwarded = false; ///< Another coordinator without a free slot forwarded it.
};

/** Outcome of a slot request. */
enum class SlotOutcome : std::uint8_t {
    Granted, ///< A slot was granted.
    Queued, ///< The request waits.
    NotCoordinator, ///< This node coordinates no server of the service.
};

/** Reply to a slot request; a queued one is granted by a later reply. */
struct SlotReply
{
    std::uint64_t requestId = 0; ///< Number of the slot request.
    SlotOutcome outcome = SlotOutcome::NotCoordinator; ///< Outcome of the slot request.
    std::uint32_t serverHash = 0; ///< Hash of the server, if granted.
    Duration expectedWait{}; ///< Expected wait, if queued.
};

/** Progress or end of a request that holds a slot. */
enum class SlotEvent : std::uint8_t {
    FirstByte, ///< The first byte arrived, so the prompt is read.
    Succeeded, ///< Successful response.
    Failed, ///< The server responded with an error, closed the connection early or stopped sending.
    Rejected, ///< The server rejected the request as it is full.
    Unreachable, ///< No connection could be opened.
    Neutral, ///< Ended, or was never sent, for another reason.
};

/** Report on a request that holds a slot. */
struct SlotReport
{
    std::uint64_t incarnation = 0; ///< Incarnation of the reporting node.
    std::uint64_t requestId = 0; ///< Number of its slot request.
    SlotEvent event = SlotEvent::Neutral; ///< What happened.
    Duration firstByte{}; ///< From sending to the first byte; only for a successful response.
    Duration rest{}; ///< From the first byte to the end.
    double outputTokens = 0; ///< Number of output tokens after the first byte.
    /** What the response says about the server's limit, if it arrived just now. */
    std::optional<RequestLimitReport> requestLimit;
    std::optional<SlowdownReport> slowdown{}; ///< As the response states it.
};

/** A slot held by a request. */
struct HeldSlot
{
    std::uint64_t requestId = 0; ///< Number of the slot request.
    std::uint32_t serverHash = 0; ///< Hash of the server.
    double promptWork = 0; ///< Prompt work; 0 once the prompt is read.
};

/** All slots that a node holds of the servers of one coordinator. */
struct HeldSlots
{
    std::uint64_t incarnation = 0; ///< Incarnation of the node.
    std::vector<HeldSlot> slots; ///< All of its held slots.
    std::vector<RequestLimitReport> requestLimits; ///< Limits of the coordinator's servers.
};

/** Free slots of a coordinator, for other coordinators. */
struct FreeSlotCount
{
    std::uint32_t service = 0; ///< hashName of the service.
    std::uint32_t freeSlots = 0; ///< Of usable servers that are not cold or ejected.
};

} // namespace banyanring::fleet
