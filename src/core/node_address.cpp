/** @file node_address.cpp The decision core: entry addresses for callers. */
#include "banyanring/core/node_base.h"

#include <algorithm>

namespace banyanring {

namespace {

constexpr std::size_t MaxAddresses = 4; ///< Maximum addresses sent to a caller.
/** Retry delay sent with transient rejections. */
constexpr Duration ShortRetryDelay = std::chrono::seconds(1);

} // namespace

auto Node::on(const AddressesRequested &event) -> void
{
    const auto organisation = this->organisationForKey(event.keyDigest);
    if (!organisation && !event.keyDigest.empty()) {
        this->sendRejection(event.call, {}, {Outcome::NotRun, Reason::BadKey, {}});
        return;
    }
    if (!this->membership.vmList()) {
        this->sendRejection(event.call, {}, {Outcome::NotRun, Reason::NotReady, ShortRetryDelay});
        return;
    }
    const auto usable = [&](NodeId node) {
        if (node == this->self) {
            return !this->shutdownRequestedAt && this->ready();
        }
        const auto peer = this->membership.peers().find(node);
        // A node without a VM list revision has just started and does not accept requests yet.
        return this->membership.isReachable(node, this->now) && !peer->second.heartbeat.draining
               && peer->second.heartbeat.vmListRevision != 0;
    };
    ReturnAddresses response;
    response.call = event.call;
    response.ttl = this->settings.addressTtl;
    auto candidates = this->tokenPool.owners(organisation.value_or(0));
    std::shuffle(candidates.begin(), candidates.end(), this->random);
    const auto ownerCount = candidates.size();
    const auto seed = organisation ? *organisation : this->random();
    for (const auto node : rendezvousOrder(seed, this->membership.activeNodes())) {
        if (std::find(candidates.begin(),
                      candidates.begin() + static_cast<std::ptrdiff_t>(ownerCount), node)
            == candidates.begin() + static_cast<std::ptrdiff_t>(ownerCount)) {
            candidates.push_back(node);
        }
    }
    for (const auto node : candidates) {
        if (usable(node) && response.addresses.size() < MaxAddresses) {
            response.addresses.push_back(this->entryAddressOf(node));
        }
    }
    if (response.addresses.empty()) {
        this->sendRejection(event.call, {}, {Outcome::NotRun, Reason::NotReady, ShortRetryDelay});
        return;
    }
    this->emit(std::move(response));
}

} // namespace banyanring
