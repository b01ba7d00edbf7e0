/**
 * @file fake_fleet.h Simulation of a fleet: real decision cores in virtual time, with simulated
 * network, platform, backend servers and callers.
 */
#pragma once

#include "banyanring/core/node_base.h"
#include "fleet_check.h"

#include <functional>
#include <memory>
#include <queue>

namespace banyanring::test {

/** A request of a measured workload. */
struct Arrival
{
    Instant at{};
    std::string organisation;
    std::string path;
    Tier tier = 0;
    std::uint32_t tokens = 0;
};

/** Size, load and faults of a simulation. */
struct SimulationSettings
{
    std::uint64_t seed = 1;
    int nodeCount = 5;
    Duration duration = std::chrono::seconds(90);
    double requestsPerSecond = 40;
    int engineCount = 4;
    int plainServerCount = 2;
    std::uint16_t slotsPerServer = 8;
    double lossRate = 0.01; ///< Fraction of the messages that are lost.
    double duplicateRate = 0.01; ///< Fraction of the messages that are delivered twice.
    double delayRate = 0.01; ///< Fraction of the messages that are delayed by up to 9 s.
    double faultsPerMinute = 20; ///< Mean rate over all enabled kinds.
    /** Also inject VM list changes, platform outages and configuration changes. */
    bool operatorFaults = true;
    bool stalledConnections = true; ///< One run in 500 never reports its end to the node.
    /** One caller sends a request that crashes each server that runs it. */
    bool queryOfDeath = false;
    std::vector<Arrival> arrivals; ///< Replaces the random load unless empty.
    /** Callers send to the addresses that the system returns to them. */
    bool useReturnedAddresses = true;
    int maxAttempts = 4; ///< Maximum number of attempts for a request.
    std::function<void(Config &)> adjustConfig; ///< Adjusts the initial configuration.
    NodeSettings nodeSettings;
};

/** Outcome of an arrival. */
struct ArrivalResult
{
    std::optional<Instant> respondedAt;
    std::optional<Reason> rejection; ///< Reason of the first rejection that the caller received.
    bool dispatched = false; ///< The request was written to a backend server.
};

/** Fleet in virtual time; the seed determines the entire simulation. */
class FakeFleet
{
public:
    explicit FakeFleet(const SimulationSettings &settings);

    /** Runs for the configured duration, then another 30 s without load and new faults. */
    auto run() -> void;

    /** Restarts each node gracefully, one after the other, under load. */
    auto rollingRestart() -> void;

    /** Runs until @p until. */
    auto runUntil(Instant until) -> void;
    /** Calls a function at the given virtual time, or now if that has passed. */
    auto schedule(Instant time, std::function<void()> callback) -> void;
    /** Starts the load. */
    auto startLoad() -> void;
    /** Stops the load. */
    auto stopLoad() -> void
    {
        this->loading = false;
    }

    auto currentTime() const -> Instant
    {
        return this->now;
    }
    auto node(NodeId id) -> Node &
    {
        return *this->vms.at(id).node;
    }
    auto invariants() -> FleetChecker &
    {
        return this->checker;
    }
    auto killNode(NodeId id) -> void;
    auto startNode(NodeId id) -> void;
    auto pauseNode(NodeId id, Duration duration) -> void;
    auto stopNode(NodeId id) -> void;
    auto setLinkDown(NodeId from, NodeId to, bool isDown) -> void;
    auto publishConfig(const std::function<void(Config &)> &change) -> void;
    auto publishVmList(const std::function<void(VmList &)> &change) -> void;
    auto killServer(ServerId id, Duration downtime) -> void;
    auto publishedConfig() const -> const Config &
    {
        return *this->configs.back();
    }

