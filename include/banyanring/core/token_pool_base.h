/** @file token_pool_base.h Rate limits, divided into partitions owned by nodes. */
#pragma once

#include "banyanring/core/config_type.h"
#include "banyanring/core/membership_base.h"
#include "banyanring/core/owner_map.h"
#include "banyanring/core/token_bucket.h"

#include <map>
#include <unordered_map>

namespace banyanring {

using PartitionId = std::uint64_t; ///< Organisation and number; stable across configurations.

/** Reserved tokens from one partition or from one loan. */
struct TokenPortion
{
    PartitionId partition = 0; ///< The partition; valid if loanId is 0.
    std::uint64_t loanId = 0; ///< Loan id of borrowed tokens; 0 for tokens of an own partition.
    double amount = 0;
    Instant validUntil = Never; ///< Borrowed tokens must be spent before this.
};

/** All tokens reserved for a request. */
struct TokenReservation
{
    std::vector<TokenPortion> portions;

    /** @return Sum of the portions. */
    auto total() const -> double;
};

/** The rate limit partitions that this node owns, the loans granted from them and idle borrowed
 * tokens. */
class TokenPool
{
public:
    /**
     * @param nodeSettings Tunable values; must outlive this object.
     * @param self This node.
     */
    TokenPool(const NodeSettings &nodeSettings, NodeId self);

    /**
     * Applies a configuration: partitions are added, removed and resized.
     * @param config The configuration.
     * @param vmListRevision Revision of the VM list in force; 0 without one.
     * @param now Current time.
     */
    auto applyConfig(const Config &config, Revision vmListRevision, Instant now) -> void;

    /**
     * Applies the nodes of a new VM list.
     * @param nodes Sorted active nodes.
     * @param vmListRevision Its revision.
     * @param resetAll Whether to take over every partition again, as a revision was skipped.
     */
    auto applyNodes(const std::vector<NodeId> &nodes, Revision vmListRevision, bool resetAll)
        -> void;

    /**
     * Activates new partitions that may be taken over and ends expired loans.
     * @param membership Provides the takeover revision.
     * @param now Current time.
     */
    auto tick(const Membership &membership, Instant now) -> void;

    /**
     * Reserves as many of the requested tokens as idle loans and own partitions have.
     * @param organisation Organisation of the tokens.
     * @param requested Tokens requested.
     * @param membership Provides the lease revision.
     * @param now Current time.
     * @return The reservation; may be less than requested.
     */
    auto reserve(OrganisationId organisation, double requested, const Membership &membership,
                 Instant now) -> TokenReservation;

    /**
     * Checks whether reserved tokens may be spent now.
     * @param reservation The reservation.
     * @param membership Provides the lease revision.
     * @param now Current time.
     * @return Time until which they may be spent; nothing if any of them may not.
     */
    auto spendableUntil(const TokenReservation &reservation, const Membership &membership,
                        Instant now) const -> std::optional<Instant>;

    /**
     * Spends reserved tokens.
     * @param reservation The reservation; empty afterwards.
     */
    auto spend(TokenReservation &reservation) -> void;

    /**
     * Releases reserved tokens unspent; borrowed ones are kept for the organisation's next request.
     * @param organisation Organisation of the tokens.
     * @param reservation The reservation; empty afterwards.
     */
    auto release(OrganisationId organisation, TokenReservation &reservation) -> void;

    /**
     * Lends tokens to a peer.
     * @param from The peer.
     * @param request Its request.
     * @param membership Provides the lease revision.
     * @param now Current time.
     * @return The loan; amount 0 is a rejection.
     */
    auto lend(NodeId from, const TokenLoanRequest &request, const Membership &membership,
              Instant now) -> TokenLoanReply;

    /**
     * Returns the owners of an organisation's partitions.
     * @param organisation The organisation.
     * @return Distinct nodes in the order of the partitions.
     */
    auto owners(OrganisationId organisation) const -> std::vector<NodeId>;

    /**
     * Estimates the time in which tokens are refilled.
     * @param organisation The organisation.
     * @param amount Tokens.
     * @return Time at the organisation's full rate.
     */
    auto refillTime(OrganisationId organisation, double amount) const -> Duration;

    /** @return Number of partitions owned by this node. */
    auto ownedPartitions() const -> std::size_t
    {
        return this->partitions.size();
    }

private:
    /** Partitions of an organisation as a range of indices, and its limits. */
    struct PartitionRange
    {
        std::size_t first = 0; ///< Index of the first partition in partitionIds.
        std::size_t count = 0;
        double rate = 0;
        double burst = 0;
    };

    /** A partition owned by this node. */
    struct Partition
    {
        TokenBucket bucket;
        Revision ownedSince = 0; ///< VM list revision that transferred it to this node.
        Instant activateAfter{}; ///< A partition created by a new configuration waits until then.
        bool active = false; ///< Taken over, after the previous owner's lease expired.
    };

    /** A loan granted to a peer. */
    struct GrantedLoan
    {
        OrganisationId organisation = 0;
        std::vector<std::pair<PartitionId, double>> portions; ///< Partition and amount.
        double amount = 0;
        Instant expiresAt{};
    };

    auto reserveBorrowed(OrganisationId organisation, double requested, Instant now)
        -> TokenReservation;
    auto addPartition(PartitionId partition, Revision vmListRevision, Instant activateAfter)
        -> void;
    auto isUsable(const Partition &partition, std::optional<Revision> leaseRevision) const -> bool;
    auto limitsOf(PartitionId partition) const -> std::pair<double, double>;

    const NodeSettings &settings;
    NodeId self;
    std::unordered_map<OrganisationId, PartitionRange> partitionRanges;
    std::vector<PartitionId> partitionIds; ///< All partitions of the fleet.
    OwnerMap ownerMap;
    std::vector<NodeId> nodes;
    std::map<PartitionId, Partition> partitions; ///< Partitions owned by this node.
    std::map<std::pair<NodeId, std::uint64_t>, GrantedLoan> grantedLoans;
    std::unordered_map<OrganisationId, std::vector<TokenPortion>> idleBorrowed; ///< Not reserved.
};

} // namespace banyanring
