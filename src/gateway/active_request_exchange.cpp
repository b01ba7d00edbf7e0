/** @file active_request_exchange.cpp Dispatches of a request to servers, and their failures. */
#include "banyanring/adapters/log_func.h"
#include "banyanring/gateway/active_request.h"
#include "request_headers.h"

#include <array>
#include <cstdio>

namespace banyanring::gateway {

namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t MaxDispatches = 4; ///< Maximum dispatches of a request that servers reject.
constexpr std::uint32_t MaxFailedConnects = 6; ///< Failed connections before giving up.
constexpr Duration MinRetryTime = milliseconds(50); ///< A retry with less time left cannot succeed.
constexpr Duration MaxRetryWait = milliseconds(500); ///< Maximum queue time of a retry.
constexpr Duration MisdirectedBackoff = milliseconds(1500); ///< Until the store is corrected.

/** @return Part of a log step; empty if this node knows no momentary slowdown of the server. */
auto slowdownText(const fleet::Server &server, Instant now) -> std::string
{
    if (!server.slowdown.isStated()) {
        return "";
    }
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), ", slowdown %.2f", server.slowdown.expectedFactor(now));
    return text.data();
}

} // namespace

auto ActiveRequest::tryPlace() -> bool
{
    return this->rejectCrashSuspect() || this->placeLocally(false);
}

auto ActiveRequest::placeLocally(bool coldOnly) -> bool
{
    const auto choice = this->chooseLocally(coldOnly);
    if (!choice.server || (coldOnly && choice.lateOrEjected)) {
        return false;
    }
    this->scheduler.queueOf(this->service).waiting.remove(this->number);
    this->queued = false;
    this->dispatchLocally(choice.server);
    return true;
}

auto ActiveRequest::dispatchLocally(const fleet::ServerPtr &newServer) -> void
{
    const auto now = this->scheduler.clock();
    newServer->requestLimit.recordRequest(this->scheduler.limitShare(*newServer, now), now);
    this->dispatch(newServer, false);
}

auto ActiveRequest::chooseLocally(bool coldOnly) -> fleet::PlacementChoice
{
    auto &state = this->scheduler.state;
    const auto now = this->scheduler.clock();
    const auto *config = this->serviceConfig();
    const auto fleetSize = state.members.fleetSize(now);
    const auto targetAt = this->request.arrivedAt + this->route->latencyTarget;
    this->profile.timeLeftMs = static_cast<double>((this->deadline - now).count()) / 1000;
    this->profile.firstByteTargetMs =
        std::max(0.0, static_cast<double>((targetAt - now).count()) / 1000);
    const auto usable = [&](const fleet::Server &candidate) {
        return this->scheduler.maySend(candidate, now) && (!coldOnly || candidate.isCold(now))
               && !this->triedServers.contains(candidate.registration.id)
               && !(this->exchange && &candidate == this->server.get())
               && this->scheduler.allowedByLimit(candidate, now);
    };
    const auto coldFilter = [&](const fleet::Server &candidate) {
        if (config == nullptr || config->coldRatePerSecond <= 0) {
            return true;
        }
        const auto senders = state.coldLimiter.senderCount(*config, fleetSize);
        return state.members.isDesignatedSender(candidate.hash, senders, now)
               && state.coldLimiter.allows(candidate.hash, *config, fleetSize, now);
    };
    return fleet::choosePlacement(state.servers.serversOf(this->service), this->profile, usable,
                                  coldFilter, now);
}

