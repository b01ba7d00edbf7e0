/** @file clock_func.h The clock: monotonic time that includes suspend. */
#pragma once

#include "banyanring/core/ids_type.h"

#include <ctime>

namespace banyanring {

/**
 * Reads CLOCK_BOOTTIME. Unlike CLOCK_MONOTONIC it advances while the VM is suspended, so that
 * leases also expire meanwhile.
 * @return Time since boot.
 */
inline auto bootClockNow() -> Instant
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::duration_cast<Instant>(std::chrono::seconds(time.tv_sec)
                                               + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace banyanring
