/** @file request_exchange.cpp A request's dispatches to servers and their answers. */
#include "banyanring/adapters/log_func.h"
#include "banyanring/gateway/request_run.h"
#include "request_headers.h"

namespace banyanring::gateway {

namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t MostSends = 4; ///< Dispatches that servers may turn away.
constexpr std::uint32_t MostUnconnected = 6; ///< Servers out of reach that are tried.
constexpr Duration LeastTimeForRepeat = milliseconds(50); ///< Below, nothing can come of it.
constexpr Duration RepeatPatience = milliseconds(500); ///< Wait for another server at least.
constexpr Duration MisdirectedAvoidance = milliseconds(1500); ///< Until its entry is corrected.
/** A silent server is given up after these, before the caller gives up. */
constexpr Duration LeastStall = milliseconds(800);
constexpr double TargetStall = 2.5; ///< Times the latency target, before the first byte.
constexpr double GapStall = 4; ///< Times the longest pause, inside a stream.
constexpr int BusyStall = 2; ///< Times longer, while the server answers other requests.
constexpr std::size_t MostUnsent = 262144; ///< A slow caller stops the reading beyond it.
constexpr int FirstFailureStatus = 500; ///< Statuses from here are failures of the server.
constexpr int SuccessClass = 2; ///< Statuses of 200 to 299.
constexpr int StatusClass = 100; ///< Statuses of one class.

/** @return Whether a status promises that the request has not run. */
auto promisesNotRun(int status) -> bool
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

auto RequestRun::tryPlace() -> bool
{
    return this->place(false);
}

auto RequestRun::place(bool coldOnly) -> bool
{
    auto &books = this->scheduler.books;
    const auto now = this->scheduler.clock();
    const auto *rule = this->forServer();
    const auto fleetSize = books.members.fleetSize(now);
    const auto dueAt = this->request.arrivedAt + this->route->latencyTarget;
    this->shape.timeLeftMs = static_cast<double>((this->finalAt - now).count()) / 1000;
    this->shape.firstByteTargetMs =
        std::max(0.0, static_cast<double>((dueAt - now).count()) / 1000);
    const auto usable = [&](const fleet::Server &candidate) {
        return this->scheduler.usable(candidate, now) && (!coldOnly || candidate.isCold(now))
               && !this->tried.contains(candidate.registration.id);
    };
    const auto coldGate = [&](const fleet::Server &candidate) {
        if (rule == nullptr || rule->coldRatePerSecond <= 0) {
            return true;
        }
        const auto owners = books.colds.senderCount(*rule, fleetSize);
        return books.members.maySendToCold(candidate.hash, owners, now)
               && books.colds.allows(candidate.hash, *rule, fleetSize, now);
    };
    const auto choice = fleet::choosePlacement(books.servers.serversOf(this->service), this->shape,
                                               usable, coldGate, now);
    if (!choice.server || (coldOnly && choice.lateOrEjected)) {
        return false;
    }
    this->scheduler.queueOf(this->service).waiting.remove(this->number);
    this->waiting = false;
    this->dispatch(choice.server);
    return true;
}

auto RequestRun::dispatch(const fleet::ServerPtr &chosen) -> void
{
    auto &books = this->scheduler.books;
    const auto now = this->scheduler.clock();
    auto &queue = this->scheduler.queueOf(this->service);
    ++queue.runningCount;
    if (this->sends == 0) {
        books.retries.recordRequest(this->service, now);
        queue.waiting.recordUsage(this->organisation ? nameId(this->organisation->name) : 0,
                                  this->cost(), now);
    }
    ++this->sends;
    this->server = chosen;
    this->step("placed", chosen->registration.id + " holds "
                             + std::to_string(chosen->occupiedSlots(now)) + "/"
                             + std::to_string(chosen->registration.slots));
    ++chosen->ownLoad.requests;
    chosen->ownLoad.promptWork += this->shape.promptWork;
    this->promptCounted = true;
    this->workAhead = chosen->ownLoad.promptWork + chosen->peerLoad.promptWork;
    if (chosen->isCold(now)) {
        books.colds.recordRequest(chosen->hash, now);
    }
    this->headSeen = false;
    this->paused = false;
    this->answer = {};
    this->body.clear();
    this->events.restart();
    this->sentAt = now;
    this->lastDataAt = now;
    platform::DispatchHeaders headers;
    headers.server = chosen->registration.id;
    if (this->organisation != nullptr) {
        headers.organisation = this->organisation->name;
    }
    headers.timeLeft = this->finalAt - now;
    headers.lastEvent = this->events.last();
    this->exchange = this->scheduler.serverPort.send(
        chosen, this->request.id, platform::encodeDispatch(this->request, headers),
        this->route->isRetryable(), *this);
}

auto RequestRun::onSent() -> void
{
    this->sentAt = this->scheduler.clock();
    this->lastDataAt = this->sentAt;
}

auto RequestRun::onAnswerHead(const ServerAnswer &head) -> void
{
    const auto now = this->scheduler.clock();
    this->headSeen = true;
    this->answer = head;
    this->answerAt = now;
    this->lastDataAt = now;
    this->server->lastDataAt = now;
    auto &target = *this->server;
    if (this->promptCounted) {
        target.ownLoad.promptWork -= this->shape.promptWork;
        this->promptCounted = false;
        if (this->shape.engine) {
            this->reportSlot(fleet::SlotEvent::FirstByte);
        }
    }
    const auto *rule = this->forServer();
    const auto coldFor = rule != nullptr ? rule->coldPeriod : Duration(0);
    if (fleet::ServerRegistry::markReachable(target, coldFor, now)) {
        logEvent("server_reachable", {{"server", target.registration.id},
                                      {"cold_ms", std::int64_t{coldFor / milliseconds(1)}}});
    }
    if (head.loadRequests) {
        target.reportedOtherRequests = *head.loadRequests > target.ownLoad.requests
                                           ? *head.loadRequests - target.ownLoad.requests
                                           : 0;
        target.reportedAt = now;
    }
}

auto RequestRun::onAnswerData(std::string_view data) -> void
{
    this->lastDataAt = this->scheduler.clock();
    this->server->lastDataAt = this->lastDataAt;
    const bool success = this->answer.status / StatusClass == SuccessClass;
    if (this->route->streaming && success && this->answer.sealed) {
        this->forwardEvents(data);
        return;
    }
    this->body.append(data);
}

auto RequestRun::forwardEvents(std::string_view data) -> void
{
    const auto taken = this->events.take(data);
    const auto now = this->scheduler.clock();
    if (!taken.events.empty()) {
        if (this->streaming) {
            this->longestGap = std::max(this->longestGap, now - this->lastEventAt);
        }
        this->lastEventAt = now;
        if (!this->streaming) {
            this->streaming = true;
            this->firstByteAt = now;
            this->caller->beginStream(this->answer.status, this->answer.reason,
                                      this->answer.headers);
        }
        this->caller->streamData(taken.events);
        this->paceReading();
    }
    if (taken.gap) {
        this->serverFailed("event_gap");
    }
}

auto RequestRun::paceReading() -> void
{
    const bool slow = this->caller->unsent() > (this->paused ? MostUnsent / 2 : MostUnsent);
    if (slow != this->paused) {
        this->paused = slow;
        this->exchange->pauseReading(slow);
    }
}

auto RequestRun::onAnswerEnd() -> void
{
    if (this->answer.notRun) {
        this->rejectedByServer();
    } else if (this->route->streaming && this->answer.sealed
               && this->answer.status / StatusClass == SuccessClass) {
        if (!this->events.atBoundary() || !this->streaming) {
            this->serverFailed("cut_event");
        } else {
            this->finishExchangeTiming();
            this->endExchange(fleet::AttemptOutcome::Succeeded);
            this->caller->endStream();
            this->scheduler.books.suspects.clear(this->fingerprint);
            this->finish(Cause::None, this->answer.status);
        }
    } else {
        this->deliverWhole();
    }
    this->scheduler.settle();
}

auto RequestRun::deliverWhole() -> void
{
    const bool success = this->answer.status / StatusClass == SuccessClass;
    const bool failed = this->answer.status >= FirstFailureStatus;
    if ((success && !this->answer.sealed)
        || (promisesNotRun(this->answer.status) && !this->answer.notRun)) {
        this->serverFailed("unsealed");
        return;
    }
    if (failed) {
        ++this->serversRun;
        this->mayHaveRun = true;
        if (this->mayRepeat()) {
            this->endExchange(fleet::AttemptOutcome::Failed);
            this->repeat("status " + std::to_string(this->answer.status));
            return;
        }
    } else {
        this->finishExchangeTiming();
    }
    this->endExchange(failed ? fleet::AttemptOutcome::Failed : fleet::AttemptOutcome::Succeeded);
    this->scheduler.books.suspects.clear(this->fingerprint);
    if (this->streaming) {
        // A continued stream cannot turn into another answer.
        this->failUnknown(502, Cause::ServerFailed);
        return;
    }
    this->firstByteAt = this->scheduler.clock();
    this->caller->answer(
        {this->answer.status, this->answer.reason, this->answer.headers, std::move(this->body)});
    this->finish(Cause::None, this->answer.status);
}

auto RequestRun::onAnswerFailed(ExchangeFailure failure) -> void
{
    if (failure == ExchangeFailure::NotSent) {
        const auto id = this->server->registration.id;
        if (fleet::ServerRegistry::markUnreachable(*this->server, this->scheduler.clock())) {
            logEvent("server_unreachable",
                     {{"server", id},
                      {"request_id", this->request.id},
                      {"avoid_ms", std::int64_t{this->server->backoff / milliseconds(1)}}});
        }
        this->slotEvent = fleet::SlotEvent::Unreachable;
        this->endExchange(fleet::AttemptOutcome::Neutral);
        if (++this->unconnected >= MostUnconnected) {
            this->refuseWaiting();
        } else {
            this->tried.insert(id);
            this->step("unreachable", id);
            this->enqueue(RepeatPatience);
        }
    } else {
        this->serverFailed(failure == ExchangeFailure::NoAnswer    ? "no_answer"
                           : failure == ExchangeFailure::Truncated ? "truncated"
                                                                   : "malformed");
    }
    this->scheduler.settle();
}

auto RequestRun::rejectedByServer() -> void
{
    const auto now = this->scheduler.clock();
    auto &target = *this->server;
    const auto id = target.registration.id;
    const bool spare = 2 * target.occupiedSlots(now) < target.registration.slots;
    if (this->answer.otherServer) {
        target.backoffUntil = now + MisdirectedAvoidance;
    } else {
        target.reportedOtherRequests =
            std::max(target.reportedOtherRequests, target.registration.slots);
        target.reportedAt = now;
    }
    this->slotEvent = fleet::SlotEvent::Rejected;
    this->endExchange(spare ? fleet::AttemptOutcome::Failed : fleet::AttemptOutcome::Neutral);
    this->step("rejected", id + " status " + std::to_string(this->answer.status));
    this->tried.insert(id);
    auto &books = this->scheduler.books;
    if (this->sends < MostSends && now + LeastTimeForRepeat < this->finalAt
        && books.retries.tryTake(this->service, books.members.fleetSize(now), now)) {
        this->enqueue(RepeatPatience);
        return;
    }
    this->refuseWaiting();
}

auto RequestRun::serverFailed(std::string_view why) -> void
{
    const auto now = this->scheduler.clock();
    const auto id = this->server->registration.id;
    this->mayHaveRun = true;
    ++this->serversRun;
    if (why == "no_answer" || why == "truncated") {
        auto &suspects = this->scheduler.books.suspects;
        suspects.recordCrash(this->fingerprint, this->server->hash, now);
        if (suspects.isBlocked(this->fingerprint, now)) {
            logEvent("crash_suspect", {{"request_id", this->request.id}, {"server", id}});
        }
    }
    this->endExchange(fleet::AttemptOutcome::Failed);
    this->step("server_failed", id + " " + std::string(why));
    if (this->mayRepeat()) {
        this->repeat(why);
        return;
    }
    this->failUnknown(502, Cause::ServerFailed);
}

auto RequestRun::mayRepeat() -> bool
{
    auto &books = this->scheduler.books;
    const auto now = this->scheduler.clock();
    return this->route->isRetryable() && this->serversRun < this->route->maxAttempts
           && now + LeastTimeForRepeat < this->finalAt
           && !books.suspects.isBlocked(this->fingerprint, now)
           && books.retries.tryTake(this->service, books.members.fleetSize(now), now);
}

auto RequestRun::repeat(std::string_view why) -> void
{
    this->tried.insert(this->server->registration.id);
    this->step(this->streaming ? "resumed" : "retried", std::string(why));
    this->scheduler.metrics.count(this->streaming ? "resumed" : "retried");
    this->enqueue(RepeatPatience);
}

auto RequestRun::finishExchangeTiming() -> void
{
    const auto now = this->scheduler.clock();
    const auto *rule = this->forServer();
    const auto delivered = static_cast<double>(this->events.delivered());
    const double output =
        (rule != nullptr ? rule->tokensPerEvent : 1) * std::max(0.0, delivered - 1);
    fleet::recordResponse(*this->server, this->shape, this->workAhead,
                          this->answerAt - this->sentAt, now - this->answerAt, output);
    this->outputTokens = output;
    if (delivered > 0) {
        this->scheduler.noteOutput(this->route->prefix, output);
    }
}

auto RequestRun::endExchange(fleet::AttemptOutcome verdict) -> void
{
    auto &target = *this->server;
    auto &queue = this->scheduler.queueOf(this->service);
    --queue.runningCount;
    if (verdict == fleet::AttemptOutcome::Succeeded) {
        queue.recordResponseTime(this->scheduler.clock() - this->sentAt);
    }
    --target.ownLoad.requests;
    if (this->promptCounted) {
        target.ownLoad.promptWork -= this->shape.promptWork;
        this->promptCounted = false;
    }
    if (this->scheduler.books.servers.recordOutcome(target, verdict, this->scheduler.clock())) {
        this->scheduler.metrics.count("server_set_aside");
        logEvent("server_set_aside", {{"server", target.registration.id},
                                      {"service", target.registration.service},
                                      {"request_id", this->request.id},
                                      {"service_failures", target.stats.failureRate}});
    }
    this->exchange->cancel();
    this->scheduler.retired.push_back(std::move(this->exchange));
    this->scheduler.dirty.insert(this->service);
    const auto byVerdict = verdict == fleet::AttemptOutcome::Succeeded ? fleet::SlotEvent::Succeeded
                           : verdict == fleet::AttemptOutcome::Failed  ? fleet::SlotEvent::Failed
                                                                       : fleet::SlotEvent::Neutral;
    this->reportSlot(std::exchange(this->slotEvent, std::nullopt).value_or(byVerdict));
}

auto RequestRun::stalled(Instant now) const -> bool
{
    if (!this->exchange || this->paused || !this->route->isRetryable()
        || this->serversRun + 1 >= this->route->maxAttempts) {
        return false;
    }
    const auto limit = this->streaming ? GapStall * this->route->eventGapTarget
                                       : TargetStall * this->route->latencyTarget;
    return now - this->lastDataAt
           > std::max(LeastStall, std::chrono::duration_cast<Duration>(limit));
}

} // namespace banyanring::gateway
