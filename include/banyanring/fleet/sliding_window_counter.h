/** @file sliding_window_counter.h Sums amounts over a sliding window. */
#pragma once

#include "banyanring/core/ids_type.h"

#include <array>

namespace banyanring::fleet {

/** Sums amounts over a sliding window that is split into buckets. */
class WindowCounter
{
public:
    /** @param window Length of the window. */
    explicit WindowCounter(Duration window) : bucketLength(window / Buckets) {}

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
    auto recentSum(Instant now) -> double;

    /**
     * Returns the time until a given amount has left the window.
     * @param amount Amount that must leave.
     * @param now Current time.
     * @return Time from now; the whole window if it holds less than the amount.
     */
    auto timeToShed(double amount, Instant now) -> Duration;

    /**
     * Distributes an amount evenly over the buckets of the current window.
     * @param amount Amount to add.
     * @param now Current time.
     */
    auto spread(double amount, Instant now) -> void;

    /** Removes all amounts. */
    auto clear() -> void
    {
        this->amounts.fill(0);
    }

private:
    static constexpr int Buckets = 20; ///< The window slides in steps of a twentieth of its length.
    auto advance(Instant now) -> void;

    Duration bucketLength;
    std::array<double, Buckets + 1> amounts{}; ///< One more bucket than the window needs, so that
                                               ///< the sum never covers less than the window.
    std::int64_t newest =
        0; ///< Number of the current bucket, counted from the origin of the clock.
};

} // namespace banyanring::fleet
