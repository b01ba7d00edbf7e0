/** @file request_slots.cpp A request's way to a slot, by a keeper or by this node alone. */
#include "banyanring/gateway/request_run.h"
#include "seconds_text_func.h"

namespace banyanring::gateway {

namespace {

using std::chrono::milliseconds;

/** A queue that moves within it is no overload. */
constexpr Duration LeastQueueWait = milliseconds(100);

} // namespace

auto RequestRun::askSlot() -> bool
{
    if (this->scheduler.slotPort == nullptr) {
        return false;
    }
    if (this->place(true)) {
        return true;
    }
    const auto now = this->scheduler.clock();
    fleet::SlotAsk ask;
    ask.ask = this->askNumber;
    ask.shape = this->shape;
    ask.shape.node = 0;
    ask.tier = this->urgency();
    ask.organisation = this->organisation ? hashName(this->organisation->name) : 0;
    ask.cost = this->cost();
    ask.dueIn = this->dueAt - now;
    ask.refuseIn = this->waitsUntil - now;
    for (const auto &id : this->tried) {
        if (const auto known = this->scheduler.books.servers.find(id)) {
            ask.tried.push_back(known->number);
        }
    }
    this->slotAwaited = true;
    const auto reply = this->scheduler.slotPort->ask(std::move(ask), this->service);
    if (reply && reply->outcome == fleet::SlotOutcome::Unkept) {
        this->slotAwaited = false;
        return false;
    }
    if (reply) {
        this->slotAnswered(*reply);
    }
    return true;
}

auto RequestRun::slotAnswered(const fleet::SlotReply &reply) -> void
{
    if (reply.outcome == fleet::SlotOutcome::Queued) {
        this->noteQueued(reply.wait);
        return;
    }
    this->slotAwaited = false;
    const auto granted = reply.outcome == fleet::SlotOutcome::Granted
                             ? this->scheduler.books.servers.findNumber(reply.server)
                             : nullptr;
    if (granted && this->scheduler.usable(*granted, this->scheduler.clock())
        && !this->tried.contains(granted->entry.id)) {
        this->scheduler.queueOf(this->service).waiting.remove(this->number);
        this->waiting = false;
        this->dispatch(granted);
        return;
    }
    if (reply.outcome == fleet::SlotOutcome::Granted) {
        this->step("grant_unusable", granted ? granted->entry.id : "unknown");
        this->scheduler.slotPort->withdraw(reply.ask);
    }
    this->placeOrWait();
}

auto RequestRun::noteQueued(Duration wait) -> void
{
    const bool first = !std::exchange(this->queuedOnce, true);
    if (first && !this->refuseLongWait(wait)) {
        this->step("queued", "expected " + secondsText(wait) + " s");
    } else if (!first && this->scheduler.clock() + wait > this->waitsUntil) {
        this->step("overtaken", "expected " + secondsText(wait) + " s");
        this->refuseWaiting();
    }
}

auto RequestRun::slotSilent() -> void
{
    this->slotAwaited = false;
    this->step("keeper_silent");
    this->placeOrWait();
}

auto RequestRun::placeOrWait() -> void
{
    if (this->tryPlace() || this->sends > 0) {
        return;
    }
    const auto wait = this->scheduler.expectedWait(this->service, this->urgency());
    if (!this->refuseLongWait(wait)) {
        this->step("queued", std::to_string(this->scheduler.queueOf(this->service).waiting.size())
                                 + " waiting");
    }
}

auto RequestRun::refuseLongWait(Duration wait) -> bool
{
    const auto now = this->scheduler.clock();
    if (this->sends > 0 || now + wait <= std::max(this->dueAt, now + LeastQueueWait)) {
        return false;
    }
    this->step("queue_full", "expected " + secondsText(wait) + " s");
    this->refuse(503, Cause::Overload, this->comeBackAfter(wait));
    return true;
}

auto RequestRun::reportSlot(fleet::SlotEvent event) -> void
{
    if (this->scheduler.slotPort == nullptr) {
        return;
    }
    const auto now = this->scheduler.clock();
    fleet::SlotReport report;
    report.ask = this->askNumber;
    report.event = event;
    if (event == fleet::SlotEvent::Good) {
        report.firstByte = this->answerAt - this->sentAt;
        report.rest = now - this->answerAt;
        report.outputTokens = this->outputTokens;
    }
    this->scheduler.slotPort->report(report);
}

auto RequestRun::holding() const -> std::optional<fleet::SlotHolding>
{
    if (!this->exchange) {
        return std::nullopt;
    }
    return fleet::SlotHolding{this->askNumber, this->server->number,
                              this->promptCounted ? this->shape.promptWork : 0};
}

} // namespace banyanring::gateway
