/** @file clock_func.h The clock port: monotonic time that counts suspend. */
#pragma once

#include "banyanring/core/ids_type.h"

#include <ctime>

namespace banyanring {

/** @return Monotonic time that counts suspend (CLOCK_BOOTTIME). */
inline auto bootNow() -> Instant
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::duration_cast<Instant>(std::chrono::seconds(time.tv_sec)
                                               + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace banyanring
