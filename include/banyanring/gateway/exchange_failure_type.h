/** @file exchange_failure_type.h Reasons why a request did not get a complete response. */
#pragma once

#include <cstdint>
#include <string_view>

namespace banyanring::gateway {

/** Reason why an exchange did not yield a complete response. */
enum class ExchangeFailure : std::uint8_t {
    NotSent, ///< No connection; nothing was sent to the server.
    NoResponse, ///< Closed or reset before a response; the request may have been executed.
    Truncated, ///< Closed or reset before the end of the response.
    Malformed, ///< The received bytes are not a valid HTTP response.
    FoldedLine, ///< A line of the header or trailer continues the line before it.
    InvalidStatus, ///< The status is outside the range of HTTP, or switches to another protocol.
    UnknownCoding, ///< The body is in a transfer coding that no request asked for.
};

/**
 * Names a failure in logs.
 * @param failure The failure.
 * @return The name.
 */
constexpr auto failureName(ExchangeFailure failure) -> std::string_view
{
    switch (failure) {
    case ExchangeFailure::NotSent:
        return "not_connected";
    case ExchangeFailure::NoResponse:
        return "no_answer";
    case ExchangeFailure::Truncated:
        return "truncated";
    case ExchangeFailure::Malformed:
        return "malformed";
    case ExchangeFailure::FoldedLine:
        return "folded_line";
    case ExchangeFailure::InvalidStatus:
        return "invalid_status";
    case ExchangeFailure::UnknownCoding:
        return "unknown_coding";
    }
    return "unknown";
}

/**
 * Distinguishes a lost connection from a response that is not accepted.
 * @param failure The failure.
 * @return Whether the server may have crashed while it worked on the request.
 */
constexpr auto isConnectionLost(ExchangeFailure failure) -> bool
{
    return failure == ExchangeFailure::NoResponse || failure == ExchangeFailure::Truncated;
}

} // namespace banyanring::gateway
