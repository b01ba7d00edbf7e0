/** @file request_metrics.cpp Counters and latency histograms of requests. */
#include "banyanring/gateway/request_metrics.h"

#include <sstream>

namespace banyanring::gateway {

namespace {

/** @return The duration in seconds. */
auto seconds(Duration time) -> double
{
    return std::chrono::duration<double>(time).count();
}

/** Writes one histogram in the Prometheus text format. */
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

/** @return The labels of a time series. */
auto labelsOf(const RequestMetrics::Series &series) -> std::string
{
    return "service=\"" + series.service + "\",tier=\"" + std::to_string(series.tier)
           + "\",outcome=\"" + series.outcome + "\"";
}

} // namespace

auto RequestMetrics::recordRequest(const Series &series, Duration firstByte, Duration total) -> void
{
    auto found = this->latencies.find(series);
    if (found == this->latencies.end()) {
        const Axis bounds{0.0, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.74, 1.0, 2.0, 4.0, 8.0, 15.0};
        Latencies current{boost::histogram::make_histogram(bounds),
                          boost::histogram::make_histogram(bounds)};
        found = this->latencies.emplace(series, std::move(current)).first;
    }
    auto &current = found->second;
    current.firstByte(seconds(firstByte));
    current.firstByteSum += seconds(firstByte);
    current.total(seconds(total));
    current.totalSum += seconds(total);
}

auto RequestMetrics::render() const -> std::string
{
    std::ostringstream out;
    out << "# TYPE banyanring_first_byte_seconds histogram\n";
    for (const auto &[series, histograms] : this->latencies) {
        writeHistogram(out, "banyanring_first_byte_seconds", labelsOf(series), histograms.firstByte,
                       histograms.firstByteSum);
    }
    out << "# TYPE banyanring_request_seconds histogram\n";
    for (const auto &[series, histograms] : this->latencies) {
        writeHistogram(out, "banyanring_request_seconds", labelsOf(series), histograms.total,
                       histograms.totalSum);
    }
    out << "# TYPE banyanring_events_total counter\n";
    for (const auto &[event, count] : this->eventCounts) {
        out << "banyanring_events_total{event=\"" << event << "\"} " << count << '\n';
    }
    out << "# TYPE banyanring_server_slowdown_reports_total counter\n"
        << "banyanring_server_slowdown_reports_total " << this->slowdownReports << '\n';
    return out.str();
}

} // namespace banyanring::gateway
