/** @file gateway.cpp One node: its doors, its books and its life. */
#include "gateway.h"

#include "banyanring/adapters/log_func.h"
#include "banyanring/fleet/fleet_directory.h"
#include "banyanring/ports/clock_func.h"
#include "small_doors.h"

#include <csignal>
#include <random>

namespace banyanring::gateway {

namespace {

using std::chrono::milliseconds;

constexpr Duration TickInterval = milliseconds(50); ///< Granularity of all time limits.
constexpr std::uint64_t GossipTicks = PeerGossip::RoundInterval / TickInterval;
constexpr std::uint64_t SlowTicks = 5; ///< Ticks between checks of sessions and members.
/** Half of a server's connections may be idle; the rest is for running requests and probes. */
constexpr std::size_t KeptConnectionsPart = 2;
constexpr std::uint64_t SettingsTicks = 40; ///< Ticks between looks at the settings file.
/** A caller that was given a stale address learns better within it. */
constexpr Duration DirectoryTtl = milliseconds(1000);
/** Stopping, counted from the signal: callers have asked for addresses again by then. */
constexpr Duration CloseIdleAfter = milliseconds(1500);
constexpr Duration RefuseAfter = milliseconds(3000); ///< Later work might outlive the process.
constexpr Duration StopMargin = milliseconds(700); ///< Before the process is killed.
constexpr int Ok = 200;

/** @return A random number that is not zero. */
auto randomNumber() -> std::uint64_t
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device() | 1U;
}

} // namespace

Gateway::Gateway(fleet::Environment given, std::function<fleet::Environment()> reload)
    : environment(std::move(given)), reload(std::move(reload)), incarnation(randomNumber()),
      books(this->environment, bootClockNow()), pool(this->context),
      scheduler(this->books, this->pool, bootClockNow, randomNumber()),
      peerSocket(this->context, this->environment.peers),
      gossip(this->peerSocket, this->books, [this] { return this->statement(); }),
      sharing(this->context, this->environment, this->books, this->peerSocket,
              [this] { this->scheduler.placeAll(); }),
      accounts(this->peerSocket, this->books, this->environment.peers.text(), this->incarnation,
               [this](std::uint64_t run) { this->scheduler.advised(run); }),
      slots(this->peerSocket, this->books, this->environment.peers.text(), this->incarnation,
            this->slotCallbacks()),
      entry(this->context, this->environment.entry, this->entryHandler()),
      readiness(this->context, this->environment.readiness,
                this->smallHandler([this](const CallerRequest &request) {
                    return platform::answerReadiness(request,
                                                     this->phase == fleet::NodePhase::Ready);
                })),
      directory(
          this->context, this->environment.directory,
          this->smallHandler([this](const CallerRequest &request) {
              return platform::answerAddresses(
                  request,
                  fleet::callerAddresses(this->statement(), this->books.members, bootClockNow()),
                  std::min(DirectoryTtl, this->environment.bounds.directoryTtl));
          })),
      peers(this->context, this->environment.peers,
            this->smallHandler(
                [this](const CallerRequest &request) { return this->answerPeer(request); })),
      operators(this->context, this->environment.metrics,
                this->smallHandler([this](const CallerRequest &request) {
                    return this->answerOperator(request);
                })),
      signals(this->context, SIGTERM, SIGINT, SIGHUP), timer(this->context)
{
}

auto Gateway::run() -> void
{
    logEvent("started", {{"entry", this->environment.entry.text()},
                         {"domain", this->environment.domain},
                         {"incarnation", std::to_string(this->incarnation)}});
    this->awaitSignals();
    this->scheduler.setAdvice(this->accounts);
    this->scheduler.setSlots(this->slots);
    this->gossip.sendRound();
    this->scheduleTick();
    this->context.run();
    logEvent("stopped");
}

