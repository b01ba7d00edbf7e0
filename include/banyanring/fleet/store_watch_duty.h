/** @file store_watch_duty.h Decides which nodes watch the store for all. */
#pragma once

#include "banyanring/fleet/environment_type.h"
#include "banyanring/fleet/fleet_members.h"

namespace banyanring::fleet {

/**
 * Decides whether this node watches the store. One node of each failure domain does, two where
 * there are fewer than three domains; the others follow them. The heaviest by hash comes first, and
 * the next ones step in one after another while too few reach the store. No node has to agree: a
 * watcher too many costs calls, and one too few lasts for as long as a node takes to notice.
 */
class StoreWatchDuty
{
public:
    /**
     * @param environment Address and failure domain of this node.
     * @param now Start of the process.
     */
    StoreWatchDuty(const Environment &environment, Instant now);

    /**
     * Decides anew; to be called some times a second.
     * @param members The other nodes.
     * @param now The present.
     * @return Whether this node is to watch.
     */
    auto update(const FleetMembers &members, Instant now) -> bool;

private:
    /** What this node's domain does about the store without this node. */
    struct Others
    {
        std::size_t reaching = 0; ///< Heavier nodes that reach the store.
        std::size_t trying = 0; ///< Heavier nodes that try in vain.
        std::size_t heavier = 0; ///< Heavier nodes.
        std::size_t needed = 1; ///< Watchers that the domain is to have.
    };

    auto look(const FleetMembers &members, Instant now) const -> Others;

    std::string self;
    std::string domain;
    bool watching = false;
    std::optional<Instant> wrongSince; ///< Since when another decision would be right.
    Instant startedAt;
};

} // namespace banyanring::fleet
