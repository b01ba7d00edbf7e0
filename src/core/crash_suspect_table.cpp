/** @file crash_suspect_table.cpp Requests that were running when their server crashed. */
#include "banyanring/core/crash_suspect_table_base.h"

#include <algorithm>

namespace banyanring {

namespace {

/** No further fingerprints are added to a message with this many crashes. */
constexpr std::size_t MaxNotices = 200;

} // namespace

auto CrashSuspectTable::addCrash(std::uint64_t fingerprint, ServerId server, std::uint64_t crashId,
                                 Instant now) -> bool
{
    if (this->suspects.size() >= MaxSuspects && !this->suspects.contains(fingerprint)) {
        this->removeWeakest();
    }
    auto &suspect = this->suspects[fingerprint];
    const bool isNew = suspect.crashes.emplace(crashId, server).second;
    if (isNew) {
        suspect.lastCrashAt = now;
    }
    return isNew;
}

auto CrashSuspectTable::removeWeakest() -> void
{
    const auto rank = [](const Suspect &suspect) {
        return std::pair(suspect.crashes.size(), suspect.lastCrashAt);
    };
    this->suspects.erase(std::min_element(this->suspects.begin(), this->suspects.end(),
                                          [&](const auto &first, const auto &second) {
                                              return rank(first.second) < rank(second.second);
                                          }));
}

auto CrashSuspectTable::crashCount(std::uint64_t fingerprint) const -> std::size_t
{
    const auto suspect = this->suspects.find(fingerprint);
    return suspect == this->suspects.end() ? 0 : suspect->second.crashes.size();
}

auto CrashSuspectTable::notices(Instant since) -> std::vector<CrashNotice>
{
    std::vector<CrashNotice> result;
    auto next = this->suspects.lower_bound(this->nextReported);
    for (std::size_t visited = 0; visited < this->suspects.size() && result.size() < MaxNotices;
         ++visited) {
        next = next == this->suspects.end() ? this->suspects.begin() : next;
        const auto &[fingerprint, suspect] = *next++;
        this->nextReported = fingerprint + 1;
        if (suspect.lastCrashAt < since) {
            continue;
        }
        for (const auto &[crashId, server] : suspect.crashes) {
            result.push_back({0, fingerprint, server, crashId});
        }
    }
    return result;
}

auto CrashSuspectTable::expire(Instant now) -> void
{
    std::erase_if(this->suspects, [&](const auto &entry) {
        return now - entry.second.lastCrashAt > this->settings.crashSuspectRetention;
    });
}

} // namespace banyanring
