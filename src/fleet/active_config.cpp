/** @file active_config.cpp The configuration in force at this node. */
#include "banyanring/fleet/active_config.h"

#include <algorithm>

namespace banyanring::fleet {

namespace {

/** Beyond it, the shortest of them is replaced by the next longer one. */
constexpr std::size_t MaxPreviousIdleTimeouts = 8;

} // namespace

auto ActiveConfig::update(FleetConfigPtr newConfig, Instant now, SameVersion sameVersion) -> bool
{
    if (this->config
        && (newConfig->version < this->config->version
            || (newConfig->version == this->config->version
                && sameVersion == SameVersion::Ignore))) {
        return false;
    }
    if (this->config && this->config->limits.idleTimeout > newConfig->limits.idleTimeout) {
        this->rememberIdleTimeout(this->config->limits.idleTimeout, now);
    }
    this->config = std::move(newConfig);
    return true;
}

auto ActiveConfig::setOutOfServiceDomains(std::set<std::string, std::less<>> domains) -> bool
{
    if (this->outOfService == domains) {
        return false;
    }
    this->outOfService = std::move(domains);
    return true;
}

auto ActiveConfig::findRoute(std::string_view host, std::string_view path) const
    -> const RouteConfig *
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

auto ActiveConfig::findOrganisation(std::string_view key) const -> const OrganisationConfig *
{
    if (!this->config) {
        return nullptr;
    }
    const auto organisationName = this->config->organisationByKey.find(std::string(key));
    if (organisationName == this->config->organisationByKey.end()) {
        return nullptr;
    }
    const auto found = this->config->organisations.find(organisationName->second);
    return found == this->config->organisations.end() ? nullptr : &found->second;
}

auto ActiveConfig::findService(std::string_view name) const -> const ServiceConfig *
{
    if (!this->config) {
        return nullptr;
    }
    const auto found = this->config->services.find(std::string(name));
    return found == this->config->services.end() ? nullptr : &found->second;
}

auto ActiveConfig::rememberIdleTimeout(Duration timeout, Instant now) -> void
{
    auto &previous = this->previousIdleTimeouts;
    const auto until = now + 2 * timeout;
    std::erase_if(previous, [&](const PreviousIdleTimeout &other) {
        return other.until <= now || (other.timeout <= timeout && other.until <= until);
    });
    const bool covered = std::any_of(previous.begin(), previous.end(), [&](const auto &other) {
        return other.timeout >= timeout && other.until >= until;
    });
    if (covered) {
        return;
    }
    const auto position = std::find_if(previous.begin(), previous.end(),
                                       [&](const auto &other) { return other.timeout < timeout; });
    previous.insert(position, {timeout, until});
    if (previous.size() > MaxPreviousIdleTimeouts) {
        const auto last = previous.back();
        previous.pop_back();
        previous.back().until = std::max(previous.back().until, last.until);
    }
}

auto ActiveConfig::idleTimeout(Instant now) const -> Duration
{
    const auto current =
        this->config ? this->config->limits.idleTimeout : CallerLimits{}.idleTimeout;
    const auto &previous = this->previousIdleTimeouts;
    const auto longest = std::find_if(previous.begin(), previous.end(),
                                      [now](const auto &other) { return now < other.until; });
    return longest == previous.end() ? current : std::max(current, longest->timeout);
}

} // namespace banyanring::fleet
