/** @file node_base.h The decision core of a node: turns typed events into typed actions. */
#pragma once

#include "banyanring/core/action_type.h"
#include "banyanring/core/crash_suspect_table_base.h"
#include "banyanring/core/decision_log_base.h"
#include "banyanring/core/node_settings_type.h"
#include "banyanring/core/server_health_base.h"
#include "banyanring/core/slot_pool_base.h"
#include "banyanring/core/ticket_store_base.h"
#include "banyanring/core/token_pool_base.h"
#include "banyanring/core/wait_queue_base.h"

#include <map>
#include <random>
#include <set>
#include <unordered_map>

namespace banyanring {

/** Event counters for metrics. */
struct Counters
{
    std::uint64_t arrived = 0;
    std::uint64_t dispatched = 0;
    std::uint64_t answered = 0;
    std::uint64_t failed = 0; ///< Dispatched, but without a complete response.
    std::uint64_t forwarded = 0;
    std::uint64_t tokenLoanRequests = 0; ///< Token loans requested from peers.
    std::uint64_t slotLoanRequests = 0; ///< Slot loans requested from peers.
    std::uint64_t queueExhausted = 0; ///< Rejected, as the queue and its reserve were full.
    std::array<std::uint64_t, 16> rejected{}; ///< By reason.
    std::array<std::uint64_t, TierCount> dispatchedByTier{}; ///< By tier.
    std::array<std::uint64_t, TierCount> shedByTier{}; ///< By tier.
};

/** State of a node, for the state dump. */
struct NodeSnapshot
{
    NodeId node = 0;
    Incarnation incarnation = 0;
    bool ready = false;
    bool stopping = false;
    Revision configRevision = 0;
    Revision vmListRevision = 0;
    std::optional<Revision> leaseRevision;
    std::size_t calls = 0;
    std::size_t runs = 0;
    std::size_t waiting = 0;
    std::size_t tickets = 0;
    std::size_t ownedPartitions = 0;
    SlotPool::Counts slots;
    std::vector<NodeId> reachablePeers;
    std::vector<ShedThresholds> shedThresholds;
    std::unordered_map<ServerId, ServerHealth::State> servers;
    Counters counters;
};

/**
 * The decision core. It has no thread, socket, clock or logger: it handles typed events, with the
 * current time, and returns typed actions. All decisions that correctness depends on are made here.
 */
class Node
{
public:
    /** Identity of a node and of this start of its process. */
    struct Identity
    {
        NodeId node = 0;
        Incarnation incarnation = 0;
        std::uint64_t seed = 0; ///< Seed of the random number generator.
        TicketSecret secret{};
    };

    /**
     * @param nodeSettings Tunable values.
     * @param identity Identity of the node.
     * @param now Start time of the process.
     */
    Node(const NodeSettings &nodeSettings, const Identity &identity, Instant now);
    Node(const Node &) = delete;
    auto operator=(const Node &) -> Node & = delete;

    /**
     * Handles an event.
     * @param event The event.
     * @param currentTime Current time; must not be earlier than in the previous call.
     * @return The actions to perform, in order.
     * @throws InvariantError if an invariant would be violated.
     */
    auto handle(const Event &event, Instant currentTime) -> Actions;

    /** @return The state, for the state dump. */
    auto snapshot() const -> NodeSnapshot;

    /**
     * Returns the logged decisions on a request.
     * @param requestId Id of the request.
     * @return The decisions that are still in the log, oldest first.
     */
    auto explain(std::string_view requestId) const -> std::vector<Decision>;

    /** @return Whether this node accepts and dispatches requests. */
    auto ready() const -> bool;
    /**
     * Returns the number of waiting requests.
     * @param service The service.
     * @param tier The tier.
     * @return The count.
     */
    auto waitingCount(ServiceId service, Tier tier) const -> std::size_t;
    /** @return Event counters. */
    auto counters() const -> const Counters &
    {
        return this->counterValues;
    }
    /** @return The configuration in force, or null. */
    auto config() const -> const ConfigPtr &
    {
        return this->currentConfig;
    }
    /** @return The VM list in force, or null. */
    auto vmList() const -> const VmListPtr &
    {
        return this->membership.vmList();
    }
    /** @return Backend servers whose load reports this node should poll. */
    auto serversToPoll() const -> std::vector<ServerId>;

private:
    /** Waits for token loans from peers. */
    struct BorrowingTokens
    {
        std::vector<NodeId> candidates; ///< Peers still to request a loan from; last one first.
        std::uint64_t loanId = 0; ///< Id of the open loan request.
        Instant requestedAt{};
        Instant deadline{};
    };
    /** Waits for a slot. */
    struct Queued
    {
    };
    /** Runs on a backend server. */
    struct Executing
    {
        DispatchId dispatch = 0;
    };
    /** Was forwarded to a peer. */
    struct Forwarded
    {
    };
    /** Waits for the run of its ticket, or for the acknowledgements of a crash notice. */
    struct AwaitingOutcome
    {
    };
    using CallState = std::variant<BorrowingTokens, Queued, Executing, Forwarded, AwaitingOutcome>;

