/** @file node_base.h The decision core of one node: typed events in, typed actions out. */
#pragma once

#include "banyanring/core/action_type.h"
#include "banyanring/core/decision_log_base.h"
#include "banyanring/core/node_settings_type.h"
#include "banyanring/core/server_health_base.h"
#include "banyanring/core/slot_rights_base.h"
#include "banyanring/core/suspect_table_base.h"
#include "banyanring/core/ticket_book_base.h"
#include "banyanring/core/token_rights_base.h"
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
    std::uint64_t tokenAsks = 0; ///< Token loans asked of peers.
    std::uint64_t slotAsks = 0; ///< Slot loans asked of peers.
    std::uint64_t roomExhausted = 0; ///< Refused with every reserve of the waiting room in use.
    std::array<std::uint64_t, 16> refused{}; ///< By reason.
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
    Revision listRevision = 0;
    std::optional<Revision> anchor;
    std::size_t calls = 0;
    std::size_t runs = 0;
    std::size_t waiting = 0;
    std::size_t tickets = 0;
    std::size_t heldParts = 0;
    SlotRights::Counts slots;
    std::vector<NodeId> contacts;
    std::vector<ServicePressure> pressures;
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
    auto handle(const Event &event, Instant now) -> Actions;

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
        return this->counts;
    }
    /** @return The configuration in force, or null. */
    auto config() const -> const ConfigPtr &
    {
        return this->currentConfig;
    }
    /** @return The VM list in force, or null. */
    auto vmList() const -> const VmListPtr &
    {
        return this->members.list();
    }
    /** @return Backend servers whose load reports this node should read. */
    auto pollTargets() const -> std::vector<ServerId>;

