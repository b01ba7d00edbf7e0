/** @file node_shedding.cpp The decision core: queue capacity and fleet-wide load shedding. */
#include "banyanring/core/invariant_func.h"
#include "banyanring/core/node_base.h"

#include <algorithm>
#include <array>

namespace banyanring {

namespace {

/** Usable fraction of the queue capacity, by tier. */
constexpr std::array<double, TierCount> QueueFractionByTier{1.0, 0.85, 0.7, 0.5};
/** Absolute queue limit, in multiples of the capacity, while shedding is not acknowledged. */
constexpr std::size_t HardCapacityFactor = 4;
/** A request to the fleet to shed load lasts this long after it was last needed. */
constexpr Duration ShedRequestRetention = std::chrono::seconds(3);
/** Retry delay sent to callers that are shed. */
constexpr Duration ShedRetryDelay = std::chrono::seconds(2);
/** The tier that may be shed without acknowledgement by other nodes. */
constexpr Tier LeastUrgentTier = TierCount - 1;

/** @return The thresholds of @p service, or the default. */
auto thresholdsOf(const std::vector<ShedThresholds> &allThresholds, ServiceId service)
    -> ShedThresholds
{
    const auto found =
        std::find_if(allThresholds.begin(), allThresholds.end(),
                     [&](const auto &thresholds) { return thresholds.service == service; });
    return found == allThresholds.end() ? ShedThresholds{} : *found;
}

} // namespace

auto Node::thresholdAcknowledged(ServiceId service, Tier threshold) const -> bool
{
    const auto peers = this->membership.reachablePeers(this->now);
    return std::all_of(peers.begin(), peers.end(), [&](const auto *peer) {
        return thresholdsOf(peer->heartbeat.shedThresholds, service).enforced <= threshold;
    });
}

auto Node::mayShed(ServiceId service, const ServiceState &state, Tier tier) const -> bool
{
    if (state.queue.hasLessUrgent(tier)) {
        return false;
    }
    return tier == LeastUrgentTier
           || (state.enforcedThreshold <= tier + 1
               && this->thresholdAcknowledged(service, tier + 1));
}

auto Node::shed(CallId id) -> void
{
    const auto &call = this->calls.at(id);
    auto &state = this->serviceStates[call.service];
    ensure(this->mayShed(call.service, state, call.tier),
           "a higher tier is not shed before a lower");
    ++this->counterValues.shedByTier.at(call.tier);
    this->rejectCall(id, {Outcome::NotRun, Reason::Overload, ShedRetryDelay});
}

auto Node::admitToQueue(const Call &incoming) -> bool
{
    auto &state = this->serviceStates[incoming.service];
    const auto capacity = static_cast<double>(this->settings.queueCapacity);
    const bool full =
        static_cast<double>(state.queue.size()) >= capacity * QueueFractionByTier.at(incoming.tier);
    const bool overThreshold = incoming.tier >= state.enforcedThreshold;
    if (!full && !overThreshold) {
        return true;
    }
    const auto candidate = state.queue.shedCandidate();
    if (full && !overThreshold && candidate && candidate->tier > incoming.tier
        && this->mayShed(incoming.service, state, candidate->tier)) {
        this->shed(candidate->call);
        return true;
    }
    const auto leastUrgent = candidate ? std::max(candidate->tier, incoming.tier) : incoming.tier;
    if (incoming.tier == leastUrgent && this->mayShed(incoming.service, state, incoming.tier)) {
        ++this->counterValues.shedByTier.at(incoming.tier);
        this->sendRejection(incoming.id, incoming.request.requestId,
                            {Outcome::NotRun, Reason::Overload, ShedRetryDelay});
        return false;
    }
    // Less urgent tiers must be shed first: request this from the fleet, and queue the
    // incoming call in the reserve meanwhile.
    state.requestedThreshold = std::min<Tier>(state.requestedThreshold, leastUrgent + 1);
    state.requestedUntil = this->now + ShedRequestRetention;
    if (state.queue.size() < this->settings.queueCapacity * HardCapacityFactor) {
        return true;
    }
    ++this->counterValues.queueExhausted;
    this->sendRejection(incoming.id, incoming.request.requestId,
                        {Outcome::NotRun, Reason::Overload, ShedRetryDelay});
    return false;
}

auto Node::updateShedThresholds() -> void
{
    if (!this->currentConfig) {
        return;
    }
    std::unordered_map<ServiceId, Tier> requestedThresholds;
    for (const auto *peer : this->membership.reachablePeers(this->now)) {
        for (const auto &thresholds : peer->heartbeat.shedThresholds) {
            const auto requested =
                requestedThresholds.try_emplace(thresholds.service, TierCount).first;
            requested->second = std::min(requested->second, thresholds.requested);
        }
    }
    this->membership.shedThresholds.clear();
    for (const auto &[service, definition] : this->currentConfig->services) {
        auto &state = this->serviceStates[service];
        if (this->now >= state.requestedUntil) {
            state.requestedThreshold = TierCount;
        }
        const auto peerRequest = requestedThresholds.find(service);
        const auto requested =
            std::min(state.requestedThreshold,
                     peerRequest == requestedThresholds.end() ? TierCount : peerRequest->second);
        Tier threshold = TierCount;
        // The threshold is lowered one tier at a time, each step only once all reachable peers
        // enforce the previous one.
        while (threshold > requested && threshold > 0
               && (threshold == TierCount
                   || (state.enforcedThreshold <= threshold
                       && this->thresholdAcknowledged(service, threshold)))) {
            --threshold;
        }
        state.enforcedThreshold = threshold;
        for (auto candidate = state.queue.shedCandidate();
             candidate && candidate->tier >= threshold
             && this->mayShed(service, state, candidate->tier);
             candidate = state.queue.shedCandidate()) {
            this->shed(candidate->call);
        }
        if (state.requestedThreshold < TierCount || state.enforcedThreshold < TierCount) {
            this->membership.shedThresholds.push_back(
                {service, state.requestedThreshold, state.enforcedThreshold});
        }
    }
}

} // namespace banyanring
