/** @file fleet_members.h Who else lives: membership by gossip, without a published list. */
#pragma once

#include "banyanring/fleet/peer_state_type.h"

#include <map>
#include <random>
#include <set>
#include <string_view>

namespace banyanring::fleet {

/** A node as this one knows it. */
struct Member
{
    NodeStatement statement; ///< The newest.
    Instant statedAt{}; ///< When it was stated, by this node's clock.
};

/** Keeps the other nodes by their peer address. */
class FleetMembers
{
public:
    /**
     * @param self Peer address of this node.
     * @param seeds Peer addresses to begin with; may be stale.
     * @param now Start of the process.
     */
    FleetMembers(std::string self, std::vector<std::string> seeds, Instant now);

    /**
     * Takes a statement; the most recently stated one wins.
     * @param statement The statement, with its age.
     * @param now The present.
     * @return Whether the node was unknown or taken for dead before.
     */
    auto take(const NodeStatement &statement, Instant now) -> bool;

    /**
     * Replaces the seeds after the settings have changed.
     * @param newSeeds Peer addresses.
     */
    auto setSeeds(std::vector<std::string> newSeeds) -> void
    {
        this->seeds = std::move(newSeeds);
    }

    /**
     * Tells whether a node was heard of lately.
     * @param member The node.
     * @param now The present.
     * @return Whether it counts as alive.
     */
    static auto alive(const Member &member, Instant now) -> bool;

    /**
     * Lists the nodes that count as alive, this one not included.
     * @param now The present.
     * @return The nodes.
     */
    auto live(Instant now) const -> std::vector<const Member *>;

    /**
     * Draws some of the nodes that count as alive.
     * @param most Most nodes.
     * @param random Source of chance.
     * @param now The present.
     * @return The nodes; all of them if there are no more.
     */
    auto sample(std::size_t most, std::mt19937_64 &random, Instant now) const
        -> std::vector<const Member *>;

    /**
     * Lists the incarnations of the nodes that count as alive.
     * @param now The present.
     * @return Their incarnations.
     */
    auto incarnations(Instant now) const -> std::set<std::uint64_t>;

    /**
     * Counts the nodes heard of within the memory time and this one. A young process, which may
     * not have heard of everyone, assumes at least the usual number.
     * @param now The present.
     * @return The size of the fleet that limits are divided by.
     */
    auto fleetSize(Instant now) const -> std::size_t;

    /**
     * Gives the part of the remembered nodes that is in contact.
     * @param now The present.
     * @return 0 to 1.
     */
    auto reachablePart(Instant now) const -> double;

    /**
     * Tells whether this node is one of the few that may send to a cold server. All remembered
     * nodes take part in the choice, so that both sides of a partition choose alike. A young
     * process may not, as it does not know the others yet.
     * @param server Number of the server.
     * @param owners How many nodes may.
     * @param now The present.
     * @return Whether this node is among them.
     */
    auto ownsCold(std::uint32_t server, std::size_t owners, Instant now) const -> bool;

    /**
     * Chooses the nodes that keep something for all: the heaviest by hash among those in contact
     * that serve, this one included.
     * @param key Hash of what is kept.
     * @param count How many nodes.
     * @param now The present.
     * @return Their peer addresses, the heaviest first.
     */
    auto keepers(std::uint32_t key, std::size_t count, Instant now) const
        -> std::vector<std::string>;

    /**
     * Chooses the nodes for one round of gossip, and now and then a seed that is not known.
     * @param fanOut Most nodes.
     * @param random Source of chance.
     * @param now The present.
     * @return Their peer addresses.
     */
    auto gossipTargets(std::size_t fanOut, std::mt19937_64 &random, Instant now)
        -> std::vector<std::string>;

    /**
     * Samples statements to relay.
     * @param most Most statements.
     * @param random Source of chance.
     * @param now The present.
     * @return Statements with their ages.
     */
    auto relaySample(std::size_t most, std::mt19937_64 &random, Instant now) const
        -> std::vector<NodeStatement>;

    /**
     * Forgets nodes beyond the memory time.
     * @param now The present.
     */
    auto expire(Instant now) -> void;

    /** @return All remembered nodes. */
    auto all() const -> const std::map<std::string, Member> &
    {
        return this->members;
    }

private:
    std::string self;
    std::vector<std::string> seeds;
    Instant startedAt;
    Instant nextSeedAt{};
    std::map<std::string, Member> members;
};

} // namespace banyanring::fleet
