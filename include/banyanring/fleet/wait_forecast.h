/** @file wait_forecast.h Forecasts how long a request of a service waits for a slot. */
#pragma once

#include "banyanring/fleet/placement.h"

#include <array>
#include <map>
#include <optional>

namespace banyanring::fleet {

/** Exponentially decaying average of an amount per second that knows for how long it has run. */
class DecayingRate
{
public:
    /** @param timeConstant Age at which an amount counts by a factor of e less. */
    explicit DecayingRate(Duration timeConstant) : timeConstant(timeConstant) {}

    /** @param elapsed Time that has passed since the last call. */
    auto advance(Duration elapsed) -> void;

    /** @param amount Amount to add at the present time. */
    auto add(double amount) -> void
    {
        this->sum += amount;
    }

    /** @return Amount per second; an average of the time since the start while that is short. */
    auto perSecond() const -> double;

private:
    Duration timeConstant;
    double sum = 0;
    double weight = 0; ///< 1 - exp(-age / timeConstant).
};

/** Requests that arrive after a waiting one and count in its forecast if they go first. */
enum class LaterArrivals : std::uint8_t {
    All,
    MoreUrgent, ///< Only those of a more urgent tier.
    None,
};

/** A request's place in the queue. Work is in milliseconds at a server of average speed. */
struct QueuePlace
{
    std::uint32_t tier = 0;
    Duration untilLate{}; ///< Time until its latency deadline; negative if it has passed.
    double workAhead = 0; ///< Waiting work that goes first while the request is on time.
    double workAheadIfLate = 0; ///< Waiting work that goes first once it is late.
};

/**
 * Forecasts waits from the work that waits, the rate at which the servers finish work while
 * requests wait, and the rate at which work arrives that goes first. Requests that are on time go
 * before late ones; in both groups the more urgent tier goes first.
 */
class WaitForecast
{
public:
    /** Forecast of a request that by the present rates gets no slot at all. */
    static constexpr Duration NeverWait = std::chrono::seconds(10);

    WaitForecast();

    /**
     * Advances the clocks. To be called before each change of the queue.
     * @param requestsWait Whether requests have been waiting since the last call.
     * @param now Current time.
     */
    auto advance(bool requestsWait, Instant now) -> void;

    /**
     * Records the tier of a new request, whether it is accepted or not; to be called after
     * advance().
     * @param tier Its tier.
     */
    auto recordTier(std::uint32_t tier) -> void;

    /**
     * Records the work of a request that was granted a slot at once or accepted into the queue.
     * @param tier Its tier.
     * @param untilLate Time until its latency deadline; negative if it has passed.
     * @param work Its work.
     */
    auto recordAccepted(std::uint32_t tier, Duration untilLate, double work) -> void;

    /** @param work Work of a completed request; the time since the start of waiting is advanced. */
    auto recordCompleted(double work) -> void;

    /**
     * Forecasts a wait.
     * @param place The request's place.
     * @param later Later arrivals that count.
     * @return Time until it gets a slot; unset until enough has been measured, or if all recent
     *     requests are of one tier.
     */
    auto expectedWait(const QueuePlace &place, LaterArrivals later) const
        -> std::optional<Duration>;

    /** @return Work that the servers finish per second while requests wait. */
    auto servicePerSecond() const -> double
    {
        return this->service.perSecond();
    }

private:
    /**
     * Requests of a tier are ordered by their latency deadline, so arrivals of the same tier may go
     * first as well; how many depends on the time until their deadline.
     */
    static constexpr Duration BudgetStep = std::chrono::milliseconds(50);
    static constexpr std::size_t BudgetSteps = 60;

    /** Accepted work of a tier, as decaying sums. */
    struct TierArrivals
    {
        std::array<double, BudgetSteps> onTime{}; ///< By time until the deadline, on arrival.
        double late = 0;
        Instant lastAt{};
    };

    /** Work per second that goes first, for a limited time. */
    struct ArrivalsAhead
    {
        Duration until{}; ///< From now on.
        double perSecond = 0;
    };

    auto isReady() const -> bool;

    std::optional<Instant> advancedAt;
    bool waiting = false; ///< Whether requests wait at present.
    Duration waitingTime{}; ///< Total time in which requests waited.
    std::uint64_t completedCount = 0; ///< While requests waited.
    double completedWork = 0; ///< Work of the completed requests that are counted.
    DecayingRate service;
    double arrivalWeight = 0; ///< 1 - exp(-age / time constant) of the arrivals.
    std::map<std::uint32_t, TierArrivals> tiers;
};

} // namespace banyanring::fleet
