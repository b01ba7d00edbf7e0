/** @file gateway_state.cpp What a node shows its operators. */
#include "gateway.h"

#include "banyanring/ports/clock_func.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

namespace banyanring::gateway {

namespace {

using nlohmann::json;

/** @return Whole milliseconds. */
auto toMs(Duration time) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

} // namespace

auto Gateway::stateText() const -> std::string
{
    const auto now = bootClockNow();
    json members = json::array();
    for (const auto &[address, member] : this->books.members.all()) {
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
    for (const auto &[id, server] : this->books.servers.all()) {
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
    const json state{
        {"node", this->environment.node},
        {"phase", static_cast<int>(this->phase)},
        {"config", this->books.config.current() ? this->books.config.current()->version : 0},
        {"domains_out", this->books.config.outDomains()},
        {"store_revision", this->statement().storeRevision},
        {"store_reached", this->statement().storeReached},
        {"fleet_size", this->books.members.fleetSize(now)},
        {"reachable_part", this->books.members.reachablePart(now)},
        {"open_requests", this->scheduler.openRuns()},
        {"waiting", this->scheduler.waitingRuns()},
        {"members", members},
        {"servers", servers}};
    return state.dump(2) + "\n";
}

auto Gateway::explainText(std::string_view id) const -> std::string
{
    json steps = json::array();
    for (const auto *record : this->scheduler.explain(id)) {
        for (const auto &step : record->steps) {
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
    const auto now = bootClockNow();
    std::ostringstream out;
    out << this->scheduler.metrics.render();
    const auto gauge = [&out](std::string_view name, auto value) {
        out << "# TYPE banyanring_" << name << " gauge\nbanyanring_" << name << ' ' << value
            << '\n';
    };
    gauge("open_requests", this->scheduler.openRuns());
    gauge("waiting", this->scheduler.waitingRuns());
    gauge("live_members", this->books.members.live(now).size());
    gauge("fleet_size", this->books.members.fleetSize(now));
    gauge("reachable_part", this->books.members.reachablePart(now));
    gauge("config_version",
          this->books.config.current() ? this->books.config.current()->version : 0);
    gauge("store_reached", this->statement().storeReached ? 1 : 0);
    gauge("store_revision", this->statement().storeRevision);
    gauge("store_calls", this->sharing.storeCalls());
    gauge("gossip_sent", this->peerSocket.traffic().sent);
    gauge("gossip_sent_bytes", this->peerSocket.traffic().sentBytes);
    gauge("gossip_received", this->peerSocket.traffic().received);
    gauge("gossip_garbage", this->peerSocket.traffic().garbage);
    gauge("asks_waiting", this->slots.waiting());
    gauge("kept_servers",
          std::count_if(this->books.servers.all().begin(), this->books.servers.all().end(),
                        [](const auto &item) { return item.second->kept; }));
    gauge("idle_server_connections", this->pool.idleConnections());
    out << "# TYPE banyanring_server_requests gauge\n";
    for (const auto &[id, server] : this->books.servers.all()) {
        out << "banyanring_server_requests{server=\"" << id << "\",service=\""
            << server->entry.service << "\"} " << server->own.requests << '\n';
    }
    return out.str();
}

} // namespace banyanring::gateway
