/** @file process_settings.cpp Parses addresses of settings and messages. */
#include "banyanring/fleet/process_settings_type.h"

#include <arpa/inet.h>
#include <charconv>

namespace banyanring::fleet {

auto parseEndpoint(std::string_view text) -> std::optional<Endpoint>
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    Endpoint endpoint{std::string(text.substr(0, colon)), 0};
    in_addr ip{};
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, endpoint.port);
    if (parsed.ec != std::errc{} || parsed.ptr != end
        || inet_pton(AF_INET, endpoint.ip.c_str(), &ip) != 1) {
        return std::nullopt;
    }
    return endpoint;
}

} // namespace banyanring::fleet
