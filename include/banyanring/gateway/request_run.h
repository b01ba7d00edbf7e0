/** @file request_run.h One request from its arrival to its final answer. */
#pragma once

#include "banyanring/gateway/event_stream.h"
#include "banyanring/gateway/scheduler.h"

#include <set>

namespace banyanring::gateway {

/** Why a request got an answer of our own. */
enum class Cause : std::uint8_t {
    None, ///< A server answered it.
    NoConfig, ///< No configuration is known yet.
    NoRoute, ///< No route takes it.
    BadKey, ///< Its key is missing, unknown or withdrawn.
    OverQuota, ///< Its organisation is beyond its limit.
    CrashSuspect, ///< Requests like it crashed servers.
    Overload, ///< It would have waited too long.
    NoServer, ///< No server of the service may be used.
    TimedOut, ///< Its time was over.
    ServerFailed, ///< The server broke off or answered wrongly.
    CallerGone, ///< The caller left.
    Stopping, ///< The process is about to end.
};

/**
 * One request from its arrival to its final answer. Only this class may state that a request has
 * not run, and it does so only while no server was sent a byte of it, or each server that was has
 * stated that it did not run it.
 */
class RequestRun : public ExchangeListener
{
public:
    /**
     * @param scheduler Owns this run.
     * @param number Number of the run.
     * @param caller Where the answer goes.
     * @param request The request.
     */
    RequestRun(Scheduler &scheduler, std::uint64_t number, CallerPortPtr caller,
               CallerRequest request);

    /** Checks the request and queues it, or refuses it. */
    auto begin() -> void;

    /** Other nodes were asked what they know; goes on with what is known now. */
    auto advised() -> void;

    /**
     * Tries to send it to a server.
     * @return Whether it was sent, or ended.
     */
    auto tryPlace() -> bool;

    /**
     * Takes the reply to its ask for a slot.
     * @param reply The reply.
     */
    auto slotAnswered(const fleet::SlotReply &reply) -> void;

    /** Its ask for a slot gets no answer: places it by what this node knows. */
    auto slotSilent() -> void;

    /** @return Whether it awaits a slot from a keeper. */
    auto awaitsSlot() const -> bool
    {
        return this->slotAwaited;
    }
    /** @return Whether it awaits a slot by an ask. */
    auto awaitsSlot(std::uint64_t ask) const -> bool
    {
        return this->slotAwaited && this->askNumber == ask;
    }
    /** @return The slot that it holds, if any. */
    auto holding() const -> std::optional<fleet::HeldSlot>;

    /** @return Number of the run that an ask belongs to. */
    static auto runOfAsk(std::uint64_t ask) -> std::uint64_t
    {
        return ask / AsksPerRun;
    }

    /** Refuses it: it has waited for too long. */
    auto refuseWaiting() -> void;

    /** The caller has left. */
    auto callerGone() -> void;

    /**
     * Checks time limits.
     * @param now The present.
     */
    auto checkTimeouts(Instant now) -> void;

    /** @return Whether the final answer is given. */
    auto done() const -> bool
    {
        return this->isDone;
    }

    auto onSent() -> void override;
    auto onAnswerHead(const ServerAnswer &answer) -> void override;
    auto onAnswerData(std::string_view data) -> void override;
    auto onAnswerEnd() -> void override;
    auto onAnswerFailed(ExchangeFailure failure) -> void override;

private:
    static constexpr std::uint64_t AsksPerRun = 256; ///< More than a run can be sent.

