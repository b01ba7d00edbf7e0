/** @file node_admit.cpp The decision core: admission of requests to the queue. */
#include "banyanring/core/invariant_func.h"
#include "banyanring/core/node_base.h"

#include <algorithm>

namespace banyanring {

namespace {

constexpr std::size_t CrashLimit = 2; ///< Crashes after which a request is no longer run.
/** Retry delay sent with transient rejections. */
constexpr Duration ShortRetryDelay = std::chrono::seconds(1);
constexpr double MinCost = 1; ///< Minimum tokens charged for a request.

/** Combines two hashes. */
auto combineHashes(std::uint64_t left, std::uint64_t right) -> std::uint64_t
{
    return mix64(left * 0x9e3779b97f4a7c15ULL + right);
}

} // namespace

auto Node::organisationForKey(const std::string &keyDigest) const -> std::optional<OrganisationId>
{
    if (keyDigest.empty() || !this->currentConfig) {
        return std::nullopt;
    }
    // Lookup by digest is safe against timing attacks, as a caller cannot choose the digest.
    const auto key = this->currentConfig->organisationByKey.find(keyDigest);
    return key == this->currentConfig->organisationByKey.end() ? std::nullopt
                                                               : std::optional(key->second);
}

auto Node::isAuthorised(const Route &route, const std::string &keyDigest) const -> bool
{
    return this->organisationForKey(keyDigest) || (route.anonymous && keyDigest.empty());
}

auto Node::tokenCost(const Call &call) const -> double
{
    return std::max(MinCost, static_cast<double>(call.request.estimatedTokens));
}

auto Node::sendRejection(CallId id, const std::string &requestId, Rejection rejection) -> void
{
    ++this->counterValues.rejected.at(static_cast<std::size_t>(rejection.reason));
    this->logDecision(requestId, Step::Refused,
                      std::string(outcomeName(rejection.outcome)) + ": "
                          + std::string(reasonName(rejection.reason)));
    this->emit(Reject{id, rejection, requestId});
}

auto Node::removeCall(CallId id) -> void
{
    auto found = this->calls.find(id);
    if (found == this->calls.end()) {
        return;
    }
    auto &call = found->second;
    this->tokenPool.release(call.organisation, call.reservation);
    if (std::holds_alternative<Queued>(call.state)) {
        this->serviceStates[call.service].queue.remove(id);
    }
    if (const auto *borrowing = std::get_if<BorrowingTokens>(&call.state)) {
        this->callsByTokenLoan.erase(borrowing->loanId);
    }
    if (call.isolated && !std::holds_alternative<Executing>(call.state)) {
        this->isolatedFingerprints.erase(call.fingerprint);
    }
    if (call.ticket) {
        auto *entry = this->ticketStore.find(*call.ticket);
        const auto *waiting =
            entry == nullptr ? nullptr : std::get_if<TicketStore::TicketWaiting>(&entry->state);
        if (waiting != nullptr && waiting->call == id) {
            entry->state = std::monostate{};
        }
    }
    this->calls.erase(found);
}

auto Node::rejectCall(CallId id, Rejection rejection) -> void
{
    const auto &call = this->calls.at(id);
    ensure(rejection.outcome != Outcome::NotRun || !std::holds_alternative<Executing>(call.state),
           "not run only without dispatch");
    this->sendRejection(id, call.request.requestId, rejection);
    this->removeCall(id);
}

auto Node::on(const RequestArrived &event) -> void
{
    ++this->counterValues.arrived;
    const auto reject = [&](Reason reason, Duration retryAfter) {
        this->sendRejection(event.call, event.requestId, {Outcome::NotRun, reason, retryAfter});
    };
    if (!this->currentConfig) {
        return reject(Reason::NotReady, ShortRetryDelay);
    }
    const auto route = this->currentConfig->routes.find(event.path);
    if (route == this->currentConfig->routes.end()) {
        return reject(Reason::NoSuchRoute, {});
    }
    if (!this->isAuthorised(route->second, event.keyDigest)) {
        return reject(Reason::BadKey, {});
    }
    const auto organisation = this->organisationForKey(event.keyDigest);
    const auto &service = this->currentConfig->services.at(route->second.service);
    Call call;
    call.id = event.call;
    call.request = event;
    call.service = service.id;
    call.tier = route->second.tier;
    call.isLong = event.estimatedTokens >= service.longRequestTokens;
    call.organisation = organisation.value_or(0);
    call.fingerprint =
        combineHashes(combineHashes(call.organisation, hashName(event.path)), event.bodyDigest);
    const auto deadline =
        std::min(route->second.deadline, event.deadline.value_or(Duration::max()));
    call.arrivedAt = this->now;
    call.deadline = this->now + deadline;
    this->logDecision(event.requestId, Step::Arrived,
                      "tier " + std::to_string(call.tier) + ", tokens "
                          + std::to_string(event.estimatedTokens));
    if (!this->admitTicket(call, route->second)) {
        return;
    }
    if (this->drainDelayOver() && !call.ticket) {
        return reject(Reason::Stopping, ShortRetryDelay);
    }
    if (!this->ready()) {
        return reject(Reason::NotReady, ShortRetryDelay);
    }
    if (this->slotPool.slotCount(service.id) == 0
        && this->slotPool.otherOwners(service.id).empty()) {
        return reject(Reason::NoServer, ShortRetryDelay);
    }
    const auto &organisations = this->currentConfig->organisations;
    if (organisation && this->tokenCost(call) > organisations.at(*organisation).burst) {
        return reject(Reason::TooLarge, {});
    }
    if (!this->admitCrashSuspect(call) || !this->admitToQueue(call)) {
        return;
    }
    if (call.ticket) {
        auto &entry = this->ticketStore.getOrCreate(*call.ticket, this->now);
        entry.bodyDigest = event.bodyDigest;
        entry.state = TicketStore::TicketWaiting{call.id};
    }
    const auto id = call.id;
    this->calls.insert_or_assign(id, std::move(call));
    this->reserveTokens(id);
}

auto Node::admitCrashSuspect(Call &call) -> bool
{
    const auto crashCount = this->crashSuspects.crashCount(call.fingerprint);
    if (crashCount == 0) {
        return true;
    }
    const auto reject = [&](Duration retryAfter) {
        this->sendRejection(call.id, call.request.requestId,
                            {Outcome::NotRun, Reason::Suspect, retryAfter});
        return false;
    };
    if (crashCount >= CrashLimit) {
        return reject({});
    }
    // After the first crash, identical requests run one at a time, on one node of the fleet.
    auto candidates = this->membership.activeNodes();
    std::erase_if(candidates, [&](NodeId node) {
        return node != this->self && !this->membership.isReachable(node, this->now);
    });
    if (candidates.empty()) {
        return reject(ShortRetryDelay);
    }
    const auto owner = rendezvousOrder(call.fingerprint, candidates).front();
    if (owner != this->self && !call.request.forwarded && !call.ticket) {
        ++this->counterValues.forwarded;
        this->logDecision(call.request.requestId, Step::Forwarded,
                          "suspect, node " + std::to_string(owner));
        this->emit(Forward{call.id, owner, this->entryAddressOf(owner)});
        return false;
    }
    if (!this->isolatedFingerprints.insert(call.fingerprint).second) {
        return reject(ShortRetryDelay);
    }
    call.isolated = true;
    return true;
}

auto Node::reserveTokens(CallId id) -> void
{
    auto &call = this->calls.at(id);
    if (call.organisation == 0) {
        return this->enqueue(call);
    }
    const auto required = this->tokenCost(call);
    call.reservation =
        this->tokenPool.reserve(call.organisation, required, this->membership, this->now);
    if (call.reservation.total() >= required - 1e-6) {
        this->logDecision(call.request.requestId, Step::TokensHeld, "local");
        return this->enqueue(call);
    }
    BorrowingTokens borrowing;
    borrowing.deadline = std::min(call.deadline, this->now + this->settings.tokenLoanTimeout);
    for (const auto node : this->tokenPool.owners(call.organisation)) {
        if (node != this->self && this->membership.isReachable(node, this->now)) {
            borrowing.candidates.push_back(node);
        }
    }
    std::shuffle(borrowing.candidates.begin(), borrowing.candidates.end(), this->random);
    this->callTimers.emplace(borrowing.deadline, id);
    call.state = std::move(borrowing);
    this->requestNextTokenLoan(call);
}

auto Node::requestNextTokenLoan(Call &call) -> void
{
    auto &borrowing = std::get<BorrowingTokens>(call.state);
    this->callsByTokenLoan.erase(borrowing.loanId);
    const auto required = this->tokenCost(call);
    const auto missing = required - call.reservation.total();
    if (borrowing.candidates.empty()) {
        const auto retryAfter = this->tokenPool.refillTime(call.organisation, missing);
        this->rejectCall(call.id, {Outcome::NotRun, Reason::OverRate, retryAfter});
        return;
    }
    const auto peer = borrowing.candidates.back();
    borrowing.candidates.pop_back();
    borrowing.loanId = this->random() | 1U;
    borrowing.requestedAt = this->now;
    this->callsByTokenLoan[borrowing.loanId] = call.id;
    ++this->counterValues.tokenLoanRequests;
    this->logDecision(call.request.requestId, Step::TokensAsked, "node " + std::to_string(peer));
    this->send(peer, TokenLoanRequest{borrowing.loanId, call.organisation, missing});
}

auto Node::enqueue(Call &call) -> void
{
    const auto organisation = this->currentConfig->organisations.find(call.organisation);
    const auto weight = organisation == this->currentConfig->organisations.end()
                            ? 1.0
                            : organisation->second.weight;
    call.state = Queued{};
    this->callTimers.emplace(call.deadline, call.id);
    const auto service = call.service;
    this->serviceStates[service].queue.push({call.id, call.organisation, weight,
                                             this->tokenCost(call), call.tier, call.isLong,
                                             this->now});
    this->logDecision(call.request.requestId, Step::Queued,
                      std::to_string(this->serviceStates[service].queue.size()) + " waiting");
    this->dispatchWaiting(service);
}

auto Node::on(const CallerDisconnected &event) -> void
{
    const auto found = this->calls.find(event.call);
    if (found == this->calls.end()) {
        return;
    }
    this->logDecision(found->second.request.requestId, Step::CallerGone, "");
    if (const auto *running = std::get_if<Executing>(&found->second.state)) {
        auto &run = this->runs.at(running->dispatch);
        run.call.reset();
        const bool cancellable = this->runsOnEngine(run.service);
        if (!run.ticket && cancellable && !run.cancelled) {
            run.cancelled = true;
            this->emit(CancelDispatch{running->dispatch});
        }
    }
    this->removeCall(event.call);
}

} // namespace banyanring
