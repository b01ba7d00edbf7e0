/** @file request_limit.h Limit on the requests of all nodes that a backend server names. */
#pragma once

#include "banyanring/core/ids_type.h"

#include <limits>

namespace banyanring::fleet {

/** Limit, in requests per second, of a server that names none. */
constexpr double NoRequestLimit = std::numeric_limits<double>::infinity();

/**
 * Returns the share of a limit for the coordinator of its server. During a network partition each
 * side has a coordinator.
 * @param reachableFraction Fraction of the fleet that it reaches.
 * @return Share; the shares of two sides sum to 1.1 at most.
 */
auto coordinatorLimitShare(double reachableFraction) -> double;

/** Nodes per server that may send to it without its coordinator while it names a limit. */
constexpr std::size_t MaxUncoordinatedSenders = 2;
/** Share of a limit for each of them. */
constexpr double UncoordinatedLimitShare = 0.0625;

/**
 * What a server last said about the requests that it accepts from all nodes together, and the
 * requests that this node may send it (token bucket).
 */
class RequestLimit
{
public:
    /**
     * Records what a response said, unless a newer response is known.
     * @param perSecond Requests per second, or NoRequestLimit.
     * @param newStatedAt Time of the response.
     * @param now Current time.
     * @return Whether the limit changed.
     */
    auto update(double perSecond, Instant newStatedAt, Instant now) -> bool;

    /** @return Requests per second, or NoRequestLimit. */
    auto perSecond() const -> double
    {
        return this->limit;
    }
    /** @return Whether the server named a limit in its last response. */
    auto isNamed() const -> bool
    {
        return this->limit != NoRequestLimit;
    }
    /** @return Time of the response that the limit is known from. */
    auto statedAt() const -> Instant
    {
        return this->lastStatedAt;
    }
    /** @return Whether peers may not know the limit yet, or that there is none any more. */
    auto isNews(Instant now) const -> bool
    {
        return now - this->changedAt < NewsLifetime;
    }

    /**
     * Returns the requests that may be sent now.
     * @param share This node's share of the limit.
     * @param now Current time.
     * @return Number of requests, with fractions; infinity without a limit.
     */
    auto allowance(double share, Instant now) const -> double;

    /**
     * Checks whether a request may be sent. A limit on the number of requests is best used for long
     * ones, as other servers can run many short ones instead.
     * @param share This node's share of the limit.
     * @param isLong Whether the request is a long one; others leave a reserve for these.
     * @param now Current time.
     * @return Whether it may.
     */
    auto permits(double share, bool isLong, Instant now) const -> bool
    {
        return this->allowance(share, now) >= (isLong ? 1 : 1 + share);
    }

    /**
     * Counts a request.
     * @param share This node's share of the limit.
     * @param now Current time.
     */
    auto recordRequest(double share, Instant now) -> void;

    /** Empties the bucket; for a new coordinator, which does not know what others have sent. */
    auto clearAllowance(Instant now) -> void
    {
        this->tokens = 0;
        this->refilledAt = now;
    }

private:
    static constexpr Duration NewsLifetime = std::chrono::seconds(1); ///< Several gossip rounds.
    static constexpr Instant LongAgo{std::numeric_limits<Instant::rep>::min() / 2};

    double limit = NoRequestLimit;
    Instant lastStatedAt = LongAgo;
    Instant changedAt = LongAgo;
    double tokens = 0; ///< Requests allowed at the time of the last refill.
    Instant refilledAt{};
};

} // namespace banyanring::fleet
