/** @file token_bucket.h One part of an organisation's rate and burst, with loans and reservations.
 */
#pragma once

#include "banyanring/core/ids_type.h"

namespace banyanring {

/**
 * A token bucket whose level, loans and reservations together never exceed its burst.
 *
 * That sum is what may still be spent, and it grows by the rate only; so over every interval at
 * most burst + rate * interval is spent, wherever the loans are.
 */
class TokenBucket
{
public:
    /**
     * @param rate Tokens a second.
     * @param burst Most tokens at once.
     * @param now The present; the bucket starts empty.
     */
    TokenBucket(double rate, double burst, Instant now);

    /**
     * Changes the limits; a level above the new burst is cut.
     * @param newRate Tokens a second.
     * @param newBurst Most tokens at once.
     * @param now The present.
     */
    auto setLimits(double newRate, double newBurst, Instant now) -> void;

    /**
     * Holds part of the burst back until an instant: an earlier holder's loans may be outstanding.
     * @param amount Tokens.
     * @param until The instant.
     */
    auto withhold(double amount, Instant until) -> void;

    /**
     * Takes tokens out of the level into a reservation.
     * @param amount Tokens wanted.
     * @param now The present.
     * @return Whether all could be taken; none are otherwise.
     */
    auto reserve(double amount, Instant now) -> bool;

    /** @param amount Reserved tokens that are spent now. */
    auto spend(double amount) -> void;

    /** @param amount Reserved tokens that go back to the level. */
    auto release(double amount) -> void;

    /**
     * Lends tokens, at most half of the burst at any time.
     * @param wanted Tokens wanted.
     * @param now The present.
     * @return Tokens lent, possibly fewer or none.
     */
    auto lend(double requested, Instant now) -> double;

    /**
     * Ends a loan.
     * @param amount Tokens that were lent.
     */
    auto endLoan(double amount) -> void;

    /**
     * Gives the tokens that can be reserved.
     * @param now The present.
     * @return Tokens.
     */
    auto available(Instant now) -> double;

    /** @return Tokens a second. */
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
