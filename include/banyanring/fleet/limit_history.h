/** @file limit_history.h A limit on a sliding window that changes over time. */
#pragma once

#include "banyanring/fleet/sliding_window_counter.h"

#include <vector>

namespace banyanring::fleet {

/** Units used by all nodes that count against a limit. */
struct UsageSums
{
    double window = 0; ///< In the whole window.
    double newerHalf = 0; ///< In the newer half of the window.
};

/** A limit and the usage that is held to it. */
struct HeldUsage
{
    double limit = 0; ///< Units of a window.
    UsageSums used;
};

/**
 * A limit on what is used in a sliding window, and its changes. Usage before a change was allowed
 * by the former limit and stays used. A lower limit takes effect as the window moves past the
 * change, and what is used after the change is held to it from the start.
 */
class LimitHistory
{
public:
    /** @param windowLength Length of the window. */
    explicit LimitHistory(Duration windowLength) : window(windowLength) {}

    /**
     * Sets the limit in force.
     * @param limit Units of a window.
     * @param used Usage until now.
     * @param now Current time.
     */
    auto set(double limit, const UsageSums &used, Instant now) -> void;

    /**
     * Returns what has to be held to which limit: the usage of the whole window to the mean of its
     * limits or the one in force, and the usage since each change to the highest limit since then.
     * @param used Usage until now.
     * @param now Current time.
     * @return At least one item; the first one is the whole window.
     */
    auto heldUsages(const UsageSums &used, Instant now) -> std::vector<HeldUsage>;

    /** @return Whether a limit was set. */
    auto isSet() const -> bool
    {
        return !this->periods.empty();
    }

    /** @return Whether a limit is the one in force. */
    auto isInForce(double limit) const -> bool
    {
        return this->isSet() && this->periods.back().limit == limit;
    }

    /** Forgets all limits. */
    auto clear() -> void
    {
        this->periods.clear();
    }

private:
    /** Time during which a limit was in force. */
    struct Period
    {
        Instant since{};
        double limit = 0;
        SlidingWindowCounter usedBefore; ///< What of the window was used before.
    };

    auto removeExpired(Instant now) -> void;
    auto meanLimit(Instant now) const -> double;
    auto usedSince(Period &period, const UsageSums &used, Instant now) const -> UsageSums;

    Duration window;
    std::vector<Period> periods; ///< Oldest first; the first one also stands for the time before.
};

} // namespace banyanring::fleet
