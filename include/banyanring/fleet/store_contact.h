/** @file store_contact.h What a node knows about the fleet's access to the store. */
#pragma once

#include "banyanring/fleet/fleet_members.h"

namespace banyanring::fleet {

/** What a node knows about the store from its own requests and those of its peers. */
enum class StoreContact : std::uint8_t {
    Reached, ///< It answers this node or an alive peer.
    /** No alive node is known to get answers or errors from it, so nothing is known about it. */
    Unwatched,
    Lost, ///< Requests to it fail, and none is known to succeed.
};

/** Access of one node to the store. */
struct StoreAccess
{
    bool reachable = false; ///< The last request succeeded, and no answer is overdue.
    bool failing = false; ///< The last request failed.
};

/**
 * Combines a node's own access to the store with that of its alive peers. A watching node that was
 * killed, or whose answer is overdue, tells nothing about the store.
 * @param own Access of this node.
 * @param members The other nodes.
 * @param now Current time.
 * @return What is known.
 */
auto findStoreContact(const StoreAccess &own, const FleetMembers &members, Instant now)
    -> StoreContact;

/** @return Name of a contact for logs, in snake case. */
auto storeContactName(StoreContact contact) -> std::string_view;

} // namespace banyanring::fleet
