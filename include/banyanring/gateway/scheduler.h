/** @file scheduler.h Admits, queues and places the requests of one node. */
#pragma once

#include "banyanring/fleet/active_config.h"
#include "banyanring/fleet/admission_policy.h"
#include "banyanring/fleet/admission_queue.h"
#include "banyanring/fleet/crash_suspects.h"
#include "banyanring/fleet/fleet_members.h"
#include "banyanring/fleet/limit_shares.h"
#include "banyanring/fleet/placement.h"
#include "banyanring/fleet/quota_limiter.h"
#include "banyanring/fleet/server_registry.h"
#include "banyanring/gateway/request_metrics.h"
#include "banyanring/gateway/scheduler_ports.h"

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <unordered_map>

namespace banyanring::gateway {

class ActiveRequest;

/** State that scheduling decisions are based on; updated by the network code. */
struct NodeState
{
    /**
     * @param settings Settings of the node.
     * @param now Start time of the process.
     */
    NodeState(const fleet::ProcessSettings &settings, Instant now);

    fleet::ActiveConfig config; ///< Configuration in force.
    fleet::ServerRegistry servers; ///< Backend servers.
    fleet::FleetMembers members; ///< Other nodes of the fleet.
    fleet::QuotaLimiter quotas; ///< Quotas of the organisations.
    fleet::RetryBudget retryBudget; ///< Retry budget of this node.
    fleet::ColdServerLimiter coldLimiter; ///< Limits the requests to cold servers.
    fleet::CrashSuspects crashSuspects; ///< Requests suspected of crashing servers.
};

/** A step in the processing of a request, for logs and the explain endpoint. */
struct RequestStep
{
    Duration elapsed{}; ///< Time since the request's arrival.
    std::string_view name; ///< Name of the step, a constant.
    std::string detail; ///< Values that the step was based on.
};

/** Steps of a finished request. */
struct RequestTrace
{
    std::string id; ///< Attempt id set by the caller.
    std::vector<RequestStep> steps; ///< In order of time.
};

/**
 * Processes the requests of one node. Sockets and the clock are accessed through interfaces only,
 * so that tests can replace them.
 */
class Scheduler
{
public:
    /**
     * @param state State to base decisions on; must outlive this object.
     * @param serverPort Sends requests to servers; must outlive this object.
     * @param clock Returns the current time.
     * @param seed Seed of the random choices.
     */
    Scheduler(NodeState &state, ServerPort &serverPort, std::function<Instant()> clock,
              std::uint64_t seed);
    ~Scheduler();
    Scheduler(const Scheduler &) = delete;
    auto operator=(const Scheduler &) -> Scheduler & = delete;

    /**
     * Starts to process a caller's request.
     * @param caller Receives the response.
     * @param request The request.
     * @return Request number, unique on this node.
     */
    auto submit(CallerPortPtr caller, CallerRequest request) -> std::uint64_t;

    /**
     * Sets the port for usage queries; without one, quota decisions use local state only.
     * @param port The port; must outlive this object.
     */
    auto setQuotaPort(QuotaPort &port) -> void
    {
        this->quotaPort = &port;
    }

    /**
     * Resumes a request whose usage query was completed or timed out.
     * @param number Number of the request.
     */
    auto onUsageQueryDone(std::uint64_t number) -> void;

    /**
     * Sets the port for slot requests; without one, this node places requests by its local state.
     * @param port The port; must outlive this object.
     */
    auto setSlotPort(SlotPort &port) -> void
    {
        this->slotPort = &port;
    }

    /**
     * Sets the memory of the node, a fraction of which responses may occupy.
     * @param bytes Memory; 0 if unknown.
     */
    auto setNodeMemory(std::size_t bytes) -> void;

    /**
     * Handles the reply to a slot request.
     * @param reply The reply.
     */
    auto onSlotReply(const fleet::SlotReply &reply) -> void;

    /**
     * Handles the timeout of a slot request.
     * @param slotRequestId Id of the slot request.
     */
    auto onSlotTimeout(std::uint64_t slotRequestId) -> void;

    /** @return Slots held by the requests of this node. */
    auto heldSlots() const -> std::vector<fleet::HeldSlot>;

