/** @file window_counter.h Counts events over a sliding window. */
#pragma once

#include "banyanring/core/ids_type.h"

#include <array>

namespace banyanring::fleet {

/** Counts events over a sliding window, in buckets. */
class WindowCounter
{
public:
    /** @param window Length of the window. */
    explicit WindowCounter(Duration window) : bucketLength(window / Buckets) {}

    /**
     * Adds to the present bucket.
     * @param amount What to add.
     * @param now The present.
     */
    auto add(double amount, Instant now) -> void;

    /**
     * Sums the window.
     * @param now The present.
     * @return The sum.
     */
    auto sum(Instant now) -> double;

    /**
     * Sums the newer half of the window.
     * @param now The present.
     * @return The sum.
     */
    auto recentSum(Instant now) -> double;

    /**
     * Tells when enough of the window has passed for some of its sum to fall out.
     * @param amount What has to fall out.
     * @param now The present.
     * @return Time from now; the whole window if it does not hold so much.
     */
    auto timeToShed(double amount, Instant now) -> Duration;

    /**
     * Spreads an amount evenly over the window that has passed.
     * @param amount What to add.
     * @param now The present.
     */
    auto spread(double amount, Instant now) -> void;

    /** Forgets everything. */
    auto clear() -> void
    {
        this->amounts.fill(0);
    }

private:
    static constexpr int Buckets = 20; ///< Granularity of a twentieth of the window.
    auto advance(Instant now) -> void;

    Duration bucketLength;
    std::array<double, Buckets + 1> amounts{}; ///< One more, so that the window is never short.
    std::int64_t newest = 0; ///< Number of the present bucket since the origin.
};

} // namespace banyanring::fleet
