/** @file gateway_state.cpp State dump, request traces and metrics for operators. */
#include "gateway.h"

#include "banyanring/ports/clock_func.h"

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
    const auto now = bootNow();
    json members = json::array();
    for (const auto &[address, member] : this->state.members.all()) {
        members.push_back({{"address", address},
                           {"domain", member.statement.domain},
                           {"phase", static_cast<int>(member.statement.phase)},
                           {"alive", fleet::FleetMembers::alive(member, now)},
                           {"age_ms", toMs(now - member.statedAt)},
                           {"config", member.statement.configVersion},
                           {"store_revision", member.statement.storeRevision},
                           {"store_reached", member.statement.storeReached}});
    }
    json servers = json::array();
    for (const auto &[id, server] : this->state.servers.all()) {
        servers.push_back(
            {{"id", id},
             {"service", server->entry.service},
             {"address", server->entry.address},
             {"domain", server->entry.domain},
             {"slots", server->entry.slots},
             {"draining", server->entry.draining},
             {"own", server->own.requests},
             {"peers", server->peers.requests},
             {"kept", server->kept},
             {"cold_ms", std::max<std::int64_t>(0, toMs(server->coldUntil - now))},
             {"avoid_ms", std::max<std::int64_t>(0, toMs(server->avoidUntil - now))},
             {"ejected_ms", std::max<std::int64_t>(0, toMs(server->ejectedUntil - now))},
             {"first_byte_ms", server->pace.firstByte.base()},
             {"prompt_ms_per_token", server->pace.firstByte.slope()},
             {"output_ms_per_token", server->pace.outputMsPerToken},
             {"failures", server->pace.failures}});
    }
    const json document{
        {"node", this->settings.node},
        {"phase", static_cast<int>(this->phase)},
        {"config", this->state.config.current() ? this->state.config.current()->version : 0},
        {"domains_out", this->state.config.outDomains()},
        {"store_revision", this->ownStatus().storeRevision},
        {"store_reached", this->ownStatus().storeReached},
        {"fleet_size", this->state.members.fleetSize(now)},
        {"reachable_part", this->state.members.reachablePart(now)},
        {"open_requests", this->scheduler.openRuns()},
        {"waiting", this->scheduler.waitingRuns()},
        {"members", members},
        {"servers", servers}};
    return document.dump(2) + "\n";
}

auto Gateway::explainJson(std::string_view id) const -> std::string
{
    json steps = json::array();
    for (const auto *trace : this->scheduler.explain(id)) {
        for (const auto &step : trace->steps) {
            steps.push_back(
                {{"after_ms", std::chrono::duration<double, std::milli>(step.after).count()},
                 {"step", step.what},
                 {"detail", step.detail}});
        }
    }
    return steps.dump() + "\n";
}

auto Gateway::metricsText() const -> std::string
{
    const auto now = bootNow();
    std::ostringstream text;
    text << this->scheduler.metrics.render();
    const auto gauge = [&text](std::string_view name, auto value) {
        text << "# TYPE banyanring_" << name << " gauge\nbanyanring_" << name << ' ' << value
             << '\n';
    };
    gauge("open_requests", this->scheduler.openRuns());
    gauge("waiting", this->scheduler.waitingRuns());
    gauge("live_members", this->state.members.live(now).size());
    gauge("fleet_size", this->state.members.fleetSize(now));
    gauge("reachable_part", this->state.members.reachablePart(now));
    gauge("config_version",
          this->state.config.current() ? this->state.config.current()->version : 0);
    gauge("store_reached", this->ownStatus().storeReached ? 1 : 0);
    gauge("store_revision", this->ownStatus().storeRevision);
    gauge("store_calls", this->mirrorSync.storeCalls());
    gauge("gossip_sent", this->peerSocket.traffic().sent);
    gauge("gossip_sent_bytes", this->peerSocket.traffic().sentBytes);
    gauge("gossip_received", this->peerSocket.traffic().received);
    gauge("gossip_garbage", this->peerSocket.traffic().malformed);
    gauge("asks_waiting", this->slotCoordination.waitingRequests());
    gauge("kept_servers",
          std::count_if(this->state.servers.all().begin(), this->state.servers.all().end(),
                        [](const auto &item) { return item.second->kept; }));
    gauge("idle_server_connections", this->serverConnectionPool.idleConnections());
    text << "# TYPE banyanring_server_requests gauge\n";
    for (const auto &[id, server] : this->state.servers.all()) {
        text << "banyanring_server_requests{server=\"" << id << "\",service=\""
             << server->entry.service << "\"} " << server->own.requests << '\n';
    }
    return text.str();
}

} // namespace banyanring::gateway
