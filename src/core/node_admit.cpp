/** @file node_admit.cpp The decision core: from a caller's request to the queue or a refusal. */
#include "banyanring/core/invariant_func.h"
#include "banyanring/core/node_base.h"

#include <algorithm>

namespace banyanring {

namespace {

constexpr std::size_t SuspectLimit = 2; ///< Deaths after which none runs.
constexpr Duration RetrySoon = std::chrono::seconds(1); ///< Told with passing refusals.
constexpr double MinCost = 1; ///< Tokens that any request costs.

/** Counts the pieces of a hash. */
auto combine(std::uint64_t left, std::uint64_t right) -> std::uint64_t
{
    return mix64(left * 0x9e3779b97f4a7c15ULL + right);
}

} // namespace

auto Node::organisationOf(const std::string &keyDigest) const -> std::optional<OrganisationId>
{
    if (keyDigest.empty() || !this->currentConfig) {
        return std::nullopt;
    }
    // The map is keyed by digests, which a caller cannot choose; comparing them leaks nothing.
    const auto key = this->currentConfig->keys.find(keyDigest);
    return key == this->currentConfig->keys.end() ? std::nullopt : std::optional(key->second);
}

auto Node::mayUse(const Route &route, const std::string &keyDigest) const -> bool
{
    return this->organisationOf(keyDigest) || (route.open && keyDigest.empty());
}

auto Node::cost(const Call &call) const -> double
{
    return std::max(MinCost, static_cast<double>(call.request.tokens));
}

auto Node::tell(CallId id, const std::string &requestId, Refusal refusal) -> void
{
    ++this->counts.refused.at(static_cast<std::size_t>(refusal.reason));
    this->note(requestId, Step::Refused,
               std::string(outcomeName(refusal.outcome)) + ": "
                   + std::string(reasonName(refusal.reason)));
    this->act(Refuse{id, refusal, requestId});
}

auto Node::dropCall(CallId id) -> void
{
    auto found = this->calls.find(id);
    if (found == this->calls.end()) {
        return;
    }
    auto &call = found->second;
    this->tokens.release(call.organisation, call.tokens);
    if (std::holds_alternative<Queued>(call.state)) {
        this->services[call.service].queue.remove(id);
    }
    if (const auto *gathering = std::get_if<Gathering>(&call.state)) {
        this->tokenAsks.erase(gathering->loan);
    }
    if (call.probation && !std::holds_alternative<InRun>(call.state)) {
        this->probationers.erase(call.fingerprint);
    }
    if (call.ticket) {
        auto *entry = this->tickets.find(*call.ticket);
        const auto *waiting =
            entry == nullptr ? nullptr : std::get_if<TicketBook::TicketWaiting>(&entry->state);
        if (waiting != nullptr && waiting->call == id) {
            entry->state = std::monostate{};
        }
    }
    this->calls.erase(found);
}

auto Node::refuse(CallId id, Refusal refusal) -> void
{
    const auto &call = this->calls.at(id);
    ensure(refusal.outcome != Outcome::NotRun || !std::holds_alternative<InRun>(call.state),
           "not run only without dispatch");
    this->tell(id, call.request.requestId, refusal);
    this->dropCall(id);
}

auto Node::on(const RequestArrived &event) -> void
{
    ++this->counts.arrived;
    const auto refuseNow = [&](Reason reason, Duration retryAfter) {
        this->tell(event.call, event.requestId, {Outcome::NotRun, reason, retryAfter});
    };
    if (!this->currentConfig) {
        return refuseNow(Reason::NotReady, RetrySoon);
    }
    const auto route = this->currentConfig->routes.find(event.path);
    if (route == this->currentConfig->routes.end()) {
        return refuseNow(Reason::NoSuchRoute, {});
    }
    if (!this->mayUse(route->second, event.keyDigest)) {
        return refuseNow(Reason::BadKey, {});
    }
    const auto organisation = this->organisationOf(event.keyDigest);
    const auto &service = this->currentConfig->services.at(route->second.service);
    Call call;
    call.id = event.call;
    call.request = event;
    call.service = service.id;
    call.tier = route->second.tier;
    call.isLong = event.tokens >= service.longTokens;
    call.organisation = organisation.value_or(0);
    call.fingerprint = combine(combine(call.organisation, nameId(event.path)), event.bodyDigest);
    const auto deadline =
        std::min(route->second.deadline, event.deadline.value_or(Duration::max()));
    call.arrivedAt = this->now;
    call.expiresAt = this->now + deadline;
    this->note(event.requestId, Step::Arrived,
               "tier " + std::to_string(call.tier) + ", tokens " + std::to_string(event.tokens));
    if (!this->admitTicket(call, route->second)) {
        return;
    }
    if (this->pastGrace() && !call.ticket) {
        return refuseNow(Reason::Stopping, RetrySoon);
    }
    if (!this->ready()) {
        return refuseNow(Reason::NotReady, RetrySoon);
    }
    if (this->slots.totalCount(service.id) == 0 && this->slots.lenders(service.id).empty()) {
        return refuseNow(Reason::NoServer, RetrySoon);
    }
    const auto &organisations = this->currentConfig->organisations;
    if (organisation && this->cost(call) > organisations.at(*organisation).burst) {
        return refuseNow(Reason::TooLarge, {});
    }
    if (!this->admitSuspect(call) || !this->makeRoom(call)) {
        return;
    }
    if (call.ticket) {
        auto &entry = this->tickets.use(*call.ticket, this->now);
        entry.bodyDigest = event.bodyDigest;
        entry.state = TicketBook::TicketWaiting{call.id};
    }
    const auto id = call.id;
    this->calls.insert_or_assign(id, std::move(call));
    this->gather(id);
}

auto Node::admitSuspect(Call &call) -> bool
{
    const auto deaths = this->suspects.deaths(call.fingerprint);
    if (deaths == 0) {
        return true;
    }
    const auto refuseNow = [&](Duration retryAfter) {
        this->tell(call.id, call.request.requestId, {Outcome::NotRun, Reason::Suspect, retryAfter});
        return false;
    };
    if (deaths >= SuspectLimit) {
        return refuseNow({});
    }
    // After the first death it runs one at a time, at one node of the fleet.
    auto candidates = this->members.liveNodes();
    std::erase_if(candidates, [&](NodeId node) {
        return node != this->self && !this->members.inContact(node, this->now);
    });
    if (candidates.empty()) {
        return refuseNow(RetrySoon);
    }
    const auto judge = rendezvousOrder(call.fingerprint, candidates).front();
    if (judge != this->self && !call.request.forwarded && !call.ticket) {
        ++this->counts.forwarded;
        this->note(call.request.requestId, Step::Forwarded,
                   "suspect, node " + std::to_string(judge));
        this->act(Forward{call.id, judge, this->addressOf(judge)});
        return false;
    }
    if (!this->probationers.insert(call.fingerprint).second) {
        return refuseNow(RetrySoon);
    }
    call.probation = true;
    return true;
}

auto Node::gather(CallId id) -> void
{
    auto &call = this->calls.at(id);
    if (call.organisation == 0) {
        return this->enqueue(call);
    }
    const auto wanted = this->cost(call);
    call.tokens = this->tokens.reserve(call.organisation, wanted, this->members, this->now);
    if (call.tokens.total() >= wanted - 1e-6) {
        this->note(call.request.requestId, Step::TokensHeld, "local");
        return this->enqueue(call);
    }
    Gathering gathering;
    gathering.limit = std::min(call.expiresAt, this->now + this->settings.gatherLimit);
    for (const auto node : this->tokens.holders(call.organisation)) {
        if (node != this->self && this->members.inContact(node, this->now)) {
            gathering.peers.push_back(node);
        }
    }
    std::shuffle(gathering.peers.begin(), gathering.peers.end(), this->random);
    this->callTimers.emplace(gathering.limit, id);
    call.state = std::move(gathering);
    this->askNext(call);
}

auto Node::askNext(Call &call) -> void
{
    auto &gathering = std::get<Gathering>(call.state);
    this->tokenAsks.erase(gathering.loan);
    const auto wanted = this->cost(call);
    const auto missing = wanted - call.tokens.total();
    if (gathering.peers.empty()) {
        const auto wait = this->tokens.waitFor(call.organisation, missing);
        this->refuse(call.id, {Outcome::NotRun, Reason::OverRate, wait});
        return;
    }
    const auto peer = gathering.peers.back();
    gathering.peers.pop_back();
    gathering.loan = this->random() | 1U;
    gathering.askedAt = this->now;
    this->tokenAsks[gathering.loan] = call.id;
    ++this->counts.tokenAsks;
    this->note(call.request.requestId, Step::TokensAsked, "node " + std::to_string(peer));
    this->send(peer, TokenLoanAsk{gathering.loan, call.organisation, missing});
}

auto Node::enqueue(Call &call) -> void
{
    const auto organisation = this->currentConfig->organisations.find(call.organisation);
    const auto weight = organisation == this->currentConfig->organisations.end()
                            ? 1.0
                            : organisation->second.weight;
    call.state = Queued{};
    this->callTimers.emplace(call.expiresAt, call.id);
    const auto service = call.service;
    this->services[service].queue.push(
        {call.id, call.organisation, weight, this->cost(call), call.tier, call.isLong, this->now});
    this->note(call.request.requestId, Step::Queued,
               std::to_string(this->services[service].queue.size()) + " waiting");
    this->pump(service);
}

auto Node::on(const CallerLeft &event) -> void
{
    const auto found = this->calls.find(event.call);
    if (found == this->calls.end()) {
        return;
    }
    this->note(found->second.request.requestId, Step::CallerGone, "");
    if (const auto *running = std::get_if<InRun>(&found->second.state)) {
        auto &run = this->runs.at(running->dispatch);
        run.call.reset();
        const bool engine = this->runsOnEngine(run.service);
        if (!run.ticket && engine && !run.cancelled) {
            run.cancelled = true;
            this->act(CancelDispatch{running->dispatch});
        }
    }
    this->dropCall(event.call);
}

} // namespace banyanring
