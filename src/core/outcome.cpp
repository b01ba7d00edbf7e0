/** @file outcome.cpp API names and HTTP statuses of outcomes and reasons. */
#include "banyanring/core/outcome_type.h"

#include <array>

namespace banyanring {

namespace {

/** API representation of a reason. */
struct ReasonInfo
{
    std::string_view name; ///< Name in the JSON body.
    int status = 0; ///< HTTP status.
};

constexpr std::array<ReasonInfo, 16> ReasonTable{{
    {"none", 200},
    {"no_such_route", 404},
    {"bad_key", 401},
    {"ticket_needed", 428},
    {"bad_ticket", 422},
    {"ticket_owner_gone", 503},
    {"over_rate", 429},
    {"overload", 503},
    {"expired", 503},
    {"no_server", 503},
    {"not_ready", 503},
    {"suspect", 422},
    {"too_large", 413},
    {"backend_failed", 502},
    {"stopping", 503},
    {"superseded", 409},
}};

constexpr std::array<std::string_view, 4> OutcomeNames{"answered", "not_run", "unknown",
                                                       "cancelled"};

} // namespace

auto outcomeName(Outcome outcome) -> std::string_view
{
    return OutcomeNames.at(static_cast<std::size_t>(outcome));
}

auto reasonName(Reason reason) -> std::string_view
{
    return ReasonTable.at(static_cast<std::size_t>(reason)).name;
}

auto httpStatus(Reason reason) -> int
{
    return ReasonTable.at(static_cast<std::size_t>(reason)).status;
}

} // namespace banyanring