    /**
     * Checks whether requests may be sent to a server, apart from its load.
     * @param server The server.
     * @param now Current time.
     * @return Whether it is registered, reachable, not about to stop and its failure domain in
     *         service.
     */
    auto isUsable(const fleet::Server &server, Instant now) const -> bool;

    /**
     * Checks whether this node may send requests to a server, apart from its load. A coordinator
     * may grant slots of a server that accepts no requests from this node to other nodes.
     * @param server The server.
     * @param now Current time.
     * @return Whether it is usable and wants requests from this node.
     */
    auto maySend(const fleet::Server &server, Instant now) const -> bool;

    /**
     * Returns this node's share of the limit that a server names, for requests that it places
     * without a slot.
     * @param server The server.
     * @param now Current time.
     * @return Share, 0 to 1.
     */
    auto limitShare(const fleet::Server &server, Instant now) const -> double;

    /**
     * Checks whether the limit that a server names permits a request without a slot.
     * @param server The server.
     * @param now Current time.
     * @return Whether it does.
     */
    auto allowedByLimit(const fleet::Server &server, Instant now) const -> bool;

    /**
     * Aborts a request whose caller has disconnected.
     * @param number Number of the request.
     */
    auto onCallerDisconnected(std::uint64_t number) -> void;

    /** Checks timeouts and tries to place queued requests; to be called several times a second. */
    auto tick() -> void;

    /** Tries to place the queued requests of all services, after the state has changed. */
    auto placeQueued() -> void;

    /** @return Number of requests in progress. */
    auto activeRequests() const -> std::size_t
    {
        return this->requests.size();
    }

    /** @return Number of requests that wait for a slot. */
    auto queuedRequests() const -> std::size_t;

    /** Rejects all requests from now on, because the process is about to stop. */
    auto rejectNewRequests() -> void
    {
        this->rejecting = true;
    }

    /** Ends all requests with a response, because the process is about to exit. */
    auto endAllRequests() -> void;

    /**
     * Finds recently finished requests.
     * @param id Attempt id set by the caller.
     * @return Their traces, oldest first.
     */
    auto findTraces(std::string_view id) const -> std::vector<const RequestTrace *>;

    RequestMetrics metrics; ///< Counts and latencies of finished requests.

private:
    friend class ActiveRequest;

    auto queueOf(const std::string &service) -> fleet::ServiceQueue &
    {
        return this->queues[service];
    }
    auto addTrace(RequestTrace trace) -> void;
    auto placeDirtyServices() -> void;
    auto recordOutputTokens(const std::string &prefix, double tokens) -> void;
    auto averageOutputTokens(const std::string &prefix, double maxTokens) const -> double;
    auto placeService(const std::string &service) -> void;
    auto destroyFinished() -> void;
    auto findBySlotRequest(std::uint64_t slotRequestId) -> ActiveRequest *;
    auto expectedWait(const std::string &service, std::uint32_t tier, Instant latencyDeadline)
        -> Duration;
    auto deferralTime(const std::string &service) const -> Duration;
    auto limitBufferedBytes() -> void;

    NodeState &state;
    ServerPort &serverPort;
    QuotaPort *quotaPort = nullptr;
    SlotPort *slotPort = nullptr;
    std::function<Instant()> clock;
    std::mt19937_64 random;
    std::uint32_t nodeHash; ///< Makes the placement preferences of nodes differ.
    std::uint64_t nextNumber = 1;
    bool rejecting = false;
    bool placing = false;
    std::size_t bufferedBytes = 0; ///< Memory of responses that are buffered.
    std::size_t maxBufferedBytes; ///< Upper limit of that.
    std::unordered_map<std::uint64_t, std::unique_ptr<ActiveRequest>> requests;
    std::unordered_map<std::string, fleet::ServiceQueue> queues; ///< Own requests, by service.
    std::unordered_map<std::string, double> outputTokenAverages; ///< By route prefix.
    fleet::CallerTimeouts callerTimeouts; ///< By route prefix.
    std::set<std::string> dirtyServices; ///< Services whose queued requests may be placeable.
    std::deque<RequestTrace> traces; ///< Finished requests, oldest first.
    /** Requests to destroy, which must not happen inside their own member functions. */
    std::vector<std::uint64_t> finishedRequests;
    std::vector<std::unique_ptr<Exchange>> finishedExchanges; ///< Exchanges to destroy, likewise.
};

} // namespace banyanring::gateway
