/**
 * @file process_settings_type.h Addresses and fleet-wide bounds from the settings of the process.
 */
#pragma once

#include "banyanring/core/ids_type.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyanring::fleet {

/** IPv4 address and port. */
struct Endpoint
{
    std::string ip; ///< IPv4 address in dotted notation.
    std::uint16_t port = 0; ///< TCP or UDP port.

    auto operator==(const Endpoint &) const -> bool = default;
    /** @return "IP:port". */
    auto text() const -> std::string
    {
        return this->ip + ":" + std::to_string(this->port);
    }
};

/**
 * Parses an endpoint.
 * @param text "IP:port" with an IPv4 address in dotted notation.
 * @return The endpoint, or nothing if the text is malformed.
 */
auto parseEndpoint(std::string_view text) -> std::optional<Endpoint>;

/** Fleet-wide bounds, of which each node uses its share. */
struct FleetBounds
{
    double retryRatio = 0.2; ///< Allowed retries per request of a service.
    double retrySlack = 50; ///< Retries allowed on top of the ratio, per window.
    Duration retryWindow = std::chrono::seconds(10); ///< Window of the retry bound.
    Duration quotaWindow = std::chrono::seconds(8); ///< Window of the organisations' limits.
    double quotaOvershoot = 0.25; ///< Fraction by which a limit may be exceeded.
    double quotaSlack = 0; ///< Units by which a limit may be exceeded on top of that.
    double coldOvershoot = 1.5; ///< Multiple of the cold rate that a cold server may get.
    double coldSlack = 5; ///< Requests per second allowed on top of that.
    Duration stopGrace = std::chrono::seconds(8); ///< From stop signal to kill.
    Duration directoryTtl = std::chrono::seconds(5); ///< Callers may cache addresses.
};

/** Settings of this process. */
struct ProcessSettings
{
    std::string nodeName; ///< Name of the VM.
    std::string ip; ///< IPv4 address of the VM.
    std::string domain; ///< Failure domain of the VM.
    Endpoint entry; ///< Callers connect here.
    Endpoint readiness; ///< Readiness probes of the platform.
    Endpoint directory; ///< Directory requests of callers.
    Endpoint peers; ///< Gossip (UDP) and fetches (TCP) between nodes.
    Endpoint metrics; ///< Metrics and state dump for operators.
    std::vector<std::string> seeds; ///< IPs of a few nodes; may be out of date.
    Endpoint store; ///< The platform's key-value store.
    std::size_t memoryBytes = 0; ///< Memory of the process; 0 if unknown.
    FleetBounds bounds; ///< Fleet-wide bounds.
};

} // namespace banyanring::fleet
