/** @file suspect_table_base.h Requests that were running when their backend server died. */
#pragma once

#include "banyanring/core/message_type.h"
#include "banyanring/core/node_settings_type.h"

#include <map>
#include <set>

namespace banyanring {

/** Counts, for each fingerprint of a request, the deaths of backend servers that ran it. */
class CrashSuspectTable
{
public:
    /** @param nodeSettings Tunable values; must outlive this object. */
    explicit CrashSuspectTable(const NodeSettings &nodeSettings) : settings(nodeSettings) {}

    /**
     * Counts a death; a repeat of the same one counts once.
     * @param fingerprint Of the request.
     * @param server The backend server.
     * @param death Number of the death.
     * @param now The present.
     * @return Whether it is news.
     */
    auto addCrash(std::uint64_t fingerprint, ServerId server, std::uint64_t crashId, Instant now) -> bool;

    /**
     * Counts the deaths.
     * @param fingerprint Of the request.
     * @return The count.
     */
    auto crashCount(std::uint64_t fingerprint) const -> std::size_t;

    /**
     * Lists deaths as notices.
     * @param since Only those learnt after this instant.
     * @return The notices, at most a few hundred.
     */
    auto notices(Instant since) const -> std::vector<CrashNotice>;

    /** @param now Suspects that are older than the settings' time are forgotten. */
    auto expire(Instant now) -> void;

private:
    /** Deaths of one fingerprint. */
    struct Suspect
    {
        std::map<std::uint64_t, ServerId> crashes; ///< By number.
        Instant lastCrashAt{};
    };

    const NodeSettings &settings;
    std::map<std::uint64_t, Suspect> suspects;
};

} // namespace banyanring
