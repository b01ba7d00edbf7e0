/** @file suspect_table.cpp Requests that were running when their backend server died. */
#include "banyanring/core/suspect_table_base.h"

namespace banyanring {

namespace {

constexpr std::size_t MaxSuspects = 10000; ///< Fingerprints remembered.
constexpr std::size_t MaxNotices = 200; ///< Deaths told in one message.

} // namespace

auto SuspectTable::add(std::uint64_t fingerprint, ServerId server, std::uint64_t death, Instant now)
    -> bool
{
    if (this->suspects.size() >= MaxSuspects && !this->suspects.contains(fingerprint)) {
        return false;
    }
    auto &suspect = this->suspects[fingerprint];
    const bool news = suspect.deaths.emplace(death, server).second;
    if (news) {
        suspect.lastAt = now;
    }
    return news;
}

auto SuspectTable::deaths(std::uint64_t fingerprint) const -> std::size_t
{
    const auto suspect = this->suspects.find(fingerprint);
    return suspect == this->suspects.end() ? 0 : suspect->second.deaths.size();
}

auto SuspectTable::notices(Instant since) const -> std::vector<CrashNotice>
{
    std::vector<CrashNotice> result;
    for (const auto &[fingerprint, suspect] : this->suspects) {
        if (suspect.lastAt < since || result.size() >= MaxNotices) {
            continue;
        }
        for (const auto &[death, server] : suspect.deaths) {
            result.push_back({0, fingerprint, server, death});
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
