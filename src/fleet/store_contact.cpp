/** @file store_contact.cpp What a node knows about the fleet's access to the store. */
#include "banyanring/fleet/store_contact.h"

namespace banyanring::fleet {

auto findStoreContact(const StoreAccess &own, const FleetMembers &members, Instant now)
    -> StoreContact
{
    if (own.reachable) {
        return StoreContact::Reached;
    }
    bool failing = own.failing;
    for (const auto *member : members.aliveMembers(now)) {
        if (member->status.storeReachable) {
            return StoreContact::Reached;
        }
        failing = failing || member->status.failsToReachStore();
    }
    return failing ? StoreContact::Lost : StoreContact::Unwatched;
}

auto storeContactName(StoreContact contact) -> std::string_view
{
    switch (contact) {
    case StoreContact::Reached:
        return "reached";
    case StoreContact::Unwatched:
        return "unwatched";
    case StoreContact::Lost:
        return "lost";
    }
    return "unknown";
}

} // namespace banyanring::fleet