auto ActiveRequest::dispatch(const fleet::ServerPtr &newServer, bool coordinated) -> void
{
    auto &state = this->scheduler.state;
    const auto now = this->scheduler.clock();
    auto &queue = this->scheduler.queueOf(this->service);
    ++queue.runningCount;
    if (this->dispatches == 0) {
        state.retryBudget.recordRequest(this->service, now);
        queue.waiting.recordUsage(this->organisation ? hashName(this->organisation->name) : 0,
                                  this->estimatedCost(), now, this->organisationWeight());
    }
    ++this->dispatches;
    this->server = newServer;
    this->addStep("placed", newServer->registration.id + " holds "
                                + std::to_string(newServer->occupiedSlots(now)) + "/"
                                + std::to_string(newServer->registration.slots)
                                + (coordinated ? "" : ", without coordinator")
                                + slowdownText(*newServer, now));
    ++newServer->ownLoad.requests;
    newServer->ownLoad.promptWork += this->profile.promptWork;
    this->promptCounted = true;
    this->promptWorkAhead = newServer->ownLoad.promptWork + newServer->peerLoad.promptWork;
    if (newServer->isCold(now)) {
        state.coldLimiter.recordRequest(newServer->hash, now);
    }
    this->beginExchange(now);
    this->exchange = this->scheduler.serverPort.send(newServer, this->request.attemptId,
                                                     this->encodeDispatch(*newServer, now),
                                                     this->route->isRetryable(), *this);
}

auto ActiveRequest::beginExchange(Instant now) -> void
{
    this->headerReceived = false;
    this->readPaused = false;
    this->response = {};
    this->body.clear();
    this->eventParser.reset();
    this->sentAt = now;
    this->checkedAt = now;
    this->silentFor = Duration(0);
    this->answerBeganAt.reset();
    this->answerRecorded = false;
}

auto ActiveRequest::encodeDispatch(const fleet::Server &newServer, Instant now) const
    -> OutboundRequest
{
    platform::DispatchHeaders headers;
    headers.server = newServer.registration.id;
    if (this->organisation != nullptr) {
        headers.organisation = this->organisation->name;
    }
    headers.timeLeft = this->deadline - now;
    headers.lastEventId = this->eventParser.lastEventId();
    return platform::encodeDispatch(this->request, headers);
}

auto ActiveRequest::onSent() -> void
{
    this->sentAt = this->scheduler.clock();
    this->silentFor = Duration(0);
}

auto ActiveRequest::onExchangeFailed(ExchangeFailure failure) -> void
{
    if (failure == ExchangeFailure::NotSent) {
        const auto id = this->server->registration.id;
        this->recordUnreachable(*this->server);
        this->slotEventOverride = fleet::SlotEvent::Unreachable;
        this->endExchange(fleet::AttemptOutcome::Neutral);
        if (++this->failedConnects >= MaxFailedConnects) {
            this->rejectQueued();
        } else {
            this->triedServers.insert(id);
            this->addStep("unreachable", id);
            this->requeueUnexecuted();
        }
    } else {
        this->handleServerFailure(failureName(failure));
    }
    this->scheduler.placeDirtyServices();
}

auto ActiveRequest::recordUnreachable(fleet::Server &unreachable) -> void
{
    if (fleet::ServerRegistry::markUnreachable(unreachable, this->scheduler.clock())) {
        logEvent("server_unreachable",
                 {{"server", unreachable.registration.id},
                  {"request_id", this->request.attemptId},
                  {"avoid_ms", std::int64_t{unreachable.backoff / milliseconds(1)}}});
    }
}

auto ActiveRequest::recordRejection(fleet::Server &rejecting, const ServerResponse &header) -> void
{
    const auto now = this->scheduler.clock();
    if (header.misdirected) {
        rejecting.backoffUntil = now + MisdirectedBackoff;
        return;
    }
    rejecting.reportedOtherRequests =
        std::max(rejecting.reportedOtherRequests, rejecting.registration.slots);
    rejecting.reportedAt = now;
}

auto ActiveRequest::handleServerRejection() -> void
{
    const auto now = this->scheduler.clock();
    auto &server = *this->server;
    const auto id = server.registration.id;
    const bool hasSpareSlots = 2 * server.occupiedSlots(now) < server.registration.slots;
    this->recordRejection(server, this->response);
    // The server at this address has gone: the coordinator must not grant its slots again soon.
    this->slotEventOverride =
        this->response.misdirected ? fleet::SlotEvent::Unreachable : fleet::SlotEvent::Rejected;
    this->endExchange(hasSpareSlots && !this->response.retryAfter ? fleet::AttemptOutcome::Failed
                                                                  : fleet::AttemptOutcome::Neutral);
    this->addStep("rejected", id + " status " + std::to_string(this->response.status));
    this->triedServers.insert(id);
    auto &state = this->scheduler.state;
    if (this->dispatches < MaxDispatches && now + MinRetryTime < this->deadline
        && state.retryBudget.tryTake(this->service, state.members.fleetSize(now), now)) {
        this->requeueUnexecuted();
        return;
    }
    this->rejectQueued();
}

