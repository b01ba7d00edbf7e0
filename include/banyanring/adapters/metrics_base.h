/** @file metrics_base.h Metrics of a daemon as Prometheus text. */
#pragma once

#include "banyanring/adapters/peer_link.h"
#include "banyanring/adapters/platform_reader.h"
#include "banyanring/core/node_base.h"

#include <boost/histogram.hpp>
#include <string>

namespace banyanring {

/** Collects what happened in this process. */
class Metrics
{
public:
    Metrics();

    /** @param took Time from a request's arrival to its dispatch. */
    auto observeWait(Duration took) -> void;

    /** @param took Time that the core took for one event. */
    auto observeDecision(Duration took) -> void;

    /**
     * Renders all metrics.
     * @param snapshot State of the core.
     * @param traffic Traffic between nodes.
     * @param platform State of the platform reader.
     * @return Prometheus text, version 0.0.4.
     */
    auto render(const NodeSnapshot &snapshot, const PeerLink::Traffic &traffic,
                const PlatformReader::Status &platform) const -> std::string;

private:
    using Axis = boost::histogram::axis::variable<double>;
    using Histogram = boost::histogram::histogram<std::tuple<Axis>>;

    mutable std::mutex mutex;
    Histogram waits;
    Histogram decisions;
    double waitSum = 0; ///< Seconds.
    double decisionSum = 0; ///< Seconds.
};

} // namespace banyanring
