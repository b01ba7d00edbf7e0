/** @file node_ticket.cpp The decision core: tickets and requests that have one. */
#include "banyanring/core/node_base.h"

namespace banyanring {

namespace {

/** Retry delay sent with transient rejections. */
constexpr Duration ShortRetryDelay = std::chrono::seconds(1);

} // namespace

auto Node::admitTicket(Call &call, const Route &route) -> bool
{
    const auto reject = [&](Outcome outcome, Reason reason) {
        this->sendRejection(call.id, call.request.requestId, {outcome, reason, {}});
        return false;
    };
    if (call.request.ticket.empty()) {
        return route.idempotent || reject(Outcome::NotRun, Reason::TicketNeeded);
    }
    const auto ticket = parseTicket(call.request.ticket);
    if (!ticket) {
        return reject(Outcome::NotRun, Reason::BadTicket);
    }
    if (ticket->node != this->self && !call.request.forwarded) {
        this->forwardToTicketOwner(call);
        return false;
    }
    if (ticket->node != this->self || ticket->incarnation != this->incarnation) {
        return reject(Outcome::Unknown, Reason::TicketOwnerGone);
    }
    const auto sequence = this->ticketStore.verify(call.request.ticket, call.organisation,
                                                   call.request.path, this->now);
    if (!sequence) {
        return reject(Outcome::NotRun, Reason::BadTicket);
    }
    call.ticket = sequence;
    auto *entry = this->ticketStore.find(*sequence);
    if (entry == nullptr || std::holds_alternative<std::monostate>(entry->state)) {
        return true;
    }
    if (entry->bodyDigest != call.request.bodyDigest
        && !std::holds_alternative<TicketStore::TicketCancelled>(entry->state)) {
        return reject(Outcome::NotRun, Reason::BadTicket);
    }
    if (const auto *answered = std::get_if<TicketStore::TicketAnswered>(&entry->state)) {
        this->logDecision(call.request.requestId, Step::Attached,
                          "answer of " + answered->requestId);
        this->emit(ReplayResponse{call.id, answered->status, answered->body, answered->requestId,
                                  answered->contentType});
        return false;
    }
    if (std::holds_alternative<TicketStore::TicketUnknown>(entry->state)) {
        return reject(Outcome::Unknown, Reason::BackendFailed);
    }
    if (std::holds_alternative<TicketStore::TicketCancelled>(entry->state)) {
        return reject(Outcome::NotRun, Reason::BadTicket);
    }
    if (auto *running = std::get_if<TicketStore::TicketRunning>(&entry->state)) {
        running->waiters.push_back(call.id);
        call.state = AwaitingOutcome{};
        this->logDecision(call.request.requestId, Step::Attached, "running");
        const auto id = call.id;
        this->calls.insert_or_assign(id, std::move(call));
        return false;
    }
    // An earlier call with this ticket still waits; the newest one replaces it.
    const auto earlier = std::get<TicketStore::TicketWaiting>(entry->state).call;
    this->rejectCall(earlier, {Outcome::Unknown, Reason::Superseded, {}});
    return true;
}

auto Node::forwardToTicketOwner(const Call &call) -> void
{
    const auto ticket = parseTicket(call.request.ticket);
    const auto address =
        this->membership.vmList() ? this->entryAddressOf(ticket->node) : std::string{};
    if (address.empty()) {
        this->sendRejection(call.id, call.request.requestId,
                            {Outcome::Unknown, Reason::TicketOwnerGone, {}});
        return;
    }
    ++this->counterValues.forwarded;
    this->logDecision(call.request.requestId, Step::Forwarded,
                      "node " + std::to_string(ticket->node));
    this->emit(Forward{call.id, ticket->node, address});
}

auto Node::on(const TicketRequested &event) -> void
{
    const auto reject = [&](Reason reason, Duration retryAfter) {
        this->sendRejection(event.call, {}, {Outcome::NotRun, reason, retryAfter});
    };
    if (!this->ready()) {
        return reject(Reason::NotReady, ShortRetryDelay);
    }
    if (this->drainDelayOver()) {
        return reject(Reason::Stopping, ShortRetryDelay);
    }
    const auto route = this->currentConfig->routes.find(event.path);
    if (route == this->currentConfig->routes.end()) {
        return reject(Reason::NoSuchRoute, {});
    }
    if (!this->isAuthorised(route->second, event.keyDigest)) {
        return reject(Reason::BadKey, {});
    }
    const auto organisation = this->organisationForKey(event.keyDigest).value_or(0);
    const auto ticket = this->ticketStore.issue(organisation, event.path, this->now);
    if (!ticket) {
        return reject(Reason::Overload, ShortRetryDelay);
    }
    this->emit(IssueTicket{event.call, *ticket, this->settings.ticketTtl});
}

auto Node::on(const TicketCancelRequested &event) -> void
{
    const auto ticket = parseTicket(event.ticket);
    if (ticket && ticket->node != this->self) {
        const auto address =
            this->membership.vmList() ? this->entryAddressOf(ticket->node) : std::string{};
        if (!address.empty()) {
            this->emit(Forward{event.call, ticket->node, address});
            return;
        }
    }
    const auto organisation = this->organisationForKey(event.keyDigest).value_or(0);
    const auto sequence = this->ticketStore.verify(event.ticket, organisation, {}, this->now);
    if (!sequence) {
        const bool otherIncarnation = ticket && ticket->incarnation != this->incarnation;
        this->sendRejection(event.call, {},
                            otherIncarnation
                                ? Rejection{Outcome::Unknown, Reason::TicketOwnerGone, {}}
                                : Rejection{Outcome::NotRun, Reason::BadTicket, {}});
        return;
    }
    auto &entry = this->ticketStore.getOrCreate(*sequence, this->now);
    if (entry.dispatched) {
        const bool answered = std::holds_alternative<TicketStore::TicketAnswered>(entry.state);
        this->emit(
            ConfirmTicketCancel{event.call, answered ? Outcome::Answered : Outcome::Unknown});
        return;
    }
    if (const auto *waiting = std::get_if<TicketStore::TicketWaiting>(&entry.state)) {
        this->rejectCall(waiting->call, {Outcome::NotRun, Reason::None, {}});
    }
    entry.state = TicketStore::TicketCancelled{};
    this->emit(ConfirmTicketCancel{event.call, Outcome::NotRun});
}

} // namespace banyanring
