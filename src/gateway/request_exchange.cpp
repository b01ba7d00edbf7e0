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
    const auto dueAt = this->request.arrivedAt + this->route->target;
    this->shape.timeLeftMs = static_cast<double>((this->finalAt - now).count()) / 1000;
    this->shape.targetMs = std::max(0.0, static_cast<double>((dueAt - now).count()) / 1000);
    const auto usable = [&](const fleet::Server &candidate) {
        return this->scheduler.usable(candidate, now) && (!coldOnly || candidate.cold(now))
               && !this->tried.contains(candidate.entry.id);
    };
    const auto coldGate = [&](const fleet::Server &candidate) {
        if (rule == nullptr || rule->coldPerSecond <= 0) {
            return true;
        }
        const auto owners = books.colds.owners(*rule, fleetSize);
        return books.members.ownsCold(candidate.number, owners, now)
               && books.colds.allows(candidate.number, *rule, fleetSize, now);
    };
    const auto choice = fleet::choosePlacement(books.servers.ofService(this->service), this->shape,
                                               usable, coldGate, now);
    if (!choice.server || (coldOnly && choice.poor)) {
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
    ++queue.running;
    if (this->sends == 0) {
        books.retries.noteRequest(this->service, now);
        queue.waiting.noteServed(this->organisation ? hashName(this->organisation->name) : 0,
                                 this->cost(), now);
    }
    ++this->sends;
    this->server = chosen;
    this->step("placed", chosen->entry.id + " holds " + std::to_string(chosen->occupied(now)) + "/"
                             + std::to_string(chosen->entry.slots));
    ++chosen->own.requests;
    chosen->own.promptWork += this->shape.promptWork;
    this->promptCounted = true;
    this->workAhead = chosen->own.promptWork + chosen->peers.promptWork;
    if (chosen->cold(now)) {
        books.colds.note(chosen->number, now);
    }
    this->headSeen = false;
    this->paused = false;
    this->answer = {};
    this->body.clear();
    this->events.restart();
    this->sentAt = now;
    this->lastDataAt = now;
    platform::DispatchHeaders headers;
    headers.server = chosen->entry.id;
    if (this->organisation != nullptr) {
        headers.organisation = this->organisation->name;
    }
    headers.timeLeft = this->finalAt - now;
    headers.lastEvent = this->events.last();
    this->exchange = this->scheduler.serverPort.send(
        chosen, this->request.id, platform::encodeDispatch(this->request, headers),
        this->route->repeatable(), *this);
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
    this->server->heardAt = now;
    auto &target = *this->server;
    if (this->promptCounted) {
        target.own.promptWork -= this->shape.promptWork;
        this->promptCounted = false;
        if (this->shape.engine) {
            this->reportSlot(fleet::SlotEvent::FirstByte);
        }
    }
    const auto *rule = this->forServer();
    const auto coldFor = rule != nullptr ? rule->coldFor : Duration(0);
    if (fleet::ServerBook::noteReachable(target, coldFor, now)) {
        logEvent("server_reachable", {{"server", target.entry.id},
                                      {"cold_ms", std::int64_t{coldFor / milliseconds(1)}}});
    }
    if (head.loadRequests) {
        target.reportedOthers =
            *head.loadRequests > target.own.requests ? *head.loadRequests - target.own.requests : 0;
        target.reportedAt = now;
    }
}

