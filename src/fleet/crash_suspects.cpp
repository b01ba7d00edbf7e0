/** @file crash_suspects.cpp Detects requests that crash the backend servers that run them. */
#include "banyanring/fleet/crash_suspects.h"

namespace banyanring::fleet {

namespace {

/**
 * Two servers may fail by coincidence while they run the same request; three are attributed to it.
 */
constexpr std::size_t BlockAfterServers = 3;
/** Callers retry a request for minutes. */
constexpr Duration RetentionTime = std::chrono::seconds(60);
constexpr std::size_t MaxReports = 16; ///< Limits the size of a gossip message.

} // namespace

auto CrashSuspects::recordCrash(std::uint64_t fingerprint, std::uint32_t serverHash, Instant now)
    -> void
{
    auto &suspect = this->suspects[fingerprint];
    suspect.serverHashes.insert(serverHash);
    suspect.lastCrashAt = now;
}

auto CrashSuspects::clear(std::uint64_t fingerprint) -> void
{
    this->suspects.erase(fingerprint);
}

auto CrashSuspects::mergePeerReports(const std::vector<CrashSuspectReport> &reports, Instant now)
    -> void
{
    for (const auto &report : reports) {
        auto &suspect = this->suspects[report.fingerprint];
        const auto before = suspect.serverHashes.size();
        suspect.serverHashes.insert(report.serverHashes.begin(), report.serverHashes.end());
        if (suspect.serverHashes.size() > before) {
            suspect.lastCrashAt = now;
        }
    }
}

auto CrashSuspects::isBlocked(std::uint64_t fingerprint, Instant now) const -> bool
{
    const auto found = this->suspects.find(fingerprint);
    return found != this->suspects.end() && found->second.serverHashes.size() >= BlockAfterServers
           && now - found->second.lastCrashAt < RetentionTime;
}

auto CrashSuspects::reports(Instant now) const -> std::vector<CrashSuspectReport>
{
    std::vector<CrashSuspectReport> result;
    for (const auto &[fingerprint, suspect] : this->suspects) {
        if (now - suspect.lastCrashAt < RetentionTime && result.size() < MaxReports) {
            result.push_back(
                {fingerprint, {suspect.serverHashes.begin(), suspect.serverHashes.end()}});
        }
    }
    return result;
}

auto CrashSuspects::expire(Instant now) -> void
{
    std::erase_if(this->suspects, [now](const auto &entry) {
        return now - entry.second.lastCrashAt > RetentionTime;
    });
}

} // namespace banyanring::fleet
