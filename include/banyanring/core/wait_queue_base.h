/** @file wait_queue_base.h Queue of a service with priorities and fair queuing. */
#pragma once

#include "banyanring/core/ids_type.h"

#include <array>
#include <deque>
#include <list>
#include <optional>
#include <unordered_map>

namespace banyanring {

/** A request waiting in the queue. */
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
 * Requests of one service that wait for a slot. The most urgent tier has strict priority. Within a
 * tier, deficit round robin over estimated tokens shares capacity by the organisations' weights.
 * Long and short requests have separate lanes.
 */
class WaitQueue
{
public:
    /** @param entry Request to append. */
    auto push(const WaitingRequest &entry) -> void;

    /**
     * Removes a request from any position.
     * @param call Call of the request.
     */
    auto remove(CallId call) -> void;

    /**
     * Removes and returns the next request.
     * @param allowLong Whether a long request may be returned.
     * @return The request; nothing if there is none.
     */
    auto pop(bool allowLong) -> std::optional<WaitingRequest>;

    /**
     * Puts a request that pop() returned back to its place at the front.
     * @param entry The request.
     */
    auto requeue(const WaitingRequest &entry) -> void;

    /**
     * Returns the request to shed first.
     * @return The newest request of the least urgent waiting tier; nothing if the queue is empty.
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
     * Checks for less urgent requests.
     * @param tier A tier.
     * @return Whether a request with a higher tier number waits.
     */
    auto hasLessUrgent(Tier tier) const -> bool;

    /** @return The most urgent waiting tier; TierCount if the queue is empty. */
    auto mostUrgentTier() const -> Tier;

private:
    /** Requests of one organisation in one lane. */
    struct Flow
    {
        std::deque<CallId> calls;
        double deficit = 0; ///< Deficit counter, in tokens.
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
