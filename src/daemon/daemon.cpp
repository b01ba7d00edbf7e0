/** @file daemon.cpp The daemon: a thread for each duty around the decision core. */
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

constexpr std::size_t ControlCapacity = 16384; ///< Control events that may wait.
constexpr std::size_t RequestCapacity = 4096; ///< Requests that may wait.
constexpr Duration TickInterval = std::chrono::milliseconds(50);
constexpr Duration TargetInterval = std::chrono::milliseconds(250);
constexpr std::chrono::milliseconds ReplyGrace{200}; ///< Last answers leave within it.

/** @return What makes this process's core itself. */
auto newIdentity(NodeId node) -> Node::Identity
{
    Node::Identity identity;
    identity.node = node;
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    identity.incarnation = static_cast<Incarnation>(
        std::chrono::duration_cast<std::chrono::milliseconds>(wall).count());
    RAND_bytes(identity.secret.data(), static_cast<int>(identity.secret.size()));
    RAND_bytes(reinterpret_cast<unsigned char *>(&identity.seed), sizeof identity.seed);
    return identity;
}

/** @return A prefix of request ids that no other incarnation uses. */
auto requestPrefix(const Node::Identity &identity) -> std::string
{
    return "n" + std::to_string(identity.node) + "-" + std::to_string(identity.incarnation) + "-";
}

} // namespace

