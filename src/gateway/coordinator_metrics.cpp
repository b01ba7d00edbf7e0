/** @file coordinator_metrics.cpp Metrics of the servers that this node coordinates. */
#include "coordinator_metrics_func.h"

namespace banyanring::gateway {

auto writeCoordinatorMetrics(std::ostream &out, const SlotCoordination &coordination) -> void
{
    out << "# TYPE banyanring_coordinated_slots gauge\n"
        << "# TYPE banyanring_coordinated_waiting gauge\n";
    for (const auto &[service, occupancy] : coordination.occupancy()) {
        const auto &sample = occupancy.lastSample();
        const auto label = "banyanring_coordinated_slots{service=\"" + service + "\",state=";
        out << label << "\"free\"} " << sample.freeSlots << '\n'
            << label << "\"occupied\"} " << sample.occupiedSlots << '\n'
            << label << "\"unusable\"} " << sample.unusableSlots << '\n';
        out << "banyanring_coordinated_waiting{service=\"" << service << "\"} "
            << sample.waitingRequests << '\n';
    }
    const auto &totals = coordination.forecastTotals();
    const auto summary = [&](std::string_view name, auto sumOf) {
        for (const auto &[service, total] : totals) {
            const auto labels = "{service=\"" + service + "\"} ";
            out << name << "_sum" << labels << std::chrono::duration<double>(sumOf(total)).count()
                << '\n'
                << name << "_count" << labels << total.granted << '\n';
        }
    };
    out << "# TYPE banyanring_forecast_wait_seconds summary\n";
    summary("banyanring_forecast_wait_seconds",
            [](const auto &total) { return total.forecastSum; });
    out << "# TYPE banyanring_granted_wait_seconds summary\n";
    summary("banyanring_granted_wait_seconds", [](const auto &total) { return total.waitSum; });
    out << "# TYPE banyanring_queue_rejections_total counter\n";
    for (const auto &[service, total] : totals) {
        const auto label = "banyanring_queue_rejections_total{service=\"" + service + "\",when=\"";
        out << label << "arrival\"} " << total.rejectedOnArrival << '\n'
            << label << "waiting\"} " << total.rejectedLater << '\n';
    }
    out << "# TYPE banyanring_queued_grants_total counter\n";
    for (const auto &[service, counts] : coordination.queuedGrantCounts()) {
        const auto label = "banyanring_queued_grants_total{service=\"" + service + "\",share=";
        out << label << "\"within\"} " << counts.withinShare << '\n'
            << label << "\"above\"} " << counts.aboveShare << '\n';
    }
}

} // namespace banyanring::gateway
