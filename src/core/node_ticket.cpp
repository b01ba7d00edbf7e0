/** @file node_ticket.cpp The decision core: tickets and what becomes of requests that bear one. */
#include "banyanring/core/node_base.h"

namespace banyanring {

namespace {

constexpr Duration RetrySoon = std::chrono::seconds(1); ///< Told with passing refusals.

} // namespace

auto Node::admitTicket(Call &call, const Route &route) -> bool
{
    const auto refuseNow = [&](Outcome outcome, Reason reason) {
        this->tell(call.id, call.request.requestId, {outcome, reason, {}});
        return false;
    };
    if (call.request.ticket.empty()) {
        return route.idempotent || refuseNow(Outcome::NotRun, Reason::TicketNeeded);
    }
    const auto ticket = parseTicket(call.request.ticket);
    if (!ticket) {
        return refuseNow(Outcome::NotRun, Reason::BadTicket);
    }
    if (ticket->node != this->self && !call.request.forwarded) {
        this->forwardTicket(call);
        return false;
    }
    if (ticket->node != this->self || ticket->incarnation != this->incarnation) {
        return refuseNow(Outcome::Unknown, Reason::TicketOwnerGone);
    }
    const auto sequence =
        this->tickets.verify(call.request.ticket, call.organisation, call.request.path, this->now);
    if (!sequence) {
        return refuseNow(Outcome::NotRun, Reason::BadTicket);
    }
    call.ticket = sequence;
    auto *entry = this->tickets.find(*sequence);
    if (entry == nullptr || std::holds_alternative<std::monostate>(entry->state)) {
        return true;
    }
    if (entry->bodyDigest != call.request.bodyDigest
        && !std::holds_alternative<TicketBook::TicketCancelled>(entry->state)) {
        return refuseNow(Outcome::NotRun, Reason::BadTicket);
    }
    if (const auto *answered = std::get_if<TicketBook::TicketAnswered>(&entry->state)) {
        this->note(call.request.requestId, Step::Attached, "answer of " + answered->requestId);
        this->act(Replay{call.id, answered->status, answered->body, answered->requestId,
                         answered->contentType});
        return false;
    }
    if (std::holds_alternative<TicketBook::TicketUnknown>(entry->state)) {
        return refuseNow(Outcome::Unknown, Reason::BackendFailed);
    }
    if (std::holds_alternative<TicketBook::TicketCancelled>(entry->state)) {
        return refuseNow(Outcome::NotRun, Reason::BadTicket);
    }
    if (auto *running = std::get_if<TicketBook::TicketRunning>(&entry->state)) {
        running->followers.push_back(call.id);
        call.state = Following{};
        this->note(call.request.requestId, Step::Attached, "running");
        const auto id = call.id;
        this->calls.insert_or_assign(id, std::move(call));
        return false;
    }
    // The ticket's first caller still waits here: the newest caller takes its place.
    const auto earlier = std::get<TicketBook::TicketWaiting>(entry->state).call;
    this->refuse(earlier, {Outcome::Unknown, Reason::Superseded, {}});
    return true;
}

auto Node::forwardTicket(const Call &call) -> void
{
    const auto ticket = parseTicket(call.request.ticket);
    const auto address = this->members.list() ? this->addressOf(ticket->node) : std::string{};
    if (address.empty()) {
        this->tell(call.id, call.request.requestId,
                   {Outcome::Unknown, Reason::TicketOwnerGone, {}});
        return;
    }
    ++this->counts.forwarded;
    this->note(call.request.requestId, Step::Forwarded, "node " + std::to_string(ticket->node));
    this->act(Forward{call.id, ticket->node, address});
}

auto Node::on(const TicketAsked &event) -> void
{
    const auto refuseNow = [&](Reason reason, Duration retryAfter) {
        this->tell(event.call, {}, {Outcome::NotRun, reason, retryAfter});
    };
    if (!this->ready()) {
        return refuseNow(Reason::NotReady, RetrySoon);
    }
    if (this->pastGrace()) {
        return refuseNow(Reason::Stopping, RetrySoon);
    }
    const auto route = this->currentConfig->routes.find(event.path);
    if (route == this->currentConfig->routes.end()) {
        return refuseNow(Reason::NoSuchRoute, {});
    }
    if (!this->mayUse(route->second, event.keyDigest)) {
        return refuseNow(Reason::BadKey, {});
    }
    const auto organisation = this->organisationOf(event.keyDigest).value_or(0);
    const auto ticket = this->tickets.mint(organisation, event.path, this->now);
    if (!ticket) {
        return refuseNow(Reason::Overload, RetrySoon);
    }
    this->act(GrantTicket{event.call, *ticket, this->settings.ticketValid});
}

auto Node::on(const TicketCancelAsked &event) -> void
{
    const auto ticket = parseTicket(event.ticket);
    if (ticket && ticket->node != this->self) {
        const auto address = this->members.list() ? this->addressOf(ticket->node) : std::string{};
        if (!address.empty()) {
            this->act(Forward{event.call, ticket->node, address});
            return;
        }
    }
    const auto organisation = this->organisationOf(event.keyDigest).value_or(0);
    const auto sequence = this->tickets.verify(event.ticket, organisation, {}, this->now);
    if (!sequence) {
        const bool gone = ticket && ticket->incarnation != this->incarnation;
        this->tell(event.call, {},
                   gone ? Refusal{Outcome::Unknown, Reason::TicketOwnerGone, {}}
                        : Refusal{Outcome::NotRun, Reason::BadTicket, {}});
        return;
    }
    auto &entry = this->tickets.use(*sequence, this->now);
    if (entry.dispatched) {
        const bool answered = std::holds_alternative<TicketBook::TicketAnswered>(entry.state);
        this->act(ConfirmCancel{event.call, answered ? Outcome::Answered : Outcome::Unknown});
        return;
    }
    if (const auto *waiting = std::get_if<TicketBook::TicketWaiting>(&entry.state)) {
        this->refuse(waiting->call, {Outcome::NotRun, Reason::None, {}});
    }
    entry.state = TicketBook::TicketCancelled{};
    this->act(ConfirmCancel{event.call, Outcome::NotRun});
}

} // namespace banyanring
