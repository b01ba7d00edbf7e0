/** @file load_report_poller.cpp Polls the load reports of backend servers. */
#include "banyanring/adapters/load_report_poller.h"

#include "banyanring/ports/clock_func.h"

#include <nlohmann/json.hpp>

namespace banyanring {

namespace {

using nlohmann::json;

/** A server that does not respond within this time is reported as unreachable. */
constexpr std::chrono::seconds RequestTimeout{2};
constexpr std::size_t MaxReportBytes = 1U << 20U; ///< Longer reports are not read.
constexpr std::chrono::milliseconds StopCheckInterval{50}; ///< Interval of stop checks.

/** @return The report in @p text, which was requested at @p requestedAt. */
auto parseReport(ServerId server, const std::string &text, Instant requestedAt) -> LoadReport
{
    const auto value = json::parse(text);
    LoadReport report;
    report.server = server;
    report.startedAt = value.at("started_at").get<std::uint64_t>();
    report.running = value.at("running").get<std::uint32_t>();
    report.cold = value.value("cold", false);
    if (value.contains("running_ids")) {
        report.runningIds = value["running_ids"].get<std::vector<std::string>>();
    }
    const std::chrono::milliseconds ageWhenSent(value.value("age_ms", std::int64_t{0}));
    report.fetchDuration = bootClockNow() - requestedAt;
    report.age = report.fetchDuration + ageWhenSent;
    return report;
}

} // namespace

LoadReportPoller::LoadReportPoller(Duration interval, Inbox &inbox)
    : interval(interval), inbox(inbox)
{
    this->thread = std::thread([this] { this->pollLoop(); });
}

LoadReportPoller::~LoadReportPoller()
{
    this->stopping = true;
    this->thread.join();
}

auto LoadReportPoller::setTargets(std::vector<Target> newTargets) -> void
{
    const std::scoped_lock lock(this->mutex);
    this->targets = std::move(newTargets);
}

auto LoadReportPoller::pollLoop() -> void
{
    while (!this->stopping) {
        std::vector<Target> currentTargets;
        {
            const std::scoped_lock lock(this->mutex);
            currentTargets = this->targets;
        }
        for (const auto &target : currentTargets) {
            this->poll(target);
        }
        const auto nextPoll = bootClockNow() + this->interval;
        while (!this->stopping && bootClockNow() < nextPoll) {
            std::this_thread::sleep_for(StopCheckInterval);
        }
    }
}

auto LoadReportPoller::poll(const Target &target) -> void
{
    const auto requestedAt = bootClockNow();
    HttpClient::Request request;
    request.method(boost::beast::http::verb::get);
    request.target("/load");
    const auto text = std::make_shared<std::string>();
    const auto finish = [this, target, requestedAt, text] {
        LoadReport report;
        report.server = target.server;
        try {
            report = parseReport(target.server, *text, requestedAt);
        } catch (const std::exception &) {
            report.startedAt = 0; // Unreachable, or the report is malformed.
        }
        this->inbox.tryPush(Lane::Control, Event(report));
    };
    this->httpClient.send(target.address, std::move(request), RequestTimeout,
                          {[](const gateway::ResponseHeader &) {},
                           [text](std::string_view bytes) {
                               text->append(bytes);
                               if (text->size() > MaxReportBytes) {
                                   throw std::runtime_error("load report is too long");
                               }
                           },
                           finish,
                           [finish, text](bool, const std::string &) {
                               text->clear();
                               finish();
                           }});
}

} // namespace banyanring
