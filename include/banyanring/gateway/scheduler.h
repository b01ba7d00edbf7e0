/** @file scheduler.h Admits, queues and places the requests of one node. */
#pragma once

#include "banyanring/fleet/admission_queue.h"
#include "banyanring/fleet/config_book.h"
#include "banyanring/fleet/crash_suspects.h"
#include "banyanring/fleet/fleet_members.h"
#include "banyanring/fleet/limit_shares.h"
#include "banyanring/fleet/placement.h"
#include "banyanring/fleet/quota_ledger.h"
#include "banyanring/fleet/server_book.h"
#include "banyanring/gateway/request_metrics.h"
#include "banyanring/gateway/scheduler_ports.h"

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <unordered_map>

namespace banyanring::gateway {

class RequestRun;

/** State that scheduling decisions are based on; updated by the network code. */
struct NodeBooks
{
    /**
     * @param environment Settings of the node.
     * @param now Start time of the process.
     */
    NodeBooks(const fleet::Environment &environment, Instant now);

    fleet::ConfigBook config; ///< Configuration in force.
    fleet::ServerBook servers; ///< Backend servers.
    fleet::FleetMembers members; ///< Other nodes of the fleet.
    fleet::QuotaLedger quotas; ///< Quotas of the organisations.
    fleet::RetryShare retries; ///< Retry budget of this node.
    fleet::ColdShare colds; ///< Limits the requests to cold servers.
    fleet::CrashSuspects suspects; ///< Requests suspected of crashing servers.
};

/** A step in the processing of a request, for logs and the explain endpoint. */
struct RequestStep
{
    Duration after{}; ///< Time since the request's arrival.
    std::string_view what; ///< Name of the step, a constant.
    std::string detail; ///< Values that the step was based on.
};

/** Steps of a finished request. */
struct RequestRecord
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
     * @param books State to base decisions on; must outlive this object.
     * @param serverPort Sends requests to servers; must outlive this object.
     * @param clock Returns the current time.
     * @param seed Seed of the random choices.
     */
    Scheduler(NodeBooks &books, ServerPort &serverPort, std::function<Instant()> clock,
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
    auto accept(CallerPortPtr caller, CallerRequest request) -> std::uint64_t;

    /**
     * Sets the port for quota queries; without one, quota decisions use local state only.
     * @param port The port; must outlive this object.
     */
    auto setAdvice(AdvicePort &port) -> void
    {
        this->advicePort = &port;
    }

    /**
     * Resumes a request whose quota query was answered or timed out.
     * @param run Number of the request.
     */
    auto advised(std::uint64_t run) -> void;

    /**
     * Sets the port for slot requests; without one, this node places requests by its local state.
     * @param port The port; must outlive this object.
     */
    auto setSlots(SlotPort &port) -> void
    {
        this->slotPort = &port;
    }

    /**
     * Handles the reply to a slot request.
     * @param reply The reply.
     */
    auto slotAnswered(const fleet::SlotReply &reply) -> void;

    /**
     * Handles the timeout of a slot request.
     * @param ask Number of the slot request.
     */
    auto slotSilent(std::uint64_t ask) -> void;

    /** @return Slots held by the requests of this node. */
    auto holdings() const -> std::vector<fleet::SlotHolding>;

    /**
     * Returns whether requests may be sent to a server: it is registered, reachable and not
     * draining, and its failure domain is in service.
     * @param server The server.
     * @param now Current time.
     */
    auto usable(const fleet::Server &server, Instant now) const -> bool;

    /**
     * Aborts a request whose caller has disconnected.
     * @param run Number of the request.
     */
    auto callerGone(std::uint64_t run) -> void;

    /** Checks timeouts and tries to place queued requests; to be called several times a second. */
    auto tick() -> void;

    /** Tries to place the queued requests of all services, after the state has changed. */
    auto placeAll() -> void;

    /** @return Number of requests in progress. */
    auto openRuns() const -> std::size_t
    {
        return this->runs.size();
    }

    /** @return Number of requests that wait for a slot. */
    auto waitingRuns() const -> std::size_t;

    /** Rejects all requests from now on, because the process is about to stop. */
    auto stopAccepting() -> void
    {
        this->refusing = true;
    }

    /**
     * Finds recently finished requests.
     * @param id Attempt id set by the caller.
     * @return Their records, oldest first.
     */
    auto explain(std::string_view id) const -> std::vector<const RequestRecord *>;

    RequestMetrics metrics; ///< Counts and latencies of finished requests.

private:
    friend class RequestRun;

    auto queueOf(const std::string &service) -> fleet::ServiceQueue &
    {
        return this->queues[service];
    }
    auto remember(RequestRecord record) -> void;
    auto settle() -> void;
    auto noteOutput(const std::string &prefix, double tokens) -> void;
    auto usualOutput(const std::string &prefix, double most) const -> double;
    auto place(const std::string &service) -> void;
    auto reap() -> void;
    auto runOfAsk(std::uint64_t ask) -> RequestRun *;
    auto expectedWait(const std::string &service, std::uint32_t tier) -> Duration;

    NodeBooks &books;
    ServerPort &serverPort;
    AdvicePort *advicePort = nullptr;
    SlotPort *slotPort = nullptr;
    std::function<Instant()> clock;
    std::mt19937_64 random;
    std::uint32_t nodeHash; ///< Makes the placement preferences of nodes differ.
    std::uint64_t nextRun = 1;
    bool refusing = false;
    bool settling = false;
    std::unordered_map<std::uint64_t, std::unique_ptr<RequestRun>> runs;
    std::unordered_map<std::string, fleet::ServiceQueue>
        queues; ///< Requests of this node, by service.
    std::unordered_map<std::string, double> outputs; ///< Average output tokens by route prefix.
    std::set<std::string> dirty; ///< Services whose queued requests may be placeable.
    std::deque<RequestRecord> records; ///< Finished requests, oldest first.
    std::vector<std::uint64_t> finished; ///< Requests to destroy, not from within their own calls.
    std::vector<std::unique_ptr<Exchange>> retired; ///< Exchanges to destroy, likewise.
};

} // namespace banyanring::gateway
