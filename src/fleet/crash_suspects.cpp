/** @file crash_suspects.cpp Detects requests that crash the backend servers that run them. */
#include "banyanring/fleet/crash_suspects.h"

namespace banyanring::fleet {

namespace {

/**
 * Two servers may fail by coincidence while they run the same request; three are attributed to it.
 */
constexpr std::size_t RefuseAfterServers = 3;
constexpr Duration RememberFor = std::chrono::seconds(60); ///< Callers retry a request for minutes.
constexpr std::size_t MostStatements = 16; ///< Limits the size of a gossip message.

} // namespace

auto CrashSuspects::note(std::uint64_t fingerprint, std::uint32_t server, Instant now) -> void
{
    auto &suspect = this->suspects[fingerprint];
    suspect.servers.insert(server);
    suspect.lastAt = now;
}

auto CrashSuspects::clear(std::uint64_t fingerprint) -> void
{
    this->suspects.erase(fingerprint);
}

auto CrashSuspects::takePeer(const std::vector<SuspectStatement> &told, Instant now) -> void
{
    for (const auto &statement : told) {
        auto &suspect = this->suspects[statement.fingerprint];
        const auto before = suspect.servers.size();
        suspect.servers.insert(statement.servers.begin(), statement.servers.end());
        if (suspect.servers.size() > before) {
            suspect.lastAt = now;
        }
    }
}

auto CrashSuspects::refused(std::uint64_t fingerprint, Instant now) const -> bool
{
    const auto found = this->suspects.find(fingerprint);
    return found != this->suspects.end() && found->second.servers.size() >= RefuseAfterServers
           && now - found->second.lastAt < RememberFor;
}

auto CrashSuspects::statements(Instant now) const -> std::vector<SuspectStatement>
{
    std::vector<SuspectStatement> result;
    for (const auto &[fingerprint, suspect] : this->suspects) {
        if (now - suspect.lastAt < RememberFor && result.size() < MostStatements) {
            result.push_back({fingerprint, {suspect.servers.begin(), suspect.servers.end()}});
        }
    }
    return result;
}

auto CrashSuspects::expire(Instant now) -> void
{
    std::erase_if(this->suspects,
                  [now](const auto &item) { return now - item.second.lastAt > RememberFor; });
}

} // namespace banyanring::fleet
