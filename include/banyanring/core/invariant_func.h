/** @file invariant_func.h Invariants asserted in every build. */
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace banyanring {

/** A promise of the system would be broken; the process must not go on with the action. */
class InvariantError : public std::logic_error
{
public:
    using std::logic_error::logic_error;
};

/**
 * Asserts an invariant.
 * @param holds Whether the invariant holds.
 * @param name The promise, as docs/PROOF.md names it.
 * @throws InvariantError if it does not hold.
 */
inline auto ensure(bool holds, std::string_view name) -> void
{
    if (!holds) {
        throw InvariantError("invariant broken: " + std::string(name));
    }
}

} // namespace banyanring
