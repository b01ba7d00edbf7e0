/** @file ids_type.h Identifiers and the time type that every module shares. */
#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>

namespace banyanring {

using Duration = std::chrono::microseconds; ///< A length of time.
using Instant = std::chrono::microseconds; ///< Monotonic time that counts suspend, from any origin.
using NodeId = std::uint16_t; ///< Number of an entry VM in the published list; 0 is none.
using Incarnation = std::uint64_t; ///< One life of a daemon process; grows with each start.
using Revision = std::uint64_t; ///< Number of a published value; only grows.
using OrganisationId = std::uint32_t; ///< Hash of an organisation's name; 0 is none.
using ServiceId = std::uint32_t; ///< Hash of a service's name.
using ServerId = std::uint32_t; ///< Hash of a backend server's name.
using DomainId = std::uint32_t; ///< Hash of a failure domain's name.
using CallId = std::uint64_t; ///< A caller's open call at this node.
using DispatchId = std::uint64_t; ///< One dispatch to a backend server by this node.
using Tier = std::uint8_t; ///< Urgency, 0 the most urgent.

constexpr Tier TierCount = 4; ///< Tiers 0 to 3.
constexpr auto Never = Instant::max(); ///< An instant that does not come.

/**
 * Hashes a name into an identifier (FNV-1a, never 0).
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
