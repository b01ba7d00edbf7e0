/** @file token_bucket.cpp Token bucket with loans and reservations. */
#include "banyanring/core/token_bucket.h"

#include "banyanring/core/invariant_func.h"

#include <algorithm>

namespace banyanring {

namespace {

constexpr double LendableFraction = 0.5; ///< Maximum fraction of the burst on loan.
constexpr double Tolerance = 1e-6; ///< Relative rounding error allowed in sums.

} // namespace

TokenBucket::TokenBucket(double rate, double burst, Instant now)
    : rate(rate), burst(burst), refilledAt(now)
{
}

auto TokenBucket::refill(Instant now) -> void
{
    const auto elapsed = std::chrono::duration<double>(now - this->refilledAt).count();
    if (elapsed <= 0) {
        return;
    }
    this->refilledAt = now;
    if (now >= this->withheldUntil) {
        this->withheld = 0;
    }
    const auto maxLevel = this->burst - this->lent - this->reserved - this->withheld;
    if (this->level < maxLevel) {
        this->level = std::min(maxLevel, this->level + elapsed * this->rate);
    }
}

auto TokenBucket::setLimits(double newRate, double newBurst, Instant now) -> void
{
    this->refill(now);
    this->rate = newRate;
    this->burst = newBurst;
    this->level = std::max(0.0, std::min(this->level, this->burst - this->lent - this->reserved));
}

auto TokenBucket::withhold(double amount, Instant until) -> void
{
    this->withheld = std::min(amount, this->burst);
    this->withheldUntil = until;
}

auto TokenBucket::reserve(double amount, Instant now) -> bool
{
    this->refill(now);
    if (this->level < amount) {
        return false;
    }
    this->level -= amount;
    this->reserved += amount;
    return true;
}

auto TokenBucket::spend(double amount) -> void
{
    this->reserved = std::max(0.0, this->reserved - amount);
}

auto TokenBucket::release(double amount) -> void
{
    this->spend(amount);
    const auto maxLevel = this->burst - this->lent - this->reserved;
    this->level = std::max(0.0, std::min(maxLevel, this->level + amount));
    ensure(this->level + this->lent + this->reserved
               <= std::max(this->burst, this->lent + this->reserved) * (1 + Tolerance),
           "tokens within burst");
}

auto TokenBucket::lend(double requested, Instant now) -> double
{
    this->refill(now);
    const auto lendable = this->burst * LendableFraction - this->lent;
    const auto amount = std::max(0.0, std::min({requested, this->level, lendable}));
    this->level -= amount;
    this->lent += amount;
    return amount;
}

auto TokenBucket::endLoan(double amount) -> void
{
    this->lent = std::max(0.0, this->lent - amount);
}

auto TokenBucket::available(Instant now) -> double
{
    this->refill(now);
    return this->level;
}

} // namespace banyanring