auto ActiveRequest::handleServerFailure(std::string_view reason) -> void
{
    const auto now = this->scheduler.clock();
    const auto id = this->server->registration.id;
    this->recordPossibleExecution();
    // A stream without framing ends as if complete when its server crashes.
    if (reason == "no_answer" || reason == "truncated" || reason == "cut_event") {
        this->recordLostRun(*this->server, this->sentAt, this->hasAnswered(now), reason);
    }
    this->body.clear();
    this->endExchange(fleet::AttemptOutcome::Failed);
    this->addStep("server_failed", id + " " + std::string(reason));
    this->scheduler.metrics.countEvent("server_failed_" + std::string(reason));
    if (this->currentMove() != nullptr) {
        this->adoptMove();
        return;
    }
    if (this->tryTakeRetry()) {
        this->retry(reason);
        return;
    }
    this->failMaybeExecuted(502, RequestOutcome::ServerFailed);
}

auto ActiveRequest::tryTakeRetry() -> bool
{
    auto &state = this->scheduler.state;
    const auto now = this->scheduler.clock();
    return this->route->isRetryable() && this->possibleExecutions < this->route->maxAttempts
           && (!this->streamStarted || this->eventParser.canResume())
           && now + MinRetryTime < this->deadline && !this->isCrashSuspect()
           && state.retryBudget.tryTake(this->service, state.members.fleetSize(now), now);
}

auto ActiveRequest::retryWait() const -> Duration
{
    return this->leftSilentServer ? this->deadline - this->scheduler.clock() : MaxRetryWait;
}

auto ActiveRequest::retry(std::string_view reason) -> void
{
    this->triedServers.insert(this->server->registration.id);
    this->addStep(this->streamStarted ? "resumed" : "retried", std::string(reason));
    this->scheduler.metrics.countEvent(this->streamStarted ? "resumed" : "retried");
    this->enqueueRetry(MaxRetryWait);
}

auto ActiveRequest::endExchange(fleet::AttemptOutcome outcome) -> void
{
    auto &server = *this->server;
    auto &queue = this->scheduler.queueOf(this->service);
    --queue.runningCount;
    if (outcome == fleet::AttemptOutcome::Succeeded) {
        queue.recordResponseTime(this->scheduler.clock() - this->sentAt);
    }
    --server.ownLoad.requests;
    if (this->promptCounted) {
        server.ownLoad.promptWork -= this->profile.promptWork;
        this->promptCounted = false;
    }
    if (this->scheduler.state.servers.recordOutcome(server, outcome, this->scheduler.clock())) {
        this->scheduler.metrics.countEvent("server_set_aside");
        logEvent("server_set_aside", {{"server", server.registration.id},
                                      {"service", server.registration.service},
                                      {"request_id", this->request.attemptId},
                                      {"service_failures", server.stats.failureRate}});
    }
    this->exchange->cancel();
    this->scheduler.finishedExchanges.push_back(std::move(this->exchange));
    this->scheduler.dirtyServices.insert(this->service);
    const auto eventOfOutcome =
        outcome == fleet::AttemptOutcome::Succeeded ? fleet::SlotEvent::Succeeded
        : outcome == fleet::AttemptOutcome::Failed  ? fleet::SlotEvent::Failed
                                                    : fleet::SlotEvent::Neutral;
    this->reportSlotEvent(
        std::exchange(this->slotEventOverride, std::nullopt).value_or(eventOfOutcome));
}

} // namespace banyanring::gateway
