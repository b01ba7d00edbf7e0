/** @file metrics.cpp Metrics of a daemon in the Prometheus text format. */
#include "banyanring/adapters/metrics_base.h"

#include <sstream>

namespace banyanring {

namespace {

/** @return A duration in seconds. */
auto seconds(Duration time) -> double
{
    return std::chrono::duration<double>(time).count();
}

/** Writes one sample. */
auto writeSample(std::ostream &out, std::string_view name, const std::string &labels, double value)
    -> void
{
    out << "banyanring_" << name;
    if (!labels.empty()) {
        out << '{' << labels << '}';
    }
    out << ' ' << value << '\n';
}

/** Writes a histogram with cumulative buckets. */
auto writeHistogram(std::ostream &out, std::string_view name, const auto &histogram, double sum)
    -> void
{
    out << "# TYPE banyanring_" << name << " histogram\n";
    double cumulative = histogram.at(-1); // Underflow bin.
    const auto &axis = histogram.axis(0);
    for (int index = 0; index < axis.size(); ++index) {
        cumulative += histogram.at(index);
        writeSample(out, std::string(name) + "_bucket",
                    "le=\"" + std::to_string(axis.bin(index).upper()) + "\"", cumulative);
    }
    cumulative += histogram.at(axis.size()); // Overflow bin.
    writeSample(out, std::string(name) + "_bucket", "le=\"+Inf\"", cumulative);
    writeSample(out, std::string(name) + "_sum", "", sum);
    writeSample(out, std::string(name) + "_count", "", cumulative);
}

} // namespace

Metrics::Metrics()
    : waitTimes(boost::histogram::make_histogram(
        Axis{0.0, 0.001, 0.005, 0.02, 0.1, 0.25, 0.74, 2.0, 5.0, 15.0, 60.0})),
      decisionTimes(boost::histogram::make_histogram(
          Axis{0.0, 0.000002, 0.00001, 0.00005, 0.0002, 0.001, 0.01, 0.1}))
{
}

auto Metrics::observeWaitTime(Duration waitTime) -> void
{
    const std::scoped_lock lock(this->mutex);
    this->waitTimes(seconds(waitTime));
    this->waitTimeSum += seconds(waitTime);
}

auto Metrics::observeDecisionTime(Duration decisionTime) -> void
{
    const std::scoped_lock lock(this->mutex);
    this->decisionTimes(seconds(decisionTime));
    this->decisionTimeSum += seconds(decisionTime);
}

auto Metrics::render(const NodeSnapshot &snapshot, const PeerTransport::TrafficCounters &traffic,
                     const PlatformReader::Status &platform) const -> std::string
{
    std::ostringstream out;
    const auto &counters = snapshot.counters;
    writeSample(out, "ready", "", snapshot.ready ? 1 : 0);
    writeSample(out, "config_revision", "", double(snapshot.configRevision));
    writeSample(out, "vm_list_revision", "", double(snapshot.vmListRevision));
    writeSample(out, "config_refused_revision", "", double(platform.rejectedRevision));
    writeSample(out, "platform_reads_total", "", double(platform.requests));
    writeSample(out, "platform_failures_total", "", double(platform.failedRequests));
    writeSample(out, "contacts", "", double(snapshot.reachablePeers.size()));
    writeSample(out, "open_calls", "", double(snapshot.calls));
    writeSample(out, "running", "", double(snapshot.runs));
    writeSample(out, "waiting", "", double(snapshot.waiting));
    writeSample(out, "requests_total", "", double(counters.arrived));
    writeSample(out, "answered_total", "", double(counters.answered));
    writeSample(out, "failed_total", "", double(counters.failed));
    writeSample(out, "forwarded_total", "", double(counters.forwarded));
    writeSample(out, "token_loans_asked_total", "", double(counters.tokenLoanRequests));
    writeSample(out, "slot_loans_asked_total", "", double(counters.slotLoanRequests));
    writeSample(out, "room_exhausted_total", "", double(counters.queueExhausted));
    for (std::size_t reason = 1; reason < counters.rejected.size(); ++reason) {
        const auto name = std::string(reasonName(static_cast<Reason>(reason)));
        writeSample(out, "refused_total", "reason=\"" + name + "\"",
                    double(counters.rejected.at(reason)));
    }
    for (Tier tier = 0; tier < TierCount; ++tier) {
        const auto label = "tier=\"" + std::to_string(tier) + "\"";
        writeSample(out, "dispatched_total", label, double(counters.dispatchedByTier.at(tier)));
        writeSample(out, "shed_total", label, double(counters.shedByTier.at(tier)));
    }
    writeSample(out, "peer_sent_bytes_total", "", double(traffic.sentBytes));
    writeSample(out, "peer_sent_messages_total", "", double(traffic.sentMessages));
    writeSample(out, "peer_received_bytes_total", "", double(traffic.receivedBytes));
    writeSample(out, "peer_received_messages_total", "", double(traffic.receivedMessages));
    writeSample(out, "peer_garbage_total", "", double(traffic.malformedMessages));
    writeSample(out, "peer_lost_total", "", double(traffic.droppedMessages));
    const std::scoped_lock lock(this->mutex);
    writeHistogram(out, "wait_seconds", this->waitTimes, this->waitTimeSum);
    writeHistogram(out, "decision_seconds", this->decisionTimes, this->decisionTimeSum);
    return out.str();
}

} // namespace banyanring
