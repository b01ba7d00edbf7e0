/** @file store_position_type.h Position in the history of the store. */
#pragma once

#include <compare>
#include <cstdint>

namespace banyanring::fleet {

/**
 * A state of the store. A store that is restored from a copy begins a new era, in which it gives
 * out revisions of the former era again.
 */
struct StorePosition
{
    std::uint64_t era = 0; ///< Increases each time the store is restored.
    std::uint64_t revision = 0; ///< Increases with each change within an era.

    auto operator<=>(const StorePosition &) const = default;
};

} // namespace banyanring::fleet
