/** @file slot_desk.h Gives out the slots of the servers that this node keeps. */
#pragma once

#include "banyanring/fleet/admission_queue.h"
#include "banyanring/fleet/slot_type.h"

#include <map>
#include <set>

namespace banyanring::fleet {

/** A reply and where it goes. */
struct AddressedReply
{
    std::string origin; ///< Peer address of the asking node.
    SlotReply reply;
};

/**
 * Gives out the slots of the servers that this node keeps for the whole fleet. All nodes ask the
 * same keeper for the same servers, so that it knows what each server holds at the moment of each
 * choice, and orders the requests of all nodes that wait. What it knows is made good by the
 * holders' lists, so a keeper may vanish at any time and another begins with nothing.
 */
class SlotDesk
{
public:
    /**
     * @param servers The servers; those that this node keeps are marked there.
     * @param usable Whether a server may get work at all.
     * @param self Incarnation of this node, whose requests count as its own at the servers.
     */
    SlotDesk(ServerBook &servers, std::function<bool(const Server &, Instant)> usable,
             std::uint64_t self);

    /**
     * Takes an ask. One that is known already is answered as before.
     * @param ask The ask.
     * @param service Its service's name.
     * @param now The present.
     * @return What became of it.
     */
    auto take(const SlotAsk &ask, const std::string &service, Instant now) -> SlotReply;

    /**
     * Takes a report. An ask that still waits is withdrawn by any of them.
     * @param report The report.
     * @param now The present.
     */
    auto report(const SlotReport &report, Instant now) -> void;

    /**
     * Takes all that a node holds, in place of what was known.
     * @param holdings What it holds.
     * @param now The present.
     */
    auto takeHoldings(const SlotHoldings &holdings, Instant now) -> void;

    /**
     * Gives slots to asks that wait, in their order.
     * @param now The present.
     * @return Grants.
     */
    auto placeWaiting(Instant now) -> std::vector<AddressedReply>;

    /**
     * Drops what is held or asked by nodes that are gone, and asks that were not repeated.
     * @param nodes Incarnations of the nodes in contact.
     * @param now The present.
     */
    auto expire(const std::set<std::uint64_t> &nodes, Instant now) -> void;

    /**
     * Sums up the room at the servers that this node keeps.
     * @param now The present.
     * @return Services of which it keeps servers.
     */
    auto room(Instant now) const -> std::vector<SlotRoom>;

    /** @return Asks that wait. */
    auto waiting() const -> std::size_t
    {
        return this->asks.size();
    }

private:
    using Key = std::pair<std::uint64_t, std::uint64_t>; ///< Node and ask.

    /** A slot that is given out. */
    struct Holding
    {
        ServerPtr server;
        RequestShape shape;
        double promptWork = 0; ///< Work that counts at the server; 0 once it is read.
        double workAhead = 0; ///< Prompt work at the server when it was given out.
        Instant grantedAt{};
        std::string service;
    };

    /** An ask that waits. */
    struct Waiting
    {
        SlotAsk ask;
        std::string service;
        Instant seenAt{}; ///< It was sent, or sent again.
    };

    auto grant(const SlotAsk &ask, const std::string &service, Instant now) -> ServerPtr;
    auto release(std::map<Key, Holding>::iterator holding) -> void;
    auto withdraw(std::uint64_t run) -> void;
    auto learn(const Holding &holding, const SlotReport &report, Instant now) -> void;
    auto keeps(const std::string &service) const -> bool;

    ServerBook &servers;
    std::function<bool(const Server &, Instant)> usable;
    std::uint64_t self;
    std::map<Key, Holding> holdings;
    std::map<Key, std::uint64_t> runs; ///< Queue numbers of the asks that wait.
    std::map<std::uint64_t, Waiting> asks; ///< By queue number.
    std::map<std::string, ServiceQueue> queues; ///< Those of all nodes, by service.
    std::uint64_t nextRun = 1;
};

} // namespace banyanring::fleet
