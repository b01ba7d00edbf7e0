/** @file sliding_window_counter.h Sums amounts over a sliding window. */
#pragma once

#include "banyanring/core/ids_type.h"

#include <array>

namespace banyanring::fleet {

/** Sums amounts over a sliding window that is split into buckets. */
class SlidingWindowCounter
{
public:
    /** @param window Length of the window. */
    explicit SlidingWindowCounter(Duration window) : bucketLength(window / BucketCount) {}

    /**
     * Adds an amount to the current bucket.
     * @param amount Amount to add.
     * @param now Current time.
     */
    auto add(double amount, Instant now) -> void;

    /**
     * Sums the window.
     * @param now Current time.
     * @return Sum of all amounts.
     */
    auto sum(Instant now) -> double;

    /**
     * Sums the newer half of the window.
     * @param now Current time.
     * @return Sum of its amounts.
     */
    auto newerHalfSum(Instant now) -> double;

    /**
     * Returns the time until a given amount has left the window.
     * @param amount Amount that must leave.
     * @param now Current time.
     * @return Time from now; the whole window if it holds less than the amount.
     */
    auto timeUntilExpired(double amount, Instant now) -> Duration;

    /**
     * Distributes an amount evenly over the buckets of the current window.
     * @param amount Amount to add.
     * @param now Current time.
     */
    auto addEvenly(double amount, Instant now) -> void;

    /**
     * Adds amounts that arrived some time in the two halves of the window, evenly spread.
     * @param olderAmount Amount in the older half.
     * @param newerAmount Amount in the newer half; if it is 0, both are spread over the window.
     * @param now Current time.
     */
    auto addHalves(double olderAmount, double newerAmount, Instant now) -> void;

    /** Removes all amounts. */
    auto clear() -> void
    {
        this->buckets.fill(0);
    }

private:
    static constexpr int BucketCount = 20; ///< Buckets per window length.
    auto advance(Instant now) -> void;

    Duration bucketLength;
    std::array<double, BucketCount + 1> buckets{}; ///< One more, to cover the whole window.
    std::int64_t newestBucket = 0; ///< Number of the current bucket since the origin.
};

} // namespace banyanring::fleet
