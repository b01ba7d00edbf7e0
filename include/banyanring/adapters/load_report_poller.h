/** @file load_report_poller.h Polls the load reports of backend servers. */
#pragma once

#include "banyanring/adapters/http_client.h"
#include "banyanring/core/config_type.h"
#include "banyanring/ports/inbox.h"

#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

namespace banyanring {

/** Polls the load reports of the servers that the core selects, each once per interval. */
class LoadReportPoller
{
public:
    /** A server to poll. */
    struct Target
    {
        ServerId server = 0;
        std::string address; ///< "host:port".
    };

    /**
     * @param interval Time between two polls of a server.
     * @param inbox Receives a LoadReport for each poll, failed ones included.
     */
    LoadReportPoller(Duration interval, Inbox &inbox);
    ~LoadReportPoller();
    LoadReportPoller(const LoadReportPoller &) = delete;
    auto operator=(const LoadReportPoller &) -> LoadReportPoller & = delete;

    /** @param newTargets Servers to poll from now on. */
    auto setTargets(std::vector<Target> newTargets) -> void;

private:
    auto pollLoop() -> void;
    auto poll(const Target &target) -> void;

    Duration interval;
    Inbox &inbox;
    std::mutex mutex;
    std::vector<Target> targets;
    std::atomic<bool> stopping = false;
    HttpClient httpClient;
    std::thread thread;
};

} // namespace banyanring
