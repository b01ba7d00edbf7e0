/** @file platform_reader.h Reads and watches the platform's configuration service and VM list. */
#pragma once

#include "banyanring/adapters/config_codec.h"
#include "banyanring/ports/bounded_ring.h"
#include "banyanring/ports/inbox.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <pplx/pplxtasks.h>
#include <thread>

namespace banyanring {

struct Values;

/**
 * Reads and watches published values, in one thread for the configuration and one for the VM list.
 * What peers hand over goes through the same validation. Nothing is ever written.
 */
class PlatformReader
{
public:
    /** State for metrics and the dump. */
    struct Status
    {
        Revision configRevision = 0; ///< Newest valid configuration.
        Revision listRevision = 0; ///< Newest valid VM list.
        std::uint64_t reads = 0; ///< Calls made to the service.
        std::uint64_t failures = 0; ///< Calls that failed.
        Revision refusedRevision = 0; ///< Newest configuration that was refused.
        std::vector<std::string> faults; ///< Why.
    };

    /**
     * @param platform "host:port" of the service.
     * @param inbox Gets ConfigRead and VmListRead events.
     * @param onList Gets each new VM list.
     */
    PlatformReader(std::string platform, Inbox &inbox, std::function<void(VmListPtr)> onList);
    ~PlatformReader();
    PlatformReader(const PlatformReader &) = delete;
    auto operator=(const PlatformReader &) -> PlatformReader & = delete;

    /** @return The values in force, for a peer. */
    auto values() const -> Values;

    /** @param values Values that a peer handed over. */
    auto takeValues(const Values &values) -> void;

    /** @return State for metrics and the dump. */
    auto status() const -> Status;

private:
    auto configLoop() -> void;
    auto listLoop() -> void;
    auto readConfig() -> void;
    auto readList() -> void;
    auto fetch(const std::string &path) -> std::string;
    auto acceptConfig(Revision revision, const Shards &shards) -> void;
    auto acceptList(const std::string &text) -> void;
    auto pause() -> void;

    std::string platform;
    Inbox &inbox;
    std::function<void(VmListPtr)> onList;
    mutable std::mutex mutex;
    Status state;
    Shards shards; ///< Texts in force.
    std::map<std::string, Revision> shardRevisions; ///< Revisions of the texts in force.
    std::string listText;
    std::atomic<bool> stopping = false;
    pplx::cancellation_token_source cancelWatches;
    std::thread configThread;
    std::thread listThread;
};

} // namespace banyanring
