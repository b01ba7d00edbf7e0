/** @file gateway.cpp One node: its listeners, its state and its lifecycle. */
#include "gateway.h"

#include "banyanring/adapters/log_func.h"
#include "banyanring/fleet/fleet_directory.h"
#include "banyanring/ports/clock_func.h"
#include "platform_endpoints.h"

#include <csignal>
#include <random>

namespace banyanring::gateway {

namespace {

using std::chrono::milliseconds;

constexpr Duration TickInterval = milliseconds(50); ///< Granularity of all timeouts.
constexpr std::uint64_t GossipIntervalTicks = PeerGossip::RoundInterval / TickInterval;
constexpr std::uint64_t CheckIntervalTicks = 5; ///< Ticks between checks of sessions and members.
/** Half of a server's connections may be idle; the rest is for running requests and probes. */
constexpr std::size_t IdleConnectionsDivisor = 2;
constexpr std::uint64_t SettingsIntervalTicks = 40; ///< Ticks between checks of the settings file.
constexpr std::uint64_t TrafficLogTicks = 600; ///< Ticks between lines about the peer traffic.
/** Bounds the time for which a caller uses a stale address. */
constexpr Duration DirectoryTtl = milliseconds(1000);
/** Delay after the stop signal; callers have resolved the addresses again by then. */
constexpr Duration CloseIdleAfter = milliseconds(1500);
/** Delay after the stop signal; later requests might not end before the process exits. */
constexpr Duration RejectAfter = milliseconds(3000);
constexpr Duration StopMargin = milliseconds(700); ///< Time to exit before the process is killed.
constexpr Duration FlushTime = milliseconds(200); ///< Time to send the last responses.
constexpr int OkStatus = 200;

/** @return A random number that is not zero. */
auto nonZeroRandomNumber() -> std::uint64_t
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device() | 1U;
}

} // namespace

Gateway::Gateway(fleet::ProcessSettings initialSettings,
                 std::function<fleet::ProcessSettings()> reload)
    : settings(std::move(initialSettings)), reload(std::move(reload)),
      incarnation(nonZeroRandomNumber()), startedAt(bootClockNow()),
      bodyBudget(this->settings.memoryBytes), state(this->settings, this->startedAt),
      serverConnectionPool(this->context),
      scheduler(this->state, this->serverConnectionPool, bootClockNow, nonZeroRandomNumber()),
      peerSocket(this->context, this->settings.peers),
      gossip(this->peerSocket, this->state, [this] { return this->ownStatus(); }),
      mirrorSync(this->context, this->settings, this->state, this->peerSocket,
                 [this] { this->scheduler.placeQueued(); }),
      quotaCoordination(
          this->peerSocket, this->state, this->settings.peers.text(), this->incarnation,
          [this](std::uint64_t requestNumber) { this->scheduler.onUsageQueryDone(requestNumber); }),
      slotCoordination(this->peerSocket, this->state, this->settings.peers.text(),
                       this->incarnation, this->slotCallbacks()),
      callerListener(this->context, this->settings.entry, this->callerHandler()),
      readinessListener(this->context, this->settings.readiness,
                        this->requestHandler([this](const CallerRequest &request) {
                            return platform::handleReadinessRequest(
                                request, this->phase == fleet::NodePhase::Ready);
                        })),
      directoryListener(this->context, this->settings.directory,
                        this->requestHandler([this](const CallerRequest &request) {
                            return platform::handleResolveRequest(
                                request,
                                fleet::listEntryAddresses(this->ownStatus(), this->state.members,
                                                          platform::callerDomain(request),
                                                          bootClockNow()),
                                std::min(DirectoryTtl, this->settings.bounds.directoryTtl));
                        })),
      peerListener(this->context, this->settings.peers,
                   this->requestHandler([this](const CallerRequest &request) {
                       return this->handlePeerRequest(request);
                   })),
      operatorListener(this->context, this->settings.metrics,
                       this->requestHandler([this](const CallerRequest &request) {
                           return this->handleOperatorRequest(request);
                       })),
      signals(this->context, SIGTERM, SIGINT, SIGHUP), timer(this->context)
{
}

