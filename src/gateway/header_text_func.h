/** @file header_text_func.h Formats HTTP header fields. */
#pragma once

#include <string>
#include <string_view>

namespace banyanring::gateway {

/**
 * Appends a header field.
 * @param out Header to append to.
 * @param name Name of the field.
 * @param value Value of the field.
 */
inline auto appendField(std::string &out, std::string_view name, std::string_view value) -> void
{
    out.append(name).append(": ").append(value).append("\r\n");
}

} // namespace banyanring::gateway
