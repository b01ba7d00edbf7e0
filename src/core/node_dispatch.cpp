/** @file node_dispatch.cpp The decision core: from the queue to a backend server and its answer. */
#include "banyanring/core/invariant_func.h"
#include "banyanring/core/node_base.h"

#include <algorithm>
#include <cmath>

namespace banyanring {

namespace {

constexpr double DefaultSpeed = 50; ///< Tokens a second of a server never measured.
constexpr double LoadWeight = 0.5; ///< Slowdown of a full server, as a share.
constexpr double AffinityWeight = 0.3; ///< Advantage of the server with the prompt's prefix.
constexpr double ShortTokens = 64; ///< Estimate for the rating of a lent slot.
constexpr std::uint16_t MaxLoanSlots = 16; ///< Slots asked for at once.
constexpr std::size_t KeepFree = 1; ///< Free slots that a lender keeps.
constexpr Duration WriteWindow = std::chrono::seconds(1); ///< From decision to first byte.
constexpr Duration AskInterval = std::chrono::milliseconds(20); ///< Between asks for a service.
constexpr Duration RefusalKeep = std::chrono::milliseconds(500); ///< A peer without free slots.

} // namespace

auto Node::score(SlotRef ref, double tokens, std::uint64_t affinity) const -> std::optional<double>
{
    const auto found = this->currentConfig->servers.find(ref.server);
    if (found == this->currentConfig->servers.end()) {
        return std::nullopt;
    }
    const auto &server = found->second;
    const auto &out = this->currentConfig->domainsOut;
    if (server.leaving || std::find(out.begin(), out.end(), server.domain) != out.end()
        || ref.index >= this->health.slotLimit(server, this->now)) {
        return std::nullopt;
    }
    const auto &state = this->health.state(ref.server);
    const auto speed = state.tokensPerSecond > 0 ? state.tokensPerSecond : DefaultSpeed;
    const auto load = std::min(1.0, state.running / std::max(1.0, double(server.slots)));
    const auto distance = double(mix64(affinity ^ ref.server) >> 32U) / 4294967296.0;
    return tokens / speed * (1 + LoadWeight * load) * (1 + AffinityWeight * distance);
}

auto Node::pump(ServiceId service) -> void
{
    if (!this->ready()) {
        return;
    }
    auto &state = this->services[service];
    while (state.queue.size() > 0 && this->dispatchOne(service, state)) {
    }
    if (state.queue.size() > 0) {
        this->askSlots(service, state);
    }
}

auto Node::estimate(ServerId server, double tokens) const -> Duration
{
    // Without a measured speed nothing can be said, and the request is given its chance.
    const auto speed = this->health.state(server).tokensPerSecond;
    const auto seconds = speed > 0 ? tokens / speed : 0.0;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

auto Node::dispatchOne(ServiceId service, ServiceState &state) -> bool
{
    const auto total = static_cast<double>(this->slots.totalCount(service));
    const auto longRoom = std::max(1.0, std::floor(total * this->settings.longShare));
    const auto entry = state.queue.pop(static_cast<double>(state.runningLong) < longRoom);
    if (!entry) {
        return false;
    }
    auto &call = this->calls.at(entry->call);
    const auto affinity = mix64(call.organisation * 31ULL + nameId(call.request.path));
    const auto rate = [&](SlotRef ref) { return this->score(ref, entry->tokens, affinity); };
    const auto choice = this->slots.choose(service, rate, this->members, this->now);
    if (!choice) {
        state.queue.putBack(*entry);
        return false;
    }
    // The estimate counts all tokens that the answer may have, so one that never fitted says
    // little.
    const auto takes = this->estimate(choice->slot.server, entry->tokens);
    const bool fitted = call.arrivedAt + takes <= call.expiresAt;
    if (fitted && this->now + takes > call.expiresAt) {
        this->refuse(call.id, {Outcome::NotRun, Reason::Expired, {}});
        return true;
    }
    const auto spendUntil = this->tokens.spendableUntil(call.tokens, this->members, this->now);
    if (call.organisation != 0 && !spendUntil) {
        this->tokens.release(call.organisation, call.tokens);
        this->gather(call.id);
        return true;
    }
    const auto &server = this->currentConfig->servers.at(choice->slot.server);
    const auto warmUntil =
        choice->slot.index < server.coldSlots ? Never : this->health.warmUntil(server.id);
    const auto until = std::min({choice->until, spendUntil.value_or(Never), warmUntil});
    this->startRun(call, *choice, std::min(until, this->now + WriteWindow));
    return true;
}

auto Node::checkDispatch(const Call &call, const BackendServer &server, Instant validUntil) const
    -> void
{
    const auto &out = this->currentConfig->domainsOut;
    ensure(this->now < validUntil, "a dispatch only under rights that hold");
    ensure(!server.leaving, "no new work for a leaving server");
    ensure(std::find(out.begin(), out.end(), server.domain) == out.end(),
           "no new work in a domain out of service");
    const auto key = this->organisationOf(call.request.keyDigest);
    ensure(key.value_or(0) == call.organisation, "a request runs only for its key's organisation");
    ensure(call.organisation == 0 || call.tokens.total() >= this->cost(call) - 1e-6,
           "tokens within rate and burst");
    ensure(this->suspects.deaths(call.fingerprint) < 2, "a crash suspect reaches no third server");
}

auto Node::startRun(Call &call, const SlotChoice &choice, Instant validUntil) -> void
{
    const auto &server = this->currentConfig->servers.at(choice.slot.server);
    const auto &service = this->currentConfig->services.at(call.service);
    this->checkDispatch(call, server, validUntil);
    ensure(choice.slot.index < this->health.slotLimit(server, this->now), "cold slots");
    const auto id = this->nextDispatch++;
    if (call.ticket) {
        auto &entry = *this->tickets.find(*call.ticket);
        ensure(!entry.dispatched, "a ticket is dispatched at most once");
        entry.dispatched = true;
        entry.state = TicketBook::TicketRunning{id, {}};
    }
    this->slots.start(choice, id);
    this->health.begin(server.id, this->now);
    Run run;
    run.call = call.id;
    run.requestId = call.request.requestId;
    run.choice = choice;
    run.service = call.service;
    run.organisation = call.organisation;
    run.fingerprint = call.fingerprint;
    run.isLong = call.isLong;
    run.probation = call.probation;
    run.ticket = call.ticket;
    run.tokens = std::move(call.tokens);
    run.startedAt = this->now;
    run.endBy = this->now + service.longestRun;
    call.tokens = {};
    call.state = InRun{id};
    auto &state = this->services[call.service];
    ++state.running;
    state.runningLong += run.isLong ? 1 : 0;
    ++this->counts.dispatched;
    ++this->counts.dispatchedByTier.at(call.tier);
    this->note(run.requestId, Step::Dispatched,
               server.name + " slot " + std::to_string(choice.slot.index)
                   + (choice.loan == 0 ? "" : " (borrowed)"));
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
    dispatch.longestRun = service.longestRun;
    dispatch.keepBody = call.ticket.has_value();
    this->runs.emplace(id, std::move(run));
    this->act(std::move(dispatch));
}

auto Node::askSlots(ServiceId service, ServiceState &state) -> void
{
    if (this->now < state.nextAsk || !this->members.anchor(this->now)) {
        return;
    }
    std::vector<NodeId> candidates;
    for (const auto node : this->slots.lenders(service)) {
        const auto refused = state.refusedUntil.find(node);
        const bool mayAsk = refused == state.refusedUntil.end() || refused->second <= this->now;
        if (mayAsk && this->members.inContact(node, this->now)) {
            candidates.push_back(node);
        }
    }
    if (candidates.empty()) {
        return;
    }
    state.nextAsk = this->now + AskInterval;
    const auto peer = candidates[this->random() % candidates.size()];
    // Until it lends, the peer counts as one that refused, so that no ask waits for another.
    state.refusedUntil[peer] = this->now + RefusalKeep;
    const auto count = std::min<std::size_t>(MaxLoanSlots, state.queue.size());
    ++this->counts.slotAsks;
    this->send(peer, this->slots.ask(service, static_cast<std::uint16_t>(count),
                                     state.queue.topTier(), this->now));
}

auto Node::on(NodeId from, const SlotLoanAsk &message) -> void
{
    if (!this->currentConfig) {
        return;
    }
    const auto rate = [&](SlotRef ref) { return this->score(ref, ShortTokens, 0); };
    this->send(from, this->slots.lend(from, message, KeepFree, rate, this->members, this->now));
}

auto Node::on(NodeId from, const SlotLoan &message) -> void
{
    if (!this->currentConfig) {
        return;
    }
    auto &state = this->services[message.service];
    if (!message.slots.empty()) {
        state.refusedUntil.erase(from);
    }
    if (const auto unused = this->slots.takeLoan(from, message, this->now)) {
        this->send(from, *unused);
    }
    state.nextAsk = this->now;
    this->pump(message.service);
}

auto Node::endRun(DispatchId id) -> Run
{
    auto run = std::move(this->runs.at(id));
    this->runs.erase(id);
    auto &state = this->services[run.service];
    --state.running;
    state.runningLong -= run.isLong ? 1 : 0;
    if (run.probation) {
        this->probationers.erase(run.fingerprint);
    }
    if (const auto returned = this->slots.end(run.choice, this->now)) {
        this->send(returned->first, returned->second);
    }
    return run;
}

auto Node::followersOf(const Run &run) -> std::vector<CallId>
{
    std::vector<CallId> callers;
    if (run.call) {
        callers.push_back(*run.call);
    }
    auto *entry = run.ticket ? this->tickets.find(*run.ticket) : nullptr;
    if (entry != nullptr) {
        if (const auto *running = std::get_if<TicketBook::TicketRunning>(&entry->state)) {
            for (const auto follower : running->followers) {
                if (this->calls.contains(follower)) {
                    callers.push_back(follower);
                }
            }
        }
    }
    return callers;
}

auto Node::on(const BackendStarted &event) -> void
{
    const auto run = this->runs.find(event.dispatch);
    if (run != this->runs.end()) {
        this->tokens.spend(run->second.tokens);
    }
}

auto Node::on(const BackendEnded &event) -> void
{
    if (!this->runs.contains(event.dispatch)) {
        return;
    }
    auto run = this->endRun(event.dispatch);
    this->tokens.spend(run.tokens);
    this->health.learn(run.choice.slot.server, event.tokens, this->now - run.startedAt);
    ++this->counts.answered;
    this->note(run.requestId, Step::Answered, "status " + std::to_string(event.status));
    const auto callers = this->followersOf(run);
    if (run.ticket) {
        this->tickets.answer(
            *run.ticket, {event.status, event.body, run.requestId, event.contentType}, this->now);
    }
    for (const auto caller : callers) {
        if (caller != run.call) {
            this->act(Replay{caller, event.status, event.body, run.requestId, event.contentType});
        }
        this->dropCall(caller);
    }
    this->pump(run.service);
}

auto Node::requeue(Run &run) -> void
{
    if (run.ticket) {
        auto &entry = *this->tickets.find(*run.ticket);
        entry.dispatched = false; // No byte was written: it was no dispatch.
        entry.state = run.call ? TicketBook::State(TicketBook::TicketWaiting{*run.call})
                               : TicketBook::State(std::monostate{});
    }
    if (!run.call) {
        this->tokens.release(run.organisation, run.tokens);
        return;
    }
    auto &call = this->calls.at(*run.call);
    this->note(run.requestId, Step::Retried, "no byte was written");
    call.tokens = std::move(run.tokens);
    call.state = Queued{};
    if (call.probation) {
        this->probationers.insert(call.fingerprint);
    }
    if (this->now >= call.expiresAt) {
        this->refuse(call.id, {Outcome::NotRun, Reason::Expired, {}});
        return;
    }
    if (this->mustNotWait(call)) {
        this->refuse(call.id, {Outcome::NotRun, Reason::Suspect, {}});
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
    // Read before endRun(): a ticket's followers are listed in its running state.
    const auto callers = this->followersOf(found->second);
    auto run = this->endRun(event.dispatch);
    if (event.serverDied) {
        this->health.suspect(run.choice.slot.server, this->now);
    }
    if (!event.written) {
        const auto service = run.service;
        for (const auto caller : callers) {
            if (caller != run.call) {
                this->refuse(caller, {Outcome::Unknown, Reason::BackendFailed, {}});
            }
        }
        this->requeue(run);
        this->pump(service);
        return;
    }
    this->tokens.spend(run.tokens);
    ++this->counts.failed;
    if (run.ticket) {
        this->tickets.find(*run.ticket)->state = TicketBook::TicketUnknown{};
    }
    if (event.serverDied && !run.cancelled) {
        this->crashed(run, callers);
        this->blameCancelled(run.choice.slot.server);
    } else {
        this->cancelledLately.push_back({this->now, run.choice.slot.server, run.fingerprint});
        for (const auto caller : callers) {
            this->refuse(caller, {Outcome::Unknown, Reason::BackendFailed, {}});
        }
    }
    this->pump(run.service);
}

auto Node::on(const BackendReport &event) -> void
{
    const auto config = this->currentConfig;
    if (!config || !config->servers.contains(event.server)) {
        return;
    }
    const auto before = this->health.state(event.server);
    const bool changed = this->health.takeReport(event, this->now);
    this->slots.takeReport(event, this->now);
    const bool restarted = event.startedAt == 0 || event.startedAt > before.startedAt;
    if (changed && restarted && before.known) {
        this->blameCancelled(event.server);
    }
    if (changed || before.running > event.running) {
        this->pump(config->servers.at(event.server).service);
    }
}

auto Node::pollTargets() const -> std::vector<ServerId>
{
    const auto servers = this->slots.servers();
    return {servers.begin(), servers.end()};
}

} // namespace banyanring
