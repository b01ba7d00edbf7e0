/** @file metrics_base.h Metrics of a daemon in the Prometheus text format. */
#pragma once

#include "banyanring/adapters/peer_transport.h"
#include "banyanring/adapters/platform_reader.h"
#include "banyanring/core/node_base.h"

#include <boost/histogram.hpp>
#include <string>

namespace banyanring {

/** Histograms of this process, and the rendering of all its metrics. Thread-safe. */
class Metrics
{
public:
    Metrics();

    /** @param waitTime Time from the arrival of a request to its dispatch. */
    auto observeWaitTime(Duration waitTime) -> void;

    /** @param decisionTime Time in which the core handled one event. */
    auto observeDecisionTime(Duration decisionTime) -> void;

    /**
     * Renders all metrics.
     * @param snapshot State of the core.
     * @param traffic Counters of the traffic between nodes.
     * @param platform State of the platform reader.
     * @return Prometheus text format, version 0.0.4.
     */
    auto render(const NodeSnapshot &snapshot, const PeerTransport::TrafficCounters &traffic,
                const PlatformReader::Status &platform) const -> std::string;

private:
    using Axis = boost::histogram::axis::variable<double>;
    using Histogram = boost::histogram::histogram<std::tuple<Axis>>;

    mutable std::mutex mutex;
    Histogram waitTimes;
    Histogram decisionTimes;
    double waitTimeSum = 0; ///< Seconds.
    double decisionTimeSum = 0; ///< Seconds.
};

} // namespace banyanring
