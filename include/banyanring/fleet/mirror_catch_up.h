/** @file mirror_catch_up.h Decides how a node catches up with changes that it missed. */
#pragma once

#include "banyanring/fleet/fleet_members.h"

#include <optional>
#include <set>

namespace banyanring::fleet {

/**
 * Decides when a node whose mirror is behind those of its peers reads the store, and when and from
 * which peer it fetches a mirror. A few missed changes are read from the store. The contents of a
 * new era, which all nodes lack at once, are fetched from peers, spread over time. A node that
 * holds an older configuration than a peer, as after a start beside a restored store, fetches as
 * well.
 */
class MirrorCatchUp
{
public:
    /** What a node has reached. */
    struct Progress
    {
        StorePosition position; ///< Of the mirror.
        std::uint64_t configVersion = 0; ///< Version in force.
        bool isLoaded = false; ///< The mirror has been filled.
    };

    /** @param seed Seed of the random choices. */
    explicit MirrorCatchUp(std::uint64_t seed) : random(seed) {}

    /**
     * Compares this node with its peers; to be called several times a second.
     * @param own What this node has reached.
     * @param members The fleet.
     * @param now Current time.
     */
    auto update(const Progress &own, const FleetMembers &members, Instant now) -> void;

    /**
     * Notes that a batch leads to a position that the mirror cannot reach by batches.
     * @param own What this node has reached.
     * @param announced Position of the batch.
     * @param members The fleet.
     * @param now Current time.
     * @return Whether the batch is the first sign of a new era.
     */
    auto noteUnreachable(const Progress &own, StorePosition announced, const FleetMembers &members,
                         Instant now) -> bool;

    /** @return Whether the missed changes are to be read from the store. */
    auto shouldReadStore(const Progress &own, Instant now) const -> bool;

    /**
     * Chooses a peer whose mirror is to be fetched now.
     * @param own What this node has reached.
     * @param members The fleet.
     * @param now Current time.
     * @return Address of the peer; nullopt if none is to be fetched.
     */
    auto choosePeer(const Progress &own, const FleetMembers &members, Instant now)
        -> std::optional<std::string>;

    /** Notes that a fetch failed, so that another peer is tried at once. */
    auto onFetchFailed(const std::string &peer) -> void;

    /** Notes that a fetch succeeded. */
    auto onFetched() -> void;

    /** @return Failed fetches since the last successful one. */
    auto consecutiveFailures() const -> int
    {
        return this->fetchFailures;
    }

private:
    using Peers = std::vector<const Member *>;

    auto setTarget(const Progress &own, StorePosition position, const FleetMembers &members,
                   Instant now) -> void;
    auto updateConfigLag(const Progress &own, const FleetMembers &members, Instant now) -> void;
    auto lacksEra(const Progress &own) const -> bool;
    auto randomDelay(const FleetMembers &members, Instant now) -> Duration;
    auto peersWithTarget(const Progress &own, const FleetMembers &members, Instant now) const
        -> Peers;
    auto peersWithNewerConfig(const Progress &own, const FleetMembers &members, Instant now) const
        -> Peers;

    std::mt19937_64 random;
    StorePosition target; ///< Position that the mirror has to reach, while staleSince is set.
    std::optional<Instant> staleSince; ///< Time since which the target is missing.
    Instant eraFetchAt{}; ///< Time from which the contents of a new era may be fetched.
    Instant nextFetchAt{};
    std::optional<Instant> configFetchAt; ///< Set while a peer has a newer configuration in force.
    std::uint64_t laggingVersion = 0; ///< Version in force when configFetchAt was set.
    Duration configFetchDelay{}; ///< Doubles with each fetch that yields no newer configuration.
    std::set<std::string> failedPeers; ///< Retried only after all other peers have failed.
    int fetchFailures = 0;
};

} // namespace banyanring::fleet
