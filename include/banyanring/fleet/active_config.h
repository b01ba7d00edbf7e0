/** @file active_config.h The configuration in force at this node. */
#pragma once

#include "banyanring/fleet/fleet_config_type.h"

#include <set>
#include <string_view>
#include <vector>

namespace banyanring::fleet {

/** What happens to a configuration that has the version of the one in force. */
enum class SameVersion : std::uint8_t {
    Ignore, ///< The one in force stays.
    Replace, ///< It replaces the one in force.
};

/** Holds the newest configuration and the failure domains that are taken out of service. */
class ActiveConfig
{
public:
    /**
     * Replaces the configuration if the given one is newer.
     * @param newConfig New configuration.
     * @param now Current time.
     * @param sameVersion What happens if it has the version of the one in force.
     * @return Whether it is now in force.
     */
    auto update(FleetConfigPtr newConfig, Instant now,
                SameVersion sameVersion = SameVersion::Ignore) -> bool;

    /**
     * Replaces the set of failure domains that are out of service.
     * @param domains Names of the domains.
     * @return Whether the set changed.
     */
    auto setOutOfServiceDomains(std::set<std::string, std::less<>> domains) -> bool;

    /**
     * Finds the route of a request: the one with the longest matching path prefix of its host.
     * @param host Requested host, without a port.
     * @param path Requested path, without a query.
     * @return The route, or null if none matches.
     */
    auto findRoute(std::string_view host, std::string_view path) const -> const RouteConfig *;

    /**
     * Finds the organisation that an API key belongs to.
     * @param key API key.
     * @return The organisation, or null for an unknown key.
     */
    auto findOrganisation(std::string_view key) const -> const OrganisationConfig *;

    /**
     * Finds a service.
     * @param name Name of the service.
     * @return The service, or null if there is none of this name.
     */
    auto findService(std::string_view name) const -> const ServiceConfig *;

    /** @return Whether a failure domain is out of service. */
    auto isDomainOutOfService(std::string_view domain) const -> bool
    {
        return this->outOfService.contains(domain);
    }

    /**
     * Returns the time after which a caller's idle connection may be closed. When a change lowers
     * the timeout, the previous value stays in force for twice its length, as callers may still
     * rely on it, whatever changes follow.
     * @param now Current time.
     * @return Idle timeout.
     */
    auto idleTimeout(Instant now) const -> Duration;

    /** @return The configuration in force, or null before the first one. */
    auto current() const -> const FleetConfigPtr &
    {
        return this->config;
    }

    /** @return Names of all failure domains that are out of service. */
    auto outOfServiceDomains() const -> const std::set<std::string, std::less<>> &
    {
        return this->outOfService;
    }

private:
    /** An idle timeout that a change has lowered. */
    struct PreviousIdleTimeout
    {
        Duration timeout{};
        Instant until{}; ///< Callers may rely on it until this time.
    };

    auto rememberIdleTimeout(Duration timeout, Instant now) -> void;

    FleetConfigPtr config;
    std::set<std::string, std::less<>> outOfService;
    std::vector<PreviousIdleTimeout> previousIdleTimeouts; ///< Longest first, by increasing end.
};

} // namespace banyanring::fleet
