/** @file service_occupancy.h Slots and waiting requests of a service over a period. */
#pragma once

#include <algorithm>
#include <cstdint>

namespace banyanring::fleet {

/** Slots of the servers of a service that one node coordinates, and its waiting requests. */
struct OccupancySample
{
    std::uint32_t freeSlots = 0; ///< Of usable servers.
    std::uint32_t occupiedSlots = 0; ///< Of usable servers.
    std::uint32_t unusableSlots = 0; ///< Of servers that may not receive requests now.
    std::size_t waitingRequests = 0;
};

/**
 * Summarises samples, so that an operator can tell a service without free slots from one whose free
 * slots the waiting requests cannot use.
 */
class ServiceOccupancy
{
public:
    /** @param sample Slots and waiting requests at one moment. */
    auto record(const OccupancySample &sample) -> void
    {
        ++this->samples;
        this->last = sample;
        if (sample.waitingRequests == 0) {
            return;
        }
        ++this->waitingSamples;
        this->freeWhileWaiting += sample.freeSlots;
        this->occupiedWhileWaiting += sample.occupiedSlots;
        this->waitingSum += sample.waitingRequests;
        this->longestQueue = std::max(this->longestQueue, sample.waitingRequests);
    }

    /** @return Fraction of the samples in which requests were waiting. */
    auto waitingFraction() const -> double
    {
        return mean(this->waitingSamples, this->samples);
    }
    /** @return Mean number of free slots while requests were waiting. */
    auto meanFreeSlots() const -> double
    {
        return mean(this->freeWhileWaiting, this->waitingSamples);
    }
    /** @return Mean number of occupied slots while requests were waiting. */
    auto meanOccupiedSlots() const -> double
    {
        return mean(this->occupiedWhileWaiting, this->waitingSamples);
    }
    /** @return Mean number of waiting requests while there were any. */
    auto meanWaiting() const -> double
    {
        return mean(this->waitingSum, this->waitingSamples);
    }
    /** @return Largest number of waiting requests. */
    auto maxWaiting() const -> std::size_t
    {
        return this->longestQueue;
    }
    /** @return The latest sample. */
    auto lastSample() const -> const OccupancySample &
    {
        return this->last;
    }

private:
    static auto mean(std::uint64_t sum, std::uint64_t count) -> double
    {
        return count > 0 ? static_cast<double>(sum) / static_cast<double>(count) : 0;
    }

    std::uint64_t samples = 0;
    std::uint64_t waitingSamples = 0;
    std::uint64_t freeWhileWaiting = 0;
    std::uint64_t occupiedWhileWaiting = 0;
    std::uint64_t waitingSum = 0;
    std::size_t longestQueue = 0;
    OccupancySample last;
};

} // namespace banyanring::fleet
