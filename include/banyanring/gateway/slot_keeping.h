/** @file slot_keeping.h Asks the keepers of servers for slots, and is one of them. */
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
class SlotKeeping : public SlotPort
{
public:
    /** What the asks lead to. */
    struct Callbacks
    {
        std::function<void(const fleet::SlotReply &)> onReply; ///< A reply to an own ask.
        std::function<void(std::uint64_t)> onSilent; ///< An own ask gets no answer.
        /** Slots that own requests hold. */
        std::function<std::vector<fleet::SlotHolding>()> holdings;
        std::function<bool(const fleet::Server &, Instant)> usable; ///< A server may get work.
    };

    /**
     * @param socket Carries the messages; must outlive this object.
     * @param books What the decisions stand on; must outlive this object.
     * @param self Peer address of this node.
     * @param incarnation This start of the process.
     * @param callbacks What the asks lead to.
     */
    SlotKeeping(PeerSocket &socket, NodeBooks &books, std::string self, std::uint64_t incarnation,
                Callbacks callbacks);

    auto ask(fleet::SlotAsk ask, const std::string &service)
        -> std::optional<fleet::SlotReply> override;
    auto withdraw(std::uint64_t ask) -> void override;
    auto report(fleet::SlotReport report) -> void override;

    /** Does what is due; to be called some times a second. */
    auto tick(Instant now) -> void;

    /** @return Asks of all nodes that wait here. */
    auto waiting() const -> std::size_t
    {
        return this->desk.waiting();
    }

private:
    /** An own ask, until its request ends. */
    struct Pending
    {
        fleet::SlotAsk ask;
        std::string service;
        std::string keeper; ///< Where it was sent, or who answered it.
        Instant sentAt{};
        std::optional<Instant> silentSince; ///< Since when an answer is awaited.
        bool granted = false;
    };

    /** What another keeper told of its room. */
    struct Room
    {
        std::uint32_t freeSlots = 0;
        Instant at{};
    };

    auto handleMessages() -> void;
    auto takeAsk(const fleet::SlotAsk &ask) -> void;
    auto takeReply(const fleet::SlotReply &reply, const std::string &from) -> void;
    auto takeRooms(const std::vector<fleet::SlotRoom> &rooms, const std::string &from) -> void;
    auto chooseKeeper(const std::string &service, Instant now) -> std::string;
    auto roomyKeeper(std::uint32_t service, Instant now) -> std::string;
    auto handOn(fleet::SlotAsk ask, Instant now) -> bool;
    auto giveOut() -> void;
    auto assignKeepers(Instant now) -> void;
    auto tellHoldings(Instant now) -> void;
    auto tellRooms() -> void;
    auto repeatAsks(Instant now) -> void;

    PeerSocket &socket;
    NodeBooks &books;
    std::string self;
    std::uint64_t incarnation;
    Callbacks callbacks;
    fleet::SlotDesk desk;
    std::map<std::uint64_t, Pending> pending; ///< By number of the ask.
    std::map<std::uint32_t, std::string> keepers; ///< By number of the server.
    std::map<std::uint32_t, std::string> serviceNames; ///< By hashName.
    std::map<std::pair<std::uint32_t, std::string>, Room> rooms; ///< By service and keeper.
    std::map<std::string, Instant> avoided; ///< Keepers that did not answer, until when.
    std::mt19937_64 random;
    std::uint64_t ticks = 0;
    bool givingOut = false;
};

} // namespace banyanring::gateway
