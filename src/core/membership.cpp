/** @file membership.cpp Gossip with ages, and the rule that says which rights a node may use. */
#include "banyanring/core/membership_base.h"

#include <algorithm>
#include <iterator>

namespace banyanring {

namespace {

constexpr std::size_t MaxEpochs = 8; ///< Lists remembered.
constexpr Duration EpochKeep = std::chrono::minutes(10); ///< Age at which a list is forgotten.
constexpr Duration PullTimeout = std::chrono::seconds(2); ///< A later reply is ignored.
constexpr int ClockRateDivisor = 50; ///< Clock rates differ by under 1/50.

/** @return Votes that are more than half of @p count. */
auto majorityOf(std::size_t count) -> std::size_t
{
    return count / 2 + 1;
}

/** @return The live nodes of @p list, sorted. */
auto sortedLive(const VmList &list) -> std::vector<NodeId>
{
    std::vector<NodeId> nodes;
    for (const auto &vm : list.vms) {
        if (!vm.leaving) {
            nodes.push_back(vm.id);
        }
    }
    std::sort(nodes.begin(), nodes.end());
    return nodes;
}

} // namespace

Membership::Membership(const NodeSettings &nodeSettings, NodeId self, Incarnation incarnation,
                       Instant now)
    : settings(nodeSettings), self(self), incarnation(incarnation), startedAt(now)
{
}

auto Membership::liveNodes() const -> const std::vector<NodeId> &
{
    static const std::vector<NodeId> None;
    return this->epochs.empty() ? None : this->epochs.back().nodes;
}

auto Membership::takeList(const VmListPtr &list, Instant now) -> bool
{
    if (this->current && list->revision <= this->current->revision) {
        return false;
    }
    this->gap = this->current && list->revision != this->current->revision + 1;
    if (this->gap) {
        // Unseen lists may have moved any right away and back: nothing older may be an anchor.
        for (auto &epoch : this->epochs) {
            epoch.chained = false;
        }
    }
    this->current = list;
    this->epochs.push_back({list->revision, sortedLive(*list), now, {}, {}, true});
    while (this->epochs.size() > MaxEpochs || now - this->epochs.front().takenAt > EpochKeep) {
        if (this->epochs.size() == 1) {
            break;
        }
        this->epochs.pop_front();
    }
    this->pullOrder.clear();
    this->recompute(now);
    return true;
}

auto Membership::startPull(std::mt19937_64 &random, Instant now)
    -> std::optional<std::pair<NodeId, GossipPull>>
{
    std::erase_if(this->pulls, [&](const auto &pull) { return now - pull.second > PullTimeout; });
    if (this->pullOrder.empty() && this->current) {
        for (const auto &vm : this->current->vms) {
            if (vm.id != this->self) {
                this->pullOrder.push_back(vm.id);
            }
        }
        std::shuffle(this->pullOrder.begin(), this->pullOrder.end(), random);
    }
    if (this->pullOrder.empty()) {
        return std::nullopt;
    }
    const auto peer = this->pullOrder.back();
    this->pullOrder.pop_back();
    const auto token = this->nextToken++;
    this->pulls[token] = now;
    return std::pair{peer, GossipPull{token, !this->statementsCount(now)}};
}

auto Membership::ownHeartbeat(Instant now) -> Heartbeat
{
    Heartbeat heartbeat;
    heartbeat.node = this->self;
    heartbeat.incarnation = this->incarnation;
    heartbeat.sequence = ++this->sequence;
    heartbeat.configRevision = this->configRevision;
    heartbeat.listRevision =
        this->current && this->statementsCount(now) ? this->current->revision : 0;
    heartbeat.leaving = this->leaving;
    heartbeat.pressures = this->pressures;
    return heartbeat;
}

auto Membership::answerPull(NodeId from, const GossipPull &pull, std::mt19937_64 &random,
                            Instant now) -> GossipReply
{
    GossipReply reply;
    reply.token = pull.token;
    reply.heartbeats.push_back(this->ownHeartbeat(now));
    std::vector<const Peer *> fresh;
    for (const auto &[node, peer] : this->known) {
        if (node != from && now - peer.heardAt < this->settings.lapse) {
            fresh.push_back(&peer);
        }
    }
    // Half of the room goes to the freshest, half to a sample of the rest, so that news travels
    // fast and nobody is left out.
    const auto room = std::min<std::size_t>(this->settings.gossipEntries, fresh.size());
    const auto middle = fresh.begin() + static_cast<std::ptrdiff_t>(room / 2);
    std::partial_sort(fresh.begin(), middle, fresh.end(), [](const Peer *left, const Peer *right) {
        return std::pair{left->heardAt, left->heartbeat.node}
               > std::pair{right->heardAt, right->heartbeat.node};
    });
    std::vector<const Peer *> chosen(fresh.begin(), middle);
    std::sample(middle, fresh.end(), std::back_inserter(chosen), room - room / 2, random);
    for (const auto *peer : chosen) {
        reply.heartbeats.push_back(peer->heartbeat);
        reply.heartbeats.back().age = now - peer->heardAt;
    }
    return reply;
}

auto Membership::takeReply(const GossipReply &reply, Instant now) -> void
{
    const auto pull = this->pulls.find(reply.token);
    if (pull == this->pulls.end() || now - pull->second > PullTimeout) {
        return;
    }
    for (const auto &heartbeat : reply.heartbeats) {
        this->take(heartbeat, pull->second - heartbeat.age);
    }
    this->pulls.erase(pull);
    this->recompute(now);
}

auto Membership::take(const Heartbeat &heartbeat, Instant statedAfter) -> void
{
    if (heartbeat.node == this->self || heartbeat.node == 0) {
        return;
    }
    auto &peer = this->known[heartbeat.node];
    const auto &old = peer.heartbeat;
    const auto order = std::pair{heartbeat.incarnation, heartbeat.sequence};
    const auto oldOrder = std::pair{old.incarnation, old.sequence};
    if (order < oldOrder) {
        return;
    }
    if (order > oldOrder) {
        peer.heartbeat = heartbeat;
        peer.heardAt = statedAfter;
    } else {
        // The same statement over another way: the later bound is the closer one.
        peer.heardAt = std::max(peer.heardAt, statedAfter);
    }
}

auto Membership::majorityUntil(const Epoch &epoch, const std::vector<NodeId> &voters,
                               Instant now) const -> Instant
{
    std::vector<Instant> ends;
    for (const auto node : voters) {
        if (node == this->self) {
            if (now - this->startedAt >= this->settings.lapse) {
                ends.push_back(Never);
            }
            continue;
        }
        const auto peer = this->known.find(node);
        if (peer == this->known.end()) {
            continue;
        }
        const auto revision = peer->second.heartbeat.listRevision;
        if (revision >= epoch.revision && revision <= this->current->revision) {
            ends.push_back(peer->second.heardAt + this->settings.lapse);
        }
    }
    const auto needed = majorityOf(voters.size());
    if (ends.size() < needed) {
        return {};
    }
    const auto nth = ends.begin() + static_cast<std::ptrdiff_t>(needed - 1);
    std::nth_element(ends.begin(), nth, ends.end(), std::greater<>());
    return *nth;
}

auto Membership::meets(const Epoch &older, const Epoch &newer) const -> bool
{
    std::vector<NodeId> both;
    std::set_union(older.nodes.begin(), older.nodes.end(), newer.nodes.begin(), newer.nodes.end(),
                   std::back_inserter(both));
    return majorityOf(older.nodes.size()) + majorityOf(newer.nodes.size()) > both.size();
}

auto Membership::recompute(Instant now) -> void
{
    this->bestRevision = 0;
    this->bestUntil = {};
    if (!this->current || !this->statementsCount(now)) {
        return;
    }
    if (!this->inherited) {
        this->inherited = this->current->revision;
        for (const auto &[node, peer] : this->known) {
            this->inherited = std::max(*this->inherited, peer.heartbeat.listRevision);
        }
    }
    for (auto epoch = this->epochs.rbegin(); epoch != this->epochs.rend(); ++epoch) {
        if (!epoch->chained) {
            break;
        }
        epoch->heldUntil = this->majorityUntil(*epoch, epoch->nodes, now);
        auto settledUntil = epoch->heldUntil;
        for (auto older = std::next(epoch); older != this->epochs.rend(); ++older) {
            if (!this->meets(*older, *epoch)) {
                settledUntil =
                    std::min(settledUntil, this->majorityUntil(*epoch, older->nodes, now));
            }
        }
        if (settledUntil > now && !epoch->firstHeld) {
            epoch->firstHeld = now;
        }
        if (this->bestRevision == 0 && epoch->heldUntil > now) {
            this->bestRevision = epoch->revision;
            this->bestUntil = epoch->heldUntil;
        }
    }
}

auto Membership::anchor(Instant now) const -> std::optional<Revision>
{
    if (this->bestRevision == 0 || now >= this->bestUntil) {
        return std::nullopt;
    }
    return this->bestRevision;
}

auto Membership::settledRevision(Instant now) const -> Revision
{
    const auto wait = this->settings.lapse + this->settings.lapse / ClockRateDivisor;
    for (auto epoch = this->epochs.rbegin(); epoch != this->epochs.rend(); ++epoch) {
        if (epoch->chained && epoch->firstHeld && now - *epoch->firstHeld > wait) {
            return epoch->revision;
        }
    }
    return 0;
}

auto Membership::coversEarlier(Revision list) const -> bool
{
    return this->inherited && list > *this->inherited;
}

auto Membership::inContact(NodeId node, Instant now) const -> bool
{
    const auto peer = this->known.find(node);
    return peer != this->known.end() && now - peer->second.heardAt < this->settings.lapse;
}

auto Membership::contacts(Instant now) const -> std::vector<const Peer *>
{
    std::vector<const Peer *> result;
    for (const auto &[node, peer] : this->known) {
        if (now - peer.heardAt < this->settings.lapse) {
            result.push_back(&peer);
        }
    }
    std::sort(result.begin(), result.end(), [](const Peer *left, const Peer *right) {
        return left->heartbeat.node < right->heartbeat.node;
    });
    return result;
}

auto Membership::statementsCount(Instant now) const -> bool
{
    if (!this->current || now - this->startedAt < this->settings.lapse) {
        return false;
    }
    std::size_t heard = 0;
    for (const auto node : this->liveNodes()) {
        heard += node == this->self || this->inContact(node, now) ? 1 : 0;
    }
    return heard >= majorityOf(this->liveNodes().size());
}

auto Membership::newest(Revision Heartbeat::*field, Revision own, std::mt19937_64 &random,
                        Instant now) const -> std::optional<std::pair<Revision, NodeId>>
{
    auto best = own;
    std::vector<NodeId> having;
    for (const auto &[node, peer] : this->known) {
        const auto revision = peer.heartbeat.*field;
        if (now - peer.heardAt >= this->settings.lapse) {
            continue;
        }
        if (revision > best) {
            best = revision;
            having.clear();
        }
        if (revision == best && best > own) {
            having.push_back(node);
        }
    }
    if (having.empty()) {
        return std::nullopt;
    }
    return std::pair{best, having[random() % having.size()]};
}

auto Membership::newerConfig(std::mt19937_64 &random, Instant now) const
    -> std::optional<std::pair<Revision, NodeId>>
{
    return this->newest(&Heartbeat::configRevision, this->configRevision, random, now);
}

auto Membership::newerList(std::mt19937_64 &random, Instant now) const
    -> std::optional<std::pair<Revision, NodeId>>
{
    const auto own = this->current ? this->current->revision : 0;
    return this->newest(&Heartbeat::listRevision, own, random, now);
}

} // namespace banyanring
