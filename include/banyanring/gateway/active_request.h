/** @file active_request.h One request in progress, from its arrival to its final response. */
#pragma once

#include "banyanring/gateway/event_stream_parser.h"
#include "banyanring/gateway/move_attempt.h"
#include "banyanring/gateway/request_outcome.h"
#include "banyanring/gateway/response_buffer.h"
#include "banyanring/gateway/scheduler.h"

#include <set>
#include <span>

namespace banyanring::gateway {

/**
 * One request in progress, from its arrival to its final response. Only this class may tell the
 * caller that a request was not executed. It does so only if no byte of the request was sent to any
 * server, or if every server that received it has stated that it did not execute it.
 */
class ActiveRequest : public ExchangeObserver
{
public:
    /**
     * @param scheduler Owner of this object.
     * @param number Request number, unique on this node.
     * @param caller Receives the response.
     * @param request The caller's request.
     */
    ActiveRequest(Scheduler &scheduler, std::uint64_t number, CallerPortPtr caller,
                  CallerRequest request);

    /** Checks the request and queues it, or rejects it. */
    auto start() -> void;

    /** Resumes admission after the usage query was completed or timed out. */
    auto onUsageQueryDone() -> void;

    /**
     * Tries to dispatch the request to a server, by this node's state.
     * @return Whether it was dispatched.
     */
    auto tryPlace() -> bool;

    /**
     * Handles the reply to the slot request.
     * @param reply The reply.
     */
    auto onSlotReply(const fleet::SlotReply &reply) -> void;

    /**
     * Handles the timeout of a slot request: places the request by this node's state.
     * @param id Id of the slot request.
     */
    auto onSlotTimeout(std::uint64_t id) -> void;

    /** @return Whether a slot request is pending. */
    auto isSlotPending() const -> bool
    {
        return this->slotRequestPending;
    }
    /** @return Whether the given slot request is pending. */
    auto isSlotPending(std::uint64_t id) const -> bool
    {
        return this->moveRequestId == id || (this->slotRequestPending && this->slotRequestId == id);
    }
    /** Appends the slots that this request holds. */
    auto appendHeldSlots(std::vector<fleet::HeldSlot> &slots) const -> void;

    /**
     * Handles the first response to a move: takes the new exchange over if the server runs the
     * request, and otherwise keeps the former one.
     * @param header Header of the response.
     * @return Whether the exchange was taken over.
     */
    auto takeMove(const ServerResponse &header) -> bool;

    /** Handles the failure of a move; the former exchange goes on. */
    auto onMoveFailed(ExchangeFailure failure) -> void;

    /** @return Current time. */
    auto currentTime() const -> Instant
    {
        return this->scheduler.clock();
    }

    /** @return Number of the request that a slot request belongs to. */
    static auto numberOfSlotRequest(std::uint64_t id) -> std::uint64_t
    {
        return id / MaxSlotRequests;
    }

    /** Ends a request that has waited too long, unless it has got a slot in the meantime. */
    auto onQueueTimeout() -> void
    {
        if (this->queued) {
            this->rejectQueued();
        }
    }

    /** @return Memory of the buffered response. */
    auto bufferedBytes() const -> std::size_t
    {
        return this->body.heldBytes();
    }

    /** Ends the exchange, because the response takes too much memory. */
    auto onResponseTooLong() -> void;

    /** Ends the request with a response, because the process is about to exit. */
    auto onProcessStopping() -> void;

    /** Ends the request, because the caller has disconnected. */
    auto onCallerDisconnected() -> void;

    /**
     * Checks the deadline, and whether the server has fallen silent.
     * @param now Current time.
     */
    auto checkTimeouts(Instant now) -> void;

    /** @return Whether the request has ended. */
    auto hasEnded() const -> bool
    {
        return this->ended;
    }

    auto onSent() -> void override;
    auto onResponseHeader(const ServerResponse &response) -> void override;
    auto onResponseData(std::string_view data) -> void override;
    auto onResponseEnd() -> void override;
    auto onExchangeFailed(ExchangeFailure failure) -> void override;

private:
    static constexpr std::uint64_t MaxSlotRequests = 256; ///< More than one request ever makes.
    static constexpr std::uint32_t MaxSlotRenewals = 64; ///< Limits the number of slot requests.

