/** @file active_config.cpp The configuration in force at this node. */
#include "banyanring/fleet/active_config.h"

namespace banyanring::fleet {

auto ConfigBook::take(FleetConfigPtr newConfig, Instant now) -> bool
{
    if (this->config && newConfig->version <= this->config->version) {
        return false;
    }
    if (this->config && this->config->limits.idleTimeout > newConfig->limits.idleTimeout) {
        this->earlierIdleTimeout = this->config->limits.idleTimeout;
        this->earlierIdleUntil = now + 2 * this->config->limits.idleTimeout;
    }
    this->config = std::move(newConfig);
    return true;
}

auto ConfigBook::takeDomainsOut(std::set<std::string, std::less<>> domains) -> bool
{
    if (this->domainsOut == domains) {
        return false;
    }
    this->domainsOut = std::move(domains);
    return true;
}

auto ConfigBook::findRoute(std::string_view host, std::string_view path) const -> const RouteRule *
{
    if (!this->config) {
        return nullptr;
    }
    const auto found = this->config->routes.find(std::string(host));
    if (found == this->config->routes.end()) {
        return nullptr;
    }
    for (const auto &route : found->second) {
        if (path.starts_with(route.prefix)) {
            return &route;
        }
    }
    return nullptr;
}

auto ConfigBook::findOrganisation(std::string_view key) const -> const OrganisationRule *
{
    if (!this->config) {
        return nullptr;
    }
    const auto holder = this->config->keys.find(std::string(key));
    if (holder == this->config->keys.end()) {
        return nullptr;
    }
    const auto found = this->config->organisations.find(holder->second);
    return found == this->config->organisations.end() ? nullptr : &found->second;
}

auto ConfigBook::findService(std::string_view name) const -> const ServiceRule *
{
    if (!this->config) {
        return nullptr;
    }
    const auto found = this->config->services.find(std::string(name));
    return found == this->config->services.end() ? nullptr : &found->second;
}

auto ConfigBook::idleTimeout(Instant now) const -> Duration
{
    const auto current =
        this->config ? this->config->limits.idleTimeout : EntryLimits{}.idleTimeout;
    return now < this->earlierIdleUntil ? std::max(current, this->earlierIdleTimeout) : current;
}

} // namespace banyanring::fleet
