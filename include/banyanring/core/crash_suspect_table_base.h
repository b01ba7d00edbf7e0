/** @file crash_suspect_table_base.h Requests that were running when their server crashed. */
#pragma once

#include "banyanring/core/message_type.h"
#include "banyanring/core/node_settings_type.h"

#include <map>
#include <set>

namespace banyanring {

/** Counts, by request fingerprint, the crashes of backend servers that were running the request. */
class CrashSuspectTable
{
public:
    /** @param nodeSettings Tunable values; must outlive this object. */
    explicit CrashSuspectTable(const NodeSettings &nodeSettings) : settings(nodeSettings) {}

    /**
     * Records a crash; the same crash counts only once. In a full table it replaces the suspect
     * with the fewest crashes, of these the oldest.
     * @param fingerprint Fingerprint of the request.
     * @param server The backend server.
     * @param crashId Id of the crash.
     * @param now Current time.
     * @return Whether the crash was not recorded before.
     */
    auto addCrash(std::uint64_t fingerprint, ServerId server, std::uint64_t crashId, Instant now)
        -> bool;

    /**
     * Returns the number of recorded crashes.
     * @param fingerprint Fingerprint of the request.
     * @return The count.
     */
    auto crashCount(std::uint64_t fingerprint) const -> std::size_t;

    /**
     * Returns recorded crashes as notices, each time from where the last call ended.
     * @param since Earliest time of a fingerprint's last recorded crash.
     * @return The notices; further fingerprints are left out once there are 200.
     */
    auto notices(Instant since) -> std::vector<CrashNotice>;

    /** @param now Current time; suspects older than the retention time are removed. */
    auto expire(Instant now) -> void;

    static constexpr std::size_t MaxSuspects = 10000; ///< Maximum number of fingerprints stored.

private:
    /** Crashes recorded for one fingerprint. */
    struct Suspect
    {
        std::map<std::uint64_t, ServerId> crashes; ///< Server by crash id.
        Instant lastCrashAt{};
    };

    auto removeWeakest() -> void;

    const NodeSettings &settings;
    std::map<std::uint64_t, Suspect> suspects;
    std::uint64_t nextReported = 0; ///< Fingerprint from which the next notices begin.
};

} // namespace banyanring
