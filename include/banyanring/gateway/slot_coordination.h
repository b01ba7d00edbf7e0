/** @file slot_coordination.h Asks the keepers of servers for slots, and is one of them. */
#pragma once

#include "banyanring/fleet/slot_desk.h"
#include "banyanring/gateway/peer_socket.h"
#include "banyanring/gateway/scheduler.h"

namespace banyanring::gateway {

/**
 * Carries asks for slots to the nodes that keep the servers, and serves those of others. The
 * servers of a service are split into groups by hash, each kept by one node, chosen by hash among
 * those in contact. A keeper without room hands an ask on to one that has room. Without an answer
 * a node places by itself, on what gossip told.
 */
class SlotCoordination : public SlotPort
{
public:
    /** What the asks lead to. */
    struct Callbacks
    {
        std::function<void(const fleet::SlotReply &)> onReply; ///< A reply to an own request.
        std::function<void(std::uint64_t)> onTimeout; ///< An own ask gets no answer.
        /** Slots that own requests hold. */
        std::function<std::vector<fleet::SlotHolding>()> heldSlots;
        std::function<bool(const fleet::Server &, Instant)> isUsable; ///< A server may get work.
    };

    /**
     * @param socket Carries the messages; must outlive this object.
     * @param books What the decisions stand on; must outlive this object.
     * @param self Peer address of this node.
     * @param incarnation This start of the process.
     * @param callbacks What the asks lead to.
     */
    SlotCoordination(PeerSocket &socket, NodeBooks &state, std::string self,
                     std::uint64_t incarnation, Callbacks callbacks);

    auto ask(fleet::SlotAsk request, const std::string &service)
        -> std::optional<fleet::SlotReply> override;
    auto withdraw(std::uint64_t requestId) -> void override;
    auto report(fleet::SlotReport report) -> void override;

    /** Does what is due; to be called some times a second. */
    auto tick(Instant now) -> void;

    /** @return Asks of all nodes that wait here. */
    auto waitingRequests() const -> std::size_t
    {
        return this->allocator.waiting();
    }

private:
    /** An own request, until its request ends. */
    struct PendingRequest
    {
        fleet::SlotAsk request;
        std::string service;
        std::string coordinator; ///< Where it was sent, or who answered it.
        Instant sentAt{};
        std::optional<Instant> awaitingReplySince; ///< Since when an answer is awaited.
        bool granted = false;
    };

    /** What another keeper told of its room. */
    struct FreeSlotReport
    {
        std::uint32_t freeSlots = 0;
        Instant receivedAt{};
    };

    auto registerHandlers() -> void;
    auto handleRequest(const fleet::SlotAsk &request) -> void;
    auto handleReply(const fleet::SlotReply &reply, const std::string &from) -> void;
    auto handleFreeSlots(const std::vector<fleet::SlotRoom> &reports, const std::string &from)
        -> void;
    auto chooseCoordinator(const std::string &service, Instant now) -> std::string;
    auto coordinatorWithFreeSlots(std::uint32_t service, Instant now) -> std::string;
    auto forward(fleet::SlotAsk request, Instant now) -> bool;
    auto grantWaiting() -> void;
    auto assignCoordinators(Instant now) -> void;
    auto sendHeldSlots(Instant now) -> void;
    auto sendFreeSlots() -> void;
    auto resendRequests(Instant now) -> void;

    PeerSocket &socket;
    NodeBooks &state;
    std::string self;
    std::uint64_t incarnation;
    Callbacks callbacks;
    fleet::SlotDesk allocator;
    std::map<std::uint64_t, PendingRequest> pendingRequests; ///< By number of the request.
    std::map<std::uint32_t, std::string> coordinators; ///< By number of the server.
    std::map<std::uint32_t, std::string> serviceNames; ///< By nameId.
    std::map<std::pair<std::uint32_t, std::string>, FreeSlotReport>
        freeSlotReports; ///< By service and keeper.
    std::map<std::string, Instant> backoffUntil; ///< Keepers that did not answer, until when.
    std::mt19937_64 random;
    std::uint64_t ticks = 0;
    bool granting = false;
};

} // namespace banyanring::gateway
