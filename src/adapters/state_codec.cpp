/** @file state_codec.cpp JSON of the state dump and of request traces. */
#include "banyanring/adapters/state_codec.h"

#include <nlohmann/json.hpp>

namespace banyanring {

namespace {

using nlohmann::ordered_json;

/** @return A duration in milliseconds. */
auto milliseconds(Duration time) -> double
{
    return std::chrono::duration<double, std::milli>(time).count();
}

/** @return Health states of the backend servers, by name. */
auto serversJson(const NodeSnapshot &snapshot, const ConfigPtr &config) -> ordered_json
{
    auto result = ordered_json::object();
    for (const auto &[id, state] : snapshot.servers) {
        if (!config || !config->servers.contains(id)) {
            continue;
        }
        result[config->servers.at(id).name] = {{"known", state.reported},
                                               {"cold", state.cold},
                                               {"reachable", state.reachable},
                                               {"suspected", state.suspected},
                                               {"started_at", state.startedAt},
                                               {"running", state.running},
                                               {"tokens_per_second", state.tokensPerSecond}};
    }
    return result;
}

/** @return Shed thresholds that differ from the default, by service. */
auto shedThresholdsJson(const NodeSnapshot &snapshot, const ConfigPtr &config) -> ordered_json
{
    auto result = ordered_json::object();
    for (const auto &thresholds : snapshot.shedThresholds) {
        if (config && config->services.contains(thresholds.service)) {
            result[config->services.at(thresholds.service).name] = {
                {"wished_floor", thresholds.requested}, {"enforced_floor", thresholds.enforced}};
        }
    }
    return result;
}

/** @return Counts of rejections that occurred, by reason. */
auto rejectionsJson(const Counters &counters) -> ordered_json
{
    auto result = ordered_json::object();
    for (std::size_t reason = 1; reason < counters.rejected.size(); ++reason) {
        if (counters.rejected.at(reason) > 0) {
            result[std::string(reasonName(static_cast<Reason>(reason)))] =
                counters.rejected.at(reason);
        }
    }
    return result;
}

} // namespace

auto stateJson(const NodeSnapshot &snapshot, const ConfigPtr &config,
               const PlatformReader::Status &platform) -> std::string
{
    ordered_json json;
    json["node"] = snapshot.node;
    json["incarnation"] = snapshot.incarnation;
    json["ready"] = snapshot.ready;
    json["stopping"] = snapshot.stopping;
    json["config_revision"] = snapshot.configRevision;
    json["vm_list_revision"] = snapshot.vmListRevision;
    json["rights_under_list"] =
        snapshot.leaseRevision ? ordered_json(*snapshot.leaseRevision) : ordered_json();
    json["contacts"] = snapshot.reachablePeers;
    json["open_calls"] = snapshot.calls;
    json["running"] = snapshot.runs;
    json["waiting"] = snapshot.waiting;
    json["tickets"] = snapshot.tickets;
    json["rate_parts"] = snapshot.ownedPartitions;
    const auto &slots = snapshot.slots;
    json["slots"] = {{"free", slots.free},         {"running", slots.running},
                     {"lent", slots.lent},         {"borrowed", slots.borrowed},
                     {"awaiting", slots.awaiting}, {"quarantined", slots.quarantined}};
    json["counters"] = {{"arrived", snapshot.counters.arrived},
                        {"dispatched", snapshot.counters.dispatched},
                        {"answered", snapshot.counters.answered},
                        {"failed", snapshot.counters.failed},
                        {"forwarded", snapshot.counters.forwarded},
                        {"token_asks", snapshot.counters.tokenLoanRequests},
                        {"slot_asks", snapshot.counters.slotLoanRequests},
                        {"shed_by_tier", snapshot.counters.shedByTier}};
    json["refused"] = rejectionsJson(snapshot.counters);
    json["pressure"] = shedThresholdsJson(snapshot, config);
    json["servers"] = serversJson(snapshot, config);
    json["platform"] = {{"reads", platform.requests},
                        {"failures", platform.failedRequests},
                        {"refused_revision", platform.rejectedRevision},
                        {"faults", platform.rejectionErrors}};
    return json.dump(2, ' ', false, ordered_json::error_handler_t::replace) + "\n";
}

auto explainJson(std::span<const Decision> decisions, Instant now) -> std::string
{
    auto json = ordered_json::array();
    for (const auto &decision : decisions) {
        json.push_back({{"ago_ms", milliseconds(now - decision.at)},
                        {"after_ms", milliseconds(decision.at - decisions.front().at)},
                        {"step", stepName(decision.step)},
                        {"detail", decision.detail}});
    }
    return json.dump(2, ' ', false, ordered_json::error_handler_t::replace) + "\n";
}

} // namespace banyanring
