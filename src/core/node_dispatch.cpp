/** @file node_dispatch.cpp The decision core: dispatches to backend servers. */
#include "banyanring/core/invariant_func.h"
#include "banyanring/core/node_base.h"

#include <algorithm>
#include <cmath>

namespace banyanring {

namespace {

constexpr double DefaultTokensPerSecond = 50; ///< Assumed for a server without measured throughput.
constexpr double LoadWeight = 0.5; ///< Relative slowdown of a fully loaded server.
/** Relative advantage of the server that has the prompt's prefix cached. */
constexpr double AffinityWeight = 0.3;
constexpr double LoanScoringTokens = 64; ///< Token estimate for scoring slots to lend.
constexpr std::uint16_t MaxLoanSlots = 16; ///< Maximum slots in one loan request.
constexpr std::size_t LenderReserve = 1; ///< Free slots that a lender does not lend.
/** Maximum time from decision to first byte. */
constexpr Duration DispatchWriteTimeout = std::chrono::seconds(1);
/** Interval of loan requests for a service. */
constexpr Duration LoanRequestInterval = std::chrono::milliseconds(20);
/** Backoff after a peer had no free slots. */
constexpr Duration LoanRetryDelay = std::chrono::milliseconds(500);

} // namespace

auto Node::scoreSlot(SlotRef ref, double tokens, std::uint64_t affinity) const
    -> std::optional<double>
{
    const auto found = this->currentConfig->servers.find(ref.server);
    if (found == this->currentConfig->servers.end()) {
        return std::nullopt;
    }
    const auto &server = found->second;
    const auto &outOfService = this->currentConfig->outOfServiceDomains;
    if (server.draining
        || std::find(outOfService.begin(), outOfService.end(), server.domain) != outOfService.end()
        || ref.index >= this->serverHealth.slotLimit(server, this->now)) {
        return std::nullopt;
    }
    const auto &state = this->serverHealth.state(ref.server);
    const auto tokensPerSecond =
        state.tokensPerSecond > 0 ? state.tokensPerSecond : DefaultTokensPerSecond;
    const auto load = std::min(1.0, state.running / std::max(1.0, double(server.slots)));
    const auto distance = double(mix64(affinity ^ ref.server) >> 32U) / 4294967296.0;
    return tokens / tokensPerSecond * (1 + LoadWeight * load) * (1 + AffinityWeight * distance);
}

auto Node::dispatchWaiting(ServiceId service) -> void
{
    if (!this->ready()) {
        return;
    }
    auto &state = this->serviceStates[service];
    while (state.queue.size() > 0 && this->dispatchNext(service, state)) {
    }
    if (state.queue.size() > 0) {
        this->requestSlotLoan(service, state);
    }
}

auto Node::estimateRunTime(ServerId server, double tokens) const -> Duration
{
    // Without a measured throughput there is no estimate, and the request is dispatched.
    const auto tokensPerSecond = this->serverHealth.state(server).tokensPerSecond;
    const auto seconds = tokensPerSecond > 0 ? tokens / tokensPerSecond : 0.0;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

auto Node::dispatchNext(ServiceId service, ServiceState &state) -> bool
{
    const auto total = static_cast<double>(this->slotPool.slotCount(service));
    const auto maxLong = std::max(1.0, std::floor(total * this->settings.longRequestShare));
    const auto entry = state.queue.pop(static_cast<double>(state.runningLong) < maxLong);
    if (!entry) {
        return false;
    }
    auto &call = this->calls.at(entry->call);
    const auto affinity = mix64(call.organisation * 31ULL + hashName(call.request.path));
    const auto score = [&](SlotRef ref) { return this->scoreSlot(ref, entry->tokens, affinity); };
    const auto choice = this->slotPool.chooseSlot(service, score, this->membership, this->now);
    if (!choice) {
        state.queue.requeue(*entry);
        return false;
    }
    // The estimate includes all tokens that the response may have. If it exceeded the deadline from
    // the start, it is not a reason for rejection.
    const auto runTime = this->estimateRunTime(choice->slot.server, entry->tokens);
    const bool feasibleAtArrival = call.arrivedAt + runTime <= call.deadline;
    if (feasibleAtArrival && this->now + runTime > call.deadline) {
        this->rejectCall(call.id, {Outcome::NotRun, Reason::Expired, {}});
        return true;
    }
    const auto spendUntil =
        this->tokenPool.spendableUntil(call.reservation, this->membership, this->now);
    if (call.organisation != 0 && !spendUntil) {
        this->tokenPool.release(call.organisation, call.reservation);
        this->reserveTokens(call.id);
        return true;
    }
    const auto &server = this->currentConfig->servers.at(choice->slot.server);
    const auto warmUntil =
        choice->slot.index < server.coldSlots ? Never : this->serverHealth.warmUntil(server.id);
    const auto until = std::min({choice->validUntil, spendUntil.value_or(Never), warmUntil});
    this->startRun(call, *choice, std::min(until, this->now + DispatchWriteTimeout));
    return true;
}

auto Node::checkDispatchInvariants(const Call &call, const BackendServer &server,
                                   Instant validUntil) const -> void
{
    const auto &outOfService = this->currentConfig->outOfServiceDomains;
    ensure(this->now < validUntil, "a dispatch only under rights that hold");
    ensure(!server.draining, "no new work for a leaving server");
    ensure(std::find(outOfService.begin(), outOfService.end(), server.domain) == outOfService.end(),
           "no new work in a domain out of service");
    const auto key = this->organisationForKey(call.request.keyDigest);
    ensure(key.value_or(0) == call.organisation, "a request runs only for its key's organisation");
    ensure(call.organisation == 0 || call.reservation.total() >= this->tokenCost(call) - 1e-6,
           "tokens within rate and burst");
    ensure(this->crashSuspects.crashCount(call.fingerprint) < 2,
           "a crash suspect reaches no third server");
}

auto Node::startRun(Call &call, const SlotChoice &choice, Instant validUntil) -> void
{
    const auto &server = this->currentConfig->servers.at(choice.slot.server);
    const auto &service = this->currentConfig->services.at(call.service);
    this->checkDispatchInvariants(call, server, validUntil);
    ensure(choice.slot.index < this->serverHealth.slotLimit(server, this->now), "cold slots");
    const auto id = this->nextDispatchId++;
    if (call.ticket) {
        auto &entry = *this->ticketStore.find(*call.ticket);
        ensure(!entry.dispatched, "a ticket is dispatched at most once");
        entry.dispatched = true;
        entry.state = TicketStore::TicketRunning{id, {}};
    }
    this->slotPool.beginDispatch(choice, id);
    this->serverHealth.recordDispatch(server.id, this->now);
    Run run;
    run.call = call.id;
    run.requestId = call.request.requestId;
    run.choice = choice;
    run.service = call.service;
    run.organisation = call.organisation;
    run.fingerprint = call.fingerprint;
    run.isLong = call.isLong;
    run.isolated = call.isolated;
    run.ticket = call.ticket;
    run.reservation = std::move(call.reservation);
    run.startedAt = this->now;
    run.cancelAt = this->now + service.maxRunTime;
    call.reservation = {};
    call.state = Executing{id};
    auto &state = this->serviceStates[call.service];
    ++state.running;
    state.runningLong += run.isLong ? 1 : 0;
    ++this->counterValues.dispatched;
    ++this->counterValues.dispatchedByTier.at(call.tier);
    this->logDecision(run.requestId, Step::Dispatched,
                      server.name + " slot " + std::to_string(choice.slot.index)
                          + (choice.loanId == 0 ? "" : " (borrowed)"));
    const auto organisation = this->currentConfig->organisations.find(call.organisation);
    Dispatch dispatch;
    dispatch.call = call.id;
    dispatch.dispatch = id;
    dispatch.server = server.id;
    dispatch.slot = choice.slot.index;
    dispatch.address = server.address;
    dispatch.requestId = run.requestId + ".s" + std::to_string(choice.slot.index);
    dispatch.organisation =
        organisation == this->currentConfig->organisations.end() ? "" : organisation->second.name;
    dispatch.kind = service.kind;
    dispatch.validUntil = validUntil;
    dispatch.maxRunTime = service.maxRunTime;
    dispatch.keepBody = call.ticket.has_value();
    this->runs.emplace(id, std::move(run));
    this->emit(std::move(dispatch));
}

auto Node::requestSlotLoan(ServiceId service, ServiceState &state) -> void
{
    if (this->now < state.nextLoanRequestAt || !this->membership.leaseRevision(this->now)) {
        return;
    }
    std::vector<NodeId> candidates;
    for (const auto node : this->slotPool.otherOwners(service)) {
        const auto backoff = state.loanBackoffUntil.find(node);
        const bool mayRequest =
            backoff == state.loanBackoffUntil.end() || backoff->second <= this->now;
        if (mayRequest && this->membership.isReachable(node, this->now)) {
            candidates.push_back(node);
        }
    }
    if (candidates.empty()) {
        return;
    }
    state.nextLoanRequestAt = this->now + LoanRequestInterval;
    const auto peer = candidates[this->random() % candidates.size()];
    // The peer is in backoff until it lends, so that the next request goes to another peer at once.
    state.loanBackoffUntil[peer] = this->now + LoanRetryDelay;
    const auto count = std::min<std::size_t>(MaxLoanSlots, state.queue.size());
    ++this->counterValues.slotLoanRequests;
    this->send(peer, this->slotPool.makeLoanRequest(service, static_cast<std::uint16_t>(count),
                                                    state.queue.mostUrgentTier(), this->now));
}

auto Node::on(NodeId from, const SlotLoanRequest &message) -> void
{
    if (!this->currentConfig) {
        return;
    }
    const auto score = [&](SlotRef ref) { return this->scoreSlot(ref, LoanScoringTokens, 0); };
    this->send(from, this->slotPool.lend(from, message, LenderReserve, score, this->membership,
                                         this->now));
}

auto Node::on(NodeId from, const SlotLoanReply &message) -> void
{
    if (!this->currentConfig) {
        return;
    }
    auto &state = this->serviceStates[message.service];
    if (!message.slots.empty()) {
        state.loanBackoffUntil.erase(from);
    }
    if (const auto unused = this->slotPool.acceptLoan(from, message, this->now)) {
        this->send(from, *unused);
    }
    state.nextLoanRequestAt = this->now;
    this->dispatchWaiting(message.service);
}

auto Node::endRun(DispatchId id) -> Run
{
    auto run = std::move(this->runs.at(id));
    this->runs.erase(id);
    auto &state = this->serviceStates[run.service];
    --state.running;
    state.runningLong -= run.isLong ? 1 : 0;
    if (run.isolated) {
        this->isolatedFingerprints.erase(run.fingerprint);
    }
    if (const auto returned = this->slotPool.endDispatch(run.choice, this->now)) {
        this->send(returned->first, returned->second);
    }
    return run;
}

auto Node::callersOf(const Run &run) -> std::vector<CallId>
{
    std::vector<CallId> callers;
    if (run.call) {
        callers.push_back(*run.call);
    }
    auto *entry = run.ticket ? this->ticketStore.find(*run.ticket) : nullptr;
    if (entry != nullptr) {
        if (const auto *running = std::get_if<TicketStore::TicketRunning>(&entry->state)) {
            for (const auto waiter : running->waiters) {
                if (this->calls.contains(waiter)) {
                    callers.push_back(waiter);
                }
            }
        }
    }
    return callers;
}

auto Node::on(const BackendFirstByte &event) -> void
{
    const auto run = this->runs.find(event.dispatch);
    if (run != this->runs.end()) {
        this->tokenPool.spend(run->second.reservation);
    }
}

auto Node::on(const BackendCompleted &event) -> void
{
    if (!this->runs.contains(event.dispatch)) {
        return;
    }
    auto run = this->endRun(event.dispatch);
    this->tokenPool.spend(run.reservation);
    this->serverHealth.recordThroughput(run.choice.slot.server, event.usedTokens,
                                        this->now - run.startedAt);
    ++this->counterValues.answered;
    this->logDecision(run.requestId, Step::Answered, "status " + std::to_string(event.status));
    const auto callers = this->callersOf(run);
    if (run.ticket) {
        this->ticketStore.storeResponse(
            *run.ticket, {event.status, event.body, run.requestId, event.contentType}, this->now);
    }
    for (const auto caller : callers) {
        if (caller != run.call) {
            this->emit(
                ReplayResponse{caller, event.status, event.body, run.requestId, event.contentType});
        }
        this->removeCall(caller);
    }
    this->dispatchWaiting(run.service);
}

auto Node::requeue(Run &run) -> void
{
    if (run.ticket) {
        auto &entry = *this->ticketStore.find(*run.ticket);
        entry.dispatched = false; // No byte was written, so the request cannot have run.
        entry.state = run.call ? TicketStore::State(TicketStore::TicketWaiting{*run.call})
                               : TicketStore::State(std::monostate{});
    }
    if (!run.call) {
        this->tokenPool.release(run.organisation, run.reservation);
        return;
    }
    auto &call = this->calls.at(*run.call);
    this->logDecision(run.requestId, Step::Retried, "no byte was written");
    call.reservation = std::move(run.reservation);
    call.state = Queued{};
    if (call.isolated) {
        this->isolatedFingerprints.insert(call.fingerprint);
    }
    if (this->now >= call.deadline) {
        this->rejectCall(call.id, {Outcome::NotRun, Reason::Expired, {}});
        return;
    }
    if (this->mustRejectSuspect(call)) {
        this->rejectCall(call.id, {Outcome::NotRun, Reason::Suspect, {}});
        return;
    }
    this->enqueue(call);
}

auto Node::on(const BackendFailed &event) -> void
{
    const auto found = this->runs.find(event.dispatch);
    if (found == this->runs.end()) {
        return;
    }
    // Read before endRun(), as the waiting callers are stored in the ticket's running state.
    const auto callers = this->callersOf(found->second);
    auto run = this->endRun(event.dispatch);
    if (event.connectionLost) {
        this->serverHealth.markSuspected(run.choice.slot.server, this->now);
    }
    if (!event.mayHaveRun) {
        const auto service = run.service;
        for (const auto caller : callers) {
            if (caller != run.call) {
                this->rejectCall(caller, {Outcome::Unknown, Reason::BackendFailed, {}});
            }
        }
        this->requeue(run);
        this->dispatchWaiting(service);
        return;
    }
    this->tokenPool.spend(run.reservation);
    ++this->counterValues.failed;
    if (run.ticket) {
        this->ticketStore.find(*run.ticket)->state = TicketStore::TicketUnknown{};
    }
    if (event.connectionLost && !run.cancelled) {
        this->onServerCrash(run, callers);
        this->suspectCancelledRuns(run.choice.slot.server);
    } else {
        this->recentlyCancelledRuns.push_back({this->now, run.choice.slot.server, run.fingerprint});
        for (const auto caller : callers) {
            this->rejectCall(caller, {Outcome::Unknown, Reason::BackendFailed, {}});
        }
    }
    this->dispatchWaiting(run.service);
}

auto Node::on(const LoadReport &event) -> void
{
    const auto config = this->currentConfig;
    if (!config || !config->servers.contains(event.server)) {
        return;
    }
    const auto previous = this->serverHealth.state(event.server);
    const bool changed = this->serverHealth.applyReport(event, this->now);
    this->slotPool.applyReport(event, this->now);
    const bool restarted = event.startedAt == 0 || event.startedAt > previous.startedAt;
    if (changed && restarted && previous.reported) {
        this->suspectCancelledRuns(event.server);
    }
    if (changed || previous.running > event.running) {
        this->dispatchWaiting(config->servers.at(event.server).service);
    }
}

auto Node::serversToPoll() const -> std::vector<ServerId>
{
    const auto servers = this->slotPool.servers();
    return {servers.begin(), servers.end()};
}

} // namespace banyanring
