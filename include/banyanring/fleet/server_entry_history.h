/** @file server_entry_history.h Latest known entry of each server, across restores of the store. */
#pragma once

#include "banyanring/fleet/fleet_config_type.h"

#include <functional>
#include <string_view>

namespace banyanring::fleet {

/** How an entry of a server compares with what is known of the server. */
enum class EntryOrder : std::uint8_t {
    Current, ///< At least as new as the latest known entry.
    Older, ///< Older than the latest known entry of a registered server.
    Removed, ///< Not newer than the last entry of a server that is gone.
};

/**
 * Remembers the latest entry of each server, so that a store restored from a copy does not bring
 * back a server's former state. Within one era the order of the store holds; across eras the
 * servers' own start times and sequence numbers decide.
 */
class ServerEntryHistory
{
public:
    /**
     * Compares an entry with what is known of its server. Entries without a start time and a
     * sequence number are not comparable and count as current.
     * @param entry Entry of the server.
     * @param era Era that the entry was received in.
     * @param now Current time.
     * @return The order.
     */
    auto compare(const ServerRegistration &entry, std::uint64_t era, Instant now) const
        -> EntryOrder;

    /**
     * Records an entry as the latest of its server.
     * @param entry Entry of the server.
     * @param era Era that the entry was received in.
     */
    auto recordEntry(const ServerRegistration &entry, std::uint64_t era) -> void;

    /**
     * Records that the store no longer holds the entry of a server.
     * @param id Id of the server.
     * @param era Era in which the entry was removed, or whose copy lacks it.
     * @param goneAt Time from which the server counts as gone.
     */
    auto recordRemoval(std::string_view id, std::uint64_t era, Instant goneAt) -> void;

    /**
     * Changes the time from which a server without an entry counts as gone.
     * @param id Id of the server.
     * @param goneAt Time from which the server counts as gone.
     */
    auto setGoneAt(std::string_view id, Instant goneAt) -> void;

    /**
     * Records that a restored store lacks the entries of servers that were missing before, so that
     * a later entry of them was written in its era.
     * @param era Era of the restored store.
     * @param isListed Whether the restored store holds an entry of a server.
     */
    auto confirmMissing(std::uint64_t era, const std::function<bool(std::string_view)> &isListed)
        -> void;

    /** Records that a server whose entry was missing is registered after all. */
    auto cancelRemoval(std::string_view id) -> void;

    /** Forgets a server. */
    auto forget(std::string_view id) -> void;

    /** Forgets servers that have been gone for longer than a copy of the store can be old. */
    auto removeExpired(Instant now) -> void;

    /** @return Number of remembered servers. */
    auto size() const -> std::size_t
    {
        return this->latestEntries.size();
    }

    /** Servers that are gone and still remembered; beyond it the longest gone are forgotten. */
    static constexpr std::size_t MaxRemovedServers = 8192;
    /** A removed server is remembered for this long. */
    static constexpr Duration RemovedServerLifetime = std::chrono::seconds(60);

private:
    /** Latest entry of a server. */
    struct LatestEntry
    {
        std::uint64_t startedAtMs = 0; ///< Start time in Unix milliseconds; 0 if unknown.
        std::uint64_t sequence = 0; ///< Sequence number since the start; 0 if unknown.
        std::uint64_t era = 0; ///< Era that it was received in.
        Instant goneAt = Never; ///< The server counts as gone from then on.
    };

    std::map<std::string, LatestEntry, std::less<>> latestEntries;
    std::size_t removedServers = 0; ///< Number of remembered servers with a time of removal.
};

} // namespace banyanring::fleet
