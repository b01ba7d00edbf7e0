/** @file active_request_slots.cpp Obtains a slot from a coordinator or by this node's state. */
#include "banyanring/gateway/active_request.h"
#include "seconds_text_func.h"

namespace banyanring::gateway {

namespace {

constexpr std::size_t MaxExcludedServers = 16; ///< Limits the size of a slot request.

} // namespace

auto ActiveRequest::nextSlotRequestId() -> std::uint64_t
{
    this->lastSlotRequestId = std::max(this->lastSlotRequestId, this->number * MaxSlotRequests) + 1;
    return this->lastSlotRequestId;
}

auto ActiveRequest::makeSlotRequest(std::uint64_t id, Instant now) -> fleet::SlotRequest
{
    fleet::SlotRequest slotRequest;
    slotRequest.id = id;
    slotRequest.profile = this->profile;
    slotRequest.profile.nodeHash = 0;
    slotRequest.tier = this->priority();
    slotRequest.organisation = this->organisation ? hashName(this->organisation->name) : 0;
    slotRequest.organisationWeight = this->organisationWeight();
    slotRequest.cost = this->estimatedCost();
    slotRequest.latencyBudget = this->latencyDeadline - now;
    slotRequest.queueTimeout = this->queueDeadline - now;
    slotRequest.excludedServers = this->excludedServers(now);
    return slotRequest;
}

auto ActiveRequest::requestSlot() -> bool
{
    if (this->scheduler.slotPort == nullptr) {
        return false;
    }
    if (this->rejectCrashSuspect() || this->placeLocally(true)) {
        return true;
    }
    this->slotRequestPending = true;
    const auto reply = this->scheduler.slotPort->requestSlot(
        this->makeSlotRequest(this->slotRequestId, this->scheduler.clock()), this->service);
    if (reply && reply->outcome == fleet::SlotOutcome::NotCoordinator) {
        this->slotRequestPending = false;
        return false;
    }
    if (reply) {
        this->onSlotReply(*reply);
    }
    return true;
}

auto ActiveRequest::renewSlotRequest() -> bool
{
    if (this->slotRenewals >= MaxSlotRenewals) {
        return false;
    }
    ++this->slotRenewals;
    this->slotRequestId = this->nextSlotRequestId();
    return this->requestSlot();
}

auto ActiveRequest::renewExpiredExclusions(Instant now) -> void
{
    if (!this->slotRequestPending || now < this->exclusionsEndAt
        || this->slotRenewals >= MaxSlotRenewals) {
        return;
    }
    this->slotRequestPending = false;
    this->scheduler.slotPort->cancelSlotRequest(this->slotRequestId);
    // The cancellation may cause queued requests to be placed, this one as well.
    if (this->queued && !this->renewSlotRequest()) {
        this->placeOrQueue();
    }
}

auto ActiveRequest::excludedServers(Instant now) -> std::vector<std::uint32_t>
{
    const auto &registry = this->scheduler.state.servers;
    std::vector<std::uint32_t> hashes;
    for (const auto &id : this->triedServers) {
        if (const auto tried = registry.find(id)) {
            hashes.push_back(tried->hash);
        }
    }
    this->exclusionsEndAt = Never;
    const auto &servers = registry.serversOf(this->service);
    for (std::size_t index = 0; index < servers.size() && hashes.size() < MaxExcludedServers;
         ++index) {
        // Repeated slot requests begin with other servers, as not all may fit.
        const auto &server = *servers.at((index + this->slotRequestId) % servers.size());
        // The coordinator follows the registrations as well.
        const bool isKnown = server.registration.draining || now >= server.removeAt;
        if (isKnown || (!server.leaving && !server.isDeferred(now))
            || this->triedServers.contains(server.registration.id)) {
            continue;
        }
        hashes.push_back(server.hash);
        if (!server.leaving) {
            this->exclusionsEndAt = std::min(this->exclusionsEndAt, server.deferredUntil);
        }
    }
    return hashes;
}

auto ActiveRequest::onSlotReply(const fleet::SlotReply &reply) -> void
{
    if (reply.requestId == this->moveRequestId) {
        this->onMoveReply(reply);
        return;
    }
    if (reply.outcome == fleet::SlotOutcome::Queued) {
        this->handleQueuedReply(reply.expectedWait);
        return;
    }
    this->slotRequestPending = false;
    const auto server = reply.outcome == fleet::SlotOutcome::Granted
                            ? this->scheduler.state.servers.findByHash(reply.serverHash)
                            : nullptr;
    if (server && this->scheduler.maySend(*server, this->scheduler.clock())
        && !this->triedServers.contains(server->registration.id)) {
        if (this->rejectCrashSuspect()) {
            this->scheduler.slotPort->cancelSlotRequest(reply.requestId);
            return;
        }
        this->scheduler.queueOf(this->service).waiting.remove(this->number);
        this->queued = false;
        this->dispatch(server, true);
        return;
    }
    if (reply.outcome == fleet::SlotOutcome::Granted) {
        this->addStep("grant_unusable", server ? server->registration.id : "unknown");
        this->scheduler.slotPort->cancelSlotRequest(reply.requestId);
        if (!this->queued) {
            return; // Placed during the cancellation.
        }
        if (server && (server->leaving || server->isDeferred(this->scheduler.clock()))
            && this->renewSlotRequest()) {
            return;
        }
    }
    this->placeOrQueue();
}

auto ActiveRequest::handleQueuedReply(Duration coordinatorWait) -> void
{
    const auto wait = std::max(coordinatorWait, this->scheduler.deferralTime(this->service));
    const bool isFirst = !std::exchange(this->waitReported, true);
    if (isFirst && !this->rejectLongWait(wait)) {
        this->addStep("queued", "expected " + formatSeconds(wait) + " s");
    } else if (!isFirst && this->dispatches == 0
               && this->scheduler.clock() + wait > this->queueDeadline) {
        this->addStep("overtaken", "expected " + formatSeconds(wait) + " s");
        this->rejectQueued();
    }
}

auto ActiveRequest::onSlotTimeout(std::uint64_t id) -> void
{
    if (id == this->moveRequestId) {
        this->moveRequestId = 0;
        this->addStep("keeper_silent");
        this->moveByOwnState();
        return;
    }
    this->slotRequestPending = false;
    this->addStep("keeper_silent");
    this->placeOrQueue();
}

auto ActiveRequest::placeOrQueue() -> void
{
    if (this->tryPlace() || this->dispatches > 0) {
        return;
    }
    const auto wait =
        this->scheduler.expectedWait(this->service, this->priority(), this->latencyDeadline);
    if (!this->rejectLongWait(wait)) {
        this->addStep("queued",
                      std::to_string(this->scheduler.queueOf(this->service).waiting.size())
                          + " waiting");
    }
}

auto ActiveRequest::rejectLongWait(Duration wait) -> bool
{
    const fleet::WaitBudget budget{this->latencyDeadline, this->queueDeadline};
    if (this->dispatches > 0 || !fleet::isWaitTooLong(budget, wait, this->scheduler.clock())) {
        return false;
    }
    this->addStep("queue_full", "expected " + formatSeconds(wait) + " s");
    this->reject(503, RequestOutcome::Overload, this->retryAfter(wait));
    return true;
}

auto ActiveRequest::reportSlotEvent(fleet::SlotEvent event) -> void
{
    if (this->scheduler.slotPort == nullptr) {
        return;
    }
    const auto now = this->scheduler.clock();
    fleet::SlotReport report;
    report.requestId = this->slotRequestId;
    report.event = event;
    if (event == fleet::SlotEvent::Succeeded) {
        report.firstByte = this->responseAt - this->sentAt;
        report.rest = now - this->responseAt;
        report.outputTokens = this->outputTokens;
    }
    // The header of a stream arrived long before its end.
    if (this->headerReceived && this->response.requestLimit
        && (event == fleet::SlotEvent::FirstByte || !this->profile.engine)) {
        report.requestLimit = {this->server->hash, *this->response.requestLimit,
                               now - this->responseAt};
    }
    if (this->headerReceived && this->response.slowdown) {
        report.slowdown = {*this->response.slowdown, now - this->responseAt};
    }
    this->scheduler.slotPort->reportSlotEvent(report);
}

auto ActiveRequest::appendHeldSlots(std::vector<fleet::HeldSlot> &slots) const -> void
{
    if (this->exchange) {
        slots.push_back({this->slotRequestId, this->server->hash,
                         this->promptCounted ? this->profile.promptWork : 0});
    }
    if (const auto *move = this->currentMove()) {
        slots.push_back({move->slotRequestId, move->server->hash, this->profile.promptWork});
    }
}

} // namespace banyanring::gateway
