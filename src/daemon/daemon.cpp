/** @file daemon.cpp The daemon: connects the decision core to its adapters. */
#include "daemon.h"

#include "banyanring/adapters/log_func.h"
#include "banyanring/adapters/state_codec.h"
#include "banyanring/ports/clock_func.h"

#include <cpprest/json.h>
#include <nlohmann/json.hpp>
#include <openssl/rand.h>
#include <thread>

namespace banyanring {

namespace {

using nlohmann::json;

constexpr std::size_t ControlCapacity = 16384; ///< Control events queued for the core.
constexpr std::size_t RequestCapacity = 4096; ///< Requests of callers queued for the core.
constexpr Duration TickInterval = std::chrono::milliseconds(50);
constexpr Duration PollTargetsInterval = std::chrono::milliseconds(250);
/** Time for the last responses to be sent before the exit. */
constexpr std::chrono::milliseconds ResponseFlushTime{200};

/** @return A new incarnation of the node, with random secret and seed. */
auto newIdentity(NodeId node) -> Node::Identity
{
    Node::Identity identity;
    identity.node = node;
    const auto wallTime = std::chrono::system_clock::now().time_since_epoch();
    identity.incarnation = static_cast<Incarnation>(
        std::chrono::duration_cast<std::chrono::milliseconds>(wallTime).count());
    RAND_bytes(identity.secret.data(), static_cast<int>(identity.secret.size()));
    RAND_bytes(reinterpret_cast<unsigned char *>(&identity.seed), sizeof identity.seed);
    return identity;
}

/** @return Prefix of the request ids, unique to this incarnation. */
auto requestIdPrefix(const Node::Identity &identity) -> std::string
{
    return "n" + std::to_string(identity.node) + "-" + std::to_string(identity.incarnation) + "-";
}

} // namespace

Daemon::Daemon(const Settings &settings)
    : settings(settings), inbox(ControlCapacity, RequestCapacity),
      identity(newIdentity(static_cast<NodeId>(settings.node))),
      node(nodeSettings(settings), identity, bootClockNow())
{
    const CallerListener::Limits limits{static_cast<std::size_t>(settings.bodyKb) * 1024,
                                        static_cast<std::size_t>(settings.callCount)};
    this->callers = std::make_unique<CallerListener>(
        settings.entryListen, requestIdPrefix(this->identity), limits, this->inbox);
    this->backends = std::make_unique<BackendClient>(
        *this->callers, this->inbox, std::chrono::milliseconds(settings.progressMs));
    this->peers = std::make_unique<PeerTransport>(
        this->identity.node, settings.peerListen,
        [this](Envelope envelope) { this->onPeerMessage(std::move(envelope)); });
    this->platform = std::make_unique<PlatformReader>(
        settings.platform, this->inbox,
        [this](const VmListPtr &list) { this->peers->setPeers(list); });
    this->reports =
        std::make_unique<LoadReportPoller>(std::chrono::milliseconds(settings.pollMs), this->inbox);
    this->operators =
        std::make_unique<OperatorListener>(settings.operatorListen, this->operatorHandlers());
}

Daemon::~Daemon()
{
    this->operators.reset();
    this->reports.reset();
    this->platform.reset();
    this->peers.reset();
    this->backends.reset();
    this->callers.reset();
}

auto Daemon::onPeerMessage(Envelope envelope) -> void
{
    if (auto *message = std::get_if<PeerMessage>(&envelope.message)) {
        this->inbox.tryPush(Lane::Control,
                            Event(PeerMessageReceived{envelope.from, std::move(*message)}));
    } else if (std::holds_alternative<PlatformSnapshotRequest>(envelope.message)) {
        this->peers->send(envelope.from, this->platform->snapshot());
    } else {
        this->platform->applySnapshot(std::get<PlatformSnapshot>(envelope.message));
    }
}

auto Daemon::run(const std::atomic<bool> &stopRequested) -> void
{
    logEvent("started", {{"incarnation", std::to_string(this->identity.incarnation)},
                         {"entry", this->settings.entryListen}});
    auto nextTick = bootClockNow();
    auto nextPollTargets = nextTick;
    bool stopHandled = false;
    while (!this->shutdownComplete) {
        const auto item = this->inbox.pop(std::max(Duration(0), nextTick - bootClockNow()));
        if (item && std::holds_alternative<Event>(*item)) {
            this->handle(std::get<Event>(*item));
        } else if (item) {
            std::get<std::function<void(const Node &)>> (*item)(this->node);
        }
        if (stopRequested && !stopHandled) {
            stopHandled = true;
            logEvent("stop_asked");
            this->handle(ShutdownRequested{});
        }
        const auto now = bootClockNow();
        if (now >= nextTick) {
            nextTick = now + TickInterval;
            this->handle(Tick{});
            this->callers->setReady(this->node.ready() && !stopHandled);
        }
        if (now >= nextPollTargets) {
            nextPollTargets = now + PollTargetsInterval;
            this->updatePollTargets();
        }
    }
    std::this_thread::sleep_for(ResponseFlushTime);
    logEvent("stopped");
}

auto Daemon::handle(const Event &event) -> void
{
    const auto start = bootClockNow();
    const auto actions = this->node.handle(event, start);
    this->metrics.observeDecisionTime(bootClockNow() - start);
    for (const auto &action : actions) {
        std::visit(ActionExecutor{*this}, action);
    }
}

auto Daemon::updatePollTargets() -> void
{
    const auto &config = this->node.config();
    if (!config) {
        return;
    }
    std::vector<LoadReportPoller::Target> targets;
    for (const auto server : this->node.serversToPoll()) {
        targets.push_back({server, config->servers.at(server).address});
    }
    this->reports->setTargets(std::move(targets));
}

auto Daemon::operatorHandlers() -> OperatorListener::Handlers
{
    const auto runOnCore = [this](std::function<void(const Node &)> query) {
        this->inbox.tryPush(Lane::Control, InboxItem(std::move(query)));
    };
    OperatorListener::Handlers handlers;
    handlers.metrics = [this, runOnCore](const OperatorListener::Reply &reply) {
        runOnCore([this, reply](const Node &core) {
            reply(this->metrics.render(core.snapshot(), this->peers->traffic(),
                                       this->platform->status()));
        });
    };
    handlers.state = [this, runOnCore](const OperatorListener::Reply &reply) {
        runOnCore([this, reply](const Node &core) {
            reply(stateJson(core.snapshot(), core.config(), this->platform->status()));
        });
    };
    handlers.explain = [runOnCore](const std::string &id, const OperatorListener::Reply &reply) {
        runOnCore([id, reply](const Node &core) {
            reply(explainJson(core.explain(id), bootClockNow()));
        });
    };
    return handlers;
}

auto Daemon::ActionExecutor::operator()(const Dispatch &action) const -> void
{
    if (const auto call = this->daemon.callers->find(action.call)) {
        const auto nowMs = std::chrono::duration_cast<std::chrono::milliseconds>(bootClockNow());
        this->daemon.metrics.observeWaitTime(nowMs - std::chrono::milliseconds(call->arrivedMs));
    }
    logEvent("dispatched", {{"request_id", action.requestId}, {"address", action.address}});
    this->daemon.backends->dispatch(action);
}

auto Daemon::ActionExecutor::operator()(const Forward &action) const -> void
{
    this->daemon.backends->forward(action);
}

auto Daemon::ActionExecutor::operator()(const Reject &action) const -> void
{
    this->daemon.callers->reject(action);
}

auto Daemon::ActionExecutor::operator()(const ReplayResponse &action) const -> void
{
    this->daemon.callers->respond(action.call, action.status, action.contentType,
                                  action.body ? *action.body : std::string{}, action.requestId);
}

auto Daemon::ActionExecutor::operator()(const IssueTicket &action) const -> void
{
    const json body{
        {"ticket", action.ticket},
        {"valid_ms",
         std::chrono::duration_cast<std::chrono::milliseconds>(action.validFor).count()}};
    this->daemon.callers->respond(action.call, web::http::status_codes::OK, "application/json",
                                  body.dump(), {});
}

auto Daemon::ActionExecutor::operator()(const ConfirmTicketCancel &action) const -> void
{
    const json body{{"outcome", outcomeName(action.outcome)}};
    this->daemon.callers->respond(action.call, web::http::status_codes::OK, "application/json",
                                  body.dump(), {});
}

auto Daemon::ActionExecutor::operator()(const ReturnAddresses &action) const -> void
{
    const json body{
        {"addresses", action.addresses},
        {"keep_ms", std::chrono::duration_cast<std::chrono::milliseconds>(action.ttl).count()}};
    this->daemon.callers->respond(action.call, web::http::status_codes::OK, "application/json",
                                  body.dump(), {});
}

auto Daemon::ActionExecutor::operator()(const CancelDispatch &action) const -> void
{
    this->daemon.backends->cancel(action.dispatch);
}

auto Daemon::ActionExecutor::operator()(const SendPeerMessage &action) const -> void
{
    this->daemon.peers->send(action.to, action.message);
}

auto Daemon::ActionExecutor::operator()(const FetchConfig &action) const -> void
{
    this->daemon.peers->send(action.peer, PlatformSnapshotRequest{});
}

auto Daemon::ActionExecutor::operator()(const FetchVmList &action) const -> void
{
    this->daemon.peers->send(action.peer, PlatformSnapshotRequest{});
}

auto Daemon::ActionExecutor::operator()(const ShutdownComplete &) const -> void
{
    this->daemon.shutdownComplete = true;
}

} // namespace banyanring
