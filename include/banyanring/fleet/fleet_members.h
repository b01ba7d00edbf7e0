/** @file fleet_members.h Fleet membership by gossip, without a published list of nodes. */
#pragma once

#include "banyanring/fleet/peer_state_type.h"

#include <map>
#include <random>
#include <set>
#include <span>
#include <string_view>
#include <unordered_map>

namespace banyanring::fleet {

/** Another node as seen by this one. */
struct Member
{
    NodeStatus status; ///< Newest known status.
    Instant issuedAt{}; ///< When the status was issued, by this node's clock.
    std::uint32_t addressHash = 0; ///< hashName of its peer address.
};

/**
 * Ranks the nodes of a domain for watching the store; the highest ranked ones do.
 * @param addressHash hashName of the node's peer address.
 * @return Its rank.
 */
auto watchRank(std::uint32_t addressHash) -> std::uint64_t;

/** A node that may coordinate something. */
struct CoordinatorCandidate
{
    std::uint32_t addressHash = 0; ///< hashName of its peer address.
    std::string_view address; ///< Peer address.
};

/**
 * Tracks the other nodes by peer address. Which of them are alive is looked up many times between
 * two changes, so the result is kept until a node joins, leaves or changes its phase.
 */
class FleetMembers
{
public:
    /**
     * @param self Peer address of this node.
     * @param seeds Peer addresses of the nodes to contact first; may be out of date.
     * @param now Start of the process.
     * @param domain Failure domain of this node.
     */
    FleetMembers(std::string self, std::vector<std::string> seeds, Instant now,
                 std::string domain = {});
    ~FleetMembers() = default;
    FleetMembers(const FleetMembers &) = delete; // What is kept points into this object.
    auto operator=(const FleetMembers &) -> FleetMembers & = delete;

    /**
     * Merges the status of a node; the most recently issued one wins.
     * @param status Status with its age.
     * @param now Current time.
     * @return Whether the node is considered alive now and was not before.
     */
    auto mergeStatus(const NodeStatus &status, Instant now) -> bool;

    /**
     * Merges a heartbeat of a node.
     * @param heartbeat The heartbeat.
     * @param now Current time.
     * @return Whether its status is unknown here or has changed, and should be requested.
     */
    auto mergeHeartbeat(const MemberHeartbeat &heartbeat, Instant now) -> bool;

    /**
     * Replaces the seeds after a change of the settings.
     * @param newSeeds Peer addresses.
     */
    auto setSeeds(std::vector<std::string> newSeeds) -> void
    {
        this->seeds = std::move(newSeeds);
    }

    /**
     * Checks whether the status of a node is recent. In a larger fleet it takes longer until a
     * status has reached all nodes.
     * @param member The node.
     * @param now Current time.
     * @return Whether the node is considered alive.
     */
    auto isAlive(const Member &member, Instant now) const -> bool
    {
        return now - member.issuedAt < this->aliveTimeout();
    }

    /** @return Age of a status from which on its node counts as lost. */
    auto aliveTimeout() const -> Duration;

    /**
     * Lists the nodes that are considered alive, without this one.
     * @param now Current time.
     * @return The nodes; valid until the next change of this object.
     */
    auto aliveMembers(Instant now) const -> std::span<const Member *const>;

    /**
     * Numbers the sets of nodes that are alive.
     * @param now Current time.
     * @return Another number whenever a node joined, was lost, restarted or changed its phase.
     */
    auto generation(Instant now) const -> std::uint64_t;

    /**
     * Draws a random sample of the nodes that are considered alive.
     * @param maxCount Maximum number of nodes.
     * @param random Random engine.
     * @param now Current time.
     * @return The nodes; all of them if there are at most maxCount.
     */
    auto sampleAlive(std::size_t maxCount, std::mt19937_64 &random, Instant now) const
        -> std::vector<const Member *>;

    /**
     * Draws a random sample of the nodes that are considered alive, most of them in the failure
     * domain of this node, as messages to other domains are slower and cost more.
     * @param maxCount Maximum number of nodes.
     * @param distantCount How many of them are in other domains, if there are as many; more are
     *                     taken if the own domain has too few.
     * @param random Random engine.
     * @param now Current time.
     * @return The nodes; all of them if there are at most maxCount.
     */
    auto sampleNearby(std::size_t maxCount, std::size_t distantCount, std::mt19937_64 &random,
                      Instant now) const -> std::vector<const Member *>;

    /**
     * Lists the failure domains without an alive node that watches and reaches the store.
     * @param now Current time.
     * @return Names of those domains, this node left out of account.
     */
    auto unwatchedDomains(Instant now) const -> std::set<std::string_view>;

    /**
     * Lists the incarnations of the nodes that are considered alive, without this one.
     * @param now Current time.
     * @return Their incarnations.
     */
    auto aliveIncarnations(Instant now) const -> std::set<std::uint64_t>;

    /**
     * Counts this node and the nodes heard of within the retention time. A node that has just
     * started may not have heard of all others and assumes at least the size of a small
     * installation.
     * @param now Current time.
     * @return Fleet size by which fleet-wide limits are divided.
     */
    auto fleetSize(Instant now) const -> std::size_t;

