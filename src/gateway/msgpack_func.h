/** @file msgpack_func.h Packing of tuples between nodes. */
#pragma once

#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace banyanring::gateway {

constexpr int WireVersion = 1; ///< Grows with each change that older nodes cannot read.

constexpr std::size_t MaxItems = 65536; ///< Of one list; a mirror of the largest fleet has 5,000.
constexpr std::size_t MaxDepth = 8; ///< Lists inside lists.

/**
 * Unpacks a tuple that begins with the wire's version.
 * @param bytes Received bytes.
 * @return The tuple; nothing if the bytes do not hold one of this version.
 */
template <typename Value> auto unpackMessage(std::string_view bytes) -> std::optional<Value>
{
    try {
        // Without limits a few bytes may claim, and get, gigabytes of memory.
        const msgpack::unpack_limit limits(MaxItems, MaxItems, bytes.size(), bytes.size(), 0,
                                           MaxDepth);
        auto value = msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limits)
                         .get()
                         .template as<Value>();
        return std::get<0>(value) == WireVersion ? std::optional<Value>(std::move(value))
                                                 : std::nullopt;
    } catch (const msgpack::unpack_error &) {
        return std::nullopt; // The caller counts and logs it.
    } catch (const msgpack::type_error &) {
        return std::nullopt; // Likewise.
    }
}

/**
 * Packs a tuple.
 * @param value The tuple.
 * @return Its bytes.
 */
template <typename Value> auto packMessage(const Value &value) -> std::string
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, value);
    return {buffer.data(), buffer.size()};
}

} // namespace banyanring::gateway
