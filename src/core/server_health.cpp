/** @file server_health.cpp What is known of each backend server. */
#include "banyanring/core/server_health_base.h"

#include <algorithm>

namespace banyanring {

namespace {

constexpr Duration RampStep = std::chrono::seconds(1); ///< A warm server's bound doubles in it.
constexpr std::int64_t MaxRampSteps = 16; ///< Slots are numbers of 16 bits.
constexpr Duration UnreachableRetry = std::chrono::seconds(2); ///< Then a dispatch tries it again.
constexpr double SpeedGain = 0.2; ///< Weight of the newest speed.

} // namespace

auto ServerHealth::takeReport(ServerId server, std::uint64_t startedAt, bool cold,
                              std::uint32_t running, Instant sampledAt, Instant now) -> bool
{
    auto &state = this->states[server];
    if (startedAt == 0) {
        const bool changed = state.reachable;
        state.reachable = false;
        state.suspected = true;
        state.suspectedAt = now;
        return changed;
    }
    if (startedAt < state.startedAt || (state.suspected && sampledAt <= state.suspectedAt)) {
        return false;
    }
    const bool restarted = startedAt > state.startedAt;
    const bool changed = !state.known || restarted || cold != state.cold || !state.reachable;
    if (!cold && (restarted || state.cold || !state.known)) {
        state.warmSince = now;
    }
    state.startedAt = startedAt;
    state.known = true;
    state.cold = cold;
    state.reachable = true;
    state.suspected = false;
    state.running = running;
    if (changed) {
        state.changedAt = now;
    }
    return changed;
}

auto ServerHealth::takeNotice(const ColdNotice &notice, Instant now) -> void
{
    auto &state = this->states[notice.server];
    if (notice.startedAt < state.startedAt) {
        return;
    }
    const bool restarted = notice.startedAt > state.startedAt;
    if (!restarted && (state.suspected || (state.known && !state.cold))) {
        return; // Only an own, later report ends a suspicion; a start turns warm once.
    }
    if (!notice.cold && (state.cold || restarted)) {
        state.warmSince = now;
    }
    state.startedAt = notice.startedAt;
    state.known = true;
    state.cold = notice.cold;
    state.reachable = true;
    state.suspected = state.suspected && !restarted;
}

auto ServerHealth::suspect(ServerId server, Instant now) -> void
{
    auto &state = this->states[server];
    state.suspected = true;
    state.suspectedAt = now;
}

auto ServerHealth::learn(ServerId server, std::uint32_t tokens, Duration took) -> void
{
    if (tokens == 0 || took.count() <= 0) {
        return;
    }
    auto &state = this->states[server];
    const auto speed = tokens / std::chrono::duration<double>(took).count();
    state.tokensPerSecond = state.tokensPerSecond == 0
                                ? speed
                                : state.tokensPerSecond * (1 - SpeedGain) + speed * SpeedGain;
}

auto ServerHealth::slotLimit(const BackendServer &server, Instant now) const -> std::uint16_t
{
    const auto state = this->state(server.id);
    if (!state.reachable && now - state.suspectedAt < UnreachableRetry) {
        return 0;
    }
    if (!state.known || state.cold || state.suspected) {
        return std::min(server.coldSlots, server.slots);
    }
    const auto steps =
        std::clamp<std::int64_t>((now - state.warmSince) / RampStep, 0, MaxRampSteps);
    const auto ramp = std::uint64_t{std::max<std::uint16_t>(server.coldSlots, 1)}
                      << static_cast<std::uint64_t>(steps + 1);
    return static_cast<std::uint16_t>(std::min<std::uint64_t>(server.slots, ramp));
}

auto ServerHealth::state(ServerId server) const -> State
{
    const auto found = this->states.find(server);
    return found == this->states.end() ? State{} : found->second;
}

auto ServerHealth::takeConfig(const Config &config) -> void
{
    std::erase_if(this->states,
                  [&](const auto &entry) { return !config.servers.contains(entry.first); });
}

} // namespace banyanring
