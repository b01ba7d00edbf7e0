/** @file node.cpp The decision core: entry point, timers and stop. */
#include "banyanring/core/invariant_func.h"
#include "banyanring/core/node_base.h"

namespace banyanring {

namespace {

constexpr Duration QueryInterval = std::chrono::seconds(1); ///< Between questions for slots.
constexpr Duration FetchInterval = std::chrono::milliseconds(500); ///< Between fetches of news.

} // namespace

Node::Node(const NodeSettings &nodeSettings, const Identity &identity, Instant now)
    : settings(nodeSettings), self(identity.node), incarnation(identity.incarnation),
      random(identity.seed), now(now), members(settings, self, incarnation, now),
      tokens(settings, self), slots(settings, self, static_cast<std::uint32_t>(random())),
      health(settings), tickets(settings, self, incarnation, identity.secret), suspects(settings),
      decisions(settings.decisionCount)
{
}

auto Node::handle(const Event &event, Instant present) -> Actions
{
    ensure(present >= this->now, "time never runs back");
    this->now = present;
    this->actions.clear();
    // After a pause or a partition, what the peers have learnt meanwhile comes first.
    this->caughtUp = this->caughtUp && this->members.anchor(this->now);
    std::visit([this](const auto &typed) { this->on(typed); }, event);
    return std::move(this->actions);
}

auto Node::note(std::string_view requestId, Step step, std::string detail) -> void
{
    this->decisions.add({std::string(requestId), this->now, step, std::move(detail)});
}

auto Node::explain(std::string_view requestId) const -> std::vector<Decision>
{
    return this->decisions.find(requestId);
}

auto Node::ready() const -> bool
{
    const bool fenced =
        this->behindSince && this->now - *this->behindSince > this->settings.configFence;
    return this->caughtUp && !fenced && this->members.anchor(this->now);
}

auto Node::addressOf(NodeId node) const -> std::string
{
    for (const auto &vm : this->members.list()->vms) {
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
    const auto state = this->services.find(service);
    return state == this->services.end() ? 0 : state->second.queue.count(tier);
}

auto Node::on(const Tick &) -> void
{
    this->tokens.tick(this->members, this->now);
    if (this->currentConfig) {
        this->slots.tick(this->members, this->now);
    }
    this->tickets.tick(this->now);
    this->suspects.tick(this->now);
    this->expireCalls();
    this->expireRuns();
    this->updateFloors();
    this->resendCrashes();
    for (const auto &[lender, message] : this->slots.idleReturns(this->now)) {
        this->send(lender, message);
    }
    if (this->now >= this->nextPull) {
        this->nextPull = this->now + this->settings.pullInterval;
        this->members.refresh(this->now);
        if (const auto pull = this->members.startPull(this->random, this->now)) {
            this->send(pull->first, pull->second);
        }
    }
    if (this->now >= this->nextQuery && this->members.list()) {
        this->nextQuery = this->now + QueryInterval;
        for (const auto &[node, query] :
             this->slots.queries(this->members.list()->revision, this->now)) {
            this->send(node, query);
        }
    }
    this->caughtUp = this->caughtUp
                     || (this->currentConfig && this->members.anchor(this->now)
                         && !this->members.newerConfig(this->random, this->now));
    this->fetchNewer();
    for (auto &[service, state] : this->services) {
        if (state.queue.size() > 0) {
            this->pump(service);
        }
    }
    const bool idle = this->calls.empty() && this->runs.empty() && this->heldFailures.empty();
    if (this->pastGrace() && !this->drained && idle && this->now >= this->tickets.lastExpiry()) {
        this->drained = true;
        this->act(Drained{});
    }
}

auto Node::pastGrace() const -> bool
{
    // Callers keep an address answer for a while: until then a stopping node goes on as before.
    return this->stopAt && this->now >= *this->stopAt + this->settings.drainGrace;
}

auto Node::fetchNewer() -> void
{
    if (this->now < this->nextFetch) {
        return;
    }
    this->nextFetch = this->now + FetchInterval;
    const auto newer = this->members.newerConfig(this->random, this->now);
    if (!newer) {
        this->behindSince.reset();
    } else {
        this->behindSince = this->behindSince.value_or(this->now);
        this->act(FetchConfig{newer->first, newer->second});
    }
    if (const auto list = this->members.newerList(this->random, this->now)) {
        this->act(FetchVmList{list->first, list->second});
    }
}

auto Node::on(const StopAsked &) -> void
{
    if (!this->stopAt) {
        this->stopAt = this->now;
        this->members.leaving = true;
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
        if (const auto *gathering = std::get_if<Gathering>(&call->second.state)) {
            if (gathering->limit > this->now) {
                this->callTimers.emplace(gathering->limit, id);
            } else {
                const auto wait =
                    this->tokens.waitFor(call->second.organisation, this->cost(call->second));
                this->refuse(id, {Outcome::NotRun, Reason::OverRate, wait});
            }
        } else if (std::holds_alternative<Queued>(call->second.state)) {
            if (call->second.expiresAt > this->now) {
                this->callTimers.emplace(call->second.expiresAt, id);
            } else {
                this->refuse(id, {Outcome::NotRun, Reason::Expired, {}});
            }
        }
    }
}

auto Node::expireRuns() -> void
{
    std::vector<DispatchId> late;
    for (const auto &[id, run] : this->runs) {
        if (!run.cancelled && this->now >= run.endBy) {
            late.push_back(id);
        }
    }
    for (const auto id : late) {
        this->runs.at(id).cancelled = true;
        this->act(CancelDispatch{id});
    }
}

} // namespace banyanring
