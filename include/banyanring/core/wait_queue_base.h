/** @file wait_queue_base.h Waiting requests of one service: tiers first, then fair by weight. */
#pragma once

#include "banyanring/core/ids_type.h"

#include <array>
#include <deque>
#include <list>
#include <optional>
#include <unordered_map>

namespace banyanring {

/** A waiting request, as the queue sees it. */
struct WaitingRequest
{
    CallId call = 0;
    OrganisationId organisation = 0;
    double weight = 1;
    double tokens = 0;
    Tier tier = 0;
    bool isLong = false;
    Instant enqueuedAt{};
};

/**
 * Waiting requests of one service. The most urgent tier goes first; within a tier, deficit round
 * robin over estimated tokens shares by the organisations' weights. Long and short requests wait
 * in lanes of their own.
 */
class WaitQueue
{
public:
    /** @param entry The request. */
    auto push(const WaitingRequest &entry) -> void;

    /**
     * Removes a request, wherever it waits.
     * @param call Its call.
     */
    auto remove(CallId call) -> void;

    /**
     * Takes the request that goes next.
     * @param allowLong Whether a long one may go.
     * @return The request; nothing if none may go.
     */
    auto pop(bool allowLong) -> std::optional<WaitingRequest>;

    /**
     * Puts a request back that pop() gave and that could not go.
     * @param entry The request.
     */
    auto requeue(const WaitingRequest &entry) -> void;

    /**
     * Finds the request to shed first.
     * @return The newest one of the least urgent tier that waits; nothing if none waits.
     */
    auto shedCandidate() const -> std::optional<WaitingRequest>;

    /**
     * Counts the requests of a tier.
     * @param tier The tier.
     * @return The count.
     */
    auto count(Tier tier) const -> std::size_t
    {
        return this->counts[tier];
    }

    /** @return The number of waiting requests. */
    auto size() const -> std::size_t
    {
        return this->entries.size();
    }

    /**
     * Tells whether a less urgent request waits.
     * @param tier A tier.
     * @return Whether a request of a greater tier number waits.
     */
    auto hasLessUrgent(Tier tier) const -> bool;

    /** @return The most urgent tier that waits; TierCount if none does. */
    auto mostUrgentTier() const -> Tier;

private:
    /** One organisation in one lane. */
    struct Flow
    {
        std::deque<CallId> calls;
        double deficit = 0;
    };

    /** Requests of one tier and length. */
    struct Lane
    {
        std::unordered_map<OrganisationId, Flow> flows;
        std::list<OrganisationId> activeFlows; ///< In round-robin order.
    };

    auto lane(const WaitingRequest &entry) -> Lane &
    {
        return this->lanes[entry.tier][entry.isLong];
    }
    auto front(Lane &lane) -> std::optional<WaitingRequest>;
    auto removeFront(const WaitingRequest &entry) -> void;

    std::array<std::array<Lane, 2>, TierCount> lanes;
    std::array<std::size_t, TierCount> counts{};
    std::unordered_map<CallId, WaitingRequest> entries;
};

} // namespace banyanring
