/** @file node_base.h The decision core of one node: typed events in, typed actions out. */
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

/** Numbers of things that happened, for metrics. */
struct Counters
{
    std::uint64_t arrived = 0;
    std::uint64_t dispatched = 0;
    std::uint64_t answered = 0;
    std::uint64_t failed = 0; ///< Dispatched, without a whole answer.
    std::uint64_t forwarded = 0;
    std::uint64_t tokenLoanRequests = 0; ///< Token loans asked of peers.
    std::uint64_t slotLoanRequests = 0; ///< Slot loans asked of peers.
    std::uint64_t queueExhausted = 0; ///< Refused with every reserve of the waiting room in use.
    std::array<std::uint64_t, 16> rejected{}; ///< By reason.
    std::array<std::uint64_t, TierCount> dispatchedByTier{}; ///< By tier.
    std::array<std::uint64_t, TierCount> shedByTier{}; ///< By tier.
};

/** What a node tells of itself on request. */
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
 * The decision core. It has no thread, socket, clock or logger: it is told typed events with the
 * present instant and returns typed actions. Everything that has to be right is decided here.
 */
class Node
{
public:
    /** What makes a node itself. */
    struct Identity
    {
        NodeId node = 0;
        Incarnation incarnation = 0;
        std::uint64_t seed = 0; ///< Of the random generator.
        TicketSecret secret{};
    };

    /**
     * @param nodeSettings Tunable values.
     * @param identity What makes it itself.
     * @param now Start of the process.
     */
    Node(const NodeSettings &nodeSettings, const Identity &identity, Instant now);
    Node(const Node &) = delete;
    auto operator=(const Node &) -> Node & = delete;

    /**
     * Handles an event.
     * @param event What happened.
     * @param now The present; never less than at the call before.
     * @return What has to be done, in order.
     * @throws InvariantError if a promise would be broken.
     */
    auto handle(const Event &event, Instant present) -> Actions;

    /** @return The state, for the dump. */
    auto snapshot() const -> NodeSnapshot;

    /**
     * Explains a request.
     * @param requestId Its id.
     * @return The decisions on it that are still remembered.
     */
    auto explain(std::string_view requestId) const -> std::vector<Decision>;

    /** @return Whether this node takes requests. */
    auto ready() const -> bool;
    /**
     * Counts waiting requests.
     * @param service The service.
     * @param tier The tier.
     * @return The count.
     */
    auto waitingCount(ServiceId service, Tier tier) const -> std::size_t;
    /** @return Numbers of things that happened. */
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
    /** @return Backend servers whose load reports this node should read. */
    auto serversToPoll() const -> std::vector<ServerId>;

private:
    /** Waits for token loans. */
    struct BorrowingTokens
    {
        std::vector<NodeId> candidates; ///< Peers still to ask, best last.
        std::uint64_t loanId = 0; ///< Open ask.
        Instant requestedAt{};
        Instant deadline{};
    };
    /** Waits for a slot. */
    struct Queued
    {
    };
    /** Is being run. */
    struct Executing
    {
        DispatchId dispatch = 0;
    };
    /** Was passed to a peer. */
    struct Forwarded
    {
    };
    /** Waits for the answer of its ticket's run. */
    struct AwaitingOutcome
    {
    };
    using CallState = std::variant<BorrowingTokens, Queued, Executing, Forwarded, AwaitingOutcome>;

    /** An open call. */
    struct Call
    {
        CallId id = 0;
        RequestArrived request;
        ServiceId service = 0;
        Tier tier = 0;
        bool isLong = false;
        bool isolated = false; ///< Runs alone among requests with its fingerprint.
        OrganisationId organisation = 0;
        std::uint64_t fingerprint = 0;
        Instant arrivedAt{};
        Instant deadline{};
        std::optional<std::uint64_t> ticket; ///< Sequence number.
        TokenReservation reservation;
        CallState state = Queued{};
    };

    /** A dispatch that has not ended. */
    struct Run
    {
        std::optional<CallId> call; ///< Nothing once the caller has gone.
        std::string requestId;
        SlotChoice choice;
        ServiceId service = 0;
        OrganisationId organisation = 0;
        std::uint64_t fingerprint = 0;
        bool isLong = false;
        bool isolated = false;
        bool cancelled = false;
        std::optional<std::uint64_t> ticket;
        TokenReservation reservation; ///< Spent with the first sign that the server got a byte.
        Instant startedAt{};
        Instant cancelAt{};
    };

    /** Waiting requests of a service and what was asked of peers for them. */
    struct ServiceState
    {
        WaitQueue queue;
        std::size_t running = 0;
        std::size_t runningLong = 0;
        Tier requestedThreshold = TierCount; ///< Floor that this node needs.
        Instant requestedUntil{};
        Tier enforcedThreshold = TierCount; ///< Floor in force here.
        Instant nextLoanRequestAt{};
        std::map<NodeId, Instant> loanBackoffUntil; ///< Peers that had no free slot.
    };

    /** A failure whose caller is told once the peers know of the crash. */
    struct PendingFailure
    {
        CrashNotice notice;
        std::set<NodeId> unacknowledged;
        std::vector<std::pair<CallId, std::string>> callers;
        std::optional<std::uint64_t> ticket;
        Instant deadline{};
        Instant resendAt{};
    };

    /** A run that was broken off, and whose server may yet die of it. */
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
    auto scoreSlot(SlotRef ref, double tokens, std::uint64_t affinity) const -> std::optional<double>;
    auto requestSlotLoan(ServiceId service, ServiceState &state) -> void;
    auto requeue(Run &run) -> void;
    auto callersOf(const Run &run) -> std::vector<CallId>;
    auto checkDispatchInvariants(const Call &call, const BackendServer &server, Instant validUntil) const
        -> void;

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

    // node_floor.cpp
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
    std::unordered_map<std::uint64_t, CallId> callsByTokenLoan; ///< Calls by open token loan.
    std::set<std::uint64_t> isolatedFingerprints; ///< Fingerprints that run alone now.
    std::vector<CancelledRun> recentlyCancelledRuns;
    std::map<std::uint64_t, PendingFailure> pendingFailures; ///< By notice number.
    DispatchId nextDispatchId = 1;
    std::uint64_t nextNoticeId = 1;
    Instant nextGossipAt{};
    Instant nextSlotQueryAt{};
    Instant nextFetchAt{};
    std::optional<Instant> shutdownRequestedAt;
    bool shutdownReported = false;
    std::optional<Instant> configStaleSince; ///< A peer has had a newer configuration since then.
    bool configSynced = false; ///< Heard a majority, none of it with a newer configuration.
};

} // namespace banyanring
