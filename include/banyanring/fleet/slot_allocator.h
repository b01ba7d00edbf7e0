/** @file slot_allocator.h Allocates the slots of the servers that this node coordinates. */
#pragma once

#include "banyanring/fleet/admission_queue.h"
#include "banyanring/fleet/slot_type.h"

#include <map>
#include <set>

namespace banyanring::fleet {

/** A reply with its destination. */
struct AddressedReply
{
    std::string origin; ///< Peer address of the requesting node.
    SlotReply reply;
};

/**
 * Allocates the slots of the servers that this node coordinates for the whole fleet. All nodes
 * request the slots of a server from the same coordinator, so that each choice is based on the
 * current load of the servers, and the waiting requests of all nodes share one queue. The nodes'
 * lists of held slots correct lost messages, so a coordinator may fail at any time and another one
 * starts without state.
 */
class SlotDesk
{
public:
    /**
     * @param servers All servers; those that this node coordinates are marked.
     * @param usable Whether a server may receive requests at all.
     * @param self Incarnation of this node, whose requests count as own load at the servers.
     */
    SlotDesk(ServerBook &servers, std::function<bool(const Server &, Instant)> usable,
             std::uint64_t self);

    /**
     * Handles a slot request. A repeated request gets the same slot or stays in the queue
     * (idempotent).
     * @param ask The slot request.
     * @param service Name of its service.
     * @param now Current time.
     * @return Slot, expected wait, or that this node coordinates no server of the service.
     */
    auto take(const SlotAsk &ask, const std::string &service, Instant now) -> SlotReply;

    /**
     * Handles a report. A slot request that still waits is cancelled by a report of any kind.
     * @param report The report.
     * @param now Current time.
     */
    auto report(const SlotReport &report, Instant now) -> void;

    /**
     * Replaces what is known about the slots that a node holds by the node's own list.
     * @param holdings Slots that the node holds.
     * @param now Current time.
     */
    auto takeHoldings(const SlotHoldings &holdings, Instant now) -> void;

    /**
     * Grants free slots to waiting requests, in their order.
     * @param now Current time.
     * @return Replies with the grants.
     */
    auto placeWaiting(Instant now) -> std::vector<AddressedReply>;

    /**
     * Releases the slots of nodes that are gone, and drops waiting requests that were not repeated
     * in time.
     * @param nodes Incarnations of the nodes that are alive.
     * @param now Current time.
     */
    auto expire(const std::set<std::uint64_t> &nodes, Instant now) -> void;

    /**
     * Counts the free slots of the servers that this node coordinates.
     * @param now Current time.
     * @return Free slots by service, for all services with such a server.
     */
    auto room(Instant now) const -> std::vector<SlotRoom>;

    /** @return Number of waiting slot requests. */
    auto waiting() const -> std::size_t
    {
        return this->asks.size();
    }

private:
    using Key = std::pair<std::uint64_t, std::uint64_t>; ///< Incarnation of the requesting node and
                                                         ///< number of its slot request.

    /** A granted slot. */
    struct Holding
    {
        ServerPtr server;
        RequestShape shape;
        double promptWork = 0; ///< Counted in the server's load; 0 once the prompt is read.
        double workAhead = 0; ///< Prompt work at the server when the slot was granted.
        Instant grantedAt{};
        std::string service;
    };

    /** A waiting slot request. */
    struct Waiting
    {
        SlotAsk ask;
        std::string service;
        Instant seenAt{}; ///< When it was last received.
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
    std::map<Key, std::uint64_t> runs; ///< Numbers in the queue of the waiting slot requests.
    std::map<std::uint64_t, Waiting> asks; ///< By number in the queue.
    std::map<std::string, ServiceQueue> queues; ///< Requests of all nodes, by service.
    std::uint64_t nextRun = 1;
};

} // namespace banyanring::fleet
