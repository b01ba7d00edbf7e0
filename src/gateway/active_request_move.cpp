/** @file active_request_move.cpp Moves of a request away from a silent server. */
#include "banyanring/adapters/log_func.h"
#include "banyanring/gateway/active_request.h"

namespace banyanring::gateway {

namespace {

using std::chrono::milliseconds;

constexpr Duration MoveInterval = milliseconds(250); ///< Between slot requests for a move.
constexpr std::uint32_t MaxMoveRequests = 64; ///< Limits the number of slot requests.
/**
 * A server that is full rejects a request sooner. Both servers may not work on it for as long as
 * 400 ms.
 */
constexpr Duration RejectionTime = milliseconds(250);

} // namespace

auto ActiveRequest::leaveSilentServer() -> void
{
    // Many requests leave at the same time, and only the coordinators know which servers can take
    // all of them.
    const auto now = this->scheduler.clock();
    const bool isDue =
        this->moveRequestId == 0 && this->currentMove() == nullptr && now >= this->nextMoveAt;
    if (isDue && !this->requestMove(now)) {
        this->moveByOwnState();
    }
}

auto ActiveRequest::requestMove(Instant now) -> bool
{
    if (this->scheduler.slotPort == nullptr) {
        return false;
    }
    this->nextMoveAt = now + MoveInterval;
    if (this->moveRequests >= MaxMoveRequests) {
        return true;
    }
    ++this->moveRequests;
    this->moveRequestId = this->nextSlotRequestId();
    auto slotRequest = this->makeSlotRequest(this->moveRequestId, now);
    slotRequest.latencyBudget = Duration(0);
    slotRequest.queueTimeout = MoveInterval;
    slotRequest.excludedServers.push_back(this->server->hash);
    const auto reply = this->scheduler.slotPort->requestSlot(std::move(slotRequest), this->service);
    if (reply && reply->outcome == fleet::SlotOutcome::NotCoordinator) {
        this->moveRequestId = 0;
        return false;
    }
    if (reply) {
        this->onMoveReply(*reply);
    }
    return true;
}

auto ActiveRequest::onMoveReply(const fleet::SlotReply &reply) -> void
{
    const auto id = std::exchange(this->moveRequestId, 0);
    if (reply.outcome == fleet::SlotOutcome::NotCoordinator) {
        this->moveByOwnState();
        return;
    }
    const auto newServer = reply.outcome == fleet::SlotOutcome::Granted
                               ? this->scheduler.state.servers.findByHash(reply.serverHash)
                               : nullptr;
    const bool isUsable = newServer && newServer != this->server
                          && this->scheduler.maySend(*newServer, this->scheduler.clock())
                          && !this->triedServers.contains(newServer->registration.id);
    if (!isUsable || !this->isServerSilent() || !this->tryTakeRetry()) {
        this->scheduler.slotPort->cancelSlotRequest(id);
        return;
    }
    this->startMove(newServer, id);
}

auto ActiveRequest::moveByOwnState() -> void
{
    if (!this->isServerSilent()) {
        return;
    }
    const auto now = this->scheduler.clock();
    const auto choice = this->chooseLocally(false);
    if (!choice.server || !this->tryTakeRetry()) {
        return;
    }
    choice.server->requestLimit.recordRequest(this->scheduler.limitShare(*choice.server, now), now);
    this->startMove(choice.server, this->nextSlotRequestId());
}

auto ActiveRequest::startMove(const fleet::ServerPtr &newServer, std::uint64_t slotId) -> void
{
    const auto now = this->scheduler.clock();
    ++this->scheduler.queueOf(this->service).runningCount;
    ++this->dispatches;
    auto &load = newServer->ownLoad;
    ++load.requests;
    load.promptWork += this->profile.promptWork;
    if (newServer->isCold(now)) {
        this->scheduler.state.coldLimiter.recordRequest(newServer->hash, now);
    }
    this->addStep("moving",
                  this->server->registration.id + " silent, to " + newServer->registration.id);
    this->nextMoveAt = now + MoveInterval;
    this->moves.push_back(std::make_unique<MoveAttempt>(*this, newServer, slotId));
    auto &move = *this->moves.back();
    move.dispatchedAt = now;
    move.promptWorkAhead = load.promptWork + newServer->peerLoad.promptWork;
    move.exchange = this->scheduler.serverPort.send(newServer, this->request.attemptId,
                                                    this->encodeDispatch(*newServer, now),
                                                    this->route->isRetryable(), move);
}

auto ActiveRequest::currentMove() const -> MoveAttempt *
{
    auto *const newest = this->moves.empty() ? nullptr : this->moves.back().get();
    return newest != nullptr && newest->exchange ? newest : nullptr;
}

auto ActiveRequest::checkMove(Instant now) -> void
{
    const auto *move = this->currentMove();
    if (move != nullptr && move->sentAt && now - *move->sentAt >= RejectionTime) {
        this->adoptMove();
    }
}

auto ActiveRequest::takeMove(const ServerResponse &header) -> bool
{
    auto &newServer = *this->currentMove()->server;
    if (header.isSuccess() && header.sealed) {
        this->adoptMove();
        return true;
    }
    this->recordServerStatements(newServer, header);
    this->addStep("move_refused",
                  newServer.registration.id + " status " + std::to_string(header.status));
    if (header.notExecuted) {
        this->triedServers.insert(newServer.registration.id);
        this->recordRejection(newServer, header);
        this->endMove(fleet::AttemptOutcome::Neutral, fleet::SlotEvent::Rejected);
    } else {
        this->recordPossibleExecution();
        this->endMove(fleet::AttemptOutcome::Failed, fleet::SlotEvent::Failed);
    }
    this->scheduler.placeDirtyServices();
    return false;
}

auto ActiveRequest::onMoveFailed(ExchangeFailure failure) -> void
{
    const auto &move = *this->currentMove();
    auto &newServer = *move.server;
    const std::string reason(failureName(failure));
    this->addStep("move_failed", newServer.registration.id + " " + reason);
    this->scheduler.metrics.countEvent("move_failed_" + reason);
    if (failure == ExchangeFailure::NotSent) {
        this->triedServers.insert(newServer.registration.id);
        this->recordUnreachable(newServer);
        this->endMove(fleet::AttemptOutcome::Neutral, fleet::SlotEvent::Unreachable);
        this->scheduler.placeDirtyServices();
        return;
    }
    this->recordPossibleExecution();
    if (isConnectionLost(failure)) {
        this->recordLostRun(newServer, move.sentAt.value_or(move.dispatchedAt), false, "move");
    }
    this->endMove(fleet::AttemptOutcome::Failed, fleet::SlotEvent::Failed);
    this->scheduler.placeDirtyServices();
}

auto ActiveRequest::adoptMove() -> void
{
    auto &move = *this->currentMove();
    auto newExchange = std::move(move.exchange);
    move.isTaken = true;
    if (this->exchange) {
        this->endSilentExchange();
    }
    this->server = move.server;
    this->slotRequestId = move.slotRequestId;
    this->promptCounted = true;
    this->promptWorkAhead = move.promptWorkAhead;
    this->beginExchange(this->scheduler.clock());
    this->sentAt = move.sentAt.value_or(move.dispatchedAt);
    this->exchange = std::move(newExchange);
    this->addStep(this->streamStarted ? "resumed" : "retried",
                  "at " + this->server->registration.id);
    this->scheduler.metrics.countEvent(this->streamStarted ? "resumed" : "retried");
}

auto ActiveRequest::endMove(fleet::AttemptOutcome outcome, fleet::SlotEvent event) -> void
{
    auto &move = *this->currentMove();
    auto &newServer = *move.server;
    --this->scheduler.queueOf(this->service).runningCount;
    --newServer.ownLoad.requests;
    newServer.ownLoad.promptWork -= this->profile.promptWork;
    this->scheduler.state.servers.recordOutcome(newServer, outcome, this->scheduler.clock());
    move.exchange->cancel();
    this->scheduler.finishedExchanges.push_back(std::move(move.exchange));
    this->scheduler.dirtyServices.insert(this->service);
    if (this->scheduler.slotPort != nullptr) {
        fleet::SlotReport report;
        report.requestId = move.slotRequestId;
        report.event = event;
        this->scheduler.slotPort->reportSlotEvent(report);
    }
}

auto ActiveRequest::cancelMove() -> void
{
    if (const auto id = std::exchange(this->moveRequestId, 0)) {
        this->scheduler.slotPort->cancelSlotRequest(id);
    }
    if (const auto *move = this->currentMove()) {
        if (move->sentAt) {
            this->recordPossibleExecution();
        }
        this->endMove(fleet::AttemptOutcome::Neutral, fleet::SlotEvent::Neutral);
    }
}

auto ActiveRequest::endSilentExchange() -> void
{
    const auto now = this->scheduler.clock();
    this->recordPossibleExecution();
    this->leftSilentServer = true;
    this->body.clear();
    const bool failing =
        fleet::ServerRegistry::recordSilence(*this->server, now - this->silentFor, now);
    this->addStep("left", this->server->registration.id + " silent");
    this->scheduler.metrics.countEvent("left_silent_server");
    this->endExchange(failing ? fleet::AttemptOutcome::Failed : fleet::AttemptOutcome::Neutral);
}

} // namespace banyanring::gateway