auto RequestRun::onAnswerData(std::string_view data) -> void
{
    this->lastDataAt = this->scheduler.clock();
    this->server->heardAt = this->lastDataAt;
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
            this->endExchange(fleet::ServerVerdict::Good);
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
            this->endExchange(fleet::ServerVerdict::Failed);
            this->repeat("status " + std::to_string(this->answer.status));
            return;
        }
    } else {
        this->finishExchangeTiming();
    }
    this->endExchange(failed ? fleet::ServerVerdict::Failed : fleet::ServerVerdict::Good);
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
        const auto id = this->server->entry.id;
        if (fleet::ServerBook::noteUnreachable(*this->server, this->scheduler.clock())) {
            logEvent("server_unreachable",
                     {{"server", id},
                      {"request_id", this->request.id},
                      {"avoid_ms", std::int64_t{this->server->avoidFor / milliseconds(1)}}});
        }
        this->slotEvent = fleet::SlotEvent::Unreachable;
        this->endExchange(fleet::ServerVerdict::Neutral);
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
    const auto id = target.entry.id;
    const bool spare = 2 * target.occupied(now) < target.entry.slots;
    if (this->answer.otherServer) {
        target.avoidUntil = now + MisdirectedAvoidance;
    } else {
        target.reportedOthers = std::max(target.reportedOthers, target.entry.slots);
        target.reportedAt = now;
    }
    this->slotEvent = fleet::SlotEvent::Rejected;
    this->endExchange(spare ? fleet::ServerVerdict::Failed : fleet::ServerVerdict::Neutral);
    this->step("rejected", id + " status " + std::to_string(this->answer.status));
    this->tried.insert(id);
    auto &books = this->scheduler.books;
    if (this->sends < MostSends && now + LeastTimeForRepeat < this->finalAt
        && books.retries.take(this->service, books.members.fleetSize(now), now)) {
        this->enqueue(RepeatPatience);
        return;
    }
    this->refuseWaiting();
}

auto RequestRun::serverFailed(std::string_view why) -> void
{
    const auto now = this->scheduler.clock();
    const auto id = this->server->entry.id;
    this->mayHaveRun = true;
    ++this->serversRun;
    if (why == "no_answer" || why == "truncated") {
        auto &suspects = this->scheduler.books.suspects;
        suspects.note(this->fingerprint, this->server->number, now);
        if (suspects.refused(this->fingerprint, now)) {
            logEvent("crash_suspect", {{"request_id", this->request.id}, {"server", id}});
        }
    }
    this->endExchange(fleet::ServerVerdict::Failed);
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
    return this->route->repeatable() && this->serversRun < this->route->maxServers
           && now + LeastTimeForRepeat < this->finalAt
           && !books.suspects.refused(this->fingerprint, now)
           && books.retries.take(this->service, books.members.fleetSize(now), now);
}

auto RequestRun::repeat(std::string_view why) -> void
{
    this->tried.insert(this->server->entry.id);
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
    fleet::learnPace(*this->server, this->shape, this->workAhead, this->answerAt - this->sentAt,
                     now - this->answerAt, output);
    this->outputTokens = output;
    if (delivered > 0) {
        this->scheduler.noteOutput(this->route->prefix, output);
    }
}

auto RequestRun::endExchange(fleet::ServerVerdict verdict) -> void
{
    auto &target = *this->server;
    auto &queue = this->scheduler.queueOf(this->service);
    --queue.running;
    if (verdict == fleet::ServerVerdict::Good) {
        queue.noteAnswer(this->scheduler.clock() - this->sentAt);
    }
    --target.own.requests;
    if (this->promptCounted) {
        target.own.promptWork -= this->shape.promptWork;
        this->promptCounted = false;
    }
    if (this->scheduler.books.servers.judge(target, verdict, this->scheduler.clock())) {
        this->scheduler.metrics.count("server_set_aside");
        logEvent("server_set_aside", {{"server", target.entry.id},
                                      {"service", target.entry.service},
                                      {"request_id", this->request.id},
                                      {"service_failures", target.pace.failures}});
    }
    this->exchange->cancel();
    this->scheduler.retired.push_back(std::move(this->exchange));
    this->scheduler.dirty.insert(this->service);
    const auto byVerdict = verdict == fleet::ServerVerdict::Good     ? fleet::SlotEvent::Good
                           : verdict == fleet::ServerVerdict::Failed ? fleet::SlotEvent::Failed
                                                                     : fleet::SlotEvent::Neutral;
    this->reportSlot(std::exchange(this->slotEvent, std::nullopt).value_or(byVerdict));
}

auto RequestRun::stalled(Instant now) const -> bool
{
    if (!this->exchange || this->paused || !this->route->repeatable()
        || this->serversRun + 1 >= this->route->maxServers) {
        return false;
    }
    const auto limit =
        this->streaming ? GapStall * this->route->gapTarget : TargetStall * this->route->target;
    return now - this->lastDataAt
           > std::max(LeastStall, std::chrono::duration_cast<Duration>(limit));
}

} // namespace banyanring::gateway
