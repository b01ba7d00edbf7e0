/** @file fleet_config_type.h What the operator has published, as typed values. */
#pragma once

#include "banyanring/core/ids_type.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace banyanring::fleet {

/** One destination of a route and its part of the route's requests. */
struct RouteTarget
{
    std::string service; ///< Name of the service.
    std::uint32_t weight = 1; ///< Part beside the route's other targets.
};

/** A route: which requests it takes and how they are to be served. */
struct RouteRule
{
    std::string name; ///< Name for logs.
    std::string host; ///< Host that callers name.
    std::string prefix; ///< Begins and ends with a slash.
    std::vector<RouteTarget> targets; ///< At least one.
    bool streaming = false; ///< Answered as a series of events.
    bool idempotent = false; ///< May run more than once.
    bool resumable = false; ///< A stream that another server can continue.
    bool open = false; ///< Needs no key.
    Duration timeout{}; ///< Longest time without a final answer.
    Duration target{}; ///< Time to the answer, or to the first event, for full credit.
    Duration gapTarget{}; ///< Longest pause between events that still counts as on time.
    std::uint32_t tier = 0; ///< Urgency, 0 the most urgent.
    std::uint32_t maxServers = 1; ///< Servers that may run one request.

    /** @return Whether a second server may run a request that another may have begun. */
    auto repeatable() const -> bool
    {
        return this->idempotent || (this->streaming && this->resumable);
    }
};

/** A service and what its servers bear. */
struct ServiceRule
{
    std::string name; ///< Unique name.
    std::uint32_t maxConnections = 0; ///< Connections to one server from all nodes together.
    Duration coldFor{}; ///< How long a server stays cold after a start.
    double coldPerSecond = 0; ///< Requests a second that a cold server bears; 0 for no bound.
    bool engine = false; ///< A model engine, as opposed to a plain service.
    double tokensPerEvent = 1; ///< Output tokens in one event of an engine's stream.
};

/** An organisation and its limit over all nodes. */
struct OrganisationRule
{
    std::string name; ///< Unique name.
    std::optional<std::uint32_t> tier; ///< Goes before the route's tier.
    double ratePerSecond = 0; ///< Units a second; 0 for no limit.
    double burst = 0; ///< Units at once, beside the rate.
    double plainUnits = 1; ///< Units of a request that states no token counts.
    bool countsTokens = false; ///< Units are tokens, as opposed to requests.
};

/** What a caller may send, and how long it may take. */
struct EntryLimits
{
    std::size_t headerBytes = 16384; ///< Longest header.
    std::size_t bodyBytes = 4194304; ///< Longest body.
    Duration headerTimeout = std::chrono::seconds(3); ///< From the first byte to the header's end.
    Duration idleTimeout = std::chrono::seconds(15); ///< Between requests on a connection.
};

/** One published configuration. */
struct FleetConfig
{
    std::uint64_t version = 0; ///< Grows with each change.
    std::unordered_map<std::string, std::vector<RouteRule>> routes; ///< By host, longest prefix
                                                                    ///< first.
    std::unordered_map<std::string, ServiceRule> services; ///< By name.
    std::unordered_map<std::string, OrganisationRule> organisations; ///< By name.
    std::unordered_map<std::string, std::string> keys; ///< Organisation of each key.
    bool keysNeeded = false; ///< The configuration has organisations.
    EntryLimits limits; ///< For callers.
};

using FleetConfigPtr = std::shared_ptr<const FleetConfig>; ///< Shared by running requests.

/** What a backend server says of itself where it registers. */
struct ServerEntry
{
    std::string id; ///< Name of this start of the server.
    std::string service; ///< Service that it provides.
    std::string address; ///< "IP:port".
    std::string domain; ///< Failure domain.
    std::uint32_t slots = 1; ///< Requests that it runs at once.
    bool draining = false; ///< Is about to leave.
    Duration coldLeft{}; ///< How much longer it is cold, when it wrote this.
    std::uint64_t bornMs = 0; ///< Unix milliseconds of its start; 0 if not told.
};

} // namespace banyanring::fleet
