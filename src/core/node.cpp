/** @file node.cpp The decision core: entry point, timers and shutdown. */
#include "banyanring/core/invariant_func.h"
#include "banyanring/core/node_base.h"

namespace banyanring {

namespace {

constexpr Duration SlotQueryInterval = std::chrono::seconds(1); ///< Interval of slot queries.
/** Interval of fetches of newer revisions. */
constexpr Duration FetchInterval = std::chrono::milliseconds(500);

} // namespace

Node::Node(const NodeSettings &nodeSettings, const Identity &identity, Instant now)
    : settings(nodeSettings), self(identity.node), incarnation(identity.incarnation),
      random(identity.seed), now(now), membership(settings, self, incarnation, now),
      tokenPool(settings, self), slotPool(settings, self, static_cast<std::uint32_t>(random())),
      serverHealth(settings), ticketStore(settings, self, incarnation, identity.secret),
      crashSuspects(settings), decisionLog(settings.decisionLogCapacity)
{
}

auto Node::handle(const Event &event, Instant currentTime) -> Actions
{
    ensure(currentTime >= this->now, "time never runs back");
    this->now = currentTime;
    this->actions.clear();
    // After a pause or a partition, newer configurations of the peers must be fetched first.
    this->configSynced = this->configSynced && this->membership.leaseRevision(this->now);
    std::visit([this](const auto &concreteEvent) { this->on(concreteEvent); }, event);
    return std::move(this->actions);
}

auto Node::logDecision(std::string_view requestId, Step step, std::string detail) -> void
{
    this->decisionLog.add({std::string(requestId), this->now, step, std::move(detail)});
}

auto Node::explain(std::string_view requestId) const -> std::vector<Decision>
{
    return this->decisionLog.find(requestId);
}

auto Node::ready() const -> bool
{
    const bool configStale =
        this->configStaleSince
        && this->now - *this->configStaleSince > this->settings.maxConfigStaleness;
    return this->configSynced && !configStale && this->membership.leaseRevision(this->now);
}

auto Node::entryAddressOf(NodeId node) const -> std::string
{
    for (const auto &vm : this->membership.vmList()->vms) {
        if (vm.id == node) {
            return vm.entryAddress;
        }
    }
    return {};
}

auto Node::runsOnEngine(ServiceId service) const -> bool
{
    const auto found = this->currentConfig->services.find(service);
    return found != this->currentConfig->services.end()
           && found->second.kind == BackendKind::Engine;
}

auto Node::waitingCount(ServiceId service, Tier tier) const -> std::size_t
{
    const auto state = this->serviceStates.find(service);
    return state == this->serviceStates.end() ? 0 : state->second.queue.count(tier);
}

auto Node::on(const Tick &) -> void
{
    this->tokenPool.tick(this->membership, this->now);
    if (this->currentConfig) {
        this->slotPool.tick(this->membership, this->now);
    }
    this->ticketStore.expire(this->now);
    this->crashSuspects.expire(this->now);
    this->expireCalls();
    this->cancelOverdueRuns();
    this->updateShedThresholds();
    this->processPendingFailures();
    for (const auto &[lender, message] : this->slotPool.returnIdleSlots(this->now)) {
        this->send(lender, message);
    }
    if (this->now >= this->nextGossipAt) {
        this->nextGossipAt = this->now + this->settings.gossipInterval;
        this->membership.refresh(this->now);
        if (const auto pull = this->membership.startPull(this->random, this->now)) {
            this->send(pull->first, pull->second);
        }
    }
    if (this->now >= this->nextSlotQueryAt && this->membership.vmList()) {
        this->nextSlotQueryAt = this->now + SlotQueryInterval;
        for (const auto &[node, query] :
             this->slotPool.makeQueries(this->membership.vmList()->revision, this->now)) {
            this->send(node, query);
        }
    }
    this->configSynced = this->configSynced
                         || (this->currentConfig && this->membership.leaseRevision(this->now)
                             && !this->membership.newerConfig(this->random, this->now));
    this->fetchNewerRevisions();
    for (auto &[service, state] : this->serviceStates) {
        if (state.queue.size() > 0) {
            this->dispatchWaiting(service);
        }
    }
    const bool idle = this->calls.empty() && this->runs.empty() && this->pendingFailures.empty();
    if (this->drainDelayOver() && !this->shutdownReported && idle
        && this->now >= this->ticketStore.lastExpiry()) {
        this->shutdownReported = true;
        this->emit(ShutdownComplete{});
    }
}

auto Node::drainDelayOver() const -> bool
{
    // Callers cache entry addresses, so a stopping node accepts requests until those have expired.
    return this->shutdownRequestedAt
           && this->now >= *this->shutdownRequestedAt + this->settings.drainDelay;
}

auto Node::fetchNewerRevisions() -> void
{
    if (this->now < this->nextFetchAt) {
        return;
    }
    this->nextFetchAt = this->now + FetchInterval;
    const auto newer = this->membership.newerConfig(this->random, this->now);
    if (!newer) {
        this->configStaleSince.reset();
    } else {
        this->configStaleSince = this->configStaleSince.value_or(this->now);
        this->emit(FetchConfig{newer->first, newer->second});
    }
    if (const auto list = this->membership.newerVmList(this->random, this->now)) {
        this->emit(FetchVmList{list->first, list->second});
    }
}

auto Node::on(const ShutdownRequested &) -> void
{
    if (!this->shutdownRequestedAt) {
        this->shutdownRequestedAt = this->now;
        this->membership.draining = true;
    }
}

auto Node::expireCalls() -> void
{
    while (!this->callTimers.empty() && this->callTimers.begin()->first <= this->now) {
        const auto id = this->callTimers.begin()->second;
        this->callTimers.erase(this->callTimers.begin());
        const auto call = this->calls.find(id);
        if (call == this->calls.end()) {
            continue;
        }
        if (const auto *borrowing = std::get_if<BorrowingTokens>(&call->second.state)) {
            if (borrowing->deadline > this->now) {
                this->callTimers.emplace(borrowing->deadline, id);
            } else {
                const auto retryAfter = this->tokenPool.refillTime(call->second.organisation,
                                                                   this->tokenCost(call->second));
                this->rejectCall(id, {Outcome::NotRun, Reason::OverRate, retryAfter});
            }
        } else if (std::holds_alternative<Queued>(call->second.state)) {
            if (call->second.deadline > this->now) {
                this->callTimers.emplace(call->second.deadline, id);
            } else {
                this->rejectCall(id, {Outcome::NotRun, Reason::Expired, {}});
            }
        }
    }
}

auto Node::cancelOverdueRuns() -> void
{
    std::vector<DispatchId> overdue;
    for (const auto &[id, run] : this->runs) {
        if (!run.cancelled && this->now >= run.cancelAt) {
            overdue.push_back(id);
        }
    }
    for (const auto id : overdue) {
        this->runs.at(id).cancelled = true;
        this->emit(CancelDispatch{id});
    }
}

} // namespace banyanring
