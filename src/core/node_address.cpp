/** @file node_address.cpp The decision core: which entry addresses callers should use. */
#include "banyanring/core/node_base.h"

#include <algorithm>

namespace banyanring {

namespace {

constexpr std::size_t AddressCount = 4; ///< Addresses told to a caller.
constexpr Duration RetrySoon = std::chrono::seconds(1); ///< Told with passing refusals.

} // namespace

auto Node::on(const AddressAsked &event) -> void
{
    const auto organisation = this->organisationOf(event.keyDigest);
    if (!organisation && !event.keyDigest.empty()) {
        this->tell(event.call, {}, {Outcome::NotRun, Reason::BadKey, {}});
        return;
    }
    if (!this->members.list()) {
        this->tell(event.call, {}, {Outcome::NotRun, Reason::NotReady, RetrySoon});
        return;
    }
    const auto usable = [&](NodeId node) {
        if (node == this->self) {
            return !this->stopAt && this->ready();
        }
        const auto peer = this->members.peers().find(node);
        // A node that states no list has just started and takes nothing yet.
        return this->members.inContact(node, this->now) && !peer->second.heartbeat.leaving
               && peer->second.heartbeat.listRevision != 0;
    };
    GiveAddresses answer;
    answer.call = event.call;
    answer.keep = this->settings.addressKeep;
    auto order = this->tokens.holders(organisation.value_or(0));
    std::shuffle(order.begin(), order.end(), this->random);
    const auto holderCount = order.size();
    const auto seed = organisation ? *organisation : this->random();
    for (const auto node : rendezvousOrder(seed, this->members.liveNodes())) {
        if (std::find(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(holderCount), node)
            == order.begin() + static_cast<std::ptrdiff_t>(holderCount)) {
            order.push_back(node);
        }
    }
    for (const auto node : order) {
        if (usable(node) && answer.addresses.size() < AddressCount) {
            answer.addresses.push_back(this->addressOf(node));
        }
    }
    if (answer.addresses.empty()) {
        this->tell(event.call, {}, {Outcome::NotRun, Reason::NotReady, RetrySoon});
        return;
    }
    this->act(std::move(answer));
}

} // namespace banyanring
