/** @file seconds_text_func.h Formats durations. */
#pragma once

#include "banyanring/core/ids_type.h"

#include <array>
#include <cstdio>
#include <string>

namespace banyanring::gateway {

/**
 * Formats a duration in seconds.
 * @param time The duration.
 * @return Seconds with two decimals, without a unit.
 */
inline auto formatSeconds(Duration time) -> std::string
{
    std::array<char, 24> text{};
    std::snprintf(text.data(), text.size(), "%.2f", std::chrono::duration<double>(time).count());
    return text.data();
}

} // namespace banyanring::gateway
