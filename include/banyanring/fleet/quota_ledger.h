/** @file quota_ledger.h What the fleet has admitted of each organisation, as this node knows it. */
#pragma once

#include "banyanring/fleet/environment_type.h"
#include "banyanring/fleet/fleet_config_type.h"
#include "banyanring/fleet/peer_state_type.h"
#include "banyanring/fleet/window_counter.h"

#include <map>
#include <set>
#include <string_view>
#include <unordered_map>

namespace banyanring::fleet {

/** What was decided on a request's units, and on what. */
struct QuotaDecision
{
    bool admitted = true; ///< It is within the limit, and was counted.
    double spent = 0; ///< Units of the window by all nodes, as far as known.
    double usable = 0; ///< Units of a window that may be spent; 0 for no limit.
    Duration toldAge{}; ///< Age of the newest total that a keeper told; -1 us if there is none.
};

/**
 * Organisations' limits. Each node knows what it has admitted itself. Two nodes keep an
 * organisation's account for all: the others report to them and ask them before a request that
 * might pass the limit. Without an answer a node goes by what it has heard last, by gossip too,
 * and leaves so much of the tolerance unused as may have been admitted meanwhile. The nodes in
 * contact share the part of the limit that falls to them. A process that has just started has
 * forgotten what it admitted: it assumes a spent window until a keeper or an older peer tells it.
 */
class QuotaLedger
{
public:
    /**
     * @param fleetBounds Bounds of the fleet.
     * @param now Start of the process.
     */
    QuotaLedger(const FleetBounds &fleetBounds, Instant now) : bounds(fleetBounds), startedAt(now)
    {
    }

    /**
     * Counts a request's units.
     * @param organisation Its organisation.
     * @param units Its units.
     * @param part Part of the fleet that is in contact.
     * @param now The present.
     * @return The decision; nothing is counted unless it is admitted.
     */
    auto admit(const OrganisationRule &organisation, double units, double part, Instant now)
        -> QuotaDecision;

    /**
     * Tells whether a request might pass the limit, so that a keeper should be asked first.
     * @param organisation Its organisation.
     * @param units Its units.
     * @param part Part of the fleet that is in contact.
     * @param now The present.
     * @return Whether less is left than may be admitted elsewhere meanwhile.
     */
    auto nearLimit(const OrganisationRule &organisation, double units, double part, Instant now)
        -> bool;

    /**
     * Gives back what a request that did not run was counted with.
     * @param organisation Its organisation.
     * @param units Its units.
     * @param now The present.
     */
    auto giveBack(std::string_view organisation, double units, Instant now) -> void;

    /**
     * Tells when an organisation that was refused can be admitted again.
     * @param organisation The organisation.
     * @param units Units of the request.
     * @param now The present.
     * @return Time from now.
     */
    auto retryAfter(const OrganisationRule &organisation, double units, Instant now) -> Duration;

    /**
     * Notes the limit in force of an organisation that has an account. What was admitted under a
     * higher one was allowed.
     * @param organisation The organisation.
     */
    auto noteLimit(const OrganisationRule &organisation) -> void;

    /**
     * Draws what a peer has admitted since its last statement.
     * @param peer The peer's incarnation.
     * @param spends What it stated.
     * @param now The present.
     */
    auto takePeer(std::uint64_t peer, const std::vector<SpendStatement> &spends, Instant now)
        -> void;

    /**
     * Takes a total from a node that keeps an organisation's account.
     * @param keeper Hash of the keeper's address.
     * @param total What all but this node have admitted.
     * @param now The present.
     */
    auto takeTotal(std::uint32_t keeper, const SpendTotal &total, Instant now) -> void;

    /**
     * Sums an organisation's account for a peer.
     * @param organisation hashName of the organisation.
     * @param asker Incarnation of the peer, which adds its own admissions itself.
     * @param part Part of the fleet that is in contact.
     * @param now The present.
     * @return What all others have admitted.
     */
    auto totalFor(std::uint32_t organisation, std::uint64_t asker, double part, Instant now)
        -> SpendTotal;

    /**
     * Notes which peers are in contact. The others keep to their own part of the limits.
     * @param incarnations Peers that count as alive.
     * @param lag Time in which gossip of any of them is heard.
     */
    auto noteContact(std::set<std::uint64_t> incarnations, Duration lag) -> void;

    /**
     * Forgets peers that are long silent.
     * @param now The present.
     */
    auto expire(Instant now) -> void;

    /**
     * States what this node has admitted of one organisation.
     * @param organisation hashName of the organisation.
     * @param pending Units of requests that it asks about.
     * @param now The present.
     * @return The statement.
     */
    auto ownSpend(std::uint32_t organisation, double pending, Instant now) -> SpendStatement;

    /**
     * Lists what this node has admitted of each organisation.
     * @param now The present.
     * @return What peers are to be told.
     */
    auto ownSpends(Instant now) -> std::vector<SpendStatement>;

private:
    /** What a keeper told. */
    struct Told
    {
        SpendTotal total;
        Instant at{};
    };

    /** What was admitted of one organisation. */
    struct Account
    {
        WindowCounter own; ///< By this node.
        WindowCounter before; ///< By anyone before this process started: assumed, or told.
        WindowCounter asked; ///< Asked for at this node of late, admitted or not.
        bool beforeTold = false; ///< A peer has told what was admitted before.
        double ownTotal = 0; ///< By this node since its start.
        double limit = 0; ///< Limit of a window, without tolerance.
        std::map<std::uint32_t, Told> told; ///< By keeper.
    };

    /** What a peer said of one organisation. */
    struct PeerSpend
    {
        WindowCounter window; ///< Admitted there.
        double total = 0; ///< Units since its start.
        double askedPerSecond = 0; ///< Units asked for there.
        double pending = 0; ///< Units that it asked about.
        Instant at{}; ///< When it was heard last.
    };

    /** What all nodes have admitted, as far as it counts against this node's part. */
    struct Sums
    {
        double window = 0; ///< In the whole window.
        double recent = 0; ///< In the newer half of it.
    };

    auto account(std::uint32_t organisation) -> Account &;
    auto young(Instant now) const -> bool
    {
        return now - this->startedAt < this->bounds.quotaWindow;
    }
    auto windowLimit(const OrganisationRule &organisation) const -> double;
    auto usableLimit(const OrganisationRule &organisation, Account &held, double part,
                     Instant now) const -> double;
    auto toldAge(const Account &held, Instant now) const -> std::optional<Duration>;
    auto heard(std::uint32_t organisation, std::uint64_t except, double part, Instant now) -> Sums;
    auto sums(std::uint32_t organisation, Account &held, double part, Instant now) -> Sums;
    auto askedSeconds(Instant now) const -> double;
    auto peersDemand(std::uint32_t organisation, std::uint64_t except, Instant now) const -> double;
    auto demand(std::uint32_t organisation, Account &held, Instant now) const -> double;

    FleetBounds bounds;
    Instant startedAt;
    Duration gossipLag = std::chrono::milliseconds(500); ///< Until the fleet's size is known.
    std::set<std::uint64_t> contact; ///< Incarnations of the peers in contact.
    std::unordered_map<std::uint32_t, Account> accounts;
    /** By organisation, then by the peer's incarnation. */
    std::unordered_map<std::uint32_t, std::map<std::uint64_t, PeerSpend>> peerSpends;
};

} // namespace banyanring::fleet
