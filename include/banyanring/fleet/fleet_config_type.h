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
struct RouteRule
{
    std::string name; ///< Name for logs.
    std::string host; ///< Host that callers request.
    std::string prefix; ///< Path prefix; begins and ends with a slash.
    std::vector<RouteTarget> targets; ///< At least one.
    bool streaming = false; ///< The response is a stream of server-sent events.
    bool idempotent = false; ///< A request may run more than once.
    bool resumable = false; ///< Another server can continue an interrupted stream.
    bool open = false; ///< Requests need no API key.
    Duration timeout{}; ///< Longest time until the final response.
    Duration target{}; ///< Latency target for the response, or for the first event of a stream.
    Duration gapTarget{}; ///< Target for the longest pause between events.
    std::uint32_t tier = 0; ///< Priority tier, 0 the most urgent.
    std::uint32_t maxServers = 1; ///< Number of servers that may run one request.

    /** @return Whether a request that may have run at one server may be sent to another. */
    auto repeatable() const -> bool
    {
        return this->idempotent || (this->streaming && this->resumable);
    }
};

/** A service and the load that its servers can take. */
struct ServiceRule
{
    std::string name; ///< Unique name.
    std::uint32_t maxConnections = 0; ///< Connections to one server from all nodes together.
    Duration coldFor{}; ///< Time for which a server is cold after its start.
    double coldPerSecond = 0; ///< Requests per second that a cold server can take; 0 for no limit.
    bool engine =
        false; ///< The servers run an LLM inference engine, as opposed to a plain service.
    double tokensPerEvent = 1; ///< Output tokens per event of an engine's stream.
};

/** An organisation and its rate limit over all nodes. */
struct OrganisationRule
{
    std::string name; ///< Unique name.
    std::optional<std::uint32_t> tier; ///< Overrides the route's tier.
    double ratePerSecond = 0; ///< Units per second; 0 for no limit.
    double burst = 0; ///< Units allowed at once on top of the rate.
    double plainUnits = 1; ///< Units charged for a request that states no token counts.
    bool countsTokens = false; ///< Units are tokens, as opposed to requests.
};

/** Limits on the size and duration of requests. */
struct EntryLimits
{
    std::size_t headerBytes = 16384; ///< Maximum size of a request header.
    std::size_t bodyBytes = 4194304; ///< Maximum size of a request body.
    Duration headerTimeout =
        std::chrono::seconds(3); ///< From the first byte to the end of the header.
    Duration idleTimeout = std::chrono::seconds(15); ///< Between requests on a connection.
};

/** One published configuration. */
struct FleetConfig
{
    std::uint64_t version = 0; ///< Increases with each change.
    std::unordered_map<std::string, std::vector<RouteRule>> routes; ///< By host, longest prefix
                                                                    ///< first.
    std::unordered_map<std::string, ServiceRule> services; ///< By name.
    std::unordered_map<std::string, OrganisationRule> organisations; ///< By name.
    std::unordered_map<std::string, std::string> keys; ///< Organisation name by API key.
    bool keysNeeded = false; ///< The configuration has organisations, so requests need an API key.
    EntryLimits limits; ///< Limits for the requests of callers.
};

using FleetConfigPtr =
    std::shared_ptr<const FleetConfig>; ///< Running requests keep the configuration that they
                                        ///< started with.

/** Registration that a backend server publishes. */
struct ServerEntry
{
    std::string id; ///< Identifies one start of the server.
    std::string service; ///< Service that it provides.
    std::string address; ///< "IP:port".
    std::string domain; ///< Failure domain.
    std::uint32_t slots = 1; ///< Requests that the server runs concurrently.
    bool draining = false; ///< The server is about to stop.
    Duration coldLeft{}; ///< Remaining time for which the server was cold when it registered.
    std::uint64_t bornMs = 0; ///< Start time in Unix milliseconds; 0 if unknown.
};

} // namespace banyanring::fleet