Daemon::Daemon(const Settings &settings)
    : settings(settings), inbox(ControlCapacity, RequestCapacity),
      identity(newIdentity(static_cast<NodeId>(settings.node))),
      node(nodeSettings(settings), identity, bootNow())
{
    const CallerListener::Limits limits{static_cast<std::size_t>(settings.bodyKb) * 1024,
                                        static_cast<std::size_t>(settings.callCount)};
    this->callers = std::make_unique<CallerListener>(
        settings.entryListen, requestPrefix(this->identity), limits, this->inbox);
    this->backends = std::make_unique<BackendCaller>(
        *this->callers, this->inbox, std::chrono::milliseconds(settings.progressMs));
    this->peers = std::make_unique<PeerLink>(
        this->identity.node, settings.peerListen,
        [this](Envelope envelope) { this->receive(std::move(envelope)); });
    this->platform = std::make_unique<PlatformReader>(
        settings.platform, this->inbox,
        [this](const VmListPtr &list) { this->peers->setPeers(list); });
    this->reports =
        std::make_unique<ReportPoller>(std::chrono::milliseconds(settings.pollMs), this->inbox);
    this->operators = std::make_unique<OperatorListener>(settings.operatorListen, this->sources());
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

auto Daemon::receive(Envelope envelope) -> void
{
    if (auto *message = std::get_if<PeerMessage>(&envelope.message)) {
        this->inbox.push(Lane::Control,
                         Event(PeerMessageReceived{envelope.from, std::move(*message)}));
    } else if (std::holds_alternative<ValuesAsk>(envelope.message)) {
        this->peers->send(envelope.from, this->platform->values());
    } else {
        this->platform->takeValues(std::get<Values>(envelope.message));
    }
}

auto Daemon::run(const std::atomic<bool> &stopAsked) -> void
{
    logEvent("started", {{"incarnation", std::to_string(this->identity.incarnation)},
                         {"entry", this->settings.entryListen}});
    auto nextTick = bootNow();
    auto nextTargets = nextTick;
    bool stopTold = false;
    while (!this->drained) {
        const auto item = this->inbox.pop(std::max(Duration(0), nextTick - bootNow()));
        if (item && std::holds_alternative<Event>(*item)) {
            this->handle(std::get<Event>(*item));
        } else if (item) {
            std::get<std::function<void(const Node &)>> (*item)(this->node);
        }
        if (stopAsked && !stopTold) {
            stopTold = true;
            logEvent("stop_asked");
            this->handle(ShutdownRequested{});
        }
        const auto now = bootNow();
        if (now >= nextTick) {
            nextTick = now + TickInterval;
            this->handle(Tick{});
            this->callers->setReady(this->node.ready() && !stopTold);
        }
        if (now >= nextTargets) {
            nextTargets = now + TargetInterval;
            this->refreshTargets();
        }
    }
    std::this_thread::sleep_for(ReplyGrace);
    logEvent("stopped");
}

auto Daemon::handle(const Event &event) -> void
{
    const auto start = bootNow();
    const auto actions = this->node.handle(event, start);
    this->metrics.observeDecision(bootNow() - start);
    for (const auto &action : actions) {
        std::visit(Performer{*this}, action);
    }
}

auto Daemon::refreshTargets() -> void
{
    const auto &config = this->node.config();
    if (!config) {
        return;
    }
    std::vector<ReportPoller::Target> targets;
    for (const auto server : this->node.serversToPoll()) {
        targets.push_back({server, config->servers.at(server).address});
    }
    this->reports->setTargets(std::move(targets));
}

auto Daemon::sources() -> OperatorListener::Sources
{
    const auto ask = [this](std::function<void(const Node &)> question) {
        this->inbox.push(Lane::Control, InboxItem(std::move(question)));
    };
    OperatorListener::Sources result;
    result.metrics = [this, ask](const OperatorListener::Give &give) {
        ask([this, give](const Node &core) {
            give(this->metrics.render(core.snapshot(), this->peers->traffic(),
                                      this->platform->status()));
        });
    };
    result.state = [this, ask](const OperatorListener::Give &give) {
        ask([this, give](const Node &core) {
            give(stateJson(core.snapshot(), core.config(), this->platform->status()));
        });
    };
    result.explain = [ask](const std::string &id, const OperatorListener::Give &give) {
        ask([id, give](const Node &core) { give(explainJson(core.explain(id), bootNow())); });
    };
    return result;
}

auto Daemon::Performer::operator()(const Dispatch &action) const -> void
{
    if (const auto call = this->daemon.callers->find(action.call)) {
        const auto nowMs = std::chrono::duration_cast<std::chrono::milliseconds>(bootNow());
        this->daemon.metrics.observeWait(nowMs - std::chrono::milliseconds(call->arrivedMs));
    }
    logEvent("dispatched", {{"request_id", action.requestId}, {"address", action.address}});
    this->daemon.backends->dispatch(action);
}

auto Daemon::Performer::operator()(const Forward &action) const -> void
{
    this->daemon.backends->forward(action);
}

auto Daemon::Performer::operator()(const Reject &action) const -> void
{
    this->daemon.callers->refuse(action);
}

auto Daemon::Performer::operator()(const ReplayResponse &action) const -> void
{
    this->daemon.callers->answer(action.call, action.status, action.contentType,
                                 action.body ? *action.body : std::string{}, action.requestId);
}

auto Daemon::Performer::operator()(const IssueTicket &action) const -> void
{
    const json body{
        {"ticket", action.ticket},
        {"valid_ms",
         std::chrono::duration_cast<std::chrono::milliseconds>(action.validFor).count()}};
    this->daemon.callers->answer(action.call, web::http::status_codes::OK, "application/json",
                                 body.dump(), {});
}

auto Daemon::Performer::operator()(const ConfirmTicketCancel &action) const -> void
{
    const json body{{"outcome", outcomeName(action.outcome)}};
    this->daemon.callers->answer(action.call, web::http::status_codes::OK, "application/json",
                                 body.dump(), {});
}

auto Daemon::Performer::operator()(const ReturnAddresses &action) const -> void
{
    const json body{
        {"addresses", action.addresses},
        {"keep_ms", std::chrono::duration_cast<std::chrono::milliseconds>(action.ttl).count()}};
    this->daemon.callers->answer(action.call, web::http::status_codes::OK, "application/json",
                                 body.dump(), {});
}

auto Daemon::Performer::operator()(const CancelDispatch &action) const -> void
{
    this->daemon.backends->cancel(action.dispatch);
}

auto Daemon::Performer::operator()(const SendPeerMessage &action) const -> void
{
    this->daemon.peers->send(action.to, action.message);
}

auto Daemon::Performer::operator()(const FetchConfig &action) const -> void
{
    this->daemon.peers->send(action.peer, ValuesAsk{});
}

auto Daemon::Performer::operator()(const FetchVmList &action) const -> void
{
    this->daemon.peers->send(action.peer, ValuesAsk{});
}

auto Daemon::Performer::operator()(const ShutdownComplete &) const -> void
{
    this->daemon.drained = true;
}

} // namespace banyanring
