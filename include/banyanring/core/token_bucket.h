/** @file token_bucket.h Token bucket with loans and reservations. */
#pragma once

#include "banyanring/core/ids_type.h"

namespace banyanring {

/**
 * A token bucket in which the sum of level, loans and reservations never exceeds the burst.
 *
 * This sum is what may still be spent, and it increases only at the rate. So at most
 * burst + rate * interval is spent in any interval, including at the borrowers.
 */
class TokenBucket
{
public:
    /**
     * @param rate Tokens per second.
     * @param burst Maximum tokens.
     * @param now Current time; the bucket starts empty.
     */
    TokenBucket(double rate, double burst, Instant now);

    /**
     * Changes the limits; the level is reduced to fit the new burst.
     * @param newRate Tokens per second.
     * @param newBurst Maximum tokens.
     * @param now Current time.
     */
    auto setLimits(double newRate, double newBurst, Instant now) -> void;

    /**
     * Withholds some of the burst for a time, as loans of the previous owner may be outstanding.
     * @param amount Tokens.
     * @param until End of that time.
     */
    auto withhold(double amount, Instant until) -> void;

    /**
     * Reserves tokens.
     * @param amount Tokens requested.
     * @param now Current time.
     * @return Whether all of them were reserved; otherwise none are.
     */
    auto reserve(double amount, Instant now) -> bool;

    /** @param amount Reserved tokens to spend. */
    auto spend(double amount) -> void;

    /** @param amount Reserved tokens to put back unspent. */
    auto release(double amount) -> void;

    /**
     * Lends tokens; at most half of the burst is on loan at any time.
     * @param requested Tokens requested.
     * @param now Current time.
     * @return Tokens lent; may be fewer, or 0.
     */
    auto lend(double requested, Instant now) -> double;

    /**
     * Ends a loan. Its tokens count as spent.
     * @param amount Tokens that were lent.
     */
    auto endLoan(double amount) -> void;

    /**
     * Returns the tokens that can be reserved.
     * @param now Current time.
     * @return Tokens.
     */
    auto available(Instant now) -> double;

    /** @return Tokens per second. */
    auto ratePerSecond() const -> double
    {
        return this->rate;
    }

private:
    auto refill(Instant now) -> void;

    double rate;
    double burst;
    double level = 0;
    double lent = 0;
    double reserved = 0;
    double withheld = 0;
    Instant withheldUntil{};
    Instant refilledAt;
};

} // namespace banyanring