    auto authorise() -> bool;
    auto admit() -> void;
    auto quotaUnits() const -> double;
    auto organisationWeight() const -> double;
    auto estimatedCost() const -> double;
    auto chargeQuota() -> bool;
    auto chooseService() -> void;
    auto enqueue(const fleet::WaitBudget &budget) -> void;
    auto enqueueRetry(Duration maxWait) -> void;
    /** Queues a request that its server did not run, with the deadlines that it had before. */
    auto requeueUnexecuted() -> void;
    auto nextSlotRequestId() -> std::uint64_t;
    auto makeSlotRequest(std::uint64_t id, Instant now) -> fleet::SlotRequest;
    auto requestSlot() -> bool;
    auto renewSlotRequest() -> bool;
    auto renewExpiredExclusions(Instant now) -> void;
    auto excludedServers(Instant now) -> std::vector<std::uint32_t>;
    auto handleQueuedReply(Duration coordinatorWait) -> void;
    auto placeOrQueue() -> void;
    auto rejectQueued() -> void;
    auto rejectLongWait(Duration wait) -> bool;
    auto placeLocally(bool coldOnly) -> bool;
    auto chooseLocally(bool coldOnly) -> fleet::PlacementChoice;
    auto dispatchLocally(const fleet::ServerPtr &newServer) -> void;
    auto reportSlotEvent(fleet::SlotEvent event) -> void;
    auto dispatch(const fleet::ServerPtr &newServer, bool coordinated) -> void;
    auto endExchange(fleet::AttemptOutcome outcome) -> void;
    auto recordResponseStats() -> void;
    auto recordServerStatements(fleet::Server &server, const ServerResponse &header) -> void;
    /** Counts a server that may have executed the request. */
    auto recordPossibleExecution() -> void
    {
        this->mayHaveExecuted = true;
        ++this->possibleExecutions;
    }
    auto recordUnreachable(fleet::Server &unreachable) -> void;
    auto recordRejection(fleet::Server &rejecting, const ServerResponse &header) -> void;
    auto handleServerRejection() -> void;
    auto handleServerFailure(std::string_view reason) -> void;
    auto tryTakeRetry() -> bool;
    auto retry(std::string_view reason) -> void;
    auto retryWait() const -> Duration;
    auto isStream() const -> bool;
    auto forwardEvents(std::string_view data) -> void;
    /** Sends the header of a stream to the caller, unless it was sent before. */
    auto startStream(Instant now) -> void;
    auto updateBackpressure() -> void;
    auto onStreamEnd() -> void;
    /** Ends the caller's stream as complete. */
    auto finishStream() -> void;
    auto deliverResponse() -> void;
    auto reject(int status, RequestOutcome outcome, Duration retryAfter) -> void;
    auto failMaybeExecuted(int status, RequestOutcome outcome) -> void;
    auto finish(RequestOutcome outcome, int status) -> void;
    auto addStep(std::string_view name, std::string detail = {}) -> void;
    auto writeLog(RequestOutcome outcome, int status) -> void;
    auto computeSuspects() -> void;
    auto isCrashSuspect() const -> bool;
    auto blockedSuspects() const -> std::vector<std::uint64_t>;
    /** @return Names of suspects for logs. */
    auto suspectNames(std::span<const std::uint64_t> hashes) const -> std::string;
    auto fingerprint() const -> std::uint64_t
    {
        return this->suspects.back();
    }
    auto promptPartSuspects() const -> std::span<const std::uint64_t>
    {
        return std::span(this->suspects).first(this->suspects.size() - 1);
    }
    auto tryStartTrial() -> bool;
    auto rejectCrashSuspect() -> bool;
    auto recordLostRun(const fleet::Server &lost, Instant runSince, bool answering,
                       std::string_view reason) -> void;
    auto hasAnswered(Instant now) const -> bool;
    auto recordAnswer(Instant answeredAt) -> void;
    auto measureSilence(Instant now) -> void;
    auto isServerSilent() const -> bool;
    auto leaveSilentServer() -> void;
    auto requestMove(Instant now) -> bool;
    auto onMoveReply(const fleet::SlotReply &reply) -> void;
    auto moveByOwnState() -> void;
    auto startMove(const fleet::ServerPtr &newServer, std::uint64_t slotId) -> void;
    auto currentMove() const -> MoveAttempt *;
    auto adoptMove() -> void;
    auto endMove(fleet::AttemptOutcome outcome, fleet::SlotEvent event) -> void;
    auto cancelMove() -> void;
    auto endSilentExchange() -> void;
    auto checkMove(Instant now) -> void;
    auto beginExchange(Instant now) -> void;
    auto encodeDispatch(const fleet::Server &newServer, Instant now) const -> OutboundRequest;
    auto callerTimeout() const -> Duration;
    auto retryAfter(Duration wait) const -> Duration;
    auto serviceConfig() const -> const fleet::ServiceConfig *;
    auto tier() const -> std::uint32_t;
    auto priority() const -> std::uint32_t;

