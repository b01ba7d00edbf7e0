/** @file request_run.cpp A request's admission, waiting and final answer. */
#include "banyanring/gateway/request_run.h"

#include "banyanring/adapters/log_func.h"
#include "request_headers.h"
#include "seconds_text_func.h"

#include <algorithm>
#include <boost/container_hash/hash.hpp>

namespace banyanring::gateway {

namespace {

using std::chrono::milliseconds;

constexpr Duration DefaultTimeout = std::chrono::seconds(30); ///< Where route and caller set none.
/** Callers abandon a silent stream after the longest of these; see docs/PLATFORM.md. */
constexpr Duration StreamPatience = milliseconds(2000);
constexpr int TargetPatience = 4; ///< Times the latency target.
constexpr int GapPatience = 8; ///< Times the longest pause.
/** Part of the caller's patience that a request may wait; the rest is for its service. */
constexpr double QueuePatience = 0.25;
/** Expected times to the first byte are averages; a request is sent while twice as long fits. */
constexpr double FirstByteMargin = 2;
/** Bursts last for seconds: callers are sent away for as long as they are ready to wait. */
constexpr int RetryAfterPart = 3;
constexpr Duration RepeatDue = milliseconds(100); ///< A repeat is urgent.
constexpr Duration ShortRetryAfter = milliseconds(250); ///< The cause passes quickly.
constexpr Duration LongestRetryAfter = std::chrono::seconds(5); ///< Callers wait no longer.
/** Tiers of routes order the requests inside a tier of organisations. */
constexpr std::uint32_t TierStep = 256;
constexpr std::size_t LogDetailLimit = 200; ///< Longest detail of a step.

/** @return HTTP reason phrase of an answer of our own. */
auto phraseOf(int status) -> std::string
{
    switch (status) {
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 429:
        return "Too Many Requests";
    case 502:
        return "Bad Gateway";
    case 504:
        return "Gateway Timeout";
    default:
        return "Service Unavailable";
    }
}

} // namespace

auto causeName(Cause cause) -> std::string_view
{
    switch (cause) {
    case Cause::None:
        return "answered";
    case Cause::NoConfig:
        return "no_config";
    case Cause::NoRoute:
        return "no_route";
    case Cause::BadKey:
        return "bad_key";
    case Cause::OverQuota:
        return "over_quota";
    case Cause::CrashSuspect:
        return "crash_suspect";
    case Cause::Overload:
        return "overload";
    case Cause::NoServer:
        return "no_server";
    case Cause::TimedOut:
        return "timed_out";
    case Cause::ServerFailed:
        return "server_failed";
    case Cause::CallerGone:
        return "caller_gone";
    case Cause::Stopping:
        return "stopping";
    }
    return "unknown";
}

RequestRun::RequestRun(Scheduler &scheduler, std::uint64_t number, CallerPortPtr caller,
                       CallerRequest request)
    : scheduler(scheduler), number(number), caller(std::move(caller)), request(std::move(request)),
      events(this->request.lastEvent)
{
}

auto RequestRun::begin() -> void
{
    auto &books = this->scheduler.books;
    this->config = books.config.current();
    if (!this->config) {
        this->refuse(503, Cause::NoConfig, ShortRetryAfter);
        return;
    }
    if (this->scheduler.refusing) {
        this->refuse(503, Cause::Stopping, ShortRetryAfter);
        return;
    }
    this->route = books.config.findRoute(this->request.host, this->request.path);
    if (this->route == nullptr) {
        this->refuse(404, Cause::NoRoute, Duration(0));
        return;
    }
    if (!this->authorise()) {
        this->refuse(401, Cause::BadKey, Duration(0));
        return;
    }
    const auto timeout = this->route->timeout > Duration(0) ? this->route->timeout : DefaultTimeout;
    this->finalAt =
        this->request.arrivedAt + std::min(timeout, this->request.timeLeft.value_or(timeout));
    boost::hash_combine(this->fingerprint, this->request.target);
    boost::hash_combine(this->fingerprint, this->request.body);
    boost::hash_combine(this->fingerprint, this->organisation ? this->organisation->name : "");
    if (books.suspects.refused(this->fingerprint, this->scheduler.clock())) {
        this->refuse(503, Cause::CrashSuspect, LongestRetryAfter);
        return;
    }
    auto *advice = this->scheduler.advicePort;
    if (this->organisation != nullptr && advice != nullptr
        && advice->askSpent(this->number, *this->organisation, this->quotaUnits())) {
        this->adviceAwaited = true;
        return;
    }
    this->admit();
}

auto RequestRun::advised() -> void
{
    if (std::exchange(this->adviceAwaited, false) && !this->isDone) {
        this->admit();
    }
}

auto RequestRun::admit() -> void
{
    if (!this->chargeQuota()) {
        return;
    }
    this->chooseService();
    this->enqueue(std::chrono::duration_cast<Duration>(this->patience() * QueuePatience));
}

auto RequestRun::chooseService() -> void
{
    std::vector<double> weights;
    for (const auto &target : this->route->targets) {
        weights.push_back(target.weight);
    }
    std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
    this->service = this->route->targets.at(pick(this->scheduler.random)).service;
    const auto *rule = this->forServer();
    this->shape.engine = rule != nullptr && rule->engine;
    this->shape.promptWork = fleet::promptWork(this->request.promptTokens);
    this->shape.outputTokens =
        this->scheduler.usualOutput(this->route->prefix, this->request.outputTokens);
    this->shape.longestOutput = this->request.expectedOutput.value_or(0);
    if (this->shape.engine) {
        this->shape.eventTargetMs =
            static_cast<double>(this->route->gapTarget.count()) / 1000 / rule->tokensPerEvent;
    }
    this->shape.node = this->scheduler.nodeHash;
}

auto RequestRun::authorise() -> bool
{
    if (!this->config->keysNeeded || this->route->open) {
        return true;
    }
    this->organisation = this->scheduler.books.config.findOrganisation(this->request.key);
    return this->organisation != nullptr;
}

auto RequestRun::quotaUnits() const -> double
{
    return this->organisation->countsTokens && this->request.countsTokens
               ? this->request.promptTokens + this->request.outputTokens
               : this->organisation->plainUnits;
}

auto RequestRun::chargeQuota() -> bool
{
    if (this->organisation == nullptr) {
        return true;
    }
    auto &books = this->scheduler.books;
    const auto now = this->scheduler.clock();
    const auto cost = this->quotaUnits();
    const auto part = books.members.reachablePart(now);
    const auto decision = books.quotas.admit(*this->organisation, cost, part, now);
    if (!decision.admitted) {
        const auto whole = [](double units) {
            return std::to_string(static_cast<std::int64_t>(units));
        };
        this->step("over_quota",
                   whole(cost) + " units on " + whole(decision.spent) + " spent of "
                       + whole(decision.usable) + " usable, part of the fleet in contact "
                       + std::to_string(part) + ", total told "
                       + std::to_string(decision.toldAge / milliseconds(1)) + " ms ago");
        this->refuse(429, Cause::OverQuota,
                     this->comeBackAfter(books.quotas.retryAfter(*this->organisation, cost, now)));
        return false;
    }
    this->units = cost;
    return true;
}

auto RequestRun::patience() const -> Duration
{
    const auto whole = this->finalAt - this->request.arrivedAt;
    if (!this->route->streaming) {
        return whole;
    }
    return std::min(whole, std::max({StreamPatience, TargetPatience * this->route->target,
                                     GapPatience * this->route->gapTarget}));
}

auto RequestRun::tier() const -> std::uint32_t
{
    if (this->organisation != nullptr && this->organisation->tier) {
        return *this->organisation->tier;
    }
    return this->route->tier;
}

auto RequestRun::urgency() const -> std::uint32_t
{
    return this->tier() * TierStep + std::min(this->route->tier, TierStep - 1);
}

auto RequestRun::forServer() const -> const fleet::ServiceRule *
{
    return this->scheduler.books.config.findService(this->service);
}

auto RequestRun::enqueue(Duration longestWait) -> void
{
    const auto now = this->scheduler.clock();
    auto &queue = this->scheduler.queueOf(this->service);
    const auto first = milliseconds(static_cast<std::int64_t>(
        FirstByteMargin * fleet::expectedFirstMs(fleet::Server{}, this->shape)));
    const auto organisationId = this->organisation ? nameId(this->organisation->name) : 0;
    const bool again = this->sends > 0;
    this->dueAt = again ? now + RepeatDue : this->request.arrivedAt + this->route->target - first;
    this->waitsUntil = std::min(now + longestWait, this->finalAt);
    this->askNumber = std::max(this->askNumber, this->number * AsksPerRun) + 1;
    this->waiting = true;
    queue.waiting.push({this->number, this->urgency(), organisationId, this->cost(), this->dueAt,
                        this->waitsUntil});
    if (!this->askSlot()) {
        this->placeOrWait();
    }
}

auto RequestRun::cost() const -> double
{
    return 1 + this->shape.promptWork + this->shape.outputTokens;
}

auto RequestRun::comeBackAfter(Duration wait) const -> Duration
{
    const auto left = this->finalAt - this->scheduler.clock();
    return std::max({ShortRetryAfter, wait, left / RetryAfterPart});
}

auto RequestRun::refuseWaiting() -> void
{
    this->scheduler.queueOf(this->service).waiting.remove(this->number);
    this->waiting = false;
    const auto cause = this->scheduler.books.servers.ofService(this->service).empty()
                           ? Cause::NoServer
                           : Cause::Overload;
    if (!this->mayHaveRun) {
        this->refuse(
            503, cause,
            this->comeBackAfter(this->scheduler.expectedWait(this->service, this->urgency())));
        return;
    }
    this->failUnknown(502, cause);
}

auto RequestRun::callerGone() -> void
{
    if (this->isDone) {
        return;
    }
    if (this->exchange) {
        this->endExchange(fleet::ServerVerdict::Neutral);
    }
    this->finish(Cause::CallerGone, 0);
}

auto RequestRun::checkTimeouts(Instant now) -> void
{
    if (now >= this->finalAt) {
        const bool sent = this->exchange != nullptr;
        if (sent) {
            this->mayHaveRun = true;
            this->endExchange(fleet::ServerVerdict::Neutral);
        }
        if (!this->mayHaveRun) {
            this->refuse(503, Cause::TimedOut, ShortRetryAfter);
            return;
        }
        this->failUnknown(504, Cause::TimedOut);
        return;
    }
    if (this->exchange) {
        this->paceReading();
    }
    if (this->stalled(now)) {
        this->serverFailed("stalled");
    }
}

auto RequestRun::refuse(int status, Cause cause, Duration retryAfter) -> void
{
    if (this->units > 0 && this->organisation != nullptr) {
        this->scheduler.books.quotas.giveBack(this->organisation->name, this->units,
                                              this->scheduler.clock());
    }
    WholeAnswer refusal{status, phraseOf(status), {}, ""};
    if (retryAfter > Duration(0)) {
        refusal.headers.emplace_back("Retry-After",
                                     secondsText(std::min(retryAfter, LongestRetryAfter)));
    }
    if (!this->request.id.empty()) {
        refusal.headers.emplace_back(platform::attemptHeader(), this->request.id);
    }
    this->caller->answer(std::move(refusal));
    this->finish(cause, status);
}

auto RequestRun::failUnknown(int status, Cause cause) -> void
{
    if (this->streaming) {
        this->caller->abort();
        this->finish(cause, 0);
        return;
    }
    WholeAnswer failure{status, phraseOf(status), {}, ""};
    if (!this->request.id.empty()) {
        failure.headers.emplace_back(platform::attemptHeader(), this->request.id);
    }
    this->caller->answer(std::move(failure));
    this->finish(cause, status);
}

auto RequestRun::finish(Cause cause, int status) -> void
{
    const auto now = this->scheduler.clock();
    this->isDone = true;
    if (std::exchange(this->slotAwaited, false)) {
        this->scheduler.slotPort->withdraw(this->askNumber);
    }
    if (this->waiting) {
        this->scheduler.queueOf(this->service).waiting.remove(this->number);
        this->waiting = false;
    }
    const auto first = this->firstByteAt > Instant(0) ? this->firstByteAt : now;
    const std::uint32_t tier = this->route != nullptr ? this->tier() : 0;
    this->scheduler.metrics.noteEnd({this->service, tier, std::string(causeName(cause))},
                                    first - this->request.arrivedAt, now - this->request.arrivedAt);
    this->step(causeName(cause), status > 0 ? "status " + std::to_string(status) : "");
    this->writeLog(cause, status);
    this->caller.reset();
    this->scheduler.finished.push_back(this->number);
}

auto RequestRun::step(std::string_view what, std::string detail) -> void
{
    this->steps.push_back(
        {this->scheduler.clock() - this->request.arrivedAt, what, std::move(detail)});
}

auto RequestRun::writeLog(Cause cause, int status) -> void
{
    const auto now = this->scheduler.clock();
    std::vector<std::string> story;
    for (const auto &one : this->steps) {
        const auto at = std::chrono::duration_cast<milliseconds>(one.after);
        std::string text = "+" + std::to_string(at.count()) + " ms " + std::string(one.what);
        if (!one.detail.empty()) {
            text += ": " + one.detail.substr(0, LogDetailLimit);
        }
        story.push_back(std::move(text));
    }
    const auto took = std::chrono::duration_cast<milliseconds>(now - this->request.arrivedAt);
    const auto first = std::chrono::duration_cast<milliseconds>(
        this->firstByteAt > Instant(0) ? this->firstByteAt - this->request.arrivedAt : Duration(0));
    const auto gap = std::chrono::duration_cast<milliseconds>(this->longestGap);
    const bool calm = cause == Cause::None && status < 500;
    logEvent("request",
             {{"request_id", this->request.id},
              {"outcome", std::string(causeName(cause))},
              {"status", std::int64_t{status}},
              {"route", this->route != nullptr ? this->route->name : ""},
              {"organisation", this->organisation != nullptr ? this->organisation->name : ""},
              {"config", static_cast<std::int64_t>(this->config ? this->config->version : 0)},
              {"may_have_run", this->mayHaveRun || cause == Cause::None},
              {"took_ms", std::int64_t{took.count()}},
              {"first_byte_ms", std::int64_t{first.count()}},
              {"longest_gap_ms", std::int64_t{gap.count()}},
              {"prompt_tokens", this->request.promptTokens},
              {"expected_output_tokens", this->shape.outputTokens},
              {"steps", std::move(story)}},
             calm ? LogLevel::Info : LogLevel::Warning);
    this->scheduler.remember({this->request.id, std::move(this->steps)});
}

} // namespace banyanring::gateway
