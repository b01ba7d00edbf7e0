/** @file slot_coordination.h Coordinates the slots of backend servers between nodes. */
#pragma once

#include "banyanring/fleet/slot_allocator.h"
#include "banyanring/gateway/peer_socket.h"
#include "banyanring/gateway/scheduler.h"

namespace banyanring::gateway {

/**
 * Sends slot requests to the coordinators of the servers and handles those of other nodes. The
 * servers of a service are split into groups by hash. Each group has one coordinator, chosen by
 * rendezvous hashing among the alive nodes. A coordinator without free slots forwards a request to
 * one that has some. If no reply arrives, a node places the request itself, based on gossiped load.
 */
class SlotCoordination : public SlotPort
{
public:
    /** Connects the slot messages with the scheduler. */
    struct Callbacks
    {
        std::function<void(const fleet::SlotReply &)> onReply; ///< Reply to a request of this node.
        std::function<void(std::uint64_t)> onTimeout; ///< Id of a request that timed out.
        /** Slots that requests of this node hold. */
        std::function<std::vector<fleet::HeldSlot>()> heldSlots;
        /** Whether a server may get requests. */
        std::function<bool(const fleet::Server &, Instant)> isUsable;
    };

    /**
     * @param socket Sends and receives the messages; must outlive this object.
     * @param state Members and servers of this node; must outlive this object.
     * @param self Peer address of this node.
     * @param incarnation Random number of this process start.
     * @param callbacks Called upon replies, timeouts and to read the scheduler's state.
     */
    SlotCoordination(PeerSocket &socket, NodeState &state, std::string self,
                     std::uint64_t incarnation, Callbacks callbacks);

    auto requestSlot(fleet::SlotRequest request, const std::string &service)
        -> std::optional<fleet::SlotReply> override;
    auto cancelSlotRequest(std::uint64_t requestId) -> void override;
    auto reportSlotEvent(fleet::SlotReport report) -> void override;

    /**
     * Assigns coordinators, sends reports and resends requests.
     * To be called several times a second.
     */
    auto tick(Instant now) -> void;

    /** @return Slot requests of all nodes that wait at this coordinator. */
    auto waitingRequests() const -> std::size_t
    {
        return this->allocator.waitingCount();
    }

    /** @return Slots and waiting requests since the last log line, by coordinated service. */
    auto occupancy() const -> const std::map<std::string, fleet::ServiceOccupancy> &
    {
        return this->serviceOccupancy;
    }

    /** @return Grants to requests that had waited, by service. */
    auto queuedGrantCounts() const -> const std::map<std::string, fleet::QueuedGrantCounts> &
    {
        return this->allocator.queuedGrantCounts();
    }

    /** @return Forecasts of waits and their results by service. */
    auto forecastTotals() const -> const std::map<std::string, fleet::ForecastTotals> &
    {
        return this->allocator.forecastTotals();
    }

private:
    /** A slot request of this node, kept until the slot is released. */
    struct PendingRequest
    {
        fleet::SlotRequest request;
        std::string service;
        std::string coordinator; ///< Node that the request was sent to, or that replied to it.
        Instant sentAt{};
        std::optional<Instant> awaitingReplySince; ///< Unset while no reply is awaited.
        bool granted = false;
    };

    /** Free slots of a service that another coordinator reported. */
    struct FreeSlotReport
    {
        std::uint32_t freeSlots = 0;
        Instant receivedAt{};
    };

    auto registerHandlers() -> void;
    auto handleRequest(const fleet::SlotRequest &request) -> void;
    auto handleReply(const fleet::SlotReply &reply, const std::string &from) -> void;
    auto handleFreeSlots(const std::vector<fleet::FreeSlotCount> &reports, const std::string &from)
        -> void;
    auto chooseCoordinator(const std::string &service,
                           std::span<const std::uint32_t> excludedServers, Instant now)
        -> std::string;
    auto coordinatorWithFreeSlots(std::uint32_t service, Instant now) -> std::string;
    auto forward(fleet::SlotRequest request, Instant now) -> bool;
    auto grantWaiting() -> void;
    auto assignCoordinators(Instant now) -> void;
    auto sendHeldSlots(Instant now, bool reassigned) -> void;
    auto sendFreeSlots() -> void;
    auto resendRequests(Instant now) -> void;
    auto recordOccupancy(Instant now) -> void;

    PeerSocket &socket;
    NodeState &state;
    std::string self;
    std::uint64_t incarnation;
    Callbacks callbacks;
    fleet::SlotAllocator allocator;
    std::map<std::uint64_t, PendingRequest> pendingRequests; ///< By request id.
    std::map<std::uint32_t, std::string> coordinators; ///< By server hash.
    /** Generations of the members and servers that the coordinators were assigned for. */
    std::pair<std::uint64_t, std::uint64_t> assignedFor{};
    std::map<std::uint32_t, std::string> serviceNames; ///< By hash of the name.
    /** By service and coordinator. */
    std::map<std::pair<std::uint32_t, std::string>, FreeSlotReport> freeSlotReports;
    std::map<std::string, Instant> backoffUntil; ///< By coordinator that did not reply in time.
    std::mt19937_64 random;
    std::map<std::string, fleet::ServiceOccupancy> serviceOccupancy; ///< By service.
    std::uint64_t ticks = 0;
    bool granting = false;
};

} // namespace banyanring::gateway
