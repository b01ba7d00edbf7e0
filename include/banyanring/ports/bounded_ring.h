/** @file bounded_ring.h Bounded rings that join the threads of a process. */
#pragma once

#include <array>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>

namespace banyanring {

/** Lanes of a ring; the first is always emptied first. */
enum class Lane : std::uint8_t {
    Control, ///< Heartbeats, rights, configuration and ends of dispatches.
    Request, ///< New work.
};

/**
 * A bounded ring with a lane of its own for control, for many writers and one reader.
 * @tparam T What it carries.
 */
template <typename T> class BoundedRing
{
public:
    /**
     * @param controlCapacity Most values in the control lane.
     * @param requestCapacity Most values in the request lane.
     */
    BoundedRing(std::size_t controlCapacity, std::size_t requestCapacity)
        : capacities{controlCapacity, requestCapacity}
    {
    }

    /**
     * Adds a value.
     * @param lane Its lane.
     * @param value The value.
     * @return False if the lane is full; the value is dropped then.
     */
    auto push(Lane lane, T value) -> bool
    {
        const auto index = static_cast<std::size_t>(lane);
        {
            const std::scoped_lock lock(this->mutex);
            if (this->lanes.at(index).size() >= this->capacities.at(index)) {
                return false;
            }
            this->lanes.at(index).push_back(std::move(value));
        }
        this->filled.notify_one();
        return true;
    }

    /**
     * Takes a value, the control lane's first.
     * @param timeout Longest time to wait for one.
     * @return The value; nothing if none came.
     */
    auto pop(std::chrono::microseconds timeout) -> std::optional<T>
    {
        std::unique_lock lock(this->mutex);
        this->filled.wait_for(
            lock, timeout, [this] { return !this->lanes[0].empty() || !this->lanes[1].empty(); });
        for (auto &lane : this->lanes) {
            if (!lane.empty()) {
                std::optional<T> value(std::move(lane.front()));
                lane.pop_front();
                return value;
            }
        }
        return std::nullopt;
    }

private:
    std::mutex mutex;
    std::condition_variable filled;
    std::array<std::deque<T>, 2> lanes;
    std::array<std::size_t, 2> capacities;
};

} // namespace banyanring