    struct EventCounts
    {
        std::map<std::string, int> byKind;
    };
    EventCounts eventCounts;
    std::vector<ArrivalResult> results; ///< Outcomes of the arrivals, by index.
    std::uint64_t messageCount = 0;
    std::uint64_t byteCount = 0; ///< Bytes of the peer messages; 0 unless messageSize is set.
    std::function<std::size_t(NodeId, const PeerMessage &)> messageSize;
    bool platformDown = false;
    bool tracing = false; ///< Prints the events of the simulation.
    std::size_t platformLag = 0; ///< Number of revisions by which the platform's responses lag.

private:
    /** Request of a caller, across its retries. */
    struct Request
    {
        std::uint64_t number = 0;
        std::string organisation;
        std::string keyDigest;
        std::string path;
        std::string ticket;
        std::uint32_t tokens = 0;
        std::uint64_t bodyDigest = 0;
        int attempts = 0;
        Instant deadline = Never; ///< The caller stops retrying then.
        std::optional<std::size_t> arrivalIndex; ///< Index of a measured arrival.
        bool isQueryOfDeath = false;
    };
    /** Open call of a request at a node. */
    struct OpenCall
    {
        Request request;
        NodeId node = 0;
        std::string requestId;
        bool requestsTicket = false;
    };
    /** Request that runs at a backend server. */
    struct ServerRun
    {
        NodeId node = 0;
        Incarnation incarnation = 0;
        DispatchId dispatch = 0;
        std::string requestId;
        bool stalled = false;
        std::uint32_t tokens = 0;
    };
    struct Server
    {
        std::uint64_t startedAt = 1;
        bool up = true;
        Instant coldUntil{};
        double tokensPerSecond = 400;
        std::map<std::string, ServerRun> runs; ///< By request id.
    };
    struct EntryVm
    {
        std::unique_ptr<Node> node;
        Incarnation incarnation = 0;
        Instant pausedUntil{};
        Duration clockOffset{};
        double clockRate = 1;
        /** Callbacks deferred while the process was paused. */
        std::vector<std::function<void()>> deferred;
        Instant nextReportPoll{};
        std::size_t configsRead = 0;
        std::size_t vmListsRead = 0;
    };
    struct Timer
    {
        Instant expiry;
        std::uint64_t sequence;
        std::function<void()> callback;
    };
    struct ExpiresLater
    {
        auto operator()(const Timer &left, const Timer &right) const -> bool
        {
            return std::pair{left.expiry, left.sequence} > std::pair{right.expiry, right.sequence};
        }
    };

    auto trace(const std::string &text) const -> void;
    auto chance(double probability) -> bool;
    auto uniform(double minimum, double maximum) -> double;
    /** @return Uniformly distributed duration; the bounds are in milliseconds. */
    auto randomDuration(double minimum, double maximum) -> Duration;
    auto isRunning(NodeId id) const -> bool;
    auto localTime(const EntryVm &vm) const -> Instant;
    /** Calls a function now, or when the node resumes if it is paused. */
    auto deferWhilePaused(NodeId id, std::function<void()> callback) -> void;
    auto handleEvent(NodeId id, const Event &event) -> void;
    auto performAction(NodeId id, const Action &action) -> void;
    auto sendPeerMessage(NodeId from, const SendPeerMessage &action) -> void;
    auto scheduleDispatch(NodeId id, const Dispatch &action) -> void;
    auto writeToServer(NodeId id, Incarnation incarnation, const Dispatch &action) -> void;
    auto completeRun(ServerId server, const std::string &requestId, std::uint64_t startedAt)
        -> void;
    auto notifyRunEnd(const ServerRun &run, const Event &event) -> void;
    auto cancelRun(NodeId id, DispatchId dispatch) -> void;
    auto onRejection(const Reject &action) -> void;
    auto onResponse(CallId call, const std::string &requestId) -> void;
    auto tick(NodeId id, Incarnation incarnation) -> void;
    auto readPlatform(NodeId id) -> void;
    auto pollLoadReports(NodeId id) -> void;
    auto generateRequest() -> void;
    auto submit(Request request) -> void;
    auto retry(Request request, Duration delay) -> void;
    auto pickRunningNode() -> NodeId;
    auto chooseNode(const Request &request) -> NodeId;
    /** @return Running, unpaused incarnations with working links from and to a node. */
    auto reachableIncarnations(NodeId id) const -> std::set<Incarnation>;
    auto sendQueryOfDeath() -> void;
    auto injectFault() -> void;
    auto injectOperatorFault(double draw) -> void;
    auto createInitialConfig() -> void;

    SimulationSettings settings;
    std::mt19937_64 random;
    Instant now{};
    std::uint64_t nextTimerSequence = 0;
    std::priority_queue<Timer, std::vector<Timer>, ExpiresLater> timers;
    std::map<NodeId, EntryVm> vms;
    std::set<std::pair<NodeId, NodeId>> downLinks;
    std::vector<ConfigPtr> configs;
    std::vector<VmListPtr> vmLists;
    std::map<ServerId, Server> servers;
    std::map<CallId, OpenCall> calls;
    std::map<std::pair<NodeId, DispatchId>, std::pair<ServerId, std::string>> inFlightRuns;
    CallId nextCall = 1;
    std::uint64_t nextRequestNumber = 1;
    Incarnation nextIncarnation = 1;
    bool loading = false;
    /** Addresses returned to each organisation's callers, with the end of their TTL. */
    std::map<std::string, std::pair<std::vector<NodeId>, Instant>> addressCache;
    std::vector<NodeId> returnedAddresses; ///< Addresses of the latest response.
    FleetChecker checker;
};

} // namespace banyanring::test
