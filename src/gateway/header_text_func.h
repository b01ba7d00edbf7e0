/** @file header_text_func.h Header lines as text. */
#pragma once

#include <string>
#include <string_view>

namespace banyanring::gateway {

/**
 * Appends a header line.
 * @param out The header so far.
 * @param name Name of the field.
 * @param value Its value.
 */
inline auto appendField(std::string &out, std::string_view name, std::string_view value) -> void
{
    out.append(name).append(": ").append(value).append("\r\n");
}

} // namespace banyanring::gateway
