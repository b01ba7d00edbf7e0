/** @file store_watch_election.h Elects the nodes that watch the store on behalf of the fleet. */
#pragma once

#include "banyanring/fleet/fleet_members.h"
#include "banyanring/fleet/process_settings_type.h"

namespace banyanring::fleet {

/**
 * Decides whether this node watches the store. One node of each failure domain does, or two if
 * there are fewer than three domains; the others receive changes from them. The nodes are ranked by
 * hash: the highest ranked ones watch, and the next ones take over one after another while too few
 * reach the store, more slowly once a request has failed. This needs no agreement between nodes: an
 * extra watcher only costs store calls, and a missing one is replaced as soon as the others notice.
 * Watchers gossip to their successors in each round, so that these notice within a second at any
 * size of the fleet that a watcher is silent, and within a round that it gets no answers.
 */
class StoreWatchElection
{
public:
    /**
     * @param settings Address and failure domain of this node.
     * @param now Start of the process.
     */
    StoreWatchElection(const ProcessSettings &settings, Instant now);

    /**
     * Updates the decision; must be called several times per second.
     * @param members The other nodes.
     * @param ownEra Era of the store that this node has reached.
     * @param now Current time.
     * @return Whether this node is to watch the store.
     */
    auto update(const FleetMembers &members, std::uint64_t ownEra, Instant now) -> bool;

    /** Next ranked nodes of its domain that a watcher gossips to in each round. */
    static constexpr std::size_t Successors = 6;

private:
    /** Other nodes of this node's failure domain. */
    struct DomainPeers
    {
        std::size_t reachingStore = 0; ///< Higher-ranked nodes that reach the store in this era.
        std::size_t failing = 0; ///< Higher-ranked nodes whose last request to it failed.
        std::size_t higherRanked = 0; ///< Higher-ranked nodes.
        std::size_t requiredWatchers = 1; ///< Number of watchers that the domain needs.
    };

    auto countDomainPeers(const FleetMembers &members, std::uint64_t ownEra, Instant now) const
        -> DomainPeers;

    std::string self;
    std::string domain;
    bool watching = false;
    std::optional<Instant> changeDueSince; ///< Since when the decision should be a different one.
    Instant startedAt;
};

} // namespace banyanring::fleet
