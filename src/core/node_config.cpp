/** @file node_config.cpp The decision core: new configurations and VM lists. */
#include "banyanring/core/invariant_func.h"
#include "banyanring/core/node_base.h"

#include <algorithm>

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
    this->watchedKeys.clear();
    std::vector<std::uint64_t> keys;
    for (const auto &[id, server] : event.config->servers) {
        this->watchedKeys.push_back(id);
    }
    std::sort(this->watchedKeys.begin(), this->watchedKeys.end());
    for (const auto id : this->watchedKeys) {
        keys.push_back(mix64(id));
    }
    this->watchers.setKeys(std::move(keys));
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
        const bool serviceGone = !this->currentConfig->services.contains(call.service);
        if (keyGone || serviceGone) {
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
            if (!run.ticket && !run.cancelled) {
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
    this->slots.takeNodes(nodes, revision, gap);
    this->watchers.setNodes(nodes);
}

} // namespace banyanring
