/** @file suspect_table_base.h Requests that were running when their backend server died. */
#pragma once

#include "banyanring/core/message_type.h"
#include "banyanring/core/node_settings_type.h"

#include <map>
#include <set>

namespace banyanring {

/** Counts, for each fingerprint of a request, the deaths of backend servers that ran it. */
class SuspectTable
{
public:
    /** @param nodeSettings Tunable values; must outlive this object. */
    explicit SuspectTable(const NodeSettings &nodeSettings) : settings(nodeSettings) {}

    /**
     * Counts a death; a repeat of the same one counts once.
     * @param fingerprint Of the request.
     * @param server The backend server.
     * @param startedAt Its start time, which tells its deaths apart.
     * @param now The present.
     */
    auto add(std::uint64_t fingerprint, ServerId server, std::uint64_t startedAt, Instant now)
        -> void;

    /**
     * Counts the deaths.
     * @param fingerprint Of the request.
     * @return The count.
     */
    auto deaths(std::uint64_t fingerprint) const -> std::size_t;

    /** @return All deaths as notices, for a young peer. */
    auto notices() const -> std::vector<CrashNotice>;

    /** @param now Suspects that are older than the settings' time are forgotten. */
    auto tick(Instant now) -> void;

private:
    /** Deaths of one fingerprint. */
    struct Suspect
    {
        std::set<std::pair<ServerId, std::uint64_t>> deaths;
        Instant lastAt{};
    };

    const NodeSettings &settings;
    std::map<std::uint64_t, Suspect> suspects;
};

} // namespace banyanring
