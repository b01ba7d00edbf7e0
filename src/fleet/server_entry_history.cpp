/** @file server_entry_history.cpp Latest known entry of each server, across restores. */
#include "banyanring/fleet/server_entry_history.h"

#include <algorithm>
#include <compare>

namespace banyanring::fleet {

namespace {

/** @return The order of two entries of a server; unordered if they lack the numbers to tell. */
auto compareReports(std::uint64_t startedAtMs, std::uint64_t sequence,
                    std::uint64_t otherStartedAtMs, std::uint64_t otherSequence)
    -> std::partial_ordering
{
    if ((startedAtMs == 0) != (otherStartedAtMs == 0)) {
        return std::partial_ordering::unordered;
    }
    if (startedAtMs != otherStartedAtMs) {
        return startedAtMs <=> otherStartedAtMs;
    }
    if (sequence == 0 || otherSequence == 0) {
        return std::partial_ordering::unordered;
    }
    return sequence <=> otherSequence;
}

} // namespace

auto ServerEntryHistory::compare(const ServerRegistration &entry, std::uint64_t era,
                                 Instant now) const -> EntryOrder
{
    const auto found = this->latestEntries.find(entry.id);
    if (found == this->latestEntries.end() || found->second.era >= era) {
        return EntryOrder::Current;
    }
    const auto &latest = found->second;
    const auto order =
        compareReports(entry.startedAtMs, entry.sequence, latest.startedAtMs, latest.sequence);
    if (now >= latest.goneAt) {
        return std::is_lteq(order) ? EntryOrder::Removed : EntryOrder::Current;
    }
    return std::is_lt(order) ? EntryOrder::Older : EntryOrder::Current;
}

auto ServerEntryHistory::recordEntry(const ServerRegistration &entry, std::uint64_t era) -> void
{
    this->cancelRemoval(entry.id);
    this->latestEntries.insert_or_assign(
        entry.id, LatestEntry{entry.startedAtMs, entry.sequence, era, Never});
}

auto ServerEntryHistory::recordRemoval(std::string_view id, std::uint64_t era, Instant goneAt)
    -> void
{
    const auto found = this->latestEntries.find(id);
    if (found == this->latestEntries.end()) {
        return;
    }
    found->second.era = std::max(found->second.era, era);
    this->setGoneAt(id, goneAt);
}

auto ServerEntryHistory::setGoneAt(std::string_view id, Instant goneAt) -> void
{
    const auto found = this->latestEntries.find(id);
    if (found == this->latestEntries.end()) {
        return;
    }
    this->removedServers += found->second.goneAt == Never ? 1 : 0;
    found->second.goneAt = std::min(found->second.goneAt, goneAt);
    if (this->removedServers > MaxRemovedServers) {
        this->latestEntries.erase(std::min_element(
            this->latestEntries.begin(), this->latestEntries.end(),
            [](const auto &a, const auto &b) { return a.second.goneAt < b.second.goneAt; }));
        --this->removedServers;
    }
}

auto ServerEntryHistory::confirmMissing(std::uint64_t era,
                                        const std::function<bool(std::string_view)> &isListed)
    -> void
{
    for (auto &[id, latest] : this->latestEntries) {
        if (latest.goneAt != Never && !isListed(id)) {
            latest.era = std::max(latest.era, era);
        }
    }
}

auto ServerEntryHistory::cancelRemoval(std::string_view id) -> void
{
    const auto found = this->latestEntries.find(id);
    if (found != this->latestEntries.end() && found->second.goneAt != Never) {
        found->second.goneAt = Never;
        --this->removedServers;
    }
}

auto ServerEntryHistory::forget(std::string_view id) -> void
{
    this->cancelRemoval(id);
    const auto found = this->latestEntries.find(id);
    if (found != this->latestEntries.end()) {
        this->latestEntries.erase(found);
    }
}

auto ServerEntryHistory::removeExpired(Instant now) -> void
{
    this->removedServers -= std::erase_if(this->latestEntries, [now](const auto &item) {
        return item.second.goneAt != Never && now - item.second.goneAt > RemovedServerLifetime;
    });
}

} // namespace banyanring::fleet
