/** @file crash_suspects.h Detects requests that crash the backend servers that run them. */
#pragma once

#include "banyanring/fleet/peer_state_type.h"

#include <set>
#include <unordered_map>

namespace banyanring::fleet {

/**
 * Records which backend servers crashed while they ran a request, and blocks requests that were
 * running at several of them.
 */
class CrashSuspects
{
public:
    /**
     * Records that a server closed the connection without a response.
     * @param fingerprint Fingerprint of the request.
     * @param serverHash Hash of the server.
     * @param now Current time.
     */
    auto recordCrash(std::uint64_t fingerprint, std::uint32_t serverHash, Instant now) -> void;

    /**
     * Clears a request that was answered, as it does not crash servers.
     * @param fingerprint Fingerprint of the request.
     */
    auto clear(std::uint64_t fingerprint) -> void;

    /**
     * Merges a peer's records.
     * @param reports Suspects that the peer reported.
     * @param now Current time.
     */
    auto mergePeerReports(const std::vector<CrashSuspectReport> &reports, Instant now) -> void;

    /**
     * Checks whether a request must be rejected.
     * @param fingerprint Fingerprint of the request.
     * @param now Current time.
     * @return Whether enough servers crashed while they ran it.
     */
    auto isBlocked(std::uint64_t fingerprint, Instant now) const -> bool;

    /**
     * Lists the recent suspects for gossip, at most as many as one message may hold.
     * @param now Current time.
     * @return The suspects.
     */
    auto reports(Instant now) const -> std::vector<CrashSuspectReport>;

    /**
     * Removes old suspects.
     * @param now Current time.
     */
    auto expire(Instant now) -> void;

private:
    /** Crash record of one request. */
    struct Suspect
    {
        std::set<std::uint32_t> serverHashes;
        Instant lastCrashAt{};
    };

    std::unordered_map<std::uint64_t, Suspect> suspects;
};

} // namespace banyanring::fleet
