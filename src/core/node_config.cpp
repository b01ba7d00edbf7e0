/** @file node_config.cpp The decision core: configuration and VM list updates. */
#include "banyanring/core/invariant_func.h"
#include "banyanring/core/node_base.h"

namespace banyanring {

auto Node::on(const ConfigReceived &event) -> void
{
    if (this->currentConfig && event.config->revision <= this->currentConfig->revision) {
        return;
    }
    ensure(event.config->revision > this->membership.configRevision,
           "a configuration never reverts");
    this->currentConfig = event.config;
    this->membership.configRevision = event.config->revision;
    const auto vmListRevision = this->membership.vmList() ? this->membership.vmList()->revision : 0;
    this->tokenPool.applyConfig(*event.config, vmListRevision, this->now);
    this->slotPool.applyConfig(event.config, vmListRevision);
    this->serverHealth.applyConfig(*event.config);
    this->configStaleSince.reset();
    this->rejectRevokedCalls();
    for (const auto &[service, unused] : event.config->services) {
        this->dispatchWaiting(service);
    }
}

auto Node::rejectRevokedCalls() -> void
{
    std::vector<CallId> revoked;
    for (const auto &[id, call] : this->calls) {
        const bool keyRevoked =
            this->organisationForKey(call.request.keyDigest).value_or(0) != call.organisation;
        const bool routeRemoved = !this->currentConfig->routes.contains(call.request.path);
        if (keyRevoked || routeRemoved) {
            revoked.push_back(id);
        }
    }
    for (const auto id : revoked) {
        auto &call = this->calls.at(id);
        auto outcome = Outcome::NotRun;
        if (std::holds_alternative<AwaitingOutcome>(call.state)) {
            outcome = Outcome::Unknown;
        }
        if (const auto *running = std::get_if<Executing>(&call.state)) {
            outcome = Outcome::Unknown;
            auto &run = this->runs.at(running->dispatch);
            run.call.reset();
            if (!run.ticket && !run.cancelled && this->runsOnEngine(run.service)) {
                run.cancelled = true;
                this->emit(CancelDispatch{running->dispatch});
            }
        }
        this->rejectCall(id, {outcome, Reason::BadKey, {}});
    }
}

auto Node::on(const VmListReceived &event) -> void
{
    if (this->membership.updateList(event.list, this->now)) {
        this->applyNodes();
    }
}

auto Node::applyNodes() -> void
{
    const auto &nodes = this->membership.activeNodes();
    const auto revision = this->membership.vmList()->revision;
    const bool resetAll = this->membership.missedRevision();
    this->tokenPool.applyNodes(nodes, revision, resetAll);
    this->slotPool.applyNodes(nodes, revision, resetAll,
                              this->membership.previousOwnerIsAuthoritative(revision));
}

} // namespace banyanring
