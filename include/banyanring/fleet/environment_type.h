/** @file environment_type.h What a process is told about its machine, its addresses and its bounds.
 */
#pragma once

#include "banyanring/core/ids_type.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyanring::fleet {

/** An address of IP and port. */
struct Endpoint
{
    std::string ip; ///< Dotted IPv4.
    std::uint16_t port = 0; ///< TCP or UDP port.

    auto operator==(const Endpoint &) const -> bool = default;
    /** @return "IP:port". */
    auto text() const -> std::string
    {
        return this->ip + ":" + std::to_string(this->port);
    }
};

/**
 * Reads an address.
 * @param text "IP:port" with a dotted IPv4.
 * @return The address; nothing if the text is none.
 */
auto parseEndpoint(std::string_view text) -> std::optional<Endpoint>;

/** Fleet-wide bounds that this node keeps its share of. */
struct FleetBounds
{
    double retryRatio = 0.2; ///< Repeats for each request of a service.
    double retrySlack = 50; ///< Repeats beside the ratio, in one window.
    Duration retryWindow = std::chrono::seconds(10); ///< Window of the retry bound.
    Duration quotaWindow = std::chrono::seconds(8); ///< Window of the organisations' limits.
    double quotaOvershoot = 0.25; ///< Part of a limit that may be passed.
    double quotaSlack = 0; ///< Units that may be passed beside that.
    double coldOvershoot = 1.5; ///< Times the cold rate that a cold server may get.
    double coldSlack = 5; ///< Requests a second beside that.
    Duration stopGrace = std::chrono::seconds(8); ///< A stopped process is killed after this.
    Duration directoryTtl = std::chrono::seconds(5); ///< Longest time an address may be kept.
};

/** What the settings say of this process. */
struct Environment
{
    std::string node; ///< Name of the VM.
    std::string ip; ///< Address of the VM.
    std::string domain; ///< Failure domain.
    Endpoint entry; ///< Callers connect here.
    Endpoint readiness; ///< The platform asks here.
    Endpoint directory; ///< Callers ask here for addresses.
    Endpoint peers; ///< Gossip (UDP) and fetches (TCP) between nodes.
    Endpoint metrics; ///< Metrics and state for operators.
    std::vector<std::string> seeds; ///< IPs of a few nodes; may be stale.
    Endpoint store; ///< The platform's store.
    FleetBounds bounds; ///< Fleet-wide bounds.
};

} // namespace banyanring::fleet
