/** @file fake_fleet.h Real decision cores around fakes: network, platform, backend servers,
 * callers. */
#pragma once

#include "banyanring/core/node_base.h"
#include "fleet_check.h"

#include <functional>
#include <memory>
#include <queue>

namespace banyanring::test {

/** A request that a measured workload brings. */
struct Arrival
{
    Instant at{};
    std::string organisation;
    std::string path;
    Tier tier = 0;
    std::uint32_t tokens = 0;
};

/** Size and load of a run. */
struct RunSettings
{
    std::uint64_t seed = 1;
    int nodes = 5;
    Duration length = std::chrono::seconds(90);
    double requestsPerSecond = 40;
    int engines = 4;
    int plains = 2;
    std::uint16_t slots = 8;
    double loss = 0.01; ///< Share of messages lost.
    double repeats = 0.01; ///< Share of messages delivered twice.
    double slow = 0.01; ///< Share of messages late by up to seconds.
    double faultsPerMinute = 20; ///< Of all kinds that are allowed.
    bool fullFaults = true; ///< Also list changes, platform outages, operators' changes.    bool
                            ///< silence = true;     ///< Now and then a connection goes silent.
    bool silence = true; ///< Now and then a connection goes silent.
    bool killer = false; ///< One caller sends a request that kills every server.
    std::vector<Arrival> arrivals; ///< Replaces the random load if there are any.
    bool steered = true; ///< Callers use the addresses that the system tells them.
    int tries = 4; ///< Most tries of a caller.
    std::function<void(Config &)> adjust; ///< Changes the first configuration.
    NodeSettings node;
};

/** What became of an arrival. */
struct Result
{
    std::optional<Instant> answeredAt;
    std::optional<Reason> refusal; ///< The first one that its caller was told.
    bool written = false; ///< A backend server began it.
};

/** A fleet in virtual time. Everything follows from the seed. */
class FakeFleet
{
public:
    explicit FakeFleet(const RunSettings &settings);

    /** Runs to the end of the settings' length, then lets everything end without faults. */
    auto run() -> void;

    /** Restarts each node gracefully, one after the other, while requests go on. */
    auto rollingRestart() -> void;

    /** Runs until @p until. */
    auto runUntil(Instant until) -> void;
    /** Does something at an instant. */
    auto at(Instant when, std::function<void()> what) -> void;
    /** Begins the steady load. */
    auto startLoad() -> void;
    /** Ends the steady load. */
    auto stopLoad() -> void
    {
        this->loading = false;
    }

    auto time() const -> Instant
    {
        return this->now;
    }
    auto core(NodeId id) -> Node &
    {
        return *this->vms.at(id).node;
    }
    auto checks() -> FleetCheck &
    {
        return this->check;
    }
    auto killNode(NodeId id) -> void;
    auto startNode(NodeId id) -> void;
    auto pauseNode(NodeId id, Duration length) -> void;
    auto stopNode(NodeId id) -> void;
    auto cut(NodeId from, NodeId to, bool isCut) -> void;
    auto publish(const std::function<void(Config &)> &change) -> void;
    auto publishList(const std::function<void(VmList &)> &change) -> void;
    auto killServer(ServerId id, Duration down) -> void;
    auto published() const -> const Config &
    {
        return *this->configs.back();
    }

