/** @file outcome_type.h Outcomes and reasons that are returned to callers. */
#pragma once

#include "banyanring/core/ids_type.h"

#include <string_view>

namespace banyanring {

/** Outcome of a request. */
enum class Outcome : std::uint8_t {
    Answered, ///< A complete response from a backend server was returned.
    NotRun, ///< No byte of it reached a backend server.
    Unknown, ///< It was dispatched, but no complete response came back.
    Cancelled, ///< The caller cancelled it.
};

/** Reason for which a request was rejected or failed. */
enum class Reason : std::uint8_t {
    None, ///< Neither rejected nor failed.
    NoSuchRoute, ///< No route has its path.
    BadKey, ///< The API key is missing, unknown or revoked.
    TicketNeeded, ///< The route is not idempotent and the request has no ticket.
    BadTicket, ///< The ticket is forged, expired or of another organisation.
    TicketOwnerGone, ///< The node or incarnation that issued the ticket is not reachable.
    OverRate, ///< The organisation exceeds its rate and burst.
    Overload, ///< Shed under overload, after all less urgent tiers.
    Expired, ///< The deadline passed, or cannot be met, before the dispatch.
    NoServer, ///< The service has no usable backend server.
    NotReady, ///< This node holds no quorum lease or has a stale configuration.
    Suspect, ///< Identical requests were running when backend servers crashed.
    TooLarge, ///< The token estimate exceeds the organisation's burst.
    BackendFailed, ///< The backend server failed during the request.
    Stopping, ///< This node is shutting down.
    Superseded, ///< The same ticket was used again on another connection.
};

/** A rejection or failure as returned to the caller. */
struct Rejection
{
    Outcome outcome = Outcome::NotRun;
    Reason reason = Reason::None;
    Duration retryAfter{}; ///< Delay before a retry is useful; zero if unknown.
};

/**
 * Returns the name of an outcome in the API.
 * @param outcome The outcome.
 * @return Lower-case words joined by underscores.
 */
auto outcomeName(Outcome outcome) -> std::string_view;

/**
 * Returns the name of a reason in the API.
 * @param reason The reason.
 * @return Lower-case words joined by underscores.
 */
auto reasonName(Reason reason) -> std::string_view;

/**
 * Returns the HTTP status of a reason.
 * @param reason The reason.
 * @return The status code.
 */
auto httpStatus(Reason reason) -> int;

} // namespace banyanring