    /** An open call of a caller. */
    struct Call
    {
        CallId id = 0;
        RequestArrived request;
        ServiceId service = 0;
        Tier tier = 0;
        bool isLong = false;
        bool isolated = false; ///< Crash suspect; runs only while no identical request does.
        OrganisationId organisation = 0;
        std::uint64_t fingerprint = 0;
        Instant arrivedAt{};
        Instant deadline{};
        std::optional<std::uint64_t> ticket; ///< Sequence number of its ticket.
        TokenReservation reservation;
        CallState state = Queued{};
    };

    /** A dispatch that has not ended. */
    struct Run
    {
        std::optional<CallId> call; ///< Nothing once the caller has disconnected.
        std::string requestId;
        SlotChoice choice;
        ServiceId service = 0;
        OrganisationId organisation = 0;
        std::uint64_t fingerprint = 0;
        bool isLong = false;
        bool isolated = false;
        bool cancelled = false;
        std::optional<std::uint64_t> ticket;
        TokenReservation reservation; ///< Spent as soon as the server may have received a byte.
        Instant startedAt{};
        Instant cancelAt{};
    };

    /** Waiting requests of a service, its loan requests and its load shedding state. */
    struct ServiceState
    {
        WaitQueue queue;
        std::size_t running = 0;
        std::size_t runningLong = 0;
        Tier requestedThreshold = TierCount; ///< Shed threshold requested from the fleet.
        Instant requestedUntil{};
        Tier enforcedThreshold = TierCount; ///< Shed threshold in force at this node.
        Instant nextLoanRequestAt{};
        std::map<NodeId, Instant> loanBackoffUntil; ///< By peer that had no free slot.
    };

    /** A failed request; its callers get the response once peers acknowledge the crash notice. */
    struct PendingFailure
    {
        CrashNotice notice;
        std::set<NodeId> unacknowledged;
        std::vector<std::pair<CallId, std::string>> callers;
        std::optional<std::uint64_t> ticket;
        Instant deadline{};
        Instant resendAt{};
    };

    /** A run that failed or was cancelled; its server may still crash because of it. */
    struct CancelledRun
    {
        Instant cancelledAt{};
        ServerId server = 0;
        std::uint64_t fingerprint = 0;
    };

    // node_admit.cpp
    auto on(const RequestArrived &event) -> void;
    auto on(const CallerDisconnected &event) -> void;
    auto organisationForKey(const std::string &keyDigest) const -> std::optional<OrganisationId>;
    auto admitCrashSuspect(Call &call) -> bool;
    auto reserveTokens(CallId id) -> void;
    auto requestNextTokenLoan(Call &call) -> void;
    auto enqueue(Call &call) -> void;
    auto isAuthorised(const Route &route, const std::string &keyDigest) const -> bool;
    auto tokenCost(const Call &call) const -> double;
    auto rejectCall(CallId id, Rejection rejection) -> void;
    auto sendRejection(CallId id, const std::string &requestId, Rejection rejection) -> void;
    auto removeCall(CallId id) -> void;

    // node_ticket.cpp
    auto on(const TicketRequested &event) -> void;
    auto on(const TicketCancelRequested &event) -> void;
    auto admitTicket(Call &call, const Route &route) -> bool;
    auto forwardToTicketOwner(const Call &call) -> void;

    // node_address.cpp
    auto on(const AddressesRequested &event) -> void;

    // node_dispatch.cpp
    auto on(const BackendFirstByte &event) -> void;
    auto on(const BackendCompleted &event) -> void;
    auto on(const BackendFailed &event) -> void;
    auto on(const LoadReport &event) -> void;
    auto dispatchWaiting(ServiceId service) -> void;
    auto estimateRunTime(ServerId server, double tokens) const -> Duration;
    auto dispatchNext(ServiceId service, ServiceState &state) -> bool;
    auto startRun(Call &call, const SlotChoice &choice, Instant validUntil) -> void;
    auto endRun(DispatchId id) -> Run;
    auto scoreSlot(SlotRef ref, double tokens, std::uint64_t affinity) const
        -> std::optional<double>;
    auto requestSlotLoan(ServiceId service, ServiceState &state) -> void;
    auto requeue(Run &run) -> void;
    auto callersOf(const Run &run) -> std::vector<CallId>;
    auto checkDispatchInvariants(const Call &call, const BackendServer &server,
                                 Instant validUntil) const -> void;

