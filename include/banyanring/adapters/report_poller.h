/** @file report_poller.h Reads the load reports of backend servers. */
#pragma once

#include "banyanring/core/config_type.h"
#include "banyanring/ports/inbox.h"

#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

namespace banyanring {

/** Reads the load reports of the servers that the core names, one round an interval. */
class ReportPoller
{
public:
    /** A server to read from. */
    struct Target
    {
        ServerId server = 0;
        std::string address;
    };

    /**
     * @param interval Time between two reads of a server.
     * @param inbox Gets the reports.
     */
    ReportPoller(Duration interval, Inbox &inbox);
    ~ReportPoller();
    ReportPoller(const ReportPoller &) = delete;
    auto operator=(const ReportPoller &) -> ReportPoller & = delete;

    /** @param newTargets Servers to read from. */
    auto setTargets(std::vector<Target> newTargets) -> void;

private:
    auto loop() -> void;
    auto read(const Target &target) -> void;

    Duration interval;
    Inbox &inbox;
    std::mutex mutex;
    std::vector<Target> targets;
    std::atomic<bool> stopping = false;
    std::atomic<std::size_t> open = 0; ///< Reads under way.
    std::thread thread;
};

} // namespace banyanring