auto Gateway::run() -> void
{
    logEvent("started", {{"entry", this->settings.entry.text()},
                         {"domain", this->settings.domain},
                         {"incarnation", std::to_string(this->incarnation)}});
    this->awaitSignals();
    this->scheduler.setNodeMemory(this->settings.memoryBytes);
    this->scheduler.setQuotaPort(this->quotaCoordination);
    this->scheduler.setSlotPort(this->slotCoordination);
    this->gossip.sendRound();
    this->scheduleTick();
    this->context.run();
    this->logPeerTraffic();
    logEvent("stopped");
}

auto Gateway::logPeerTraffic() const -> void
{
    const auto &traffic = this->peerSocket.traffic();
    std::vector<std::string> bytesByType;
    for (const auto &[type, sent] : traffic.sentByType) {
        bytesByType.push_back(std::string(messageTypeName(type)) + " "
                              + std::to_string(sent.bytes));
    }
    logEvent("peer_traffic",
             {{"up_s", std::int64_t{(bootClockNow() - this->startedAt) / std::chrono::seconds(1)}},
              {"messages", static_cast<std::int64_t>(traffic.sent.count)},
              {"bytes", static_cast<std::int64_t>(traffic.sent.bytes)},
              {"bytes_by_type", std::move(bytesByType)}});
}

auto Gateway::callerHandler() -> HttpHandler
{
    HttpHandler handler;
    handler.onRequest = [this](const CallerSessionPtr &session, CallerRequest request) {
        session->requestNumber = this->scheduler.submit(session, std::move(request));
    };
    handler.onDisconnected = [this](const CallerSessionPtr &session) {
        this->scheduler.onCallerDisconnected(session->requestNumber);
    };
    handler.limits = [this](Instant now) {
        const auto &config = this->state.config.current();
        auto limits = config ? config->limits : fleet::CallerLimits{};
        limits.idleTimeout = this->state.config.idleTimeout(now);
        return limits;
    };
    handler.bodyBudget = &this->bodyBudget;
    handler.onRejected = [this](int status, std::string_view reason) {
        this->scheduler.metrics.countEvent("rejected_" + std::to_string(status));
        logEvent("request_rejected",
                 {{"status", std::int64_t{status}}, {"reason", std::string(reason)}});
    };
    handler.onIncompleteClose = [this](const IncompleteClose &report) {
        this->scheduler.metrics.countEvent("closed_" + std::string(report.reason));
        logEvent("connection_closed",
                 {{"reason", std::string(report.reason)},
                  {"unanswered_bytes", static_cast<std::int64_t>(report.unansweredBytes)},
                  {"unsent_bytes", static_cast<std::int64_t>(report.unsentBytes)},
                  {"idle_ms", std::int64_t{report.idle / milliseconds(1)}},
                  {"idle_timeout_ms", std::int64_t{report.idleTimeout / milliseconds(1)}}});
    };
    return handler;
}

auto Gateway::requestHandler(std::function<HttpResponse(const CallerRequest &)> respond)
    -> HttpHandler
{
    HttpHandler handler;
    handler.onRequest = [respond = std::move(respond)](const CallerSessionPtr &session,
                                                       const CallerRequest &request) {
        session->sendResponse(respond(request));
    };
    handler.limits = [](Instant) { return fleet::CallerLimits{}; };
    return handler;
}

auto Gateway::handlePeerRequest(const CallerRequest &request) -> HttpResponse
{
    if (request.path != StoreMirrorSync::MirrorPath || !this->mirrorSync.loaded()) {
        return {404, "Not Found", {}, ""};
    }
    return {OkStatus, "OK", {}, this->mirrorSync.encodedMirror()};
}

