/** @file node_config.cpp The decision core: new configurations and VM lists. */
#include "banyanring/core/invariant_func.h"
#include "banyanring/core/node_base.h"

namespace banyanring {

auto Node::on(const ConfigRead &event) -> void
{
    if (this->currentConfig && event.config->revision <= this->currentConfig->revision) {
        return;
    }
    ensure(event.config->revision > this->members.configRevision, "a configuration never reverts");
    this->currentConfig = event.config;
    this->members.configRevision = event.config->revision;
    const auto list = this->members.list() ? this->members.list()->revision : 0;
    this->tokens.takeConfig(*event.config, list, this->now);
    this->slots.takeConfig(event.config, list);
    this->health.takeConfig(*event.config);
    this->behindSince.reset();
    this->stopWithdrawn();
    for (const auto &[service, unused] : event.config->services) {
        this->pump(service);
    }
}

auto Node::stopWithdrawn() -> void
{
    std::vector<CallId> withdrawn;
    for (const auto &[id, call] : this->calls) {
        const bool keyGone =
            this->organisationOf(call.request.keyDigest).value_or(0) != call.organisation;
        const bool routeGone = !this->currentConfig->routes.contains(call.request.path);
        if (keyGone || routeGone) {
            withdrawn.push_back(id);
        }
    }
    for (const auto id : withdrawn) {
        auto &call = this->calls.at(id);
        auto outcome = Outcome::NotRun;
        if (std::holds_alternative<Following>(call.state)) {
            outcome = Outcome::Unknown;
        }
        if (const auto *running = std::get_if<InRun>(&call.state)) {
            outcome = Outcome::Unknown;
            auto &run = this->runs.at(running->dispatch);
            run.call.reset();
            if (!run.ticket && !run.cancelled && this->runsOnEngine(run.service)) {
                run.cancelled = true;
                this->act(CancelDispatch{running->dispatch});
            }
        }
        this->refuse(id, {outcome, Reason::BadKey, {}});
    }
}

auto Node::on(const VmListRead &event) -> void
{
    if (this->members.takeList(event.list, this->now)) {
        this->applyNodes();
    }
}

auto Node::applyNodes() -> void
{
    const auto &nodes = this->members.liveNodes();
    const auto revision = this->members.list()->revision;
    const bool gap = this->members.lastListHadGap();
    this->tokens.takeNodes(nodes, revision, gap);
    this->slots.takeNodes(nodes, revision, gap, this->members.coversEarlier(revision));
}

} // namespace banyanring
