/** @file request_limit.cpp Limit on the requests of all nodes that a backend server names. */
#include "banyanring/fleet/request_limit.h"

#include <utility>

namespace banyanring::fleet {

auto RequestLimit::update(double perSecond, Instant newStatedAt) -> bool
{
    if (newStatedAt < this->lastStatedAt) {
        return false;
    }
    this->lastStatedAt = newStatedAt;
    return std::exchange(this->limit, perSecond) != perSecond;
}

} // namespace banyanring::fleet
