/** @file crash_suspects.h Detects requests and prompt parts that crash the backend servers. */
#pragma once

#include "banyanring/fleet/peer_state_type.h"

#include <limits>
#include <span>
#include <unordered_map>

namespace banyanring::fleet {

/**
 * Records which backend servers crashed while they ran a request or a prompt part, and blocks those
 * that were running at several crashes. A suspect is identified by a hash, of a whole request or of
 * a part of a prompt.
 *
 * A crash counts against everything that its server was running. So a suspect that was answered
 * before does not block the requests that leave out the other suspects which explain its crashes:
 * if it is sound, the answers to these requests refute its crashes, and if it has become harmful,
 * their crashes have no other explanation.
 *
 * All nodes' records are merged by gossip. An answer refutes the crashes before it, whichever
 * arrives first, so a part that is in constant use is cleared faster than crashes add up.
 */
class CrashSuspects
{
public:
    /**
     * Records that a server closed the connection while it ran a request.
     * @param suspect Hash of the suspect.
     * @param serverHash Hash of the server.
     * @param startedAt Start of the run.
     * @param now Current time.
     */
    auto recordCrash(std::uint64_t suspect, std::uint32_t serverHash, Instant startedAt,
                     Instant now) -> void;

    /**
     * Records an answer that the server survived; it refutes all earlier crashes.
     * @param suspect Hash of the suspect.
     * @param answeredAt Time of the answer.
     */
    auto recordAnswer(std::uint64_t suspect, Instant answeredAt) -> void;

    /**
     * Merges a peer's records.
     * @param reports Suspects that the peer reported.
     * @param now Current time.
     */
    auto mergePeerReports(const std::vector<CrashSuspectReport> &reports, Instant now) -> void;

    /**
     * Finds the suspects because of which a request must be rejected.
     * @param request Hashes of the request and of the parts of its prompt.
     * @param now Current time.
     * @return Those of them that probably crash servers; empty if the request may run.
     */
    auto blockedSuspects(std::span<const std::uint64_t> request, Instant now) const
        -> std::vector<std::uint64_t>;

    /**
     * Checks whether requests with nothing but one suspect must be rejected.
     * @param suspect Hash of the suspect.
     * @param now Current time.
     * @return Whether they must be rejected.
     */
    auto isBlocked(std::uint64_t suspect, Instant now) const -> bool
    {
        return !this->blockedSuspects({&suspect, 1}, now).empty();
    }

    /**
     * Checks whether one blocked request may run, to find out whether it is still blocked rightly.
     * Only one node of the fleet may make use of it.
     * @param blocked Its blocked suspects.
     * @param request Hashes of the request and of the parts of its prompt.
     * @param now Current time.
     * @return Whether the last crash and the last trial of each are long enough ago.
     */
    auto isTrialDue(std::span<const std::uint64_t> blocked, std::span<const std::uint64_t> request,
                    Instant now) const -> bool;

    /**
     * Records that a request with blocked suspects is run.
     * @param blocked Hashes of these suspects.
     * @param now Current time.
     */
    auto recordTrial(std::span<const std::uint64_t> blocked, Instant now) -> void;

    /**
     * Lists suspects for gossip, the most important ones first and at most as many as one message
     * may hold.
     * @param now Current time.
     * @return The suspects.
     */
    auto reports(Instant now) const -> std::vector<CrashSuspectReport>;

    /** @return Whether a suspect has changed so recently that peers may not know it. */
    auto hasNews(Instant now) const -> bool
    {
        return now - this->lastChangeAt < NewsLifetime;
    }

    /**
     * Removes old records.
     * @param now Current time.
     */
    auto expire(Instant now) -> void;

    /** @return Number of hashes stored, including those of answered requests. */
    auto size() const -> std::size_t
    {
        return this->suspects.size();
    }

    static constexpr std::size_t BlockingCrashes = 3; ///< Fewer may be coincidence.
    static constexpr std::size_t MaxSuspects = 4096; ///< Bounds the memory of the table.
    static constexpr std::size_t MaxReports = 24; ///< Limits the size of a gossip message.

private:
    /** Several gossip rounds. */
    static constexpr Duration NewsLifetime = std::chrono::seconds(1);
    static constexpr Instant LongAgo{std::numeric_limits<Instant::rep>::min() / 2};

    /** Crash of one start of a server. */
    struct Crash
    {
        std::uint32_t serverHash = 0;
        Instant startedAt{}; ///< The cause of the crash began after this time.
        Instant crashedAt{};

        /** @return Whether both may have one cause that is not the suspect, such as a power loss.
         */
        auto mayShareCause(const Crash &other) const -> bool;
    };

    /** Records of one suspect. */
    struct Suspect
    {
        /** By time, after the last answer; each with a cause of its own. */
        std::vector<Crash> crashes;
        Instant answeredAt = LongAgo;
        Instant changedAt = LongAgo; ///< Last change that peers have to know.
        Instant trialAt = LongAgo;
        std::size_t maxCrashes = 0; ///< Most crashes that this node or a peer has counted.

        /** @return Whether it was answered shortly before the first of its crashes. */
        auto wasAnsweredBefore() const -> bool;

        /** @return Whether one of its crashes is, or may share its cause with, that of another one.
         */
        auto sharesCrash(const Crash &crash) const -> bool;
    };

    auto addCrash(Suspect &suspect, const Crash &crash, bool isReportable, Instant now) -> void;
    auto refute(Suspect &suspect, Instant answeredAt) -> bool;
    auto isExplainedByOthers(const Suspect &suspect, std::span<const std::uint64_t> request,
                             std::size_t minCrashes) const -> bool;
    auto isProbableCause(const Suspect &suspect, std::span<const std::uint64_t> request) const
        -> bool;
    auto entry(std::uint64_t hash) -> Suspect &;
    static auto expiryTime(const Suspect &suspect) -> Instant;
    static auto crashRetention(std::size_t crashes) -> Duration;

    std::unordered_map<std::uint64_t, Suspect> suspects;
    Instant lastChangeAt = LongAgo;
};

} // namespace banyanring::fleet
