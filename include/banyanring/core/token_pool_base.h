/** @file token_rights_base.h The organisations' rates and bursts, cut into parts held by nodes. */
#pragma once

#include "banyanring/core/config_type.h"
#include "banyanring/core/membership_base.h"
#include "banyanring/core/owner_map.h"
#include "banyanring/core/token_bucket.h"

#include <map>
#include <unordered_map>

namespace banyanring {

using PartitionId = std::uint64_t; ///< Organisation and number of a part; stays over configurations.

/** Tokens taken from one part or from one loan. */
struct TokenPortion
{
    PartitionId partition = 0; ///< The part; meaningful if loan is 0.
    std::uint64_t loanId = 0; ///< Number of the loan.
    double amount = 0;
    Instant validUntil = Never; ///< A borrowed piece may not be spent later.
};

/** All tokens that a request holds. */
struct TokenReservation
{
    std::vector<TokenPortion> portions;

    /** @return Sum of the pieces. */
    auto total() const -> double;
};

/** Keeps the parts that are naturally this node's, and the loans given out of them. */
class TokenPool
{
public:
    /**
     * @param nodeSettings Tunable values; must outlive this object.
     * @param self This node.
     */
    TokenPool(const NodeSettings &nodeSettings, NodeId self);

    /**
     * Takes a configuration: parts are added, removed and resized.
     * @param config The configuration.
     * @param list Revision of the VM list in force; 0 without one.
     * @param now The present.
     */
    auto applyConfig(const Config &config, Revision vmListRevision, Instant now) -> void;

    /**
     * Takes the nodes of a new VM list.
     * @param nodes Sorted live nodes.
     * @param list Its revision.
     * @param allMoved Whether every part must be begun anew (a revision was missed).
     */
    auto applyNodes(const std::vector<NodeId> &nodes, Revision vmListRevision, bool resetAll) -> void;

    /**
     * Begins newly held parts that have settled and ends loans whose time is over.
     * @param members Says which rights have settled.
     * @param now The present.
     */
    auto tick(const Membership &membership, Instant now) -> void;

    /**
     * Reserves as many of the wanted tokens as the local parts have.
     * @param organisation Whose tokens.
     * @param wanted Tokens.
     * @param members Says which rights may be used.
     * @param now The present.
     * @return The pieces; possibly less than wanted.
     */
    auto reserve(OrganisationId organisation, double requested, const Membership &membership, Instant now)
        -> TokenReservation;

    /**
     * Tells whether held tokens may be spent now.
     * @param hold The pieces.
     * @param members Says which rights may be used.
     * @param now The present.
     * @return Instant until which the spend may take effect; nothing if a piece may not be spent.
     */
    auto spendableUntil(const TokenReservation &reservation, const Membership &membership, Instant now) const
        -> std::optional<Instant>;

    /**
     * Spends held tokens.
     * @param hold The pieces; empty afterwards.
     */
    auto spend(TokenReservation &reservation) -> void;

    /**
     * Releases held tokens unspent; borrowed ones are kept for the organisation's next request.
     * @param organisation Whose tokens.
     * @param hold The pieces; empty afterwards.
     */
    auto release(OrganisationId organisation, TokenReservation &reservation) -> void;

    /**
     * Lends tokens to a peer.
     * @param from The peer.
     * @param ask Its message.
     * @param members Says which rights may be used.
     * @param now The present.
     * @return The loan, or a refusal with amount 0.
     */
    auto lend(NodeId from, const TokenLoanRequest &request, const Membership &membership, Instant now)
        -> TokenLoanReply;

    /**
     * Lists the holders of an organisation's parts.
     * @param organisation The organisation.
     * @return Distinct nodes in the order of the parts.
     */
    auto owners(OrganisationId organisation) const -> std::vector<NodeId>;

    /**
     * Estimates when tokens will be there.
     * @param organisation The organisation.
     * @param amount Tokens.
     * @return Time at the organisation's rate.
     */
    auto refillTime(OrganisationId organisation, double amount) const -> Duration;

    /** @return Number of parts held here. */
    auto ownedPartitions() const -> std::size_t
    {
        return this->partitions.size();
    }

private:
    /** An organisation's range of parts. */
    struct PartitionRange
    {
        std::size_t first = 0; ///< Index of the first part in partIds.
        std::size_t count = 0;
        double rate = 0;
        double burst = 0;
    };

    /** A part held here. */
    struct Partition
    {
        TokenBucket bucket;
        Revision ownedSince = 0; ///< List under which it came to this node.
        Instant activateAfter{}; ///< A part that a new configuration created waits until then.
        bool active = false; ///< Began, after its earlier holder's lapse.
    };

    /** A loan given to a peer. */
    struct GrantedLoan
    {
        OrganisationId organisation = 0;
        std::vector<std::pair<PartitionId, double>> portions; ///< Part and amount.
        double amount = 0;
        Instant expiresAt{};
    };

    auto reserveBorrowed(OrganisationId organisation, double requested, Instant now) -> TokenReservation;
    auto addPartition(PartitionId partition, Revision vmListRevision, Instant activateAfter) -> void;
    auto isUsable(const Partition &partition, std::optional<Revision> leaseRevision) const -> bool;
    auto limitsOf(PartitionId partition) const -> std::pair<double, double>;

    const NodeSettings &settings;
    NodeId self;
    std::unordered_map<OrganisationId, PartitionRange> partitionRanges;
    std::vector<PartitionId> partitionIds; ///< All parts of the fleet.
    OwnerMap ownerMap;
    std::vector<NodeId> nodes;
    std::map<PartitionId, Partition> partitions; ///< Parts held here.
    std::map<std::pair<NodeId, std::uint64_t>, GrantedLoan> grantedLoans;
    std::unordered_map<OrganisationId, std::vector<TokenPortion>> idleBorrowed; ///< Borrowed, not reserved.
};

} // namespace banyanring
