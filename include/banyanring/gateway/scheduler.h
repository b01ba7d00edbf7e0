/** @file scheduler.h The decisions of one node: admits, queues and places requests. */
#pragma once

#include "banyanring/fleet/active_config.h"
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

class RequestRun;

/** What the decisions stand on; shared with the adapters that fill it. */
struct NodeBooks
{
    /**
     * @param environment What the settings say.
     * @param now Start of the process.
     */
    NodeBooks(const fleet::ProcessSettings &environment, Instant now);

    fleet::ActiveConfig config; ///< In force.
    fleet::ServerRegistry servers; ///< Backend servers.
    fleet::FleetMembers members; ///< Other nodes.
    fleet::QuotaLimiter quotas; ///< Organisations' limits.
    fleet::RetryBudget retries; ///< Repeats.
    fleet::ColdServerLimiter colds; ///< Requests to cold servers.
    fleet::CrashSuspects suspects; ///< Requests that crash servers.
};

/** A step of a request, for logs and explanations. */
struct RequestStep
{
    Duration after{}; ///< Since the request's arrival.
    std::string_view what; ///< A fixed word.
    std::string detail; ///< What decided.
};

/** A request that has ended. */
struct RequestRecord
{
    std::string id; ///< Id that the caller gave.
    std::vector<RequestStep> steps; ///< In order.
};

/** Runs the requests of one node. Has no socket and no clock: both come through ports. */
class Scheduler
{
public:
    /**
     * @param books What the decisions stand on; must outlive this object.
     * @param serverPort Sends requests to servers.
     * @param clock Gives the present.
     * @param seed Seed of what is left to chance.
     */
    Scheduler(NodeBooks &books, ServerPort &serverPort, std::function<Instant()> clock,
              std::uint64_t seed);
    ~Scheduler();
    Scheduler(const Scheduler &) = delete;
    auto operator=(const Scheduler &) -> Scheduler & = delete;

    /**
     * Takes a caller's request.
     * @param caller Where the answer goes.
     * @param request The request.
     * @return Its run.
     */
    auto accept(CallerPortPtr caller, CallerRequest request) -> std::uint64_t;

    /**
     * Sets who asks other nodes; without one, this node decides alone.
     * @param port Asks them; must outlive this object.
     */
    auto setAdvice(AdvicePort &port) -> void
    {
        this->advicePort = &port;
    }

    /**
     * Notes that other nodes have answered a question, or are not going to.
     * @param run The run that waits for it.
     */
    auto advised(std::uint64_t run) -> void;

    /**
     * Sets who gets slots from other nodes; without one, this node places alone.
     * @param port Gets them; must outlive this object.
     */
    auto setSlots(SlotPort &port) -> void
    {
        this->slotPort = &port;
    }

    /**
     * Takes the reply to an ask for a slot.
     * @param reply The reply.
     */
    auto slotAnswered(const fleet::SlotReply &reply) -> void;

    /**
     * Notes that an ask for a slot gets no answer.
     * @param ask Its number.
     */
    auto slotSilent(std::uint64_t ask) -> void;

    /** @return Slots that this node's requests hold. */
    auto holdings() const -> std::vector<fleet::HeldSlot>;

    /**
     * Tells whether a server may get work at all.
     * @param server The server.
     * @param now The present.
     * @return Whether it may.
     */
    auto usable(const fleet::Server &server, Instant now) const -> bool;

    /**
     * Notes that a caller has left.
     * @param run The run of its request.
     */
    auto callerGone(std::uint64_t run) -> void;

    /** Checks time limits and tries to place what waits; to be called some times a second. */
    auto tick() -> void;

    /** Tries to place waiting requests of all services, after the books have changed. */
    auto placeAll() -> void;

    /** @return Requests in progress. */
    auto openRuns() const -> std::size_t
    {
        return this->runs.size();
    }

    /** @return Requests that wait for a slot. */
    auto waitingRuns() const -> std::size_t;

    /** Requests are refused from now on: the process is about to end. */
    auto stopAccepting() -> void
    {
        this->refusing = true;
    }

    /**
     * Finds requests that have ended lately.
     * @param id Id that the caller gave.
     * @return Their records, oldest first.
     */
    auto explain(std::string_view id) const -> std::vector<const RequestRecord *>;

    RequestMetrics metrics; ///< What became of the requests.

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
    std::uint32_t nodeHash; ///< Tells this node's placements from others'.
    std::uint64_t nextRun = 1;
    bool refusing = false;
    bool settling = false;
    std::unordered_map<std::uint64_t, std::unique_ptr<RequestRun>> runs;
    std::unordered_map<std::string, fleet::ServiceQueue> queues; ///< This node's own, by service.
    std::unordered_map<std::string, double> outputs; ///< Usual output tokens by route prefix.
    std::set<std::string> dirty; ///< Services whose queue may move.
    std::deque<RequestRecord> records; ///< Ended requests, oldest first.
    std::vector<std::uint64_t> finished; ///< Runs to be destroyed, outside of their own calls.
    std::vector<std::unique_ptr<Exchange>> retired; ///< Likewise.
};

} // namespace banyanring::gateway
