/** @file node_snapshot.cpp The decision core: its state for the dump. */
#include "banyanring/core/node_base.h"

namespace banyanring {

auto Node::snapshot() const -> NodeSnapshot
{
    NodeSnapshot result;
    result.node = this->self;
    result.incarnation = this->incarnation;
    result.ready = this->ready();
    result.stopping = this->stopAt.has_value();
    result.configRevision = this->members.configRevision;
    result.listRevision = this->members.list() ? this->members.list()->revision : 0;
    result.anchor = this->members.anchor(this->now);
    result.calls = this->calls.size();
    result.runs = this->runs.size();
    for (const auto &[service, state] : this->services) {
        result.waiting += state.queue.size();
    }
    result.tickets = this->tickets.size();
    result.heldParts = this->tokens.heldParts();
    result.slots = this->slots.counts();
    for (const auto *peer : this->members.contacts(this->now)) {
        result.contacts.push_back(peer->heartbeat.node);
    }
    result.pressures = this->members.pressures;
    result.servers = this->health.all();
    result.counters = this->counts;
    return result;
}

} // namespace banyanring