auto Gateway::handleOperatorRequest(const CallerRequest &request) -> HttpResponse
{
    if (request.path == "/metrics") {
        return {
            OkStatus, "OK", {{"Content-Type", "text/plain; version=0.0.4"}}, this->metricsText()};
    }
    if (request.path == "/debug/state") {
        return {OkStatus, "OK", {{"Content-Type", "application/json"}}, this->stateJson()};
    }
    if (request.path == "/debug/explain") {
        const auto position = request.target.find("id=");
        const auto id = position == std::string::npos ? "" : request.target.substr(position + 3);
        return {OkStatus, "OK", {{"Content-Type", "application/json"}}, this->explainJson(id)};
    }
    return {404, "Not Found", {}, "/metrics, /debug/state, /debug/explain?id=REQUEST\n"};
}

auto Gateway::ownStatus() const -> fleet::NodeStatus
{
    fleet::NodeStatus status;
    status.peerAddress = this->settings.peers.text();
    status.entryAddress = this->settings.entry.text();
    status.domain = this->settings.domain;
    status.incarnation = this->incarnation;
    status.phase = this->phase;
    status.configVersion = this->state.config.current() ? this->state.config.current()->version : 0;
    this->mirrorSync.fillStatus(status);
    return status;
}

auto Gateway::slotCallbacks() -> SlotCoordination::Callbacks
{
    SlotCoordination::Callbacks callbacks;
    callbacks.onReply = [this](const fleet::SlotReply &reply) {
        this->scheduler.onSlotReply(reply);
    };
    callbacks.onTimeout = [this](std::uint64_t slotRequestId) {
        this->scheduler.onSlotTimeout(slotRequestId);
    };
    callbacks.heldSlots = [this] { return this->scheduler.heldSlots(); };
    callbacks.isUsable = [this](const fleet::Server &server, Instant now) {
        return this->scheduler.isUsable(server, now);
    };
    return callbacks;
}

auto Gateway::scheduleTick() -> void
{
    this->timer.expires_after(TickInterval);
    this->timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            this->tick();
        }
    });
}

auto Gateway::tick() -> void
{
    const auto now = bootClockNow();
    ++this->ticks;
    if (this->phase == fleet::NodePhase::Starting && this->state.config.current()
        && this->mirrorSync.loaded()) {
        this->phase = fleet::NodePhase::Ready;
        logEvent("ready",
                 {{"config", static_cast<std::int64_t>(this->state.config.current()->version)}});
    }
    this->serverConnectionPool.tick(now);
    this->mirrorSync.tick(now);
    this->quotaCoordination.tick(now);
    this->slotCoordination.tick(now);
    this->gossip.applyPeerLoads(now);
    this->scheduler.tick();
    if (this->ticks % GossipIntervalTicks == 0) {
        this->gossip.sendRound();
    }
    if (this->ticks % CheckIntervalTicks == 0) {
        this->periodicChecks(now);
        logDroppedLines();
    }
    if (this->ticks % SettingsIntervalTicks == 0) {
        this->reloadSettings(false);
    }
    if (this->ticks % TrafficLogTicks == 0) {
        this->logPeerTraffic();
    }
    if (this->stopRequestedAt) {
        this->continueStop(now);
    }
    if (!this->context.stopped()) {
        this->scheduleTick();
    }
}

auto Gateway::periodicChecks(Instant now) -> void
{
    for (auto *listener :
         {&this->callerListener, &this->readinessListener, &this->directoryListener,
          &this->peerListener, &this->operatorListener}) {
        listener->tick(now);
    }
    for (const auto &id : this->state.servers.removeExpired(now)) {
        this->serverConnectionPool.closeIdleTo(id);
        logEvent("server_dropped", {{"server", id}});
    }
    this->updateIdleConnectionLimits(now);
    this->state.crashSuspects.expire(now);
    this->state.quotas.expire(now);
    this->state.quotas.setAlivePeers(this->state.members.aliveIncarnations(now),
                                     this->gossip.propagationDelay(now));
    this->state.members.expire(now);
    this->logLostMembers(now);
    const auto reachableFraction = this->state.members.reachableFraction(now);
    if (reachableFraction != this->lastReachableFraction) {
        logEvent("limits_part",
                 {{"part", reachableFraction},
                  {"part_before", this->lastReachableFraction},
                  {"fleet_size", static_cast<std::int64_t>(this->state.members.fleetSize(now))}});
        this->lastReachableFraction = reachableFraction;
    }
}

