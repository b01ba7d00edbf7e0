/** @file config_book.h The configuration in force at this node. */
#pragma once

#include "banyanring/fleet/fleet_config_type.h"

#include <set>
#include <string_view>

namespace banyanring::fleet {

/** Keeps the newest configuration and the failure domains taken out of service. */
class ConfigBook
{
public:
    /**
     * Takes a configuration unless it is older than the one in force.
     * @param config The configuration.
     * @param now The present.
     * @return Whether it is in force now.
     */
    auto take(FleetConfigPtr config, Instant now) -> bool;

    /**
     * Takes the failure domains that are out of service.
     * @param domains Their names.
     * @return Whether they changed.
     */
    auto takeDomainsOut(std::set<std::string, std::less<>> domains) -> bool;

    /**
     * Finds the route of a request: the one with the longest prefix of its host.
     * @param host Host that the caller names, without a port.
     * @param path Path, without a query.
     * @return The route, or null.
     */
    auto findRoute(std::string_view host, std::string_view path) const -> const RouteRule *;

    /**
     * Finds the organisation that holds a key.
     * @param key The key.
     * @return Its organisation, or null for an unknown key.
     */
    auto findOrganisation(std::string_view key) const -> const OrganisationRule *;

    /**
     * Finds a service.
     * @param name Its name.
     * @return The service, or null.
     */
    auto findService(std::string_view name) const -> const ServiceRule *;

    /** @return Whether a failure domain is out of service. */
    auto domainOut(std::string_view domain) const -> bool
    {
        return this->domainsOut.contains(domain);
    }

    /**
     * Gives the time after which an idle caller's connection may be closed. After a change the
     * longer of two values counts for a while: a caller may not know the shorter one yet.
     * @param now The present.
     * @return The timeout.
     */
    auto idleTimeout(Instant now) const -> Duration;

    /** @return The configuration in force, or null before the first. */
    auto current() const -> const FleetConfigPtr &
    {
        return this->config;
    }

    /** @return All failure domains that are out of service. */
    auto outDomains() const -> const std::set<std::string, std::less<>> &
    {
        return this->domainsOut;
    }

private:
    FleetConfigPtr config;
    std::set<std::string, std::less<>> domainsOut;
    Duration earlierIdleTimeout{};
    Instant earlierIdleUntil{};
};

} // namespace banyanring::fleet
