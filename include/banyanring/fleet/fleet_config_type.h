/**
 * @file fleet_config_type.h The published configuration and server registrations, as typed values.
 */
#pragma once

#include "banyanring/core/ids_type.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace banyanring::fleet {

/** A destination of a route and its share of the route's requests. */
struct RouteTarget
{
    std::string service; ///< Name of the service.
    std::uint32_t weight = 1; ///< Weight relative to the route's other targets.
};

/** A route: which requests it matches and how they are served. */
struct RouteConfig
{
    std::string name; ///< Name for logs.
    std::string host; ///< Host that callers request.
    std::string prefix; ///< Path prefix; begins and ends with a slash.
    std::vector<RouteTarget> targets; ///< At least one.
    bool streaming = false; ///< The response is a stream of server-sent events.
    bool idempotent = false; ///< A request may run more than once.
    bool resumable = false; ///< Another server can continue an interrupted stream.
    bool anonymous = false; ///< Requests need no API key.
    Duration timeout{}; ///< Longest time until the final response.
    Duration latencyTarget{}; ///< Latency target for the response or its first event.
    Duration eventGapTarget{}; ///< Target for the longest pause between events.
    std::uint32_t tier = 0; ///< Priority tier, 0 the most urgent.
    std::uint32_t maxAttempts = 1; ///< Number of servers that may run one request.

    /** @return Whether a request that may have run at one server may be sent to another. */
    auto isRetryable() const -> bool
    {
        return this->idempotent || (this->streaming && this->resumable);
    }
};

/** A service and the load that its servers can take. */
struct ServiceConfig
{
    std::string name; ///< Unique name.
    std::uint32_t maxConnections = 0; ///< Connections to one server from all nodes together.
    Duration coldPeriod{}; ///< Time for which a server is cold after its start.
    double coldRatePerSecond = 0; ///< Requests per second to a cold server; 0 for no limit.
    bool engine = false; ///< LLM inference engine, as opposed to a plain service.
    double tokensPerEvent = 1; ///< Output tokens per event of an engine's stream.
};

/** An organisation and its rate limit over all nodes. */
struct OrganisationConfig
{
    std::string name; ///< Unique name.
    std::optional<std::uint32_t> tier; ///< Overrides the route's tier.
    double ratePerSecond = 0; ///< Units per second; 0 for no limit.
    double burst = 0; ///< Units allowed at once on top of the rate.
    double defaultUnits = 1; ///< Units charged for a request that states no token counts.
    bool countsTokens = false; ///< Units are tokens, as opposed to requests.
};

/** Limits on the size and duration of requests. */
struct CallerLimits
{
    std::size_t maxHeaderBytes = 16384; ///< Maximum size of a request header.
    std::size_t maxBodyBytes = 4194304; ///< Maximum size of a request body.
    Duration headerTimeout = std::chrono::seconds(3); ///< From the first byte to its end.
    Duration idleTimeout = std::chrono::seconds(15); ///< Between requests on a connection.
};

/** One published configuration. */
struct FleetConfig
{
    std::uint64_t version = 0; ///< Increases with each change.
    /** By host, longest prefix first. */
    std::unordered_map<std::string, std::vector<RouteConfig>> routes;
    std::unordered_map<std::string, ServiceConfig> services; ///< By name.
    std::unordered_map<std::string, OrganisationConfig> organisations; ///< By name.
    std::unordered_map<std::string, std::string> organisationByKey; ///< By API key.
    bool keyRequired = false; ///< The configuration has organisations, so requests need an API key.
    CallerLimits limits; ///< Limits for the requests of callers.
};

using FleetConfigPtr = std::shared_ptr<const FleetConfig>; ///< Kept by running requests.

/** Registration that a backend server publishes. */
struct ServerRegistration
{
    std::string id; ///< Identifies one start of the server.
    std::string service; ///< Service that it provides.
    std::string address; ///< "IP:port".
    std::string domain; ///< Failure domain.
    std::uint32_t slots = 1; ///< Requests that the server runs concurrently.
    bool draining = false; ///< The server is about to stop.
    Duration coldRemaining{}; ///< Remaining time for which the server was cold when it registered.
    std::uint64_t startedAtMs = 0; ///< Start time in Unix milliseconds; 0 if unknown.
    std::uint64_t sequence = 0; ///< Increases with each report since the start; 0 if unknown.
};

} // namespace banyanring::fleet
