/** @file gateway.h One node: its listeners, its state and its lifecycle. */
#pragma once

#include "banyanring/gateway/http_listener.h"
#include "banyanring/gateway/peer_gossip.h"
#include "banyanring/gateway/quota_coordination.h"
#include "banyanring/gateway/server_connection_pool.h"
#include "banyanring/gateway/slot_coordination.h"
#include "banyanring/gateway/store_mirror_sync.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

namespace banyanring::gateway {

/**
 * One node. Callers, servers, peers and the store share one thread, since waking up another thread
 * costs more than the work that it would take over. Only the log is written by a thread of its own.
 */
class Gateway
{
public:
    /**
     * @param settings Settings of this process.
     * @param reload Reads the settings file again; may throw.
     */
    Gateway(fleet::ProcessSettings settings, std::function<fleet::ProcessSettings()> reload);

    /** Runs until the node is stopped by a signal and has drained. */
    auto run() -> void;

private:
    auto callerHandler() -> HttpHandler;
    auto requestHandler(std::function<HttpResponse(const CallerRequest &)> respond) -> HttpHandler;
    auto handlePeerRequest(const CallerRequest &request) -> HttpResponse;
    auto handleOperatorRequest(const CallerRequest &request) -> HttpResponse;
    auto ownStatus() const -> fleet::NodeStatus;
    auto slotCallbacks() -> SlotCoordination::Callbacks;
    auto scheduleTick() -> void;
    auto tick() -> void;
    auto periodicChecks(Instant now) -> void;
    auto logLostMembers(Instant now) -> void;
    auto logPeerTraffic() const -> void;
    auto updateIdleConnectionLimits(Instant now) -> void;
    auto awaitSignals() -> void;
    auto reloadSettings(bool requested) -> void;
    auto beginStop() -> void;
    auto continueStop(Instant now) -> void;
    auto stateJson() const -> std::string;
    auto metricsText() const -> std::string;
    auto explainJson(std::string_view id) const -> std::string;

    fleet::ProcessSettings settings;
    std::function<fleet::ProcessSettings()> reload;
    boost::asio::io_context context{1};
    std::uint64_t incarnation;
    Instant startedAt;
    BodyBudget bodyBudget; ///< For the requests of callers.
    NodeState state;
    ServerConnectionPool serverConnectionPool;
    Scheduler scheduler;
    PeerSocket peerSocket;
    PeerGossip gossip;
    StoreMirrorSync mirrorSync;
    QuotaCoordination quotaCoordination;
    SlotCoordination slotCoordination;
    HttpListener callerListener;
    HttpListener readinessListener;
    HttpListener directoryListener;
    HttpListener peerListener;
    HttpListener operatorListener;
    boost::asio::signal_set signals;
    boost::asio::steady_timer timer;
    std::uint64_t ticks = 0;
    bool settingsWereReadable = true; ///< Cleared by the first failed reload, to log only that one.
    fleet::NodePhase phase = fleet::NodePhase::Starting;
    std::optional<Instant> stopRequestedAt;
    bool requestsEnded = false; ///< The grace period is over and the open requests were ended.
    double lastReachableFraction = 0; ///< Reachable fraction of the fleet, to log its changes.
    std::map<std::string, bool> wasAlive; ///< By member address, to log lost members.
    std::uint64_t checkedGeneration = 0; ///< Generation of the members when this was last done.
};

} // namespace banyanring::gateway
