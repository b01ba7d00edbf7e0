/** @file bounded_queue.h A bounded, two-priority queue between threads. */
#pragma once

#include <array>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>

namespace banyanring {

/** Priority lanes of a queue; values of the first lane are always taken first. */
enum class Lane : std::uint8_t {
    Control, ///< Messages of peers, configuration, load reports and progress of dispatches.
    Request, ///< New requests of callers.
};

/**
 * A bounded queue for many producers and one consumer, with a separate lane for control values, so
 * that a flood of new requests neither delays nor displaces them.
 * @tparam T Type of the values.
 */
template <typename T> class BoundedQueue
{
public:
    /**
     * @param controlCapacity Maximum number of values in the control lane.
     * @param requestCapacity Maximum number of values in the request lane.
     */
    BoundedQueue(std::size_t controlCapacity, std::size_t requestCapacity)
        : capacities{controlCapacity, requestCapacity}
    {
    }

    /**
     * Appends a value to a lane; never blocks.
     * @param lane The lane.
     * @param value The value.
     * @return False if the lane is full and the value was dropped.
     */
    auto tryPush(Lane lane, T value) -> bool
    {
        const auto index = static_cast<std::size_t>(lane);
        {
            const std::scoped_lock lock(this->mutex);
            if (this->lanes.at(index).size() >= this->capacities.at(index)) {
                return false;
            }
            this->lanes.at(index).push_back(std::move(value));
        }
        this->notEmpty.notify_one();
        return true;
    }

    /**
     * Removes the oldest value of the control lane, or of the request lane if that is empty.
     * @param timeout Maximum time to wait for a value.
     * @return The value; nothing if both lanes stayed empty.
     */
    auto pop(std::chrono::microseconds timeout) -> std::optional<T>
    {
        std::unique_lock lock(this->mutex);
        this->notEmpty.wait_for(
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
    std::condition_variable notEmpty;
    std::array<std::deque<T>, 2> lanes;
    std::array<std::size_t, 2> capacities;
};

} // namespace banyanring
