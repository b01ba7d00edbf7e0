/** @file platform_reader.h Watches the configuration service and VM list of the platform. */
#pragma once

#include "banyanring/adapters/config_codec.h"
#include "banyanring/adapters/http_client.h"
#include "banyanring/ports/bounded_queue.h"
#include "banyanring/ports/inbox.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <thread>

namespace banyanring {

struct PlatformSnapshot;

/**
 * Watches the configuration and the VM list of the platform by long polling, each in a thread of
 * its own, and validates what it reads. Snapshots from peers pass the same validation. The platform
 * is only read, never written to.
 */
class PlatformReader
{
public:
    /** Status for the metrics and the state dump. */
    struct Status
    {
        Revision configRevision = 0; ///< Revision of the configuration in force; 0 without one.
        Revision vmListRevision = 0; ///< Revision of the VM list in force; 0 without one.
        std::uint64_t requests = 0; ///< Requests sent to the platform.
        std::uint64_t failedRequests = 0; ///< Failed requests, unusable responses included.
        Revision rejectedRevision = 0; ///< Newest revision that failed validation; 0 for none.
        /** Validation errors of the last rejected configuration. */
        std::vector<std::string> rejectionErrors;
    };

    /**
     * @param platform Address of the platform, "host:port".
     * @param inbox Receives ConfigReceived and VmListReceived events.
     * @param onVmList Called with each new VM list, on the thread that read it.
     */
    PlatformReader(std::string platform, Inbox &inbox, std::function<void(VmListPtr)> onVmList);
    ~PlatformReader();
    PlatformReader(const PlatformReader &) = delete;
    auto operator=(const PlatformReader &) -> PlatformReader & = delete;

    /** @return The configuration and VM list in force, for a peer. */
    auto snapshot() const -> PlatformSnapshot;

    /**
     * Applies a snapshot from a peer.
     * @param snapshot The snapshot; a configuration or VM list that is not newer is ignored.
     */
    auto applySnapshot(const PlatformSnapshot &snapshot) -> void;

    /** @return Status for the metrics and the state dump. */
    auto status() const -> Status;

private:
    auto configLoop() -> void;
    auto vmListLoop() -> void;
    auto readConfig() -> void;
    auto readVmList() -> void;
    auto fetch(const std::string &path) -> std::string;
    auto acceptConfig(Revision revision, const Shards &shards) -> void;
    auto acceptVmList(const std::string &text) -> void;
    auto waitBeforeRetry() -> void;

    std::string platform;
    Inbox &inbox;
    std::function<void(VmListPtr)> onVmList;
    mutable std::mutex mutex;
    Status currentStatus;
    Shards shards; ///< Shards in force.
    std::map<std::string, Revision> shardRevisions; ///< By shard; empty if a peer sent the shards.
    std::string vmListText; ///< JSON of the VM list in force.
    std::atomic<bool> stopping = false;
    HttpClient httpClient;
    std::thread configThread;
    std::thread vmListThread;
};

} // namespace banyanring
