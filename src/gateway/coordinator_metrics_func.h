/** @file coordinator_metrics_func.h Metrics of the servers that this node coordinates. */
#pragma once

#include "banyanring/gateway/slot_coordination.h"

#include <ostream>

namespace banyanring::gateway {

/**
 * Exports slots, queues, forecasts and grants by service.
 * @param out Gets the Prometheus text format.
 * @param coordination Slots that this node coordinates.
 */
auto writeCoordinatorMetrics(std::ostream &out, const SlotCoordination &coordination) -> void;

} // namespace banyanring::gateway
