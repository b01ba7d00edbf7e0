/** @file request_limit.cpp Limit on the requests of all nodes that a backend server names. */
#include "banyanring/fleet/request_limit.h"

#include <algorithm>
#include <utility>

namespace banyanring::fleet {

namespace {

/** Requests to a server that takes none, as only its responses tell when it takes some again. */
constexpr double MinRequestsPerSecond = 0.25;
constexpr double BurstSeconds = 1.5; ///< Unused requests of this time may be sent at once.
constexpr double MaxPartitionedShare = 1.1; ///< Sum of the shares of both sides of a partition.

} // namespace

auto coordinatorLimitShare(double reachableFraction) -> double
{
    return std::min(1.0, MaxPartitionedShare * reachableFraction);
}

auto RequestLimit::update(double perSecond, Instant newStatedAt, Instant now) -> bool
{
    if (newStatedAt < this->lastStatedAt) {
        if (perSecond != this->limit) {
            this->changedAt = now; // The peer has not heard of the newer response.
        }
        return false;
    }
    this->lastStatedAt = newStatedAt;
    if (perSecond == this->limit) {
        return false;
    }
    if (!this->isNamed()) {
        this->clearAllowance(now);
    }
    this->limit = perSecond;
    this->changedAt = now;
    return true;
}

auto RequestLimit::allowance(double share, Instant now) const -> double
{
    if (!this->isNamed()) {
        return NoRequestLimit;
    }
    const double rate = share * std::max(this->limit, MinRequestsPerSecond);
    const double elapsedSeconds = std::chrono::duration<double>(now - this->refilledAt).count();
    const double capacity = share > 0 ? std::max(1 + share, rate * BurstSeconds) : 0;
    return std::min(capacity, this->tokens + rate * elapsedSeconds);
}

auto RequestLimit::recordRequest(double share, Instant now) -> void
{
    if (this->isNamed()) {
        this->tokens = this->allowance(share, now) - 1;
        this->refilledAt = now;
    }
}

} // namespace banyanring::fleet
