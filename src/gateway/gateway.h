/** @file gateway.h One node: its doors, its books and its life. */
#pragma once

#include "banyanring/gateway/door.h"
#include "banyanring/gateway/peer_gossip.h"
#include "banyanring/gateway/quota_coordination.h"
#include "banyanring/gateway/server_pool.h"
#include "banyanring/gateway/slot_coordination.h"
#include "banyanring/gateway/store_mirror_sync.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

namespace banyanring::gateway {

/**
 * One node. Callers, servers, peers and the store share one thread: each wake-up costs more than
 * the work that a thread of its own would take off. Only the log is written by another.
 */
class Gateway
{
public:
    /**
     * @param environment What the settings say.
     * @param reload Reads the settings again; may throw.
     */
    Gateway(fleet::Environment environment, std::function<fleet::Environment()> reload);

    /** Runs until a stop has ended. */
    auto run() -> void;

private:
    auto callerHandler() -> DoorHandler;
    auto replyHandler(std::function<WholeAnswer(const CallerRequest &)> respond) -> DoorHandler;
    auto handlePeerRequest(const CallerRequest &request) -> WholeAnswer;
    auto handleOperatorRequest(const CallerRequest &request) -> WholeAnswer;
    auto ownStatus() const -> fleet::NodeStatement;
    auto slotCallbacks() -> SlotCoordination::Callbacks;
    auto scheduleTick() -> void;
    auto tick() -> void;
    auto periodicChecks(Instant now) -> void;
    auto updateIdleConnectionLimits(Instant now) -> void;
    auto awaitSignals() -> void;
    auto reloadSettings(bool requested) -> void;
    auto beginStop() -> void;
    auto continueStop(Instant now) -> void;
    auto stateJson() const -> std::string;
    auto metricsText() const -> std::string;
    auto explainJson(std::string_view id) const -> std::string;

    fleet::Environment environment;
    std::function<fleet::Environment()> reload;
    boost::asio::io_context context{1};
    std::uint64_t incarnation;
    NodeBooks state;
    ServerPool serverConnectionPool;
    Scheduler scheduler;
    PeerSocket peerSocket;
    PeerGossip gossip;
    StoreMirrorSync mirrorSync;
    QuotaCoordination quotaCoordination;
    SlotCoordination slotCoordination;
    Door callerListener;
    Door readinessListener;
    Door directoryListener;
    Door peerListener;
    Door operatorListener;
    boost::asio::signal_set signals;
    boost::asio::steady_timer timer;
    std::uint64_t ticks = 0;
    bool settingsWereReadable = true; ///< The last look at the settings file went well.
    fleet::NodePhase phase = fleet::NodePhase::Starting;
    std::optional<Instant> stopRequestedAt;
    double lastReachableFraction = 0; ///< Part of the fleet in contact, to log its change.
    std::map<std::string, bool> wasAlive; ///< Members, to log their loss.
};

} // namespace banyanring::gateway
