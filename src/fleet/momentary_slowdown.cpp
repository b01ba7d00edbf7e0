/** @file momentary_slowdown.cpp How long work currently takes on a server's machine. */
#include "banyanring/fleet/momentary_slowdown.h"

#include <algorithm>
#include <cmath>

namespace banyanring::fleet {

namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

/** Smaller factors are raised to this, as dividing a measured time by them would distort it. */
constexpr double MinFactor = 0.01;
constexpr Duration FreshTime = milliseconds(100); ///< A factor counts unchanged for this time.
/** Longer than many changes of the factor, and short enough to follow a machine's lasting state. */
constexpr Duration AverageTime = std::chrono::seconds(10);

} // namespace

auto MomentarySlowdown::isValid(double factor) -> bool
{
    return std::isfinite(factor) && factor > 0 && factor <= MaxFactor;
}

auto MomentarySlowdown::record(double factor, Instant statedAt) -> void
{
    if (!isValid(factor) || (this->stated && statedAt <= this->newestAt)) {
        return;
    }
    // A factor says little about the time long before it.
    constexpr Duration MaxInterval = FreshTime + Persistence;
    const auto interval =
        this->stated ? std::min(statedAt - this->newestAt, MaxInterval) : MaxInterval;
    this->newest = std::max(factor, MinFactor);
    this->newestAt = statedAt;
    this->stated = true;
    this->average +=
        (1 - std::exp(-Seconds(interval) / Seconds(AverageTime))) * (this->newest - this->average);
}

auto MomentarySlowdown::expectedFactor(Instant now) const -> double
{
    const auto agedFor = std::max(Duration(0), now - this->newestAt - FreshTime);
    const double weight = std::exp(-Seconds(agedFor) / Seconds(Persistence));
    return this->average + weight * (this->newest - this->average);
}

auto MomentarySlowdown::relativeFactor(double factor) const -> double
{
    return std::max(factor, MinFactor) / this->average;
}

} // namespace banyanring::fleet
