/**
 * @file admission_policy.h Decides how long a request may wait for a slot, and when a rejected
 * caller should return. Made for loads of up to about twice the capacity that last for some
 * seconds: what can still be on time goes first, and who has waited already is not sent away again.
 */
#pragma once

#include "banyanring/core/ids_type.h"

#include <map>
#include <random>
#include <string>
#include <string_view>

namespace banyanring::fleet {

/** Within a tier of organisations, requests are ordered by the tier of their route. */
constexpr std::uint32_t TierStep = 256;

/** Times of a request that its wait depends on. */
struct RequestTiming
{
    Instant arrivedAt{}; ///< When it arrived at this node.
    Duration waitedBefore{}; ///< Time since the caller's first attempt; 0 for a first attempt.
    Duration latencyTarget{}; ///< Target for the first byte, from the first attempt on.
    Duration firstByteTime{}; ///< Expected time from its dispatch to its first byte.
    Duration callerTimeout{}; ///< Time after which the caller gives up.
};

/** How long a request may wait for a slot. */
struct WaitBudget
{
    Instant latencyDeadline{}; ///< Latest dispatch time at which it still meets its latency target.
    Instant queueDeadline{}; ///< It is rejected if it still waits at this time.
};

/**
 * Computes how long a request may wait. A request that is late already may wait longer, as its
 * caller gains nothing from another attempt.
 * @param timing Times of the request.
 * @param now Current time.
 * @return The budget.
 */
auto waitBudget(const RequestTiming &timing, Instant now) -> WaitBudget;

/**
 * Checks whether a request should be rejected at once rather than wait.
 * @param budget How long it may wait.
 * @param expectedWait Expected time until its dispatch.
 * @param now Current time.
 * @return Whether it would miss its target, or its queue deadline if it is late already.
 */
auto isWaitTooLong(const WaitBudget &budget, Duration expectedWait, Instant now) -> bool;

/**
 * Chooses when a caller that was rejected for overload should return. The callers of a burst return
 * spread over time.
 * @param expectedWait Expected wait for a slot.
 * @param timeLeft Time until the request's deadline.
 * @param random Random engine.
 * @return Time from now.
 */
auto overloadRetryAfter(Duration expectedWait, Duration timeLeft, std::mt19937_64 &random)
    -> Duration;

/**
 * Recognises further attempts of callers that were rejected before, by another node as a rule. The
 * callers of a route start with few different timeouts, and send the time that is left: one that
 * is not among the common ones was a longer one at the first attempt.
 */
class CallerTimeouts
{
public:
    /**
     * Estimates for how long a caller has been trying, and learns from its timeout.
     * @param route Name of the route.
     * @param timeLeft Time left that the caller sent.
     * @return Time since its first attempt; 0 if this is one, or too little is known of the route.
     */
    auto waitedBefore(std::string_view route, Duration timeLeft) -> Duration;

private:
    /** Recent timeouts of about the same length. */
    struct Bucket
    {
        double count = 0; ///< Decays with each request of the route.
        double averageMs = 0;
    };

    /** Recent timeouts of a route. */
    struct RouteTimeouts
    {
        std::map<int, Bucket> buckets; ///< By the logarithm of the timeout.
        double count = 0; ///< Sum over the buckets.
    };

    std::map<std::string, RouteTimeouts, std::less<>> routes;
};

} // namespace banyanring::fleet
