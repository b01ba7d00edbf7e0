/** @file store_watch_duty.cpp Decides which nodes watch the store for all. */
#include "banyanring/fleet/store_watch_duty.h"

#include <algorithm>

namespace banyanring::fleet {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t ManyDomains = 3; ///< From here one watcher a domain leaves two at a loss.
/** A started node hears of the others meanwhile; all of a fleet may start at once. */
constexpr Duration ListenFirst = milliseconds(300);
constexpr Duration StepIn = milliseconds(300); ///< Between one node and the next, by weight.
/** While heavier nodes try in vain: the store is down, and each further call only adds load. */
constexpr Duration StepInOnOutage = milliseconds(1500);
constexpr std::size_t MostSteps = 6; ///< Bounds how long the lightest node waits.
constexpr Duration StepDown = milliseconds(1500); ///< Others may be about to step down as well.

} // namespace

StoreWatchDuty::StoreWatchDuty(const Environment &environment, Instant now)
    : self(environment.peers.text()), domain(environment.domain), startedAt(now)
{
}

auto StoreWatchDuty::look(const FleetMembers &members, Instant now) const -> Others
{
    const auto weight = [](std::string_view address) { return mix64(hashName(address)); };
    const auto ownWeight = weight(this->self);
    Others others;
    std::set<std::string_view> domains{this->domain};
    for (const auto *member : members.live(now)) {
        const auto &statement = member->statement;
        domains.insert(statement.domain);
        if (statement.domain != this->domain || statement.phase == NodePhase::Draining
            || weight(statement.peerAddress) < ownWeight) {
            continue;
        }
        ++others.heavier;
        others.reaching += statement.storeReached ? 1 : 0;
        others.trying += statement.storeTried && !statement.storeReached ? 1 : 0;
    }
    others.needed = domains.size() < ManyDomains ? 2 : 1;
    return others;
}

auto StoreWatchDuty::update(const FleetMembers &members, Instant now) -> bool
{
    const auto others = this->look(members, now);
    const bool should = others.reaching < others.needed;
    if (should == this->watching) {
        this->wrongSince.reset();
        return this->watching;
    }
    if (!this->wrongSince) {
        this->wrongSince = now;
    }
    Duration patience = StepDown;
    if (should) {
        const auto step = others.trying > 0 ? StepInOnOutage : StepIn;
        const auto before = others.heavier < others.needed ? 0 : others.heavier - others.needed + 1;
        patience = step * static_cast<std::int64_t>(std::min(before, MostSteps));
    }
    if (now - *this->wrongSince >= patience && now - this->startedAt >= ListenFirst) {
        this->watching = should;
        this->wrongSince.reset();
    }
    return this->watching;
}

} // namespace banyanring::fleet