    // node_peers.cpp
    auto on(const PeerMessageReceived &event) -> void;
    auto on(NodeId from, const GossipPull &message) -> void;
    auto on(NodeId from, const GossipReply &message) -> void;
    auto on(NodeId from, const SlotQuery &message) -> void;
    auto on(NodeId from, const SlotQueryReply &message) -> void;
    auto on(NodeId from, const SlotLoanRequest &message) -> void;
    auto on(NodeId from, const SlotLoanReply &message) -> void;
    auto on(NodeId from, const SlotReturn &message) -> void;
    auto on(NodeId from, const TokenLoanRequest &message) -> void;
    auto on(NodeId from, const TokenLoanReply &message) -> void;
    auto send(NodeId to, PeerMessage message) -> void;

    // node_crash.cpp
    auto on(NodeId from, const CrashNotice &message) -> void;
    auto on(NodeId from, const CrashNoticeAck &message) -> void;
    auto onServerCrash(const Run &run, const std::vector<CallId> &callers) -> void;
    auto announceCrash(ServerId server, std::uint64_t fingerprint) -> PendingFailure &;
    auto suspectCancelledRuns(ServerId server) -> void;
    auto mustRejectSuspect(const Call &call) const -> bool;
    auto recordCrash(const CrashNotice &notice) -> void;
    auto processPendingFailures() -> void;

    // node_shedding.cpp
    auto updateShedThresholds() -> void;
    auto mayShed(ServiceId service, const ServiceState &state, Tier tier) const -> bool;
    auto admitToQueue(const Call &incoming) -> bool;
    auto shed(CallId id) -> void;
    auto thresholdAcknowledged(ServiceId service, Tier threshold) const -> bool;

    // node_config.cpp
    auto on(const ConfigReceived &event) -> void;
    auto on(const VmListReceived &event) -> void;
    auto applyNodes() -> void;
    auto rejectRevokedCalls() -> void;

    // node.cpp
    auto on(const Tick &event) -> void;
    auto on(const ShutdownRequested &event) -> void;
    auto expireCalls() -> void;
    auto cancelOverdueRuns() -> void;
    auto fetchNewerRevisions() -> void;
    auto drainDelayOver() const -> bool;
    auto emit(Action action) -> void
    {
        this->actions.push_back(std::move(action));
    }
    auto logDecision(std::string_view requestId, Step step, std::string detail) -> void;
    auto entryAddressOf(NodeId node) const -> std::string;
    auto runsOnEngine(ServiceId service) const -> bool;

    NodeSettings settings;
    NodeId self;
    Incarnation incarnation;
    std::mt19937_64 random;
    Instant now;
    Actions actions;
    ConfigPtr currentConfig;
    Membership membership;
    TokenPool tokenPool;
    SlotPool slotPool;
    ServerHealth serverHealth;
    TicketStore ticketStore;
    CrashSuspectTable crashSuspects;
    DecisionLog decisionLog;
    Counters counterValues;

    std::unordered_map<CallId, Call> calls;
    std::multimap<Instant, CallId> callTimers;
    std::unordered_map<DispatchId, Run> runs;
    std::unordered_map<ServiceId, ServiceState> serviceStates;
    std::unordered_map<std::uint64_t, CallId> callsByTokenLoan; ///< By id of the open loan.
    std::set<std::uint64_t> isolatedFingerprints; ///< Of isolated requests in progress.
    std::vector<CancelledRun> recentlyCancelledRuns;
    std::map<std::uint64_t, PendingFailure> pendingFailures; ///< By notice id.
    DispatchId nextDispatchId = 1;
    std::uint64_t nextNoticeId = 1;
    Instant nextGossipAt{};
    Instant nextSlotQueryAt{};
    Instant nextFetchAt{};
    std::optional<Instant> shutdownRequestedAt;
    bool shutdownReported = false;
    std::optional<Instant> configStaleSince; ///< Since then a peer has had a newer configuration.
    bool configSynced = false; ///< Reached a majority, and no peer had a newer configuration.
};

} // namespace banyanring
