/** @file request_run.h One request in progress, from its arrival to its final response. */
#pragma once

#include "banyanring/gateway/event_stream.h"
#include "banyanring/gateway/scheduler.h"

#include <set>

namespace banyanring::gateway {

/** How a request ended. */
enum class Cause : std::uint8_t {
    None, ///< The response of a backend server was delivered.
    NoConfig, ///< No configuration has been received yet.
    NoRoute, ///< No route matches it.
    BadKey, ///< Its API key is missing, unknown or revoked.
    OverQuota, ///< Its organisation has exceeded its quota.
    CrashSuspect, ///< The same request is suspected of crashing servers.
    Overload, ///< It waited too long in the queue, or would have.
    NoServer, ///< No server of the service is registered.
    TimedOut, ///< Its deadline passed.
    ServerFailed, ///< The server closed the connection or sent an invalid response.
    CallerGone, ///< The caller disconnected.
    Stopping, ///< The process is about to stop.
};

/**
 * One request in progress, from its arrival to its final response. Only this class may tell the
 * caller that a request was not executed. It does so only if no byte of the request was sent to any
 * server, or if every server that received it has stated that it did not execute it.
 */
class RequestRun : public ExchangeListener
{
public:
    /**
     * @param scheduler Owner of this object.
     * @param number Request number, unique on this node.
     * @param caller Receives the response.
     * @param request The caller's request.
     */
    RequestRun(Scheduler &scheduler, std::uint64_t number, CallerPortPtr caller,
               CallerRequest request);

    /** Checks the request and queues it, or rejects it. */
    auto begin() -> void;

    /** Resumes admission after the quota query was answered or timed out. */
    auto advised() -> void;

    /**
     * Tries to dispatch the request to a server, by this node's state.
     * @return Whether it was dispatched.
     */
    auto tryPlace() -> bool;

    /**
     * Handles the reply to the slot request.
     * @param reply The reply.
     */
    auto slotAnswered(const fleet::SlotReply &reply) -> void;

    /** Handles the timeout of the slot request: places the request by this node's state. */
    auto slotSilent() -> void;

    /** @return Whether a slot request is pending. */
    auto awaitsSlot() const -> bool
    {
        return this->slotAwaited;
    }
    /** @return Whether the given slot request is pending. */
    auto awaitsSlot(std::uint64_t ask) const -> bool
    {
        return this->slotAwaited && this->askNumber == ask;
    }
    /** @return The slot that this request holds, if any. */
    auto holding() const -> std::optional<fleet::SlotHolding>;

    /** @return Number of the request that a slot request belongs to. */
    static auto runOfAsk(std::uint64_t ask) -> std::uint64_t
    {
        return ask / AsksPerRun;
    }

    /** Ends a request that has waited too long in the queue. */
    auto refuseWaiting() -> void;

    /** Ends the request, because the caller has disconnected. */
    auto callerGone() -> void;

    /**
     * Checks the deadline, and whether the server has stalled.
     * @param now Current time.
     */
    auto checkTimeouts(Instant now) -> void;

    /** @return Whether the request has ended. */
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
    static constexpr std::uint64_t AsksPerRun =
        256; ///< More than the slot requests of one request.

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
    auto endExchange(fleet::ServerVerdict verdict) -> void;
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
    auto forServer() const -> const fleet::ServiceRule *;
    auto tier() const -> std::uint32_t;
    auto urgency() const -> std::uint32_t;

    Scheduler &scheduler;
    std::uint64_t number;
    CallerPortPtr caller;
    CallerRequest request;
    fleet::FleetConfigPtr config; ///< Keeps the pointers into the configuration valid.
    const fleet::RouteRule *route = nullptr;
    const fleet::OrganisationRule *organisation = nullptr;
    std::string service;
    fleet::RequestShape shape;
    std::uint64_t fingerprint = 0;
    double units = 0; ///< Charged to the organisation's quota.
    Instant finalAt{}; ///< Deadline of the final response.
    Instant firstByteAt{}; ///< First byte sent to the caller; 0 for none.
    Instant lastEventAt{}; ///< Last events sent to the caller.
    Duration longestGap{}; ///< Longest gap between events sent to the caller.

    std::unique_ptr<Exchange> exchange;
    fleet::ServerPtr server; ///< Server of the current exchange.
    ServerAnswer answer; ///< Response header of the current exchange.
    bool headSeen = false;
    Instant sentAt{};
    Instant answerAt{}; ///< First byte of the response of the current exchange.
    Instant lastDataAt{};
    double workAhead = 0; ///< Prompt work at the server at the dispatch, this request included.
    bool promptCounted = false; ///< Its prompt work is included in the server's load.
    std::string body; ///< Body of a response that is not streamed.

    EventStream events;
    bool streaming = false; ///< The header of a stream was sent to the caller.
    bool paused = false; ///< Reading the server's response is paused, because the caller is slow.
    bool mayHaveRun = false; ///< A server may have executed it.
    std::uint32_t serversRun = 0; ///< Number of servers that may have executed it.
    std::uint32_t sends = 0; ///< Number of dispatches, including failed ones.
    std::uint32_t unconnected = 0; ///< Number of connections that could not be opened.
    std::set<std::string> tried; ///< Ids of servers not to try again.
    bool adviceAwaited = false; ///< A quota query is pending.
    bool waiting = false; ///< It is in the queue of its service.
    Instant dueAt{}; ///< Latest dispatch time that meets the latency target.
    Instant waitsUntil{}; ///< Time at which it is rejected if still queued.
    std::uint64_t askNumber = 0; ///< Of the last slot request, or of a slot taken without one.
    bool slotAwaited = false; ///< A slot request is pending.
    bool queuedOnce = false; ///< The expected wait was reported at least once.
    std::optional<fleet::SlotEvent>
        slotEvent; ///< Slot event to report in place of the one that follows from the verdict.
    double outputTokens = 0; ///< Output tokens after the first byte of the last complete response.
    bool isDone = false;
    std::vector<RequestStep> steps;
};

/**
 * Returns the name of an outcome for logs and metrics.
 * @param cause The outcome.
 * @return Name in snake case.
 */
auto causeName(Cause cause) -> std::string_view;

} // namespace banyanring::gateway
