/** @file invariant_func.h Invariant checks that are active in every build. */
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace banyanring {

/** An invariant would be violated; the process must not perform the action. */
class InvariantError : public std::logic_error
{
public:
    using std::logic_error::logic_error;
};

/**
 * Checks an invariant.
 * @param holds Whether the invariant holds.
 * @param name The invariant, as docs/PROOF.md names it.
 * @throws InvariantError if it does not hold.
 */
inline auto ensure(bool holds, std::string_view name) -> void
{
    if (!holds) {
        throw InvariantError("invariant broken: " + std::string(name));
    }
}

} // namespace banyanring