auto Gateway::logLostMembers(Instant now) -> void
{
    const auto generation = this->state.members.generation(now);
    if (std::exchange(this->checkedGeneration, generation) == generation) {
        return;
    }
    for (const auto &[address, member] : this->state.members.all()) {
        const bool alive = this->state.members.isAlive(member, now);
        if (this->wasAlive[address] && !alive) {
            logEvent(
                "member_lost",
                {{"member", address},
                 {"silent_ms", static_cast<std::int64_t>((now - member.issuedAt).count() / 1000)},
                 {"fleet_size", static_cast<std::int64_t>(this->state.members.fleetSize(now))},
                 {"reachable_part", this->state.members.reachableFraction(now)}});
        }
        this->wasAlive[address] = alive;
    }
}

auto Gateway::updateIdleConnectionLimits(Instant now) -> void
{
    const auto fleetSize = this->state.members.fleetSize(now);
    for (const auto &[id, server] : this->state.servers.all()) {
        if (server->leaving) {
            this->serverConnectionPool.closeIdleTo(id);
            continue;
        }
        const auto *service = this->state.config.findService(server->registration.service);
        if (service != nullptr && service->maxConnections > 0) {
            const auto idleConnections =
                service->maxConnections / (IdleConnectionsDivisor * fleetSize);
            server->maxIdleConnections = std::max<std::size_t>(1, idleConnections);
        }
    }
}

auto Gateway::awaitSignals() -> void
{
    this->signals.async_wait([this](const boost::system::error_code &error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGHUP) {
            this->reloadSettings(true);
        } else if (!this->stopRequestedAt) {
            this->beginStop();
        }
        this->awaitSignals();
    });
}

auto Gateway::reloadSettings(bool requested) -> void
{
    try {
        const auto newSettings = this->reload();
        const bool changed = newSettings.seeds != this->settings.seeds
                             || !(newSettings.store == this->settings.store);
        if (!changed && !requested) {
            return;
        }
        this->settings.seeds = newSettings.seeds;
        this->settings.store = newSettings.store;
        this->state.members.setSeeds(newSettings.seeds);
        this->mirrorSync.setStoreAddress(newSettings.store.text());
        logEvent("settings_reloaded", {{"store", newSettings.store.text()}, {"changed", changed}});
    } catch (const std::exception &error) {
        if (requested || this->settingsWereReadable) {
            logEvent("settings_rejected", {{"error", error.what()}});
        }
        this->settingsWereReadable = false;
    }
}

auto Gateway::beginStop() -> void
{
    this->stopRequestedAt = bootClockNow();
    this->phase = fleet::NodePhase::Draining;
    this->callerListener.closeAfterResponses();
    this->gossip.announcePhase();
    logEvent("stopping",
             {{"open_requests", static_cast<std::int64_t>(this->scheduler.activeRequests())}});
}

auto Gateway::continueStop(Instant now) -> void
{
    const auto elapsed = now - *this->stopRequestedAt;
    if (elapsed > CloseIdleAfter) {
        this->callerListener.closeIdleSessions();
    }
    if (elapsed > RejectAfter) {
        this->scheduler.rejectNewRequests();
        this->callerListener.stopAccepting();
    }
    const auto endRequestsAfter = this->settings.bounds.stopGrace - StopMargin;
    if (elapsed > endRequestsAfter && !this->requestsEnded) {
        this->requestsEnded = true;
        const auto openRequests = static_cast<std::int64_t>(this->scheduler.activeRequests());
        this->scheduler.endAllRequests();
        if (openRequests > 0) {
            logEvent("stop_grace_over", {{"ended_requests", openRequests}});
        }
    }
    const bool drained = elapsed > CloseIdleAfter && this->callerListener.openSessions() == 0;
    if (drained || elapsed > endRequestsAfter + FlushTime) {
        logEvent("drained",
                 {{"after_ms", static_cast<std::int64_t>(elapsed.count() / 1000)},
                  {"cut_requests", static_cast<std::int64_t>(this->scheduler.activeRequests())}});
        this->context.stop();
    }
}

} // namespace banyanring::gateway
