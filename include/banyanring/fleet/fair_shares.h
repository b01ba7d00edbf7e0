/** @file fair_shares.h Weighted fair shares of the organisations that use a service. */
#pragma once

#include "banyanring/core/ids_type.h"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace banyanring::fleet {

/** Requests of one organisation that wait. */
struct WaitingWork
{
    double cost = 0; ///< Work of the requests, in the unit of the recorded usage.
    double weight = 0; ///< Weight of the organisation; 0 if unknown.
};

/**
 * Ranks organisations by the factor by which their recent usage of a service exceeds their fair
 * share of it. Shares follow weighted max-min fairness: what an organisation does not use is
 * divided among the others by weight. Organisations without a weight have the mean weight of the
 * others. A weight that is not a positive finite number counts as none.
 */
class FairShares
{
public:
    using Ranks = std::unordered_map<std::uint32_t, std::uint32_t>; ///< By organisation.
    using Waiting = std::unordered_map<std::uint32_t, WaitingWork>; ///< By organisation.

    /**
     * Adds the work of a dispatched request to the usage of its organisation.
     * @param organisation hashName of the organisation; 0 for requests without one.
     * @param cost Work of the request.
     * @param weight Weight of the organisation; 0 if unknown.
     * @param now Current time.
     */
    auto recordUsage(std::uint32_t organisation, double cost, double weight, Instant now) -> void;

    /** @return Exponentially decayed work of an organisation's dispatched requests. */
    auto usage(std::uint32_t organisation, Instant now) const -> double;

    /**
     * Ranks the organisations whose requests wait. Takes time in proportion to the number of known
     * organisations, so it should be called once per round of dispatches.
     * @param waiting Waiting work by organisation.
     * @param now Current time.
     * @return Rank of each waiting organisation, 0 if it is within its share; nullopt if neither a
     * waiting nor a recent organisation has a weight.
     */
    auto ranks(const Waiting &waiting, Instant now) const -> std::optional<Ranks>;

    /** @return Number of organisations whose usage is stored. */
    auto size() const -> std::size_t
    {
        return this->usages.size();
    }

private:
    /** Decaying usage of an organisation. */
    struct Usage
    {
        double decayedCost = 0;
        double decayedRequests = 0;
        Instant updatedAt{};
        double weight = 0; ///< Newest one; 0 if none was reported.
        Instant weightAt{}; ///< When it was reported.
    };

    auto dropIdle(Instant now) -> void;

    std::unordered_map<std::uint32_t, Usage> usages; ///< By organisation.
    Instant idleDroppedAt{};
};

} // namespace banyanring::fleet
