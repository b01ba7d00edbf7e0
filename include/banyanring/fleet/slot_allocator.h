/** @file slot_allocator.h Allocates the slots of the servers that this node coordinates. */
#pragma once

#include "banyanring/fleet/admission_queue.h"
#include "banyanring/fleet/service_occupancy.h"
#include "banyanring/fleet/slot_type.h"

#include <map>
#include <set>

namespace banyanring::fleet {

/** A reply with its destination. */
struct AddressedReply
{
    std::string destination; ///< Peer address of the requesting node.
    SlotReply reply;
};

/** Grants to waiting requests of a service whose organisations have weights. */
struct QueuedGrantCounts
{
    std::uint64_t withinShare = 0; ///< The organisation had rank 0.
    std::uint64_t aboveShare = 0; ///< The organisation had a higher rank.
};

/** Forecasts of a service's waits and what came of them, since the start. */
struct ForecastTotals
{
    std::uint64_t granted = 0; ///< Requests that waited with a forecast and got a slot.
    Duration forecastSum{}; ///< Of their waits, made on arrival.
    Duration waitSum{}; ///< Of their waits.
    std::uint64_t rejectedOnArrival = 0;
    std::uint64_t rejectedLater = 0; ///< Rejected after they were accepted into the queue.
};

/**
 * Allocates the slots of the servers that this node coordinates for the whole fleet. All nodes
 * request the slots of a server from the same coordinator, so that each choice is based on the
 * current load of the servers, and the waiting requests of all nodes share one queue. The nodes'
 * lists of held slots correct lost messages, so a coordinator may fail at any time and another one
 * starts without state.
 */
class SlotAllocator
{
public:
    /**
     * @param servers All servers; those that this node coordinates are marked.
     * @param usable Whether a server may receive requests at all.
     * @param self Incarnation of this node, whose requests count as own load at the servers.
     */
    SlotAllocator(ServerRegistry &servers, std::function<bool(const Server &, Instant)> usable,
                  std::uint64_t self);

    /**
     * Handles a slot request. A repeated request gets the same slot or stays in the queue
     * (idempotent).
     * @param request The slot request.
     * @param service Name of its service.
     * @param now Current time.
     * @return Slot, expected wait, or that this node coordinates no server of the service.
     */
    auto handleRequest(const SlotRequest &request, const std::string &service, Instant now)
        -> SlotReply;

    /**
     * Handles a report. A slot request that still waits is cancelled by a report of any kind.
     * @param report The report.
     * @param now Current time.
     */
    auto handleReport(const SlotReport &report, Instant now) -> void;

    /**
     * Withdraws a slot request that is to be sent to another coordinator.
     * @param incarnation Incarnation of the requesting node.
     * @param requestId Number of the slot request.
     * @param now Current time.
     */
    auto withdrawRequest(std::uint64_t incarnation, std::uint64_t requestId, Instant now) -> void;

    /**
     * Replaces what is known about the slots that a node holds by the node's own list.
     * @param heldSlots Slots that the node holds.
     * @param now Current time.
     */
    auto reconcileHeldSlots(const HeldSlots &heldSlots, Instant now) -> void;

    /**
     * Grants free slots to waiting requests, in their order.
     * @param now Current time.
     * @return Replies with the grants.
     */
    auto grantWaiting(Instant now) -> std::vector<AddressedReply>;

    /**
     * Releases the slots of nodes that are gone, and drops waiting requests that were not repeated
     * in time.
     * @param aliveIncarnations Incarnations of the nodes that are alive.
     * @param now Current time.
     */
    auto expire(const std::set<std::uint64_t> &aliveIncarnations, Instant now) -> void;

    /**
     * Counts the free slots of the servers that this node coordinates.
     * @param now Current time.
     * @return Free slots by service, for all services with such a server.
     */
    auto freeSlotCounts(Instant now) const -> std::vector<FreeSlotCount>;

    /**
     * Counts slots and waiting requests.
     * @param now Current time.
     * @return By name of the service, for all services with a server that this node coordinates.
     */
    auto occupancy(Instant now) const -> std::map<std::string, OccupancySample>;

    /** @param share This node's share of the limits that its servers name. */
    auto setLimitShare(double share) -> void
    {
        this->limitShare = share;
    }

    /** @return Forecasts and their results by service, of services with a waiting request so far.
     */
    auto forecastTotals() const -> const std::map<std::string, ForecastTotals> &
    {
        return this->totals;
    }

    /** @return Number of waiting slot requests. */
    auto waitingCount() const -> std::size_t
    {
        return this->waitingRequests.size();
    }

    /** @return Grants to requests that had waited, by service, since the start. */
    auto queuedGrantCounts() const -> const std::map<std::string, QueuedGrantCounts> &
    {
        return this->queuedGrants;
    }

private:
    using RequestKey = std::pair<std::uint64_t, std::uint64_t>; ///< Incarnation and id.

    /** A granted slot. */
    struct Grant
    {
        ServerPtr server;
        RequestProfile profile;
        double promptWork = 0; ///< Counted in the server's load; 0 once the prompt is read.
        double workAhead = 0; ///< Prompt work at the server when the slot was granted.
        Instant grantedAt{};
        std::string service;
        double work = 0; ///< expectedServiceMs.
    };

    /** A waiting slot request. */
    struct WaitingRequest
    {
        SlotRequest request;
        std::string service;
        Instant receivedAt{}; ///< When it was last received.
        Instant arrivedAt{}; ///< When it was first received.
        std::optional<Duration> forecast{}; ///< Expected wait on arrival, if forecast.
        bool accepted = true; ///< Its node is expected not to reject it for the expected wait.
        bool evicted = false; ///< The reply to a repetition makes its node reject it.
    };

    auto tryGrant(const SlotRequest &request, const std::string &service, Instant now) -> ServerPtr;
    auto release(std::map<RequestKey, Grant>::iterator grant) -> void;
    auto cancelWaiting(std::uint64_t number) -> void;
    auto advanceForecast(const std::string &service, Instant now) -> WaitForecast &;
    auto enqueue(const SlotRequest &request, const std::string &service, Instant now) -> Duration;
    auto expectedWaitOf(std::uint64_t number, Instant now) -> Duration;
    auto recordRejection(const WaitingRequest &waiting) -> void;
    auto recordEvent(const Grant &grant, const SlotReport &report, Instant now) -> void;
    auto coordinates(const std::string &service) const -> bool;
    auto hasUnlimitedServer(const std::string &service, Instant now) const -> bool;

    ServerRegistry &servers;
    std::function<bool(const Server &, Instant)> usable;
    std::uint64_t self;
    double limitShare = 1; ///< Share of the limits that the servers name.
    std::map<RequestKey, Grant> grants;
    std::map<RequestKey, std::uint64_t> queueNumbers; ///< Of the waiting requests.
    std::map<std::uint64_t, WaitingRequest> waitingRequests; ///< By number in the queue.
    std::map<std::string, ServiceQueue> queues; ///< Requests of all nodes, by service.
    std::map<std::string, QueuedGrantCounts> queuedGrants; ///< By service.
    std::map<std::string, WaitForecast> forecasts; ///< By service.
    std::map<std::string, ForecastTotals> totals; ///< By service.
    std::uint64_t nextNumber = 1;
};

} // namespace banyanring::fleet
