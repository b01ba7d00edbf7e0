/** @file active_request_statements.cpp What servers say about themselves in their responses. */
#include "banyanring/adapters/log_func.h"
#include "banyanring/gateway/active_request.h"
#include "request_limit_log.h"

#include <algorithm>

namespace banyanring::gateway {

auto ActiveRequest::recordServerStatements(fleet::Server &server, const ServerResponse &header)
    -> void
{
    const auto now = this->scheduler.clock();
    if (header.requestLimit && server.requestLimit.update(*header.requestLimit, now, now)) {
        logRequestLimit(server, this->request.attemptId);
    }
    if (header.reportedRequests) {
        server.reportedOtherRequests = *header.reportedRequests > server.ownLoad.requests
                                           ? *header.reportedRequests - server.ownLoad.requests
                                           : 0;
        server.reportedAt = now;
    }
    if (header.slowdown) {
        server.slowdown.record(*header.slowdown, now);
        this->scheduler.metrics.countSlowdownReport();
    }
    if (header.attemptId != this->request.attemptId) {
        return;
    }
    if (header.retryAfter) {
        const bool wasDeferred = server.isDeferred(now);
        server.deferredUntil = std::max(server.deferredUntil, now + *header.retryAfter);
        if (!wasDeferred) {
            logEvent(
                "server_deferred",
                {{"server", server.registration.id},
                 {"request_id", this->request.attemptId},
                 {"reason", "retry_after"},
                 {"wait_ms", std::int64_t{*header.retryAfter / std::chrono::milliseconds(1)}}});
        }
    }
    if (header.leaving && fleet::ServerRegistry::markLeaving(server)) {
        logEvent("server_leaving",
                 {{"server", server.registration.id}, {"request_id", this->request.attemptId}});
    }
}

} // namespace banyanring::gateway
