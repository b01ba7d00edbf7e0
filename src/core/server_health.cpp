/** @file server_health.cpp State of each backend server. */
#include "banyanring/core/server_health_base.h"

#include <algorithm>
#include <charconv>

namespace banyanring {

namespace {

/** Time in which a warm server's slot limit doubles. */
constexpr Duration RampStep = std::chrono::seconds(1);
constexpr std::int64_t MaxRampSteps = 16; ///< Slot numbers have 16 bits.
/** An unreachable server gets no dispatch for this long. */
constexpr Duration UnreachableRetryDelay = std::chrono::seconds(2);
/** Time in which a dispatch reaches its server. */
constexpr Duration DispatchMargin = std::chrono::milliseconds(100);
constexpr double ThroughputSmoothing = 0.2; ///< Weight of the newest sample in the moving average.

/** @return The slots of the running request ids in a report: the numbers after the last ".s". */
auto runningSlotsOf(const LoadReport &report) -> std::vector<std::uint16_t>
{
    std::vector<std::uint16_t> slots;
    for (const auto &id : report.runningIds.value_or(std::vector<std::string>{})) {
        const auto suffix = id.rfind(".s");
        std::uint16_t slot = 0;
        if (suffix != std::string::npos
            && std::from_chars(id.data() + suffix + 2, id.data() + id.size(), slot).ec
                   == std::errc{}) {
            slots.push_back(slot);
        }
    }
    return slots;
}

} // namespace

auto ServerHealth::applyReport(const LoadReport &report, Instant now) -> bool
{
    auto &state = this->states[report.server];
    if (report.startedAt == 0) {
        const bool changed = state.reachable;
        state.reachable = false;
        state.suspected = true;
        state.suspectedAt = now;
        return changed;
    }
    const bool sampledBeforeSuspicion = state.suspected && now - report.age <= state.suspectedAt;
    if (report.startedAt < state.startedAt || sampledBeforeSuspicion) {
        return false;
    }
    const bool restarted = report.startedAt > state.startedAt;
    const bool changed =
        !state.reported || restarted || report.cold != state.cold || !state.reachable;
    if (!report.cold && (restarted || state.cold || !state.reported)) {
        state.warmSince = now;
    }
    state.startedAt = report.startedAt;
    state.reported = true;
    state.cold = report.cold;
    state.reachable = true;
    state.suspected = false;
    state.running = report.running;
    state.runningSlots = runningSlotsOf(report);
    const auto includedUntil = now - report.fetchDuration - DispatchMargin;
    std::erase_if(state.unreportedDispatches, [&](Instant at) { return at < includedUntil; });
    state.reportValidUntil =
        std::max(state.reportValidUntil, now - report.fetchDuration + this->settings.loadReportTtl);
    return changed;
}

auto ServerHealth::markSuspected(ServerId server, Instant now) -> void
{
    auto &state = this->states[server];
    state.suspected = true;
    state.suspectedAt = now;
}

auto ServerHealth::recordDispatch(ServerId server, Instant now) -> void
{
    this->states[server].unreportedDispatches.push_back(now);
}

auto ServerHealth::recordThroughput(ServerId server, std::uint32_t tokens, Duration elapsed) -> void
{
    if (tokens == 0 || elapsed.count() <= 0) {
        return;
    }
    auto &state = this->states[server];
    const auto tokensPerSecond = tokens / std::chrono::duration<double>(elapsed).count();
    state.tokensPerSecond = state.tokensPerSecond == 0
                                ? tokensPerSecond
                                : state.tokensPerSecond * (1 - ThroughputSmoothing)
                                      + tokensPerSecond * ThroughputSmoothing;
}

auto ServerHealth::slotLimit(const BackendServer &server, Instant now) const -> std::uint16_t
{
    const auto &state = this->state(server.id);
    if (!state.reachable && now - state.suspectedAt < UnreachableRetryDelay) {
        return 0;
    }
    const bool fresh = now < state.reportValidUntil;
    if (!state.reported || state.cold || state.suspected || !fresh) {
        // Requests dispatched before the restart was detected may use more than the cold slots.
        const bool full =
            state.running + state.unreportedDispatches.size() >= server.coldSlots && fresh;
        // Each request on a slot above the cold ones, dispatched before the restart was detected,
        // takes up one cold slot. All nodes compute the same limit.
        const auto aboveCold =
            std::count_if(state.runningSlots.begin(), state.runningSlots.end(),
                          [&](std::uint16_t slot) { return slot >= server.coldSlots; });
        const auto remaining = std::max<std::int64_t>(0, server.coldSlots - aboveCold);
        return full ? 0
                    : static_cast<std::uint16_t>(std::min<std::int64_t>(remaining, server.slots));
    }
    const auto steps =
        std::clamp<std::int64_t>((now - state.warmSince) / RampStep, 0, MaxRampSteps);
    const auto rampLimit = std::uint64_t{std::max<std::uint16_t>(server.coldSlots, 1)}
                           << static_cast<std::uint64_t>(steps + 1);
    return static_cast<std::uint16_t>(std::min<std::uint64_t>(server.slots, rampLimit));
}

auto ServerHealth::warmUntil(ServerId server) const -> Instant
{
    return this->state(server).reportValidUntil;
}

auto ServerHealth::state(ServerId server) const -> const State &
{
    static const State Unknown;
    const auto found = this->states.find(server);
    return found == this->states.end() ? Unknown : found->second;
}

auto ServerHealth::applyConfig(const Config &config) -> void
{
    std::erase_if(this->states,
                  [&](const auto &entry) { return !config.servers.contains(entry.first); });
}

} // namespace banyanring
