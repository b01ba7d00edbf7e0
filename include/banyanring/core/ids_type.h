/** @file ids_type.h Identifier and time types shared by all modules. */
#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>

namespace banyanring {

using Duration = std::chrono::microseconds; ///< Time span.
/** Monotonic time that includes suspend; arbitrary origin. */
using Instant = std::chrono::microseconds;
using NodeId = std::uint16_t; ///< Id of an entry VM in the published list; 0 is none.
/** Identifies one start of a daemon process; increases with each start. */
using Incarnation = std::uint64_t;
using Revision = std::uint64_t; ///< Revision of a published value; only increases.
using OrganisationId = std::uint32_t; ///< Hash of an organisation's name; 0 is none.
using ServiceId = std::uint32_t; ///< Hash of a service's name.
using ServerId = std::uint32_t; ///< Hash of a backend server's name.
using DomainId = std::uint32_t; ///< Hash of a failure domain's name.
using CallId = std::uint64_t; ///< An open call of a caller at this node.
using DispatchId = std::uint64_t; ///< A dispatch by this node to a backend server.
using Tier = std::uint8_t; ///< Priority; 0 is the most urgent.

constexpr Tier TierCount = 4; ///< Tiers 0 to 3.
constexpr auto Never = Instant::max(); ///< Later than any other instant.

/**
 * Hashes a name into an identifier (32-bit FNV-1a, never 0).
 * @param name The published name.
 * @return The identifier; validation rejects configurations in which two names collide.
 */
constexpr auto hashName(std::string_view name) -> std::uint32_t
{
    std::uint32_t hash = 2166136261U;
    for (const char letter : name) {
        hash = (hash ^ static_cast<unsigned char>(letter)) * 16777619U;
    }
    return hash == 0 ? 1 : hash;
}

/**
 * Mixes 64 bits (the finaliser of SplitMix64).
 * @param value Any number.
 * @return A number whose bits all depend on all bits of @p value.
 */
constexpr auto mix64(std::uint64_t value) -> std::uint64_t
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

} // namespace banyanring
