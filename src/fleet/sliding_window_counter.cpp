/** @file sliding_window_counter.cpp Sums amounts over a sliding window. */
#include "banyanring/fleet/sliding_window_counter.h"

#include <algorithm>

namespace banyanring::fleet {

auto SlidingWindowCounter::advance(Instant now) -> void
{
    const std::int64_t bucketNumber = now / this->bucketLength;
    const auto size = static_cast<std::int64_t>(this->buckets.size());
    for (auto cleared = std::max(this->newestBucket + 1, bucketNumber - size + 1);
         cleared <= bucketNumber; ++cleared) {
        this->buckets.at(static_cast<std::size_t>(cleared % size)) = 0;
    }
    this->newestBucket = std::max(this->newestBucket, bucketNumber);
}

auto SlidingWindowCounter::add(double amount, Instant now) -> void
{
    this->advance(now);
    const auto size = static_cast<std::int64_t>(this->buckets.size());
    this->buckets.at(static_cast<std::size_t>(this->newestBucket % size)) += amount;
}

auto SlidingWindowCounter::sum(Instant now) -> double
{
    this->advance(now);
    double result = 0;
    for (const auto amount : this->buckets) {
        result += amount;
    }
    return result;
}

auto SlidingWindowCounter::newerHalfSum(Instant now) -> double
{
    this->advance(now);
    const auto size = static_cast<std::int64_t>(this->buckets.size());
    double result = 0;
    for (std::int64_t age = 0; age <= BucketCount / 2 && age <= this->newestBucket; ++age) {
        result += this->buckets.at(static_cast<std::size_t>((this->newestBucket - age) % size));
    }
    return result;
}

auto SlidingWindowCounter::addEvenly(double amount, Instant now) -> void
{
    this->advance(now);
    for (auto &bucket : this->buckets) {
        bucket += amount / static_cast<double>(this->buckets.size());
    }
}

auto SlidingWindowCounter::addHalves(double olderAmount, double newerAmount, Instant now) -> void
{
    if (newerAmount <= 0) {
        this->addEvenly(olderAmount, now);
        return;
    }
    this->advance(now);
    const auto size = static_cast<std::int64_t>(this->buckets.size());
    const auto newerSize = std::int64_t{BucketCount / 2 + 1};
    for (std::int64_t age = 0; age < size && age <= this->newestBucket; ++age) {
        auto &bucket =
            this->buckets.at(static_cast<std::size_t>((this->newestBucket - age) % size));
        bucket += age < newerSize ? newerAmount / static_cast<double>(newerSize)
                                  : olderAmount / static_cast<double>(size - newerSize);
    }
}

auto SlidingWindowCounter::timeUntilExpired(double amount, Instant now) -> Duration
{
    this->advance(now);
    const auto size = static_cast<std::int64_t>(this->buckets.size());
    const auto nextBucket = (this->newestBucket + 1) * this->bucketLength - now;
    for (std::int64_t age = size - 1; age >= 0; --age) {
        const auto bucketNumber = this->newestBucket - age;
        amount -=
            bucketNumber < 0 ? 0 : this->buckets.at(static_cast<std::size_t>(bucketNumber % size));
        if (amount <= 0) {
            return nextBucket + (size - 1 - age) * this->bucketLength;
        }
    }
    return size * this->bucketLength;
}

} // namespace banyanring::fleet
