/** @file request_limit_log.cpp Records the limits that servers name, and logs changes. */
#include "request_limit_log.h"

#include "banyanring/adapters/log_func.h"

namespace banyanring::gateway {

auto logRequestLimit(const fleet::Server &server, std::string_view source) -> void
{
    const auto &limit = server.requestLimit;
    logEvent("server_limit", {{"server", server.registration.id},
                              {"source", std::string(source)},
                              {"limited", limit.isNamed()},
                              {"per_second", limit.isNamed() ? limit.perSecond() : 0.0}});
}

auto mergeRequestLimits(fleet::ServerRegistry &servers,
                        const std::vector<fleet::RequestLimitReport> &reports,
                        std::string_view peer, Instant now) -> void
{
    for (const auto &changed : servers.mergeRequestLimits(reports, now)) {
        logRequestLimit(*changed, peer);
    }
}

} // namespace banyanring::gateway
