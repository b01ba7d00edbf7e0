/** @file gateway_state.cpp State dump, request traces and metrics for operators. */
#include "gateway.h"

#include "banyanring/adapters/log_func.h"
#include "banyanring/ports/clock_func.h"
#include "coordinator_metrics_func.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

namespace banyanring::gateway {

namespace {

using nlohmann::json;

/** @return The duration in milliseconds, truncated. */
auto toMs(Duration time) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

} // namespace

auto Gateway::stateJson() const -> std::string
{
    const auto now = bootClockNow();
    json members = json::array();
    for (const auto &[address, member] : this->state.members.all()) {
        members.push_back({{"address", address},
                           {"domain", member.status.domain},
                           {"phase", static_cast<int>(member.status.phase)},
                           {"alive", this->state.members.isAlive(member, now)},
                           {"age_ms", toMs(now - member.issuedAt)},
                           {"config", member.status.configVersion},
                           {"store_era", member.status.storeEra},
                           {"store_revision", member.status.storeRevision},
                           {"store_reached", member.status.storeReachable}});
    }
    json servers = json::array();
    for (const auto &[id, server] : this->state.servers.all()) {
        servers.push_back(
            {{"id", id},
             {"service", server->registration.service},
             {"address", server->registration.address},
             {"domain", server->registration.domain},
             {"slots", server->registration.slots},
             {"draining", server->registration.draining},
             {"leaving", server->leaving},
             {"own", server->ownLoad.requests},
             {"peers", server->peerLoad.requests},
             {"kept", server->coordinatedHere},
             {"limit_per_second", server->requestLimit.isNamed()
                                      ? json(server->requestLimit.perSecond())
                                      : json(nullptr)},
             {"cold_ms", std::max<std::int64_t>(0, toMs(server->coldUntil - now))},
             {"avoid_ms", std::max<std::int64_t>(0, toMs(server->backoffUntil - now))},
             {"wait_ms", std::max<std::int64_t>(0, toMs(server->deferredUntil - now))},
             {"ejected_ms", std::max<std::int64_t>(0, toMs(server->ejectedUntil - now))},
             {"first_byte_ms", server->stats.firstByteFit.intercept()},
             {"prompt_ms_per_token", server->stats.firstByteFit.slope()},
             {"output_ms_per_token", server->stats.outputMsPerToken},
             {"failures", server->stats.failureRate}});
    }
    const json document{
        {"node", this->settings.nodeName},
        {"phase", static_cast<int>(this->phase)},
        {"config", this->state.config.current() ? this->state.config.current()->version : 0},
        {"domains_out", this->state.config.outOfServiceDomains()},
        {"store_era", this->ownStatus().storeEra},
        {"store_revision", this->ownStatus().storeRevision},
        {"store_reached", this->ownStatus().storeReachable},
        {"fleet_size", this->state.members.fleetSize(now)},
        {"reachable_part", this->state.members.reachableFraction(now)},
        {"open_requests", this->scheduler.activeRequests()},
        {"waiting", this->scheduler.queuedRequests()},
        {"members", members},
        {"servers", servers}};
    return document.dump(2) + "\n";
}

auto Gateway::explainJson(std::string_view id) const -> std::string
{
    json steps = json::array();
    for (const auto *trace : this->scheduler.findTraces(id)) {
        for (const auto &step : trace->steps) {
            steps.push_back(
                {{"after_ms", std::chrono::duration<double, std::milli>(step.elapsed).count()},
                 {"step", step.name},
                 {"detail", step.detail}});
        }
    }
    return steps.dump() + "\n";
}

auto Gateway::metricsText() const -> std::string
{
    const auto now = bootClockNow();
    std::ostringstream text;
    text << this->scheduler.metrics.render();
    const auto gauge = [&text](std::string_view name, auto value) {
        text << "# TYPE banyanring_" << name << " gauge\nbanyanring_" << name << ' ' << value
             << '\n';
    };
    gauge("open_requests", this->scheduler.activeRequests());
    gauge("waiting", this->scheduler.queuedRequests());
    gauge("live_members", this->state.members.aliveMembers(now).size());
    gauge("fleet_size", this->state.members.fleetSize(now));
    gauge("reachable_part", this->state.members.reachableFraction(now));
    gauge("config_version",
          this->state.config.current() ? this->state.config.current()->version : 0);
    gauge("store_reached", this->ownStatus().storeReachable ? 1 : 0);
    gauge("store_era", this->ownStatus().storeEra);
    gauge("store_revision", this->ownStatus().storeRevision);
    gauge("store_calls", this->mirrorSync.storeCalls());
    gauge("gossip_sent", this->peerSocket.traffic().sent.count);
    gauge("gossip_sent_bytes", this->peerSocket.traffic().sent.bytes);
    gauge("gossip_received", this->peerSocket.traffic().received);
    gauge("gossip_garbage", this->peerSocket.traffic().malformed);
    gauge("asks_waiting", this->slotCoordination.waitingRequests());
    gauge("kept_servers",
          std::count_if(this->state.servers.all().begin(), this->state.servers.all().end(),
                        [](const auto &item) { return item.second->coordinatedHere; }));
    gauge("limited_servers",
          std::count_if(this->state.servers.all().begin(), this->state.servers.all().end(),
                        [](const auto &item) { return item.second->requestLimit.isNamed(); }));
    gauge("deferred_servers",
          std::count_if(this->state.servers.all().begin(), this->state.servers.all().end(),
                        [now](const auto &item) { return item.second->isDeferred(now); }));
    gauge("leaving_servers",
          std::count_if(this->state.servers.all().begin(), this->state.servers.all().end(),
                        [](const auto &item) { return item.second->leaving; }));
    gauge("idle_server_connections", this->serverConnectionPool.idleCount());
    text << "# TYPE banyanring_log_lines_dropped_total counter\n";
    const auto droppedLines = droppedLogLines();
    for (std::size_t kind = 0; kind < LogKindCount; ++kind) {
        text << "banyanring_log_lines_dropped_total{kind=\""
             << logKindName(static_cast<LogKind>(kind)) << "\"} " << droppedLines.at(kind) << '\n';
    }
    text << "# TYPE banyanring_peer_sent_bytes gauge\n";
    for (const auto &[type, sent] : this->peerSocket.traffic().sentByType) {
        text << "banyanring_peer_sent_bytes{type=\"" << messageTypeName(type) << "\"} "
             << sent.bytes << '\n';
    }
    writeCoordinatorMetrics(text, this->slotCoordination);
    text << "# TYPE banyanring_server_requests gauge\n";
    for (const auto &[id, server] : this->state.servers.all()) {
        text << "banyanring_server_requests{server=\"" << id << "\",service=\""
             << server->registration.service << "\"} " << server->ownLoad.requests << '\n';
    }
    return text.str();
}

} // namespace banyanring::gateway
