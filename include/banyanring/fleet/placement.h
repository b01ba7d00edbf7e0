/** @file placement.h Chooses the backend server for a request. */
#pragma once

#include "banyanring/fleet/server_registry.h"

#include <functional>
#include <span>

namespace banyanring::fleet {

/** Expected cost and latency targets of a request, as far as they are known. */
struct RequestProfile
{
    bool engine = false; ///< The request is for an LLM inference engine.
    double promptWork = 0; ///< Work of reading the prompt (prefill), in tokens of a short prompt.
    double expectedOutputTokens = 0; ///< Output tokens that requests of its route usually produce.
    double maxOutputTokens = 0; ///< Maximum number of output tokens, if stated by the caller.
    double firstByteTargetMs = 0; ///< Time left for the first byte; 0 if it is late already.
    double tokenGapTargetMs = 0; ///< Longest time per output token that is on time; 0 for no limit.
    double timeLeftMs = 0; ///< Time until its final response is due; 0 for no limit.
    std::uint32_t nodeHash = 0; ///< Hash of the placing node; varies the preferred servers.
};

/**
 * Returns the work of reading a prompt (prefill). Attention grows with the square of the length.
 * @param tokens Number of prompt tokens.
 * @return Work in tokens of a short prompt.
 */
auto promptWork(double tokens) -> double;

/** Result of a placement. */
struct PlacementChoice
{
    ServerPtr server; ///< Null if no server can take the request now.
    bool lateOrEjected = false; ///< The server is expected to be late, or it is ejected.
};

/** Decides whether a cold server may receive a request from this node now. */
using ColdServerFilter = std::function<bool(const Server &)>;

/**
 * Chooses the server with the least expected cost among those with a free slot.
 * @param servers Servers of the service.
 * @param profile The request.
 * @param usable Whether a server may receive requests at all.
 * @param coldFilter Whether a cold server may receive another request.
 * @param now Current time.
 * @return The choice.
 */
auto choosePlacement(std::span<const ServerPtr> servers, const RequestProfile &profile,
                     const std::function<bool(const Server &)> &usable,
                     const ColdServerFilter &coldFilter, Instant now) -> PlacementChoice;

/**
 * Updates a server's response times from a complete response.
 * @param server The server.
 * @param profile The request.
 * @param workAhead Prompt work at the server when the request was sent, its own included.
 * @param firstByte Time from sending to the first byte of the response.
 * @param rest Time from the first byte to the end.
 * @param outputTokens Number of output tokens after the first byte.
 * @param slowdown Momentary slowdown that the response states, if any; it is not learned as the
 *                 server's speed.
 */
auto recordResponse(Server &server, const RequestProfile &profile, double workAhead,
                    Duration firstByte, Duration rest, double outputTokens,
                    std::optional<double> slowdown) -> void;

/**
 * Estimates how long a server of average speed would work on a request.
 * @param profile The request.
 * @return Milliseconds.
 */
auto expectedServiceMs(const RequestProfile &profile) -> double;

/**
 * Estimates the time until a server would send the first byte of a response, at its usual speed.
 * @param server The server.
 * @param profile The request.
 * @return Milliseconds; a conservative default while nothing is known about the server.
 */
auto expectedFirstByteMs(const Server &server, const RequestProfile &profile) -> double;

} // namespace banyanring::fleet