    Scheduler &scheduler;
    std::uint64_t number;
    CallerPortPtr caller;
    CallerRequest request;
    fleet::FleetConfigPtr config; ///< Keeps the pointers into the configuration valid.
    const fleet::RouteConfig *route = nullptr;
    const fleet::OrganisationConfig *organisation = nullptr;
    std::string service;
    fleet::RequestProfile profile;
    /** Possible crash suspects: hashes of its prompt parts and, last, of the whole request. */
    std::vector<std::uint64_t> suspects;
    bool onTrial = false; ///< A crash suspect that is run to find out whether it still is one.
    double chargedUnits = 0; ///< Charged to the organisation's quota.
    Instant deadline{}; ///< Deadline of the final response.
    Instant firstByteAt{}; ///< First byte sent to the caller; 0 for none.
    Instant lastEventAt{}; ///< Last events sent to the caller.
    Duration maxEventGap{}; ///< Longest gap between events sent to the caller.

    std::unique_ptr<Exchange> exchange;
    fleet::ServerPtr server; ///< Server of the current exchange.
    ServerResponse response; ///< Response header of the current exchange.
    bool headerReceived = false;
    Instant sentAt{};
    Instant responseAt{}; ///< First byte of the response of the current exchange.
    Duration silentFor{}; ///< Time without data from the server while it was being read.
    Instant checkedAt{}; ///< Last check of the timeouts.
    std::vector<std::unique_ptr<MoveAttempt>> moves; ///< Moves away from silent servers.
    /** Pending slot request for a move away from a silent server; 0 for none. */
    std::uint64_t moveRequestId = 0;
    std::uint32_t moveRequests = 0; ///< Slot requests made for such moves.
    Instant nextMoveAt{}; ///< Earliest time of the next one.
    bool leftSilentServer = false; ///< It was moved away from a server that may be healthy.
    std::optional<Instant> answerBeganAt; ///< First event of the current exchange.
    bool answerRecorded = false; ///< The server has survived the start of the answer.
    double promptWorkAhead = 0; ///< Prompt work at the server at dispatch, its own included.
    bool promptCounted = false; ///< Its prompt work is included in the server's load.
    ResponseBuffer body; ///< Body of a response that is not streamed.

    EventStreamParser eventParser;
    bool streamStarted = false; ///< The header of a stream was sent to the caller.
    bool readPaused = false; ///< The response is not read, because the caller is slow.
    bool mayHaveExecuted = false; ///< A server may have executed it.
    std::uint32_t possibleExecutions = 0; ///< Number of servers that may have executed it.
    std::uint32_t dispatches = 0; ///< Number of dispatches, including failed ones.
    std::uint32_t failedConnects = 0; ///< Number of connections that could not be opened.
    std::set<std::string> triedServers; ///< Ids of servers not to try again.
    bool usageQueryPending = false; ///< A usage query is pending.
    bool queued = false; ///< It is in the queue of its service.
    Duration waitedBefore{}; ///< Time since the caller's first attempt, as far as known.
    Instant latencyDeadline{}; ///< Latest dispatch time that meets the latency target.
    Instant queueDeadline{}; ///< Time at which it is rejected if still queued.
    /** Id of the last slot request, or of a slot taken without one. */
    std::uint64_t slotRequestId = 0;
    std::uint64_t lastSlotRequestId = 0; ///< Highest id of its slot requests.
    bool slotRequestPending = false; ///< A slot request is pending.
    std::uint32_t slotRenewals = 0; ///< Slot requests repeated with other excluded servers.
    Instant exclusionsEndAt = Never; ///< A server that the slot request excludes can be used then.
    bool waitReported = false; ///< The expected wait was reported at least once.
    /** Slot event to report in place of the one that follows from the outcome of the exchange. */
    std::optional<fleet::SlotEvent> slotEventOverride;
    double outputTokens = 0; ///< Output tokens after the first byte of the last complete response.
    bool ended = false;
    std::vector<RequestStep> steps;
};

} // namespace banyanring::gateway
