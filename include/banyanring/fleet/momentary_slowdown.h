/** @file momentary_slowdown.h How long work currently takes on a server's machine. */
#pragma once

#include "banyanring/core/ids_type.h"

namespace banyanring::fleet {

/** Factor on the time of work that a server stated in a response, with its age. */
struct SlowdownReport
{
    double factor = 1; ///< 1 for usual.
    Duration age{}; ///< Time since the response.
};

/**
 * Factor by which work on a server's machine takes longer than usual at the moment, as the server
 * states it. Without any statement all factors are 1.
 */
class MomentarySlowdown
{
public:
    static constexpr double MaxFactor = 100; ///< Larger factors are invalid.
    /** An older statement in a report is ignored, as its age is probably malformed. */
    static constexpr Duration MaxReportAge = std::chrono::hours(1);
    /** Within this time a server's state is expected to last. */
    static constexpr Duration Persistence = std::chrono::milliseconds(300);

    /**
     * Checks a stated factor.
     * @param factor The factor.
     * @return Whether it is finite, positive and at most MaxFactor.
     */
    static auto isValid(double factor) -> bool;

    /**
     * Records a stated factor, unless it is invalid or no newer than the newest one. Its weight in
     * the average is proportional to the time since the previous one, so that repeated statements
     * of the same moment hardly count.
     * @param factor The factor.
     * @param statedAt Time of the response.
     */
    auto record(double factor, Instant statedAt) -> void;

    /** @return Whether the server has stated a factor. */
    auto isStated() const -> bool
    {
        return this->stated;
    }

    /**
     * Returns the factor expected now: the newest one, which approaches the long-term average as it
     * ages.
     * @param now Current time.
     * @return The factor.
     */
    auto expectedFactor(Instant now) const -> double;

    /**
     * Compares a factor with the long-term average, at which the server's times are learned.
     * @param factor A stated or expected factor.
     * @return The factor, relative to the average.
     */
    auto relativeFactor(double factor) const -> double;

private:
    double newest = 1;
    Instant newestAt{};
    double average = 1; ///< Decaying average over time.
    bool stated = false;
};

} // namespace banyanring::fleet
