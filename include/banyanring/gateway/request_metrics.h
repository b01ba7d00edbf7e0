/** @file request_metrics.h Counters and latency histograms of requests. */
#pragma once

#include "banyanring/core/ids_type.h"

#include <boost/histogram.hpp>
#include <map>
#include <string>
#include <tuple>

namespace banyanring::gateway {

/** Collects counts and latencies of requests by service, tier and outcome. */
class RequestMetrics
{
public:
    /** Labels of one time series. */
    struct Series
    {
        std::string service; ///< Service; empty for requests without a route.
        std::uint32_t tier = 0; ///< Priority, 0 the highest.
        std::string outcome; ///< How the requests ended.

        auto operator<=>(const Series &) const = default;
    };

    /**
     * Records a finished request.
     * @param series Labels of its time series.
     * @param firstByte Time from arrival to the first byte of the response.
     * @param total Time from arrival to the end of the response.
     */
    auto recordRequest(const Series &series, Duration firstByte, Duration total) -> void;

    /**
     * Counts an event.
     * @param event Name of the event, the label in the exported metric.
     */
    auto countEvent(const std::string &event) -> void
    {
        ++this->eventCounts[event];
    }

    /** Counts a response that states the momentary slowdown of its server. */
    auto countSlowdownReport() -> void
    {
        ++this->slowdownReports;
    }

    /**
     * Exports all metrics.
     * @return Prometheus text format.
     */
    auto render() const -> std::string;

private:
    using Axis = boost::histogram::axis::variable<double>;
    using Histogram = boost::histogram::histogram<std::tuple<Axis>>;

    /** Latency histograms of one time series. */
    struct Latencies
    {
        Histogram firstByte;
        Histogram total;
        double firstByteSum = 0; ///< Seconds.
        double totalSum = 0; ///< Seconds.
    };

    std::map<Series, Latencies> latencies;
    std::map<std::string, std::uint64_t> eventCounts;
    std::uint64_t slowdownReports = 0;
};

} // namespace banyanring::gateway
