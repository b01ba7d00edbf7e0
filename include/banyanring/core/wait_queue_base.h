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
struct WaitEntry
{
    CallId call = 0;
    OrganisationId organisation = 0;
    double weight = 1;
    double tokens = 0;
    Tier tier = 0;
    bool isLong = false;
    Instant since{};
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
    auto push(const WaitEntry &entry) -> void;

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
    auto pop(bool allowLong) -> std::optional<WaitEntry>;

    /**
     * Puts a request back that pop() gave and that could not go.
     * @param entry The request.
     */
    auto putBack(const WaitEntry &entry) -> void;

    /**
     * Finds the request to shed first.
     * @return The newest one of the least urgent tier that waits; nothing if none waits.
     */
    auto shedCandidate() const -> std::optional<WaitEntry>;

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
    auto waitsBelow(Tier tier) const -> bool;

    /** @return The most urgent tier that waits; TierCount if none does. */
    auto topTier() const -> Tier;

private:
    /** One organisation in one lane. */
    struct Share
    {
        std::deque<CallId> calls;
        double deficit = 0;
    };

    /** Requests of one tier and length. */
    struct Lane
    {
        std::unordered_map<OrganisationId, Share> shares;
        std::list<OrganisationId> active; ///< In round-robin order.
    };

    auto lane(const WaitEntry &entry) -> Lane &
    {
        return this->lanes[entry.tier][entry.isLong];
    }
    auto front(Lane &lane) -> std::optional<WaitEntry>;
    auto take(const WaitEntry &entry) -> void;

    std::array<std::array<Lane, 2>, TierCount> lanes;
    std::array<std::size_t, TierCount> counts{};
    std::unordered_map<CallId, WaitEntry> entries;
};

} // namespace banyanring
