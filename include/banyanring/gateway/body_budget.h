/** @file body_budget.h Memory that the bodies of callers' requests may occupy. */
#pragma once

#include <algorithm>
#include <cstddef>

namespace banyanring::gateway {

/** Memory of a node for the bodies of all requests that it is receiving or processing. */
class BodyBudget
{
public:
    /** @param nodeBytes Memory of the node; 0 if unknown. */
    explicit BodyBudget(std::size_t nodeBytes)
        : maxBytes(nodeBytes > 0 ? nodeBytes / MemoryFraction : DefaultBytes)
    {
    }
    BodyBudget(const BodyBudget &) = delete;
    auto operator=(const BodyBudget &) -> BodyBudget & = delete;

    /** @return Memory that is reserved. */
    auto reservedBytes() const -> std::size_t
    {
        return this->reserved;
    }

    static constexpr std::size_t DefaultBytes = 48U << 20U; ///< If the node's memory is unknown.
    static constexpr std::size_t MemoryFraction = 2; ///< Of a node's memory.

private:
    friend class BodyReservation;

    std::size_t maxBytes;
    std::size_t reserved = 0;
};

/** Reservation for the body of one request; ends with this object. */
class BodyReservation
{
public:
    /** @param budget Budget of the node; must outlive this object. */
    explicit BodyReservation(BodyBudget &budget) : budget(budget) {}
    ~BodyReservation()
    {
        this->budget.reserved -= this->bytes;
    }
    BodyReservation(const BodyReservation &) = delete;
    auto operator=(const BodyReservation &) -> BodyReservation & = delete;

    /**
     * Enlarges the reservation. A single body may exceed the budget, so that each is served at some
     * time.
     * @param newBytes Memory of the body; a smaller one changes nothing.
     * @return Whether there is room.
     */
    auto growTo(std::size_t newBytes) -> bool
    {
        const auto added = newBytes - std::min(newBytes, this->bytes);
        const auto others = this->budget.reserved - this->bytes;
        if (others > 0 && this->budget.reserved + added > this->budget.maxBytes) {
            return false;
        }
        this->budget.reserved += added;
        this->bytes += added;
        return true;
    }

private:
    BodyBudget &budget;
    std::size_t bytes = 0;
};

} // namespace banyanring::gateway
