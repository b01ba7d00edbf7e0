/** @file daemon.h The daemon: connects the decision core to its adapters. */
#pragma once

#include "banyanring/adapters/backend_client.h"
#include "banyanring/adapters/load_report_poller.h"
#include "banyanring/adapters/metrics_base.h"
#include "banyanring/adapters/operator_listener.h"
#include "banyanring/adapters/peer_transport.h"
#include "banyanring/adapters/platform_reader.h"
#include "banyanring/adapters/settings_type.h"
#include "banyanring/core/node_base.h"

#include <atomic>
#include <memory>

namespace banyanring {

/**
 * A node process. Only the thread that calls run() uses the decision core; the adapters have
 * threads of their own and send events to it through the inbox.
 */
class Daemon
{
public:
    /** @param settings Validated settings. */
    explicit Daemon(const Settings &settings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    auto operator=(const Daemon &) -> Daemon & = delete;

    /**
     * Handles events until a graceful shutdown has completed.
     * @param stopRequested Set by the signal handler to start the graceful shutdown.
     */
    auto run(const std::atomic<bool> &stopRequested) -> void;

private:
    /** Executes the actions of the core; one overload for each type. */
    struct ActionExecutor
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
    auto onPeerMessage(Envelope envelope) -> void;
    auto updatePollTargets() -> void;
    auto operatorHandlers() -> OperatorListener::Handlers;

    Settings settings;
    Inbox inbox;
    Metrics metrics;
    Node::Identity identity;
    Node node;
    std::unique_ptr<CallerListener> callers;
    std::unique_ptr<BackendClient> backends;
    std::unique_ptr<PeerTransport> peers;
    std::unique_ptr<PlatformReader> platform;
    std::unique_ptr<LoadReportPoller> reports;
    std::unique_ptr<OperatorListener> operators;
    bool shutdownComplete = false; ///< The graceful shutdown has completed.
};

} // namespace banyanring
