/** @file report_poller.cpp Reads the load reports of backend servers. */
#include "banyanring/adapters/report_poller.h"

#include "banyanring/ports/clock_func.h"

#include <cpprest/http_client.h>
#include <nlohmann/json.hpp>

namespace banyanring {

namespace {

using nlohmann::json;

constexpr std::chrono::seconds ReadTimeout{
    2}; ///< A server that answers later counts as unreachable.
constexpr std::chrono::milliseconds StopStep{50}; ///< A stop is seen within it.

/** @return The report in @p text, whose reading began at @p askedAt. */
auto parseReport(ServerId server, const std::string &text, Instant askedAt) -> LoadReport
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
    const std::chrono::milliseconds lag(value.value("age_ms", std::int64_t{0}));
    report.fetchDuration = bootNow() - askedAt;
    report.age = report.fetchDuration + lag;
    return report;
}

} // namespace

ReportPoller::ReportPoller(Duration interval, Inbox &inbox) : interval(interval), inbox(inbox)
{
    this->thread = std::thread([this] { this->loop(); });
}

ReportPoller::~ReportPoller()
{
    this->stopping = true;
    this->thread.join();
    while (this->open > 0) {
        std::this_thread::sleep_for(StopStep);
    }
}

auto ReportPoller::setTargets(std::vector<Target> newTargets) -> void
{
    const std::scoped_lock lock(this->mutex);
    this->targets = std::move(newTargets);
}

auto ReportPoller::loop() -> void
{
    while (!this->stopping) {
        std::vector<Target> round;
        {
            const std::scoped_lock lock(this->mutex);
            round = this->targets;
        }
        for (const auto &target : round) {
            this->read(target);
        }
        const auto next = bootNow() + this->interval;
        while (!this->stopping && bootNow() < next) {
            std::this_thread::sleep_for(StopStep);
        }
    }
}

auto ReportPoller::read(const Target &target) -> void
{
    ++this->open;
    const auto askedAt = bootNow();
    web::http::client::http_client_config config;
    config.set_timeout(ReadTimeout);
    web::http::client::http_client client("http://" + target.address, config);
    web::http::http_request request(web::http::methods::GET);
    request.set_request_uri("/load");
    request.headers().add("Connection", "close");
    client.request(request)
        .then([](const web::http::http_response &response) {
            return response.extract_utf8string(true);
        })
        .then([this, target, askedAt](const pplx::task<std::string> &task) {
            LoadReport report;
            report.server = target.server;
            try {
                report = parseReport(target.server, task.get(), askedAt);
            } catch (const std::exception &) {
                report.startedAt = 0; // Unreachable, or its report is rubbish.
            }
            this->inbox.push(Lane::Control, Event(report));
            --this->open;
        });
}

} // namespace banyanring