private:
    /** Waits for token loans. */
    struct Gathering
    {
        std::vector<NodeId> peers; ///< Peers still to ask, best last.
        std::uint64_t loan = 0; ///< Open ask.
        Instant askedAt{};
        Instant limit{};
    };
    /** Waits for a slot. */
    struct Queued
    {
    };
    /** Is being run. */
    struct InRun
    {
        DispatchId dispatch = 0;
    };
    /** Was passed to a peer. */
    struct Passed
    {
    };
    /** Waits for the answer of its ticket's run. */
    struct Following
    {
    };
    using CallState = std::variant<Gathering, Queued, InRun, Passed, Following>;

    /** An open call. */
    struct Call
    {
        CallId id = 0;
        RequestArrived request;
        ServiceId service = 0;
        Tier tier = 0;
        bool isLong = false;
        bool probation = false; ///< Runs alone among requests with its fingerprint.
        OrganisationId organisation = 0;
        std::uint64_t fingerprint = 0;
        Instant arrivedAt{};
        Instant expiresAt{};
        std::optional<std::uint64_t> ticket; ///< Sequence number.
        TokenHold tokens;
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
        bool probation = false;
        bool cancelled = false;
        std::optional<std::uint64_t> ticket;
        TokenHold tokens; ///< Spent with the first sign that the server got a byte.
        Instant startedAt{};
        Instant endBy{};
    };

    /** Waiting requests of a service and what was asked of peers for them. */
    struct ServiceState
    {
        WaitQueue queue;
        std::size_t running = 0;
        std::size_t runningLong = 0;
        Tier wish = TierCount; ///< Floor that this node needs.
        Instant wishUntil{};
        Tier enforced = TierCount; ///< Floor in force here.
        Instant nextAsk{};
        std::map<NodeId, Instant> refusedUntil; ///< Peers that had no free slot.
    };

    /** A failure whose caller is told once the peers know of the crash. */
    struct HeldFailure
    {
        CrashNotice notice;
        std::set<NodeId> unheard;
        std::vector<std::pair<CallId, std::string>> callers;
        std::optional<std::uint64_t> ticket;
        Instant limit{};
        Instant resendAt{};
    };

    /** A run that was broken off, and whose server may yet die of it. */
    struct CancelledRun
    {
        Instant at{};
        ServerId server = 0;
        std::uint64_t fingerprint = 0;
    };

    // node_admit.cpp
    auto on(const RequestArrived &event) -> void;
    auto on(const CallerLeft &event) -> void;
    auto organisationOf(const std::string &keyDigest) const -> std::optional<OrganisationId>;
    auto admitSuspect(Call &call) -> bool;
    auto gather(CallId id) -> void;
    auto askNext(Call &call) -> void;
    auto enqueue(Call &call) -> void;
    auto mayUse(const Route &route, const std::string &keyDigest) const -> bool;
    auto cost(const Call &call) const -> double;
    auto refuse(CallId id, Refusal refusal) -> void;
    auto tell(CallId id, const std::string &requestId, Refusal refusal) -> void;
    auto dropCall(CallId id) -> void;

    // node_ticket.cpp
    auto on(const TicketAsked &event) -> void;
    auto on(const TicketCancelAsked &event) -> void;
    auto admitTicket(Call &call, const Route &route) -> bool;
    auto forwardTicket(const Call &call) -> void;

    // node_address.cpp
    auto on(const AddressAsked &event) -> void;

    // node_dispatch.cpp
    auto on(const BackendStarted &event) -> void;
    auto on(const BackendEnded &event) -> void;
    auto on(const BackendFailed &event) -> void;
    auto on(const BackendReport &event) -> void;
    auto pump(ServiceId service) -> void;
    auto estimate(ServerId server, double tokens) const -> Duration;
    auto dispatchOne(ServiceId service, ServiceState &state) -> bool;
    auto startRun(Call &call, const SlotChoice &choice, Instant validUntil) -> void;
    auto endRun(DispatchId id) -> Run;
    auto score(SlotRef ref, double tokens, std::uint64_t affinity) const -> std::optional<double>;
    auto askSlots(ServiceId service, ServiceState &state) -> void;
    auto requeue(Run &run) -> void;
    auto followersOf(const Run &run) -> std::vector<CallId>;
    auto checkDispatch(const Call &call, const BackendServer &server, Instant validUntil) const
        -> void;

    // node_peers.cpp
    auto on(const PeerReceived &event) -> void;
    auto on(NodeId from, const GossipPull &message) -> void;
    auto on(NodeId from, const GossipReply &message) -> void;
    auto on(NodeId from, const SlotQuery &message) -> void;
    auto on(NodeId from, const SlotQueryReply &message) -> void;
    auto on(NodeId from, const SlotLoanAsk &message) -> void;
    auto on(NodeId from, const SlotLoan &message) -> void;
    auto on(NodeId from, const SlotReturn &message) -> void;
    auto on(NodeId from, const TokenLoanAsk &message) -> void;
    auto on(NodeId from, const TokenLoan &message) -> void;
    auto send(NodeId to, PeerMessage message) -> void;

    // node_crash.cpp
    auto on(NodeId from, const CrashNotice &message) -> void;
    auto on(NodeId from, const CrashNoticeAck &message) -> void;
    auto crashed(const Run &run, const std::vector<CallId> &callers) -> void;
    auto reportCrash(ServerId server, std::uint64_t fingerprint) -> HeldFailure &;
    auto blameCancelled(ServerId server) -> void;
    auto mustNotWait(const Call &call) const -> bool;
    auto learnCrash(const CrashNotice &notice) -> void;
    auto resendCrashes() -> void;

    // node_floor.cpp
    auto updateFloors() -> void;
    auto mayShed(ServiceId service, const ServiceState &state, Tier tier) const -> bool;
    auto makeRoom(const Call &newcomer) -> bool;
    auto shed(CallId id) -> void;
    auto floorAcknowledged(ServiceId service, Tier floor) const -> bool;

    // node_config.cpp
    auto on(const ConfigRead &event) -> void;
    auto on(const VmListRead &event) -> void;
    auto applyNodes() -> void;
    auto stopWithdrawn() -> void;

    // node.cpp
    auto on(const Tick &event) -> void;
    auto on(const StopAsked &event) -> void;
    auto expireCalls() -> void;
    auto expireRuns() -> void;
    auto fetchNewer() -> void;
    auto pastGrace() const -> bool;
    auto act(Action action) -> void
    {
        this->actions.push_back(std::move(action));
    }
    auto note(std::string_view requestId, Step step, std::string detail) -> void;
    auto addressOf(NodeId node) const -> std::string;
    auto runsOnEngine(ServiceId service) const -> bool;

    NodeSettings settings;
    NodeId self;
    Incarnation incarnation;
    std::mt19937_64 random;
    Instant now;
    Actions actions;
    ConfigPtr currentConfig;
    Membership members;
    TokenRights tokens;
    SlotRights slots;
    ServerHealth health;
    TicketBook tickets;
    SuspectTable suspects;
    DecisionLog decisions;
    Counters counts;

    std::unordered_map<CallId, Call> calls;
    std::multimap<Instant, CallId> callTimers;
    std::unordered_map<DispatchId, Run> runs;
    std::unordered_map<ServiceId, ServiceState> services;
    std::unordered_map<std::uint64_t, CallId> tokenAsks; ///< Calls by open token loan.
    std::set<std::uint64_t> probationers; ///< Fingerprints that run alone now.
    std::vector<CancelledRun> cancelledLately;
    std::map<std::uint64_t, HeldFailure> heldFailures; ///< By notice number.
    DispatchId nextDispatch = 1;
    std::uint64_t nextNotice = 1;
    Instant nextPull{};
    Instant nextQuery{};
    Instant nextFetch{};
    std::optional<Instant> stopAt;
    bool drained = false;
    std::optional<Instant> behindSince; ///< A peer has had a newer configuration since then.
    bool caughtUp = false; ///< Heard a majority, none of it with a newer configuration.
};

} // namespace banyanring
