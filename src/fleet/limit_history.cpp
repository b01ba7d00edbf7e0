/** @file limit_history.cpp A limit on a sliding window that changes over time. */
#include "banyanring/fleet/limit_history.h"

#include <algorithm>

namespace banyanring::fleet {

namespace {

/** Beyond it, a change counts from the time of the one before, which is stricter. */
constexpr std::size_t MaxPeriods = 16;

} // namespace

auto LimitHistory::set(double limit, const UsageSums &used, Instant now) -> void
{
    if (this->isInForce(limit)) {
        return;
    }
    this->removeExpired(now);
    if (this->periods.size() >= MaxPeriods) {
        this->periods.back().limit = limit;
        return;
    }
    SlidingWindowCounter usedBefore(this->window);
    usedBefore.addHalves(used.window - used.newerHalf, used.newerHalf, now);
    this->periods.push_back({now, limit, usedBefore});
}

auto LimitHistory::removeExpired(Instant now) -> void
{
    while (this->periods.size() > 1 && this->periods[1].since <= now - this->window) {
        this->periods.erase(this->periods.begin());
    }
}

auto LimitHistory::meanLimit(Instant now) const -> double
{
    const auto windowStart = now - this->window;
    double unitTime = 0;
    for (std::size_t index = 0; index < this->periods.size(); ++index) {
        const auto since = index == 0 ? windowStart : this->periods[index].since;
        const auto until = index + 1 < this->periods.size() ? this->periods[index + 1].since : now;
        const auto inWindow = std::max(Duration(0), until - std::max(since, windowStart));
        unitTime += this->periods[index].limit * static_cast<double>(inWindow.count());
    }
    return unitTime / static_cast<double>(this->window.count());
}

auto LimitHistory::usedSince(Period &period, const UsageSums &used, Instant now) const -> UsageSums
{
    // How the earlier usage was spread within the two halves of the window is not known.
    const bool halfIsNewer = now - period.since >= this->window / 2;
    const double newerHalf =
        halfIsNewer ? used.newerHalf
                    : std::max(0.0, used.newerHalf - period.usedBefore.newerHalfSum(now));
    return {std::max(newerHalf, used.window - period.usedBefore.sum(now)), newerHalf};
}

auto LimitHistory::heldUsages(const UsageSums &used, Instant now) -> std::vector<HeldUsage>
{
    if (!this->isSet()) {
        return {{0, used}};
    }
    this->removeExpired(now);
    std::vector<HeldUsage> held{{std::max(this->periods.back().limit, this->meanLimit(now)), used}};
    double highestLimit = 0;
    for (std::size_t index = this->periods.size() - 1; index > 0; --index) {
        highestLimit = std::max(highestLimit, this->periods[index].limit);
        held.push_back({highestLimit, this->usedSince(this->periods[index], used, now)});
    }
    return held;
}

} // namespace banyanring::fleet
