/** @file request_type.h Decoded caller requests and backend server response headers. */
#pragma once

#include "banyanring/core/ids_type.h"
#include "banyanring/gateway/body_budget.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace banyanring::gateway {

using HeaderField = std::pair<std::string, std::string>; ///< Name and value.

/** A caller's HTTP request, decoded once it has been received completely. */
struct CallerRequest
{
    std::string method; ///< HTTP method.
    std::string target; ///< Request target: path and query, as received.
    std::string path; ///< Path without the query.
    std::string host; ///< Host without the port.
    std::string attemptId; ///< Attempt id set by the caller; identifies the request in logs.
    std::string apiKey; ///< API key; empty if none was sent.
    std::optional<Duration> timeLeft; ///< Time until the caller's deadline, if it sent one.
    bool hasTokenCounts = false; ///< Whether the caller sent token counts.
    double promptTokens = 0; ///< Number of prompt tokens.
    double maxOutputTokens = 0; ///< Upper limit of output tokens.
    /** Number of output tokens that the caller expects. */
    std::optional<double> expectedOutputTokens;
    /** Ids of the prompt parts that other requests may contain as well, without duplicates. */
    std::vector<std::uint64_t> sharedPromptParts;
    std::optional<std::uint64_t> lastEventId; ///< Id of the event after which to resume a stream.
    std::vector<HeaderField> headers; ///< Headers to forward to a backend server.
    std::shared_ptr<const std::string> body; ///< Complete body; shared with its dispatches.
    std::shared_ptr<BodyReservation> bodyReservation; ///< Set if the body is not a short one.
    bool hasBody = false; ///< Whether the request has a body, even an empty one.
    bool keepAlive = true; ///< Whether the caller connection can be reused.
    Instant arrivedAt{}; ///< Time at which the header was complete.
};

/** An encoded request to a backend server. */
struct OutboundRequest
{
    std::string head; ///< Request line and header.
    std::shared_ptr<const std::string> body; ///< Null for none.
};

/** Decoded header of a backend server's response. */
struct ServerResponse
{
    int status = 0; ///< HTTP status.
    std::string reason; ///< HTTP reason phrase.
    std::string attemptId; ///< Attempt id that the response belongs to; empty if it carries none.
    bool sealed = false; ///< Carries the header that proves that a backend server sent it.
    bool notExecuted = false; ///< The server states that it did not execute the request.
    bool misdirected = false; ///< The address belongs to another server by now (status 421).
    /** Running and queued requests of the server, if reported. */
    std::optional<std::uint32_t> reportedRequests;
    /** How long work takes on its machine at the moment, as a factor (1: as usual), if stated. */
    std::optional<double> slowdown;
    /**
     * Requests per second that the server accepts from all nodes together, or NoRequestLimit;
     * unset if the response does not say.
     */
    std::optional<double> requestLimit;
    /** Time for which the server accepts no requests from this node (status 503). */
    std::optional<Duration> retryAfter;
    bool leaving = false; ///< The server is about to stop and wants no new requests.
    std::uint64_t declaredLength = 0; ///< Length of the body; 0 if the header does not say.
    /** It has neither a length nor chunks: its end looks the same as a crash of the server. */
    bool endsWithConnection = false;
    std::vector<HeaderField> headers; ///< Headers to forward to the caller.

    /** @return Whether the status is one from 200 to 299. */
    auto isSuccess() const -> bool
    {
        return this->status / 100 == 2;
    }
};

} // namespace banyanring::gateway
