/** @file seconds_text_func.h Times as text. */
#pragma once

#include "banyanring/core/ids_type.h"

#include <array>
#include <cstdio>
#include <string>

namespace banyanring::gateway {

/**
 * Writes a time.
 * @param time The time.
 * @return Seconds with two decimals.
 */
inline auto secondsText(Duration time) -> std::string
{
    std::array<char, 24> text{};
    std::snprintf(text.data(), text.size(), "%.2f", std::chrono::duration<double>(time).count());
    return text.data();
}

} // namespace banyanring::gateway
