/** @file sliding_window_counter.cpp Sums amounts over a sliding window. */
#include "banyanring/fleet/sliding_window_counter.h"

#include <algorithm>

namespace banyanring::fleet {

auto WindowCounter::advance(Instant now) -> void
{
    const std::int64_t number = now / this->bucketLength;
    const auto size = static_cast<std::int64_t>(this->amounts.size());
    for (auto next = std::max(this->newest + 1, number - size + 1); next <= number; ++next) {
        this->amounts.at(static_cast<std::size_t>(next % size)) = 0;
    }
    this->newest = std::max(this->newest, number);
}

auto WindowCounter::add(double amount, Instant now) -> void
{
    this->advance(now);
    const auto size = static_cast<std::int64_t>(this->amounts.size());
    this->amounts.at(static_cast<std::size_t>(this->newest % size)) += amount;
}

auto WindowCounter::sum(Instant now) -> double
{
    this->advance(now);
    double result = 0;
    for (const auto amount : this->amounts) {
        result += amount;
    }
    return result;
}

auto WindowCounter::recentSum(Instant now) -> double
{
    this->advance(now);
    const auto size = static_cast<std::int64_t>(this->amounts.size());
    double result = 0;
    for (std::int64_t age = 0; age <= Buckets / 2 && age <= this->newest; ++age) {
        result += this->amounts.at(static_cast<std::size_t>((this->newest - age) % size));
    }
    return result;
}

auto WindowCounter::spread(double amount, Instant now) -> void
{
    this->advance(now);
    for (auto &bucket : this->amounts) {
        bucket += amount / static_cast<double>(this->amounts.size());
    }
}

auto WindowCounter::timeToShed(double amount, Instant now) -> Duration
{
    this->advance(now);
    const auto size = static_cast<std::int64_t>(this->amounts.size());
    const auto nextBucket = (this->newest + 1) * this->bucketLength - now;
    for (std::int64_t age = size - 1; age >= 0; --age) {
        const auto number = this->newest - age;
        amount -= number < 0 ? 0 : this->amounts.at(static_cast<std::size_t>(number % size));
        if (amount <= 0) {
            return nextBucket + (size - 1 - age) * this->bucketLength;
        }
    }
    return size * this->bucketLength;
}

} // namespace banyanring::fleet
