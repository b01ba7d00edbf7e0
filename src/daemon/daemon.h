/** @file daemon.h The daemon: a thread for each duty around the decision core. */
#pragma once

#include "banyanring/adapters/backend_caller.h"
#include "banyanring/adapters/metrics_base.h"
#include "banyanring/adapters/operator_listener.h"
#include "banyanring/adapters/peer_link.h"
#include "banyanring/adapters/platform_reader.h"
#include "banyanring/adapters/report_poller.h"
#include "banyanring/adapters/settings_type.h"
#include "banyanring/core/node_base.h"

#include <atomic>
#include <memory>

namespace banyanring {

/** One daemon. The thread that calls run() is the core's thread; the adapters have their own. */
class Daemon
{
public:
    /** @param settings The settings. */
    explicit Daemon(const Settings &settings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    auto operator=(const Daemon &) -> Daemon & = delete;

    /**
     * Runs until a graceful stop has ended.
     * @param stopAsked Set by the signal handler.
     */
    auto run(const std::atomic<bool> &stopAsked) -> void;

private:
    /** Carries each action out; one overload a type. */
    struct Performer
    {
        Daemon &daemon;

        auto operator()(const Dispatch &action) const -> void;
        auto operator()(const Forward &action) const -> void;
        auto operator()(const Reject &action) const -> void;
        auto operator()(const ReplayResponse &action) const -> void;
        auto operator()(const IssueTicket &action) const -> void;
        auto operator()(const ConfirmTicketCancel &action) const -> void;
        auto operator()(const ReturnAddresses &action) const -> void;
        auto operator()(const CancelDispatch &action) const -> void;
        auto operator()(const SendPeerMessage &action) const -> void;
        auto operator()(const FetchConfig &action) const -> void;
        auto operator()(const FetchVmList &action) const -> void;
        auto operator()(const ShutdownComplete &action) const -> void;
    };

    auto handle(const Event &event) -> void;
    auto receive(Envelope envelope) -> void;
    auto refreshTargets() -> void;
    auto sources() -> OperatorListener::Sources;

    Settings settings;
    Inbox inbox;
    Metrics metrics;
    Node::Identity identity;
    Node node;
    std::unique_ptr<CallerListener> callers;
    std::unique_ptr<BackendCaller> backends;
    std::unique_ptr<PeerLink> peers;
    std::unique_ptr<PlatformReader> platform;
    std::unique_ptr<ReportPoller> reports;
    std::unique_ptr<OperatorListener> operators;
    bool drained = false;
};

} // namespace banyanring
