/** @file request_type.h A caller's request and a server's answer, decoded from their headers. */
#pragma once

#include "banyanring/core/ids_type.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace banyanring::gateway {

using HeaderField = std::pair<std::string, std::string>; ///< Name and value.

/** A caller's request, decoded once when it has arrived whole. */
struct CallerRequest
{
    std::string method; ///< HTTP method.
    std::string target; ///< Path and query, as sent.
    std::string path; ///< Path without query.
    std::string host; ///< Host without port.
    std::string id; ///< Id that the caller gave this try; names it in logs.
    std::string key; ///< API key; empty if none came.
    std::optional<Duration> timeLeft; ///< How long the caller will wait.
    bool countsTokens = false; ///< It states its token counts.
    double promptTokens = 0; ///< Prompt tokens.
    double outputTokens = 0; ///< Most output tokens.
    std::optional<double> expectedOutput; ///< Output tokens that the caller expects.
    std::optional<std::uint64_t> lastEvent; ///< The caller continues a stream after this event.
    std::vector<HeaderField> headers; ///< Headers that a server gets, without the system's own.
    std::string body; ///< Whole body.
    bool hasLength = false; ///< A body came, perhaps an empty one.
    bool keepAlive = true; ///< The caller's connection may be used again.
    Instant arrivedAt{}; ///< When its header was complete.
};

/** What the head of a server's answer says. */
struct ServerAnswer
{
    int status = 0; ///< HTTP status.
    std::string reason; ///< HTTP reason phrase.
    std::string id; ///< Id of the try that it answers; empty if it names none.
    bool sealed = false; ///< Bears a server's proof.
    bool notRun = false; ///< The server states that it did not run the request.
    bool otherServer = false; ///< Another server has the address.
    std::optional<std::uint32_t> loadRequests; ///< Requests that the server holds, if it tells.
    std::vector<HeaderField> headers; ///< Headers that the caller gets.
};

} // namespace banyanring::gateway
