/** @file request_metrics.h Counters and latency histograms of requests. */
#pragma once

#include "banyanring/core/ids_type.h"

#include <boost/histogram.hpp>
#include <map>
#include <string>
#include <tuple>

namespace banyanring::gateway {

/** Collects what became of requests, by service, tier and outcome. */
class RequestMetrics
{
public:
    /** One series. */
    struct Series
    {
        std::string service; ///< Service; empty for requests without a route.
        std::uint32_t tier = 0; ///< Urgency.
        std::string outcome; ///< What became of it.

        auto operator<=>(const Series &) const = default;
    };

    /**
     * Notes a request's end.
     * @param series Its series.
     * @param firstByte Time to the first byte of the answer.
     * @param whole Time to the end.
     */
    auto noteEnd(const Series &series, Duration firstByte, Duration whole) -> void;

    /**
     * Counts an event.
     * @param event A fixed word.
     */
    auto count(const std::string &event) -> void
    {
        ++this->events[event];
    }

    /**
     * Renders all metrics.
     * @return Prometheus text.
     */
    auto render() const -> std::string;

private:
    using Axis = boost::histogram::axis::variable<double>;
    using Histogram = boost::histogram::histogram<std::tuple<Axis>>;

    /** What is kept of a series. */
    struct Times
    {
        Histogram firstByte;
        Histogram whole;
        double firstByteSum = 0; ///< Seconds.
        double wholeSum = 0; ///< Seconds.
    };

    std::map<Series, Times> series;
    std::map<std::string, std::uint64_t> events;
};

} // namespace banyanring::gateway
