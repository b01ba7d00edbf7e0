/** @file outcome_type.h The closed set of outcomes and reasons that a caller can be told. */
#pragma once

#include "banyanring/core/ids_type.h"

#include <string_view>

namespace banyanring {

/** What became of a request. */
enum class Outcome : std::uint8_t {
    Answered, ///< A backend server's whole answer was given.
    NotRun, ///< No backend server got a byte of it.
    Unknown, ///< It was dispatched, and no whole answer came back.
    Cancelled, ///< Its caller withdrew it.
};

/** Why a request was refused or failed. */
enum class Reason : std::uint8_t {
    None, ///< It was not.
    NoSuchRoute, ///< No route has its path.
    BadKey, ///< No key, or one that is unknown or withdrawn.
    TicketNeeded, ///< The route is not idempotent and no ticket came.
    BadTicket, ///< The ticket is forged, expired or another organisation's.
    TicketOwnerGone, ///< The node that minted the ticket cannot be reached.
    OverRate, ///< Its organisation is beyond its rate and burst.
    Overload, ///< Shed, after every lower tier was.
    Expired, ///< Its deadline passed before its dispatch.
    NoServer, ///< No backend server of the service may be used.
    NotReady, ///< This node may not use its rights now.
    Suspect, ///< Requests like it have killed backend servers.
    TooLarge, ///< Its estimate is above its organisation's burst.
    BackendFailed, ///< The backend server broke off.
    Stopping, ///< This node is stopping.
    Superseded, ///< Its caller came back with the ticket on another connection.
};

/** A refusal or failure, as the caller is told it. */
struct Rejection
{
    Outcome outcome = Outcome::NotRun; ///< What became of the request.
    Reason reason = Reason::None; ///< Why.
    Duration retryAfter{}; ///< When another try makes sense; zero for unknown.
};

/**
 * Names an outcome as the API does.
 * @param outcome The outcome.
 * @return Lower-case words joined by underscores.
 */
auto outcomeName(Outcome outcome) -> std::string_view;

/**
 * Names a reason as the API does.
 * @param reason The reason.
 * @return Lower-case words joined by underscores.
 */
auto reasonName(Reason reason) -> std::string_view;

/**
 * Gives the HTTP status for a reason.
 * @param reason The reason.
 * @return The status code.
 */
auto httpStatus(Reason reason) -> int;

} // namespace banyanring
