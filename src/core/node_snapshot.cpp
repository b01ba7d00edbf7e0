/** @file node_snapshot.cpp The decision core: its state for the state dump. */
#include "banyanring/core/node_base.h"

namespace banyanring {

auto Node::snapshot() const -> NodeSnapshot
{
    NodeSnapshot result;
    result.node = this->self;
    result.incarnation = this->incarnation;
    result.ready = this->ready();
    result.stopping = this->shutdownRequestedAt.has_value();
    result.configRevision = this->membership.configRevision;
    result.vmListRevision = this->membership.vmList() ? this->membership.vmList()->revision : 0;
    result.leaseRevision = this->membership.leaseRevision(this->now);
    result.calls = this->calls.size();
    result.runs = this->runs.size();
    for (const auto &[service, state] : this->serviceStates) {
        result.waiting += state.queue.size();
    }
    result.tickets = this->ticketStore.size();
    result.ownedPartitions = this->tokenPool.ownedPartitions();
    result.slots = this->slotPool.counts();
    for (const auto *peer : this->membership.reachablePeers(this->now)) {
        result.reachablePeers.push_back(peer->heartbeat.node);
    }
    result.shedThresholds = this->membership.shedThresholds;
    result.servers = this->serverHealth.allStates();
    result.counters = this->counterValues;
    return result;
}

} // namespace banyanring