    auto authorise() -> bool;
    auto admit() -> void;
    auto quotaUnits() const -> double;
    auto cost() const -> double;
    auto chargeQuota() -> bool;
    auto chooseService() -> void;
    auto enqueue(Duration patience) -> void;
    auto askSlot() -> bool;
    auto noteQueued(Duration wait) -> void;
    auto placeOrWait() -> void;
    auto refuseLongWait(Duration wait) -> bool;
    auto place(bool coldOnly) -> bool;
    auto reportSlot(fleet::SlotEvent event) -> void;
    auto dispatch(const fleet::ServerPtr &server) -> void;
    auto endExchange(fleet::AttemptOutcome verdict) -> void;
    auto finishExchangeTiming() -> void;
    auto rejectedByServer() -> void;
    auto serverFailed(std::string_view why) -> void;
    auto mayRepeat() -> bool;
    auto repeat(std::string_view why) -> void;
    auto forwardEvents(std::string_view data) -> void;
    auto paceReading() -> void;
    auto deliverWhole() -> void;
    auto refuse(int status, Cause cause, Duration retryAfter) -> void;
    auto failUnknown(int status, Cause cause) -> void;
    auto finish(Cause cause, int status) -> void;
    auto step(std::string_view what, std::string detail = {}) -> void;
    auto writeLog(Cause cause, int status) -> void;
    auto stalled(Instant now) const -> bool;
    auto patience() const -> Duration;
    auto comeBackAfter(Duration wait) const -> Duration;
    auto forServer() const -> const fleet::ServiceConfig *;
    auto tier() const -> std::uint32_t;
    auto urgency() const -> std::uint32_t;

    Scheduler &scheduler;
    std::uint64_t number;
    CallerPortPtr caller;
    CallerRequest request;
    fleet::FleetConfigPtr config; ///< Kept, as the route lies in it.
    const fleet::RouteConfig *route = nullptr;
    const fleet::OrganisationConfig *organisation = nullptr;
    std::string service;
    fleet::RequestProfile shape;
    std::uint64_t fingerprint = 0;
    double units = 0; ///< Counted against the organisation's limit.
    Instant finalAt{}; ///< The final answer is due.
    Instant firstByteAt{}; ///< First byte to the caller.
    Instant lastEventAt{}; ///< Last events to the caller.
    Duration longestGap{}; ///< Longest pause between events to the caller.

    std::unique_ptr<Exchange> exchange;
    fleet::ServerPtr server; ///< Of the present exchange.
    ServerAnswer answer; ///< Head of the present exchange's answer.
    bool headSeen = false;
    Instant sentAt{};
    Instant answerAt{}; ///< First byte of the present exchange's answer.
    Instant lastDataAt{};
    double workAhead = 0; ///< Prompt work at the server when it was sent.
    bool promptCounted = false; ///< Its prompt counts as unread at the server.
    std::string body; ///< Collected body of a whole answer.

    EventStream events;
    bool streaming = false; ///< The caller has got the head of a stream.
    bool paused = false; ///< The server's answer is not read, as the caller is slow.
    bool mayHaveRun = false; ///< Some server may have run it.
    std::uint32_t serversRun = 0; ///< Servers that may have run it.
    std::uint32_t sends = 0; ///< Dispatches, whatever became of them.
    std::uint32_t unconnected = 0; ///< Connections that could not be opened.
    std::set<std::string> tried; ///< Servers that are not tried again.
    bool adviceAwaited = false; ///< The keepers of its organisation's account were asked.
    bool waiting = false;
    Instant dueAt{}; ///< Sent after this, it misses its latency target.
    Instant waitsUntil{}; ///< It is refused if it still waits then.
    std::uint64_t askNumber = 0; ///< Of the last ask for a slot, or of a slot taken without one.
    bool slotAwaited = false; ///< A keeper was asked for a slot.
    bool queuedOnce = false; ///< A keeper has told how long it may wait.
    std::optional<fleet::SlotEvent> slotEvent; ///< Overrides what the verdict says of the slot.
    double outputTokens = 0; ///< Output tokens of the last whole answer after its first byte.
    bool isDone = false;
    std::vector<RequestStep> steps;
};

/**
 * Names a cause for logs and metrics.
 * @param cause The cause.
 * @return Lower-case words joined by underscores.
 */
auto causeName(Cause cause) -> std::string_view;

} // namespace banyanring::gateway
