/** @file token_rights_base.h The organisations' rates and bursts, cut into parts held by nodes. */
#pragma once

#include "banyanring/core/config_type.h"
#include "banyanring/core/holder_map.h"
#include "banyanring/core/membership_base.h"
#include "banyanring/core/token_bucket.h"

#include <map>
#include <unordered_map>

namespace banyanring {

using PartId = std::uint64_t; ///< Organisation and number of a part; stays over configurations.

/** Tokens taken from one part or from one loan. */
struct TokenPiece
{
    PartId part = 0; ///< The part; meaningful if loan is 0.
    std::uint64_t loan = 0; ///< Number of the loan.
    double amount = 0;
    Instant until = Never; ///< A borrowed piece may not be spent later.
};

/** All tokens that a request holds. */
struct TokenHold
{
    std::vector<TokenPiece> pieces;

    /** @return Sum of the pieces. */
    auto total() const -> double;
};

/** Keeps the parts that are naturally this node's, and the loans given out of them. */
class TokenRights
{
public:
    /**
     * @param nodeSettings Tunable values; must outlive this object.
     * @param self This node.
     */
    TokenRights(const NodeSettings &nodeSettings, NodeId self);

    /**
     * Takes a configuration: parts are added, removed and resized.
     * @param config The configuration.
     * @param list Revision of the VM list in force; 0 without one.
     * @param now The present.
     */
    auto takeConfig(const Config &config, Revision list, Instant now) -> void;

    /**
     * Takes the nodes of a new VM list.
     * @param nodes Sorted live nodes.
     * @param list Its revision.
     * @param allMoved Whether every part must be begun anew (a revision was missed).
     */
    auto takeNodes(const std::vector<NodeId> &nodes, Revision list, bool allMoved) -> void;

    /**
     * Begins newly held parts that have settled and ends loans whose time is over.
     * @param members Says which rights have settled.
     * @param now The present.
     */
    auto tick(const Membership &members, Instant now) -> void;

    /**
     * Reserves as many of the wanted tokens as the local parts have.
     * @param organisation Whose tokens.
     * @param wanted Tokens.
     * @param members Says which rights may be used.
     * @param now The present.
     * @return The pieces; possibly less than wanted.
     */
    auto reserve(OrganisationId organisation, double wanted, const Membership &members, Instant now)
        -> TokenHold;

    /**
     * Tells whether held tokens may be spent now.
     * @param hold The pieces.
     * @param members Says which rights may be used.
     * @param now The present.
     * @return Instant until which the spend may take effect; nothing if a piece may not be spent.
     */
    auto spendableUntil(const TokenHold &hold, const Membership &members, Instant now) const
        -> std::optional<Instant>;

    /**
     * Spends held tokens.
     * @param hold The pieces; empty afterwards.
     */
    auto spend(TokenHold &hold) -> void;

    /**
     * Releases held tokens unspent; borrowed ones are kept for the organisation's next request.
     * @param organisation Whose tokens.
     * @param hold The pieces; empty afterwards.
     */
    auto release(OrganisationId organisation, TokenHold &hold) -> void;

    /**
     * Lends tokens to a peer.
     * @param from The peer.
     * @param ask Its message.
     * @param members Says which rights may be used.
     * @param now The present.
     * @return The loan, or a refusal with amount 0.
     */
    auto lend(NodeId from, const TokenLoanAsk &ask, const Membership &members, Instant now)
        -> TokenLoan;

    /**
     * Lists the holders of an organisation's parts.
     * @param organisation The organisation.
     * @return Distinct nodes in the order of the parts.
     */
    auto holders(OrganisationId organisation) const -> std::vector<NodeId>;

    /**
     * Estimates when tokens will be there.
     * @param organisation The organisation.
     * @param amount Tokens.
     * @return Time at the organisation's rate.
     */
    auto waitFor(OrganisationId organisation, double amount) const -> Duration;

    /** @return Number of parts held here. */
    auto heldParts() const -> std::size_t
    {
        return this->buckets.size();
    }

private:
    /** An organisation's range of parts. */
    struct Share
    {
        std::size_t first = 0; ///< Index of the first part in partIds.
        std::size_t count = 0;
        double rate = 0;
        double burst = 0;
    };

    /** A part held here. */
    struct Part
    {
        TokenBucket bucket;
        Revision heldSince = 0; ///< List under which it came to this node.
        Instant notBefore{}; ///< A part that a new configuration created waits until then.
        bool active = false; ///< Began, after its earlier holder's lapse.
    };

    /** A loan given to a peer. */
    struct Given
    {
        OrganisationId organisation = 0;
        std::vector<std::pair<PartId, double>> pieces; ///< Part and amount.
        double amount = 0;
        Instant until{};
    };

    auto reserveSpare(OrganisationId organisation, double wanted, Instant now) -> TokenHold;
    auto own(PartId part, Revision list, Instant notBefore) -> void;
    auto usable(const Part &part, std::optional<Revision> anchor) const -> bool;
    auto sizeOf(PartId part) const -> std::pair<double, double>;

    const NodeSettings &settings;
    NodeId self;
    std::unordered_map<OrganisationId, Share> shares;
    std::vector<PartId> partIds; ///< All parts of the fleet.
    HolderMap holderMap;
    std::vector<NodeId> nodes;
    std::map<PartId, Part> buckets; ///< Parts held here.
    std::map<std::pair<NodeId, std::uint64_t>, Given> given;
    std::unordered_map<OrganisationId, std::vector<TokenPiece>> spare; ///< Borrowed, not reserved.
};

} // namespace banyanring
