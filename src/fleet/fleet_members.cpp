/** @file fleet_members.cpp Membership by gossip. */
#include "banyanring/fleet/fleet_members.h"

#include <algorithm>

namespace banyanring::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Twenty lost gossip rounds; well inside the time after which no dead node may be named. */
constexpr Duration AliveFor = milliseconds(2000);
/** Longer than a partition usually lasts, so that its sides keep to their parts of the limits. */
constexpr Duration RememberFor = seconds(30);
/** Gossip reaches everyone within it; until then the fleet may be larger than what is known. */
constexpr Duration YoungFor = seconds(2);
constexpr std::size_t YoungFleetSize = 8; ///< The usual number of nodes of a small installation.
constexpr Duration SeedInterval = milliseconds(500); ///< Between messages to an unknown seed.

/** @return A node's weight for a key; the heaviest nodes own what the key names. */
auto weightOf(std::uint32_t key, std::string_view address) -> std::uint64_t
{
    return mix64((static_cast<std::uint64_t>(key) << 32U) ^ hashName(address));
}

} // namespace

FleetMembers::FleetMembers(std::string self, std::vector<std::string> seeds, Instant now)
    : self(std::move(self)), seeds(std::move(seeds)), startedAt(now)
{
}

auto FleetMembers::take(const NodeStatement &statement, Instant now) -> bool
{
    if (statement.peerAddress == this->self || statement.age > RememberFor) {
        return false;
    }
    const auto statedAt = now - statement.age;
    auto &member = this->members[statement.peerAddress];
    const bool wasAlive = member.statement.incarnation != 0 && alive(member, now);
    const bool sameLife = member.statement.incarnation == statement.incarnation;
    if (sameLife ? statement.sequence <= member.statement.sequence : statedAt <= member.statedAt) {
        return false;
    }
    member.statement = statement;
    member.statedAt = sameLife ? std::max(member.statedAt, statedAt) : statedAt;
    return !wasAlive && alive(member, now);
}

auto FleetMembers::alive(const Member &member, Instant now) -> bool
{
    return now - member.statedAt < AliveFor;
}

auto FleetMembers::live(Instant now) const -> std::vector<const Member *>
{
    std::vector<const Member *> result;
    for (const auto &[address, member] : this->members) {
        if (alive(member, now)) {
            result.push_back(&member);
        }
    }
    return result;
}

auto FleetMembers::sample(std::size_t most, std::mt19937_64 &random, Instant now) const
    -> std::vector<const Member *>
{
    auto drawn = this->live(now);
    if (drawn.size() > most) {
        std::shuffle(drawn.begin(), drawn.end(), random);
        drawn.resize(most);
    }
    return drawn;
}

auto FleetMembers::incarnations(Instant now) const -> std::set<std::uint64_t>
{
    std::set<std::uint64_t> result;
    for (const auto *member : this->live(now)) {
        result.insert(member->statement.incarnation);
    }
    return result;
}

auto FleetMembers::fleetSize(Instant now) const -> std::size_t
{
    const auto known = this->members.size() + 1;
    return now - this->startedAt < YoungFor ? std::max(known, YoungFleetSize) : known;
}

auto FleetMembers::reachablePart(Instant now) const -> double
{
    return static_cast<double>(this->live(now).size() + 1)
           / static_cast<double>(this->fleetSize(now));
}

auto FleetMembers::ownsCold(std::uint32_t server, std::size_t owners, Instant now) const -> bool
{
    if (now - this->startedAt < YoungFor) {
        return false;
    }
    const auto ownWeight = weightOf(server, this->self);
    std::size_t heavier = 0;
    for (const auto &[address, member] : this->members) {
        heavier += weightOf(server, address) > ownWeight ? 1 : 0;
    }
    return heavier < owners;
}

auto FleetMembers::keepers(std::uint32_t key, std::size_t count, Instant now) const
    -> std::vector<std::string>
{
    using Weighted = std::pair<std::uint64_t, std::string_view>;
    std::vector<Weighted> candidates{{weightOf(key, this->self), this->self}};
    for (const auto &[address, member] : this->members) {
        if (member.statement.phase == NodePhase::Ready && alive(member, now)) {
            candidates.emplace_back(weightOf(key, address), address);
        }
    }
    const auto chosen = std::min(count, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(chosen),
                      candidates.end(), std::greater<>());
    std::vector<std::string> keepers;
    for (std::size_t place = 0; place < chosen; ++place) {
        keepers.emplace_back(candidates[place].second);
    }
    return keepers;
}

auto FleetMembers::gossipTargets(std::size_t fanOut, std::mt19937_64 &random, Instant now)
    -> std::vector<std::string>
{
    std::vector<std::string> targets;
    for (const auto *member : this->sample(fanOut, random, now)) {
        targets.push_back(member->statement.peerAddress);
    }
    if (now < this->nextSeedAt) {
        return targets;
    }
    this->nextSeedAt = now + SeedInterval;
    // Nodes taken for dead are tried as well: after a partition nobody else may reach them.
    std::set<std::string> silent(this->seeds.begin(), this->seeds.end());
    for (const auto &[address, member] : this->members) {
        if (!alive(member, now)) {
            silent.insert(address);
        } else {
            silent.erase(address);
        }
    }
    silent.erase(this->self);
    targets.insert(targets.end(), silent.begin(), silent.end());
    return targets;
}

auto FleetMembers::relaySample(std::size_t most, std::mt19937_64 &random, Instant now) const
    -> std::vector<NodeStatement>
{
    std::vector<NodeStatement> statements;
    for (const auto *member : this->sample(most, random, now)) {
        statements.push_back(member->statement);
        statements.back().age = now - member->statedAt;
    }
    return statements;
}

auto FleetMembers::expire(Instant now) -> void
{
    std::erase_if(this->members,
                  [now](const auto &item) { return now - item.second.statedAt > RememberFor; });
}

} // namespace banyanring::fleet
