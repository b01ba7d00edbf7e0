/** @file request_metrics.cpp Counters and latency histograms of requests. */
#include "banyanring/gateway/request_metrics.h"

#include <sstream>

namespace banyanring::gateway {

namespace {

/** @return Time in seconds. */
auto seconds(Duration time) -> double
{
    return std::chrono::duration<double>(time).count();
}

/** Writes the samples of one histogram. */
auto writeHistogram(std::ostream &out, const std::string &name, const std::string &labels,
                    const auto &histogram, double sum) -> void
{
    double total = histogram.at(-1);
    const auto &axis = histogram.axis(0);
    for (int index = 0; index < axis.size(); ++index) {
        total += histogram.at(index);
        out << name << "_bucket{" << labels << ",le=\"" << axis.bin(index).upper() << "\"} "
            << total << '\n';
    }
    total += histogram.at(axis.size());
    out << name << "_bucket{" << labels << ",le=\"+Inf\"} " << total << '\n';
    out << name << "_sum{" << labels << "} " << sum << '\n';
    out << name << "_count{" << labels << "} " << total << '\n';
}

/** @return The labels of a series. */
auto labelsOf(const RequestMetrics::Series &series) -> std::string
{
    return "service=\"" + series.service + "\",tier=\"" + std::to_string(series.tier)
           + "\",outcome=\"" + series.outcome + "\"";
}

} // namespace

auto RequestMetrics::noteEnd(const Series &key, Duration firstByte, Duration whole) -> void
{
    auto found = this->series.find(key);
    if (found == this->series.end()) {
        const Axis bounds{0.0, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.74, 1.0, 2.0, 4.0, 8.0, 15.0};
        Times times{boost::histogram::make_histogram(bounds),
                    boost::histogram::make_histogram(bounds)};
        found = this->series.emplace(key, std::move(times)).first;
    }
    auto &times = found->second;
    times.firstByte(seconds(firstByte));
    times.firstByteSum += seconds(firstByte);
    times.whole(seconds(whole));
    times.wholeSum += seconds(whole);
}

auto RequestMetrics::render() const -> std::string
{
    std::ostringstream out;
    out << "# TYPE banyanring_first_byte_seconds histogram\n";
    for (const auto &[key, times] : this->series) {
        writeHistogram(out, "banyanring_first_byte_seconds", labelsOf(key), times.firstByte,
                       times.firstByteSum);
    }
    out << "# TYPE banyanring_request_seconds histogram\n";
    for (const auto &[key, times] : this->series) {
        writeHistogram(out, "banyanring_request_seconds", labelsOf(key), times.whole,
                       times.wholeSum);
    }
    out << "# TYPE banyanring_events_total counter\n";
    for (const auto &[event, number] : this->events) {
        out << "banyanring_events_total{event=\"" << event << "\"} " << number << '\n';
    }
    return out.str();
}

} // namespace banyanring::gateway