auto Gateway::entryHandler() -> DoorHandler
{
    DoorHandler handler;
    handler.onRequest = [this](const CallerSessionPtr &session, CallerRequest request) {
        session->run = this->scheduler.accept(session, std::move(request));
    };
    handler.onGone = [this](const CallerSessionPtr &session) {
        this->scheduler.callerGone(session->run);
    };
    handler.limits = [this](Instant now) {
        const auto &config = this->books.config.current();
        auto limits = config ? config->limits : fleet::EntryLimits{};
        limits.idleTimeout = this->books.config.idleTimeout(now);
        return limits;
    };
    handler.onRejected = [this](int status, std::string_view reason) {
        this->scheduler.metrics.count("rejected_" + std::to_string(status));
        logEvent("request_rejected",
                 {{"status", std::int64_t{status}}, {"reason", std::string(reason)}});
    };
    return handler;
}

auto Gateway::smallHandler(std::function<WholeAnswer(const CallerRequest &)> answer) -> DoorHandler
{
    DoorHandler handler;
    handler.onRequest = [answer = std::move(answer)](const CallerSessionPtr &session,
                                                     const CallerRequest &request) {
        session->answer(answer(request));
    };
    handler.limits = [](Instant) { return fleet::EntryLimits{}; };
    return handler;
}

auto Gateway::answerPeer(const CallerRequest &request) -> WholeAnswer
{
    if (request.path != MirrorSharing::Path || !this->sharing.loaded()) {
        return {404, "Not Found", {}, ""};
    }
    return {Ok, "OK", {}, this->sharing.encoded()};
}

auto Gateway::answerOperator(const CallerRequest &request) -> WholeAnswer
{
    if (request.path == "/metrics") {
        return {Ok, "OK", {{"Content-Type", "text/plain; version=0.0.4"}}, this->metricsText()};
    }
    if (request.path == "/debug/state") {
        return {Ok, "OK", {{"Content-Type", "application/json"}}, this->stateText()};
    }
    if (request.path == "/debug/explain") {
        const auto at = request.target.find("id=");
        const auto id = at == std::string::npos ? "" : request.target.substr(at + 3);
        return {Ok, "OK", {{"Content-Type", "application/json"}}, this->explainText(id)};
    }
    return {404, "Not Found", {}, "/metrics, /debug/state, /debug/explain?id=REQUEST\n"};
}

auto Gateway::statement() const -> fleet::NodeStatement
{
    fleet::NodeStatement own;
    own.peerAddress = this->environment.peers.text();
    own.entryAddress = this->environment.entry.text();
    own.domain = this->environment.domain;
    own.incarnation = this->incarnation;
    own.phase = this->phase;
    own.configVersion = this->books.config.current() ? this->books.config.current()->version : 0;
    this->sharing.describe(own);
    return own;
}

