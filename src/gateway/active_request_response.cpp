/** @file active_request_response.cpp Responses of servers to a request. */
#include "banyanring/adapters/log_func.h"
#include "banyanring/gateway/active_request.h"

namespace banyanring::gateway {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t MaxUnsentBytes = 262144; ///< Reading is paused beyond it (slow caller).
constexpr int FirstErrorStatus = 500; ///< Statuses from this one are server failures.

/** @return Whether a status states that the request was not executed. */
auto impliesNotExecuted(int status) -> bool
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

auto ActiveRequest::onResponseHeader(const ServerResponse &header) -> void
{
    this->cancelMove(); // The server speaks.
    const auto now = this->scheduler.clock();
    this->headerReceived = true;
    this->response = header;
    this->responseAt = now;
    this->silentFor = Duration(0);
    this->server->lastDataAt = now;
    auto &server = *this->server;
    if (this->promptCounted) {
        server.ownLoad.promptWork -= this->profile.promptWork;
        this->promptCounted = false;
        if (this->profile.engine) {
            this->reportSlotEvent(fleet::SlotEvent::FirstByte);
        }
    }
    const auto *config = this->serviceConfig();
    const auto coldFor = config != nullptr ? config->coldPeriod : Duration(0);
    if (fleet::ServerRegistry::markReachable(server, coldFor, now)) {
        logEvent("server_reachable", {{"server", server.registration.id},
                                      {"cold_ms", std::int64_t{coldFor / milliseconds(1)}}});
    }
    this->recordServerStatements(server, header);
    if (!this->isStream() && header.declaredLength > ResponseBuffer::MaxBytes) {
        this->onResponseTooLong();
    }
}

auto ActiveRequest::isStream() const -> bool
{
    return this->route->streaming && this->response.sealed && this->response.isSuccess();
}

auto ActiveRequest::onResponseData(std::string_view data) -> void
{
    this->cancelMove();
    this->silentFor = Duration(0);
    this->server->lastDataAt = this->scheduler.clock();
    if (this->isStream()) {
        this->forwardEvents(data);
        return;
    }
    this->body.append(data);
    if (this->body.size() > ResponseBuffer::MaxBytes) {
        this->onResponseTooLong();
    } else {
        this->scheduler.limitBufferedBytes();
    }
}

auto ActiveRequest::onResponseTooLong() -> void
{
    const auto wait =
        fleet::ServerRegistry::deferAfterOverlongBody(*this->server, this->scheduler.clock());
    if (wait > Duration(0)) {
        logEvent("server_deferred", {{"server", this->server->registration.id},
                                     {"request_id", this->request.attemptId},
                                     {"reason", "body_too_long"},
                                     {"wait_ms", std::int64_t{wait / milliseconds(1)}}});
    }
    this->handleServerFailure("body_too_long");
    this->scheduler.placeDirtyServices();
}

auto ActiveRequest::forwardEvents(std::string_view data) -> void
{
    const auto parsed = this->eventParser.feed(data);
    const auto now = this->scheduler.clock();
    if (!parsed.events.empty()) {
        if (this->streamStarted) {
            this->maxEventGap = std::max(this->maxEventGap, now - this->lastEventAt);
        }
        this->lastEventAt = now;
        if (!this->answerBeganAt) {
            this->answerBeganAt = now;
        } else if (this->hasAnswered(now)) {
            this->recordAnswer(*this->answerBeganAt);
        }
        this->startStream(now);
        this->caller->sendStreamData(parsed.events);
        this->updateBackpressure();
    }
    if (parsed.gap || parsed.tooLong) {
        this->handleServerFailure(parsed.gap ? "event_gap" : "event_too_long");
    }
}

auto ActiveRequest::startStream(Instant now) -> void
{
    if (!std::exchange(this->streamStarted, true)) {
        this->firstByteAt = now;
        this->caller->beginStream(this->response.status, this->response.reason,
                                  this->response.headers);
    }
}

auto ActiveRequest::updateBackpressure() -> void
{
    const bool pause =
        this->caller->unsentBytes() > (this->readPaused ? MaxUnsentBytes / 2 : MaxUnsentBytes);
    if (pause != this->readPaused) {
        this->readPaused = pause;
        this->exchange->pauseReading(pause);
    }
}

auto ActiveRequest::onResponseEnd() -> void
{
    if (this->response.notExecuted) {
        this->handleServerRejection();
    } else if (this->isStream()) {
        this->onStreamEnd();
    } else {
        this->deliverResponse();
    }
    this->scheduler.placeDirtyServices();
}

auto ActiveRequest::onStreamEnd() -> void
{
    const bool hasEvents = this->eventParser.eventCount() > 0;
    // Without any framing, a crash before the first event looks the same as an end without events.
    if (!this->eventParser.atEventBoundary() || (!hasEvents && this->response.endsWithConnection)) {
        this->handleServerFailure("cut_event");
    } else if (hasEvents) {
        this->recordResponseStats();
        this->endExchange(fleet::AttemptOutcome::Succeeded);
        this->recordAnswer(this->answerBeganAt.value_or(this->sentAt));
        this->scheduler.state.crashSuspects.recordAnswer(this->fingerprint(),
                                                         this->scheduler.clock());
        this->finishStream();
    } else if (this->eventParser.mayEndWithoutEvents()) {
        // The server had nothing left to send: its times are not typical, and it has not shown that
        // it survives the request.
        this->addStep("nothing_left", this->server->registration.id);
        this->scheduler.metrics.countEvent("resumed_at_end");
        this->endExchange(fleet::AttemptOutcome::Neutral);
        this->startStream(this->scheduler.clock());
        this->finishStream();
    } else {
        this->handleServerFailure("empty_stream");
    }
}

auto ActiveRequest::finishStream() -> void
{
    this->caller->endStream();
    this->finish(RequestOutcome::Answered, this->response.status);
}

auto ActiveRequest::deliverResponse() -> void
{
    const bool success = this->response.isSuccess();
    const bool serverError = this->response.status >= FirstErrorStatus;
    // A stream that has been started cannot be replaced by another response.
    const bool failed = serverError || this->streamStarted;
    if ((success && !this->response.sealed)
        || (impliesNotExecuted(this->response.status) && !this->response.notExecuted)) {
        this->handleServerFailure("unsealed");
        return;
    }
    if (failed) {
        this->recordPossibleExecution();
        if (this->tryTakeRetry()) {
            this->endExchange(serverError ? fleet::AttemptOutcome::Failed
                                          : fleet::AttemptOutcome::Neutral);
            this->retry("status " + std::to_string(this->response.status));
            return;
        }
    } else {
        this->recordResponseStats();
    }
    this->endExchange(serverError ? fleet::AttemptOutcome::Failed
                      : failed    ? fleet::AttemptOutcome::Neutral
                                  : fleet::AttemptOutcome::Succeeded);
    this->scheduler.state.crashSuspects.recordAnswer(this->fingerprint(), this->scheduler.clock());
    if (success) {
        this->recordAnswer(this->responseAt);
    }
    if (this->streamStarted) {
        this->failMaybeExecuted(502, RequestOutcome::ServerFailed);
        return;
    }
    this->firstByteAt = this->scheduler.clock();
    this->caller->sendResponse(
        {this->response.status, this->response.reason, this->response.headers, this->body.take()});
    this->finish(RequestOutcome::Answered, this->response.status);
}

auto ActiveRequest::recordResponseStats() -> void
{
    const auto now = this->scheduler.clock();
    const auto *config = this->serviceConfig();
    const auto eventCount = static_cast<double>(this->eventParser.eventCount());
    const double outputTokens =
        (config != nullptr ? config->tokensPerEvent : 1) * std::max(0.0, eventCount - 1);
    fleet::recordResponse(*this->server, this->profile, this->promptWorkAhead,
                          this->responseAt - this->sentAt, now - this->responseAt, outputTokens,
                          this->response.slowdown);
    this->outputTokens = outputTokens;
    if (eventCount > 0) {
        this->scheduler.recordOutputTokens(this->route->prefix, outputTokens);
    }
}

} // namespace banyanring::gateway
