/** @file msgpack_func.h Packs and unpacks the msgpack tuples of messages between nodes. */
#pragma once

#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace banyanring::gateway {

constexpr int WireVersion = 1; ///< Raised with each change that older nodes cannot decode.

constexpr std::size_t MaxItems = 65536; ///< Per list; a mirror of the largest fleet has 5,000.
constexpr std::size_t MaxDepth = 8; ///< Nesting of lists.

/**
 * Unpacks a tuple whose first element is the wire version.
 * @param bytes Received bytes.
 * @return The tuple; nullopt if the bytes are malformed or of another version.
 */
template <typename Value> auto unpackMessage(std::string_view bytes) -> std::optional<Value>
{
    try {
        // Without limits a few bytes can declare sizes that allocate gigabytes of memory.
        const msgpack::unpack_limit limits(MaxItems, MaxItems, bytes.size(), bytes.size(), 0,
                                           MaxDepth);
        auto value = msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limits)
                         .get()
                         .template as<Value>();
        return std::get<0>(value) == WireVersion ? std::optional<Value>(std::move(value))
                                                 : std::nullopt;
    } catch (const msgpack::unpack_error &) {
        return std::nullopt; // PeerSocket counts and logs it.
    } catch (const msgpack::type_error &) {
        return std::nullopt; // Well-formed msgpack of another shape.
    }
}

/**
 * Packs a tuple.
 * @param value The tuple.
 * @return The packed bytes.
 */
template <typename Value> auto packMessage(const Value &value) -> std::string
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, value);
    return {buffer.data(), buffer.size()};
}

} // namespace banyanring::gateway