    /**
     * Returns the fraction of the known nodes that are considered alive, this one included.
     * @param now Current time.
     * @return 0 to 1.
     */
    auto reachableFraction(Instant now) const -> double;

    /**
     * Checks whether this node is one of the few that may send requests to a server that is cold,
     * or that names a limit while its coordinator is silent. All nodes
     * within the retention time take part in the choice, so that both sides of a partition choose
     * the same ones. A node that has just started may not, as its view of the fleet is incomplete.
     * @param serverHash Hash of the server.
     * @param senders Number of nodes that may send.
     * @param now Current time.
     * @return Whether this node is one of them.
     */
    auto isDesignatedSender(std::uint32_t serverHash, std::size_t senders, Instant now) const
        -> bool;

    /**
     * Checks whether this node is the first coordinator of a key.
     * @param key Hash of what is coordinated.
     * @param now Current time.
     * @return Whether it is, as far as this node knows.
     */
    auto isCoordinator(std::uint32_t key, Instant now) const -> bool
    {
        return this->coordinators(key, 1, now).front() == this->self;
    }

    /**
     * Chooses coordinators by rendezvous hashing among the nodes that are ready and considered
     * alive, this one included.
     * @param key Hash of what they coordinate.
     * @param count Number of coordinators.
     * @param now Current time.
     * @return Their peer addresses, the highest ranked first.
     */
    auto coordinators(std::uint32_t key, std::size_t count, Instant now) const
        -> std::vector<std::string>;

    /**
     * Returns the nodes of this node's domain that are ranked below it for watching the store.
     * @param maxCount Maximum number of nodes, the highest ranked ones.
     * @param now Current time.
     * @return Their peer addresses.
     */
    auto watchSuccessors(std::size_t maxCount, Instant now) const -> std::vector<std::string>;

    /**
     * Chooses the targets of one gossip round. Every 500 ms these include the seeds and some known
     * nodes that are not alive.
     * @param fanOut Maximum number of nodes that are alive, and of those that are not.
     * @param distantCount How many of the first are in other domains, if there are as many.
     * @param random Random engine.
     * @param now Current time.
     * @return Peer addresses of the targets.
     */
    auto gossipTargets(std::size_t fanOut, std::size_t distantCount, std::mt19937_64 &random,
                       Instant now) -> std::vector<std::string>;

    /**
     * Draws a random sample of the statuses of other nodes, to be relayed.
     * @param maxCount Maximum number of statuses.
     * @param random Random engine.
     * @param now Current time.
     * @return Statuses with their ages.
     */
    auto sampleStatuses(std::size_t maxCount, std::mt19937_64 &random, Instant now) const
        -> std::vector<NodeStatus>;

    /**
     * Selects heartbeats to be relayed. Half of them are the newest, which reach all nodes fast;
     * the others are drawn at random, so that no node is left out for long.
     * @param maxCount Maximum number of heartbeats.
     * @param random Random engine.
     * @param now Current time.
     * @return Heartbeats of nodes that are alive.
     */
    auto selectHeartbeats(std::size_t maxCount, std::mt19937_64 &random, Instant now) const
        -> std::vector<MemberHeartbeat>;

    /**
     * Finds the statuses of other nodes.
     * @param addressHashes hashName of their peer addresses.
     * @param now Current time.
     * @return Statuses with their ages, of those that were heard of recently.
     */
    auto findStatuses(std::span<const std::uint32_t> addressHashes, Instant now) const
        -> std::vector<NodeStatus>;

    /**
     * Lists nodes that count as lost soon, as their heartbeats may have missed this node by chance.
     * @param now Current time.
     * @return hashName of their peer addresses.
     */
    auto doubtfulMembers(Instant now) const -> std::vector<std::uint32_t>;

    /**
     * Removes nodes that were not heard of within the retention time.
     * @param now Current time.
     */
    auto expire(Instant now) -> void;

    /** @return All nodes heard of within the retention time. */
    auto all() const -> const std::map<std::string, Member> &
    {
        return this->members;
    }

private:
    /** What follows from the members at one time, until it is out of date. */
    struct View
    {
        std::vector<const Member *> alive; ///< Nodes that are considered alive.
        std::vector<CoordinatorCandidate> candidates; ///< This node and those that are ready.
        Instant computedAt{};
        Instant validUntil{}; ///< The first of the nodes might count as lost from then on.
        bool outdated = true; ///< A node changed since.
        std::uint64_t generation = 0;
    };

    auto view(Instant now) const -> const View &;
    auto isDoubtful(const Member &member, Instant now) const -> bool
    {
        return now - member.issuedAt > this->aliveTimeout() / 2;
    }
    static auto statusOf(const Member &member, Instant now) -> NodeStatus;
    auto invalidateView() -> void
    {
        this->currentView.outdated = true;
        this->currentView.validUntil = Instant(0);
    }

    std::string self;
    std::string domain;
    std::vector<std::string> seeds;
    Instant startedAt;
    Instant nextSeedAt{};
    std::map<std::string, Member> members;
    std::unordered_map<std::uint32_t, Member *> membersByHash;
    mutable View currentView;
};

} // namespace banyanring::fleet
