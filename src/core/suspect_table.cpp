/** @file suspect_table.cpp Requests that were running when their backend server died. */
#include "banyanring/core/suspect_table_base.h"

namespace banyanring {

namespace {

constexpr std::size_t MaxSuspects = 10000; ///< Fingerprints remembered.

} // namespace

auto SuspectTable::add(std::uint64_t fingerprint, ServerId server, std::uint64_t startedAt,
                       Instant now) -> void
{
    if (this->suspects.size() >= MaxSuspects && !this->suspects.contains(fingerprint)) {
        return;
    }
    auto &suspect = this->suspects[fingerprint];
    suspect.deaths.emplace(server, startedAt);
    suspect.lastAt = now;
}

auto SuspectTable::deaths(std::uint64_t fingerprint) const -> std::size_t
{
    const auto suspect = this->suspects.find(fingerprint);
    return suspect == this->suspects.end() ? 0 : suspect->second.deaths.size();
}

auto SuspectTable::notices() const -> std::vector<CrashNotice>
{
    std::vector<CrashNotice> result;
    for (const auto &[fingerprint, suspect] : this->suspects) {
        for (const auto &[server, startedAt] : suspect.deaths) {
            result.push_back({0, fingerprint, server, startedAt});
        }
    }
    return result;
}

auto SuspectTable::tick(Instant now) -> void
{
    std::erase_if(this->suspects, [&](const auto &entry) {
        return now - entry.second.lastAt > this->settings.suspectKeep;
    });
}

} // namespace banyanring
