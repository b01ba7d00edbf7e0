/** @file request_limit.h Limit on the requests of all nodes that a backend server names. */
#pragma once

#include "banyanring/core/ids_type.h"

#include <limits>

namespace banyanring::fleet {

/** Limit, in requests per second, of a server that names none. */
constexpr double NoRequestLimit = std::numeric_limits<double>::infinity();

/** What a server last said about the requests that it accepts from all nodes together. */
class RequestLimit
{
public:
    /**
     * Records what a response said, unless a newer response is known.
     * @param perSecond Requests per second, or NoRequestLimit.
     * @param newStatedAt Time of the response.
     * @return Whether the limit changed.
     */
    auto update(double perSecond, Instant newStatedAt) -> bool;

    /** @return Requests per second, or NoRequestLimit. */
    auto perSecond() const -> double
    {
        return this->limit;
    }
    /** @return Whether the server named a limit in its last response. */
    auto isNamed() const -> bool
    {
        return this->limit != NoRequestLimit;
    }
    /** @return Time of the response that the limit is known from. */
    auto statedAt() const -> Instant
    {
        return this->lastStatedAt;
    }

private:
    double limit = NoRequestLimit;
    Instant lastStatedAt{std::numeric_limits<Instant::rep>::min() / 2};
};

} // namespace banyanring::fleet
