/** @file metrics.cpp Metrics of a daemon as Prometheus text. */
#include "banyanring/adapters/metrics_base.h"

#include <sstream>

namespace banyanring {

namespace {

/** @return The time in seconds. */
auto seconds(Duration time) -> double
{
    return std::chrono::duration<double>(time).count();
}

/** Writes one sample. */
auto line(std::ostream &out, std::string_view name, const std::string &labels, double value) -> void
{
    out << "banyanring_" << name;
    if (!labels.empty()) {
        out << '{' << labels << '}';
    }
    out << ' ' << value << '\n';
}

/** Writes a histogram. */
auto histogramLines(std::ostream &out, std::string_view name, const auto &histogram, double sum)
    -> void
{
    out << "# TYPE banyanring_" << name << " histogram\n";
    double total = histogram.at(-1);
    const auto &axis = histogram.axis(0);
    for (int index = 0; index < axis.size(); ++index) {
        total += histogram.at(index);
        line(out, std::string(name) + "_bucket",
             "le=\"" + std::to_string(axis.bin(index).upper()) + "\"", total);
    }
    total += histogram.at(axis.size());
    line(out, std::string(name) + "_bucket", "le=\"+Inf\"", total);
    line(out, std::string(name) + "_sum", "", sum);
    line(out, std::string(name) + "_count", "", total);
}

} // namespace

Metrics::Metrics()
    : waits(boost::histogram::make_histogram(
        Axis{0.0, 0.001, 0.005, 0.02, 0.1, 0.25, 0.74, 2.0, 5.0, 15.0, 60.0})),
      decisions(boost::histogram::make_histogram(
          Axis{0.0, 0.000002, 0.00001, 0.00005, 0.0002, 0.001, 0.01, 0.1}))
{
}

auto Metrics::observeWait(Duration took) -> void
{
    const std::scoped_lock lock(this->mutex);
    this->waits(seconds(took));
    this->waitSum += seconds(took);
}

auto Metrics::observeDecision(Duration took) -> void
{
    const std::scoped_lock lock(this->mutex);
    this->decisions(seconds(took));
    this->decisionSum += seconds(took);
}

auto Metrics::render(const NodeSnapshot &snapshot, const PeerLink::Traffic &traffic,
                     const PlatformReader::Status &platform) const -> std::string
{
    std::ostringstream out;
    const auto &counters = snapshot.counters;
    line(out, "ready", "", snapshot.ready ? 1 : 0);
    line(out, "config_revision", "", double(snapshot.configRevision));
    line(out, "vm_list_revision", "", double(snapshot.vmListRevision));
    line(out, "config_refused_revision", "", double(platform.refusedRevision));
    line(out, "platform_reads_total", "", double(platform.reads));
    line(out, "platform_failures_total", "", double(platform.failures));
    line(out, "contacts", "", double(snapshot.reachablePeers.size()));
    line(out, "open_calls", "", double(snapshot.calls));
    line(out, "running", "", double(snapshot.runs));
    line(out, "waiting", "", double(snapshot.waiting));
    line(out, "requests_total", "", double(counters.arrived));
    line(out, "answered_total", "", double(counters.answered));
    line(out, "failed_total", "", double(counters.failed));
    line(out, "forwarded_total", "", double(counters.forwarded));
    line(out, "token_loans_asked_total", "", double(counters.tokenLoanRequests));
    line(out, "slot_loans_asked_total", "", double(counters.slotLoanRequests));
    line(out, "room_exhausted_total", "", double(counters.queueExhausted));
    for (std::size_t reason = 1; reason < counters.rejected.size(); ++reason) {
        const auto name = std::string(reasonName(static_cast<Reason>(reason)));
        line(out, "refused_total", "reason=\"" + name + "\"", double(counters.rejected.at(reason)));
    }
    for (Tier tier = 0; tier < TierCount; ++tier) {
        const auto label = "tier=\"" + std::to_string(tier) + "\"";
        line(out, "dispatched_total", label, double(counters.dispatchedByTier.at(tier)));
        line(out, "shed_total", label, double(counters.shedByTier.at(tier)));
    }
    line(out, "peer_sent_bytes_total", "", double(traffic.sentBytes));
    line(out, "peer_sent_messages_total", "", double(traffic.sentMessages));
    line(out, "peer_received_bytes_total", "", double(traffic.receivedBytes));
    line(out, "peer_received_messages_total", "", double(traffic.receivedMessages));
    line(out, "peer_garbage_total", "", double(traffic.garbage));
    line(out, "peer_lost_total", "", double(traffic.lost));
    const std::scoped_lock lock(this->mutex);
    histogramLines(out, "wait_seconds", this->waits, this->waitSum);
    histogramLines(out, "decision_seconds", this->decisions, this->decisionSum);
    return out.str();
}

} // namespace banyanring