auto Gateway::slotCallbacks() -> SlotKeeping::Callbacks
{
    SlotKeeping::Callbacks callbacks;
    callbacks.onReply = [this](const fleet::SlotReply &reply) {
        this->scheduler.slotAnswered(reply);
    };
    callbacks.onSilent = [this](std::uint64_t ask) { this->scheduler.slotSilent(ask); };
    callbacks.holdings = [this] { return this->scheduler.holdings(); };
    callbacks.usable = [this](const fleet::Server &server, Instant now) {
        return this->scheduler.usable(server, now);
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
    if (this->phase == fleet::NodePhase::Starting && this->books.config.current()
        && this->sharing.loaded()) {
        this->phase = fleet::NodePhase::Ready;
        logEvent("ready",
                 {{"config", static_cast<std::int64_t>(this->books.config.current()->version)}});
    }
    this->pool.tick(now);
    this->sharing.tick(now);
    this->accounts.tick(now);
    this->slots.tick(now);
    this->gossip.applyLoads(now);
    this->scheduler.tick();
    if (this->ticks % GossipTicks == 0) {
        this->gossip.sendRound();
    }
    if (this->ticks % SlowTicks == 0) {
        this->slowTick(now);
    }
    if (this->ticks % SettingsTicks == 0) {
        this->reloadSettings(false);
    }
    if (this->stopAsked) {
        this->continueStop(now);
    }
    if (!this->context.stopped()) {
        this->scheduleTick();
    }
}

auto Gateway::slowTick(Instant now) -> void
{
    for (auto *door :
         {&this->entry, &this->readiness, &this->directory, &this->peers, &this->operators}) {
        door->tick(now);
    }
    for (const auto &id : this->books.servers.expire(now)) {
        this->pool.forget(id);
        logEvent("server_dropped", {{"server", id}});
    }
    this->shareConnections(now);
    this->books.suspects.expire(now);
    this->books.quotas.expire(now);
    this->books.quotas.noteContact(this->books.members.incarnations(now), this->gossip.lag(now));
    this->books.members.expire(now);
    for (const auto &[address, member] : this->books.members.all()) {
        const bool alive = fleet::FleetMembers::alive(member, now);
        if (this->aliveBefore[address] && !alive) {
            logEvent(
                "member_lost",
                {{"member", address},
                 {"silent_ms", static_cast<std::int64_t>((now - member.statedAt).count() / 1000)},
                 {"fleet_size", static_cast<std::int64_t>(this->books.members.fleetSize(now))},
                 {"reachable_part", this->books.members.reachablePart(now)}});
        }
        this->aliveBefore[address] = alive;
    }
    const auto part = this->books.members.reachablePart(now);
    if (part != this->partBefore) {
        logEvent("limits_part",
                 {{"part", part},
                  {"part_before", this->partBefore},
                  {"fleet_size", static_cast<std::int64_t>(this->books.members.fleetSize(now))}});
        this->partBefore = part;
    }
}

auto Gateway::shareConnections(Instant now) -> void
{
    const auto nodes = this->books.members.fleetSize(now);
    for (const auto &[id, server] : this->books.servers.all()) {
        const auto *service = this->books.config.findService(server->entry.service);
        if (service != nullptr && service->maxConnections > 0) {
            const auto share = service->maxConnections / (KeptConnectionsPart * nodes);
            server->keptConnections = std::max<std::size_t>(1, share);
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
        } else if (!this->stopAsked) {
            this->beginStop();
        }
        this->awaitSignals();
    });
}

auto Gateway::reloadSettings(bool asked) -> void
{
    try {
        const auto fresh = this->reload();
        const bool changed =
            fresh.seeds != this->environment.seeds || !(fresh.store == this->environment.store);
        if (!changed && !asked) {
            return;
        }
        this->environment.seeds = fresh.seeds;
        this->environment.store = fresh.store;
        this->books.members.setSeeds(fresh.seeds);
        this->sharing.setStoreAddress(fresh.store.text());
        logEvent("settings_reloaded", {{"store", fresh.store.text()}, {"changed", changed}});
    } catch (const std::exception &error) {
        if (asked || this->settingsReadable) {
            logEvent("settings_rejected", {{"error", error.what()}});
        }
        this->settingsReadable = false;
    }
}

auto Gateway::beginStop() -> void
{
    this->stopAsked = bootClockNow();
    this->phase = fleet::NodePhase::Draining;
    this->entry.announceClose();
    this->gossip.announce();
    logEvent("stopping",
             {{"open_requests", static_cast<std::int64_t>(this->scheduler.openRuns())}});
}

auto Gateway::continueStop(Instant now) -> void
{
    const auto passed = now - *this->stopAsked;
    if (passed > CloseIdleAfter) {
        this->entry.closeIdle();
    }
    if (passed > RefuseAfter) {
        this->scheduler.stopAccepting();
        this->entry.stop();
    }
    const bool drained = passed > CloseIdleAfter && this->entry.openSessions() == 0;
    if (drained || passed > this->environment.bounds.stopGrace - StopMargin) {
        logEvent("drained",
                 {{"after_ms", static_cast<std::int64_t>(passed.count() / 1000)},
                  {"cut_requests", static_cast<std::int64_t>(this->scheduler.openRuns())}});
        this->context.stop();
    }
}

} // namespace banyanring::gateway