    struct Faults
    {
        std::map<std::string, int> byKind;
    };
    Faults faults;
    std::vector<Result> results; ///< Of the arrivals.
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0; ///< Counted if sizeOf is set.
    std::function<std::size_t(NodeId, const PeerMessage &)> sizeOf;
    bool platformDown = false;
    bool tracing = false; ///< Prints what happens.
    std::size_t staleBy = 0; ///< Revisions by which the platform's answers are old.

private:
    /** A request of a caller, over all its tries. */
    struct Job
    {
        std::uint64_t number = 0;
        std::string organisation;
        std::string key;
        std::string path;
        std::string ticket;
        std::uint32_t tokens = 0;
        std::uint64_t digest = 0;
        int tries = 0;
        Instant until = Never; ///< When its caller gives up.
        std::optional<std::size_t> arrival; ///< Index of a measured arrival.
        bool killer = false;
    };
    /** A call of a job at a node. */
    struct OpenCall
    {
        Job job;
        NodeId node = 0;
        std::string requestId;
        bool forTicket = false;
    };
    /** A run at a backend server. */
    struct ServerRun
    {
        NodeId node = 0;
        Incarnation incarnation = 0;
        DispatchId dispatch = 0;
        std::string requestId;
        bool silent = false;
        std::uint32_t tokens = 0;
    };
    struct Server
    {
        std::uint64_t startedAt = 1;
        bool up = true;
        Instant coldUntil{};
        double speed = 400; ///< Tokens a second.
        std::map<std::string, ServerRun> runs; ///< By request id.
    };
    struct EntryVm
    {
        std::unique_ptr<Node> node;
        Incarnation incarnation = 0;
        Instant pausedUntil{};
        Duration offset{};
        double rate = 1;
        std::vector<std::function<void()>> held; ///< Came while it was paused.
        Instant nextReports{};
        std::size_t configSeen = 0;
        std::size_t listSeen = 0;
    };
    struct Timer
    {
        Instant when;
        std::uint64_t order;
        std::function<void()> what;
    };
    struct Later
    {
        auto operator()(const Timer &left, const Timer &right) const -> bool
        {
            return std::pair{left.when, left.order} > std::pair{right.when, right.order};
        }
    };

    auto trace(const std::string &what) const -> void;
    auto chance(double share) -> bool;
    auto uniform(double least, double most) -> double;
    auto millis(double least, double most) -> Duration;
    auto alive(NodeId id) const -> bool;
    auto local(const EntryVm &vm) const -> Instant;
    auto whenAwake(NodeId id, std::function<void()> what) -> void;
    auto feed(NodeId id, const Event &event) -> void;
    auto perform(NodeId id, const Action &action) -> void;
    auto sendPeer(NodeId from, const SendPeerMessage &action) -> void;
    auto dispatch(NodeId id, const Dispatch &action) -> void;
    auto write(NodeId id, Incarnation incarnation, const Dispatch &action) -> void;
    auto endRun(ServerId server, const std::string &requestId, std::uint64_t startedAt) -> void;
    auto tellRunEnd(const ServerRun &run, const Event &event) -> void;
    auto cancelRun(NodeId id, DispatchId dispatch) -> void;
    auto refused(const Reject &action) -> void;
    auto answered(CallId call, const std::string &requestId) -> void;
    auto tick(NodeId id, Incarnation incarnation) -> void;
    auto readPlatform(NodeId id) -> void;
    auto readReports(NodeId id) -> void;
    auto newRequest() -> void;
    auto submit(Job job) -> void;
    auto retry(Job job, Duration after) -> void;
    auto pickNode() -> NodeId;
    auto nodeFor(const Job &job) -> NodeId;
    auto reachableFrom(NodeId id) const -> std::set<Incarnation>;
    auto killerRequest() -> void;
    auto injectFault() -> void;
    auto operatorFault(double dice) -> void;
    auto firstConfig() -> void;

    RunSettings settings;
    std::mt19937_64 random;
    Instant now{};
    std::uint64_t timerOrder = 0;
    std::priority_queue<Timer, std::vector<Timer>, Later> timers;
    std::map<NodeId, EntryVm> vms;
    std::set<std::pair<NodeId, NodeId>> cuts;
    std::vector<ConfigPtr> configs;
    std::vector<VmListPtr> lists;
    std::map<ServerId, Server> servers;
    std::map<CallId, OpenCall> calls;
    std::map<std::pair<NodeId, DispatchId>, std::pair<ServerId, std::string>> flights;
    CallId nextCall = 1;
    std::uint64_t nextJob = 1;
    Incarnation nextIncarnation = 1;
    bool loading = false;
    /** Addresses that the system told an organisation's callers, and until when they keep them. */
    std::map<std::string, std::pair<std::vector<NodeId>, Instant>> addressBook;
    std::vector<NodeId> addressAnswer; ///< The latest answer.
    FleetCheck check;
};

} // namespace banyanring::test
