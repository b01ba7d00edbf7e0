/**
 * @file quota_limiter.h Rate limits of organisations over the whole fleet, as enforced by this node.
 */
#pragma once

#include "banyanring/fleet/process_settings_type.h"
#include "banyanring/fleet/fleet_config_type.h"
#include "banyanring/fleet/peer_state_type.h"
#include "banyanring/fleet/sliding_window_counter.h"

#include <map>
#include <set>
#include <string_view>
#include <unordered_map>

namespace banyanring::fleet {

/** Decision on the units of a request, with the values that it is based on. */
struct QuotaDecision
{
    bool admitted = true; ///< The request is within the limit, and its units were counted.
    double spent = 0; ///< Units of the window used by all nodes, as far as known.
    double usable = 0; ///< Units of a window that may be used; 0 for no limit.
    Duration toldAge{}; ///< Age of the newest total from a coordinator; -1 us if there is none.
};

/**
 * Enforces the organisations' rate limits. Each node counts what it admits itself. Two nodes
 * coordinate the quota of an organisation: the others report to them, and query them before a
 * request that might exceed the limit. Without a reply, a node uses the totals and gossip that it
 * last received, and leaves as much of the tolerance unused as may have been admitted elsewhere
 * since. In a partition, the nodes that reach each other share the fraction of the limit that
 * corresponds to their number. A node that has just started does not know what it admitted before:
 * it assumes that most of the window is used, until a coordinator or a peer that has run longer
 * reports the usage.
 */
class QuotaLedger
{
public:
    /**
     * @param fleetBounds Fleet-wide bounds.
     * @param now Start of the process.
     */
    QuotaLedger(const FleetBounds &fleetBounds, Instant now) : bounds(fleetBounds), startedAt(now)
    {
    }

    /**
     * Decides on a request and counts its units if it is admitted.
     * @param organisation Organisation of the request.
     * @param units Units of the request.
     * @param part Fraction of the fleet that is reachable, 0 to 1.
     * @param now Current time.
     * @return The decision.
     */
    auto admit(const OrganisationRule &organisation, double units, double part, Instant now)
        -> QuotaDecision;

    /**
     * Checks whether a request might exceed the limit, so that a coordinator should be queried
     * first.
     * @param organisation Organisation of the request.
     * @param units Units of the request.
     * @param part Fraction of the fleet that is reachable, 0 to 1.
     * @param now Current time.
     * @return Whether less is left than the expected demand, or no recent total is known.
     */
    auto nearLimit(const OrganisationRule &organisation, double units, double part, Instant now)
        -> bool;

    /**
     * Refunds the units of a request that did not run.
     * @param organisation Name of its organisation.
     * @param units Units of the request.
     * @param now Current time.
     */
    auto giveBack(std::string_view organisation, double units, Instant now) -> void;

    /**
     * Estimates when a rejected request of an organisation can be admitted.
     * @param organisation The organisation.
     * @param units Units of the request.
     * @param now Current time.
     * @return Time from now, at least 200 ms.
     */
    auto retryAfter(const OrganisationRule &organisation, double units, Instant now) -> Duration;

    /**
     * Updates the limit of an organisation that has already sent requests. A lower limit starts a
     * new window, because usage under the higher limit was allowed.
     * @param organisation The organisation with the limit in force.
     */
    auto noteLimit(const OrganisationRule &organisation) -> void;

    /**
     * Merges a peer's usage since its last report.
     * @param peer Incarnation of the peer.
     * @param spends Usage that it reported.
     * @param now Current time.
     */
    auto takePeer(std::uint64_t peer, const std::vector<SpendStatement> &spends, Instant now)
        -> void;

    /**
     * Takes a total from a coordinator of an organisation's quota.
     * @param keeper Hash of the coordinator's address.
     * @param total Admitted by all nodes except this one.
     * @param now Current time.
     */
    auto takeTotal(std::uint32_t keeper, const SpendTotal &total, Instant now) -> void;

    /**
     * Sums the usage of an organisation for a peer.
     * @param organisation hashName of the organisation.
     * @param asker Incarnation of the peer, whose own usage is left out.
     * @param part Fraction of the fleet that is reachable, 0 to 1.
     * @param now Current time.
     * @return Admitted by all nodes except the peer.
     */
    auto totalFor(std::uint32_t organisation, std::uint64_t asker, double part, Instant now)
        -> SpendTotal;

    /**
     * Sets which peers are alive. In a partition, the others use their own fraction of the limits.
     * @param incarnations Incarnations of the peers that are considered alive.
     * @param lag Time within which gossip of each of them arrives.
     */
    auto noteContact(std::set<std::uint64_t> incarnations, Duration lag) -> void;

    /**
     * Removes peers that have not reported for 60 s.
     * @param now Current time.
     */
    auto expire(Instant now) -> void;

    /**
     * Reports this node's usage of one organisation.
     * @param organisation hashName of the organisation.
     * @param pending Units of requests that wait for a total.
     * @param now Current time.
     * @return The report.
     */
    auto ownSpend(std::uint32_t organisation, double pending, Instant now) -> SpendStatement;

    /**
     * Reports this node's usage of each organisation with usage or demand.
     * @param now Current time.
     * @return Reports for the peers.
     */
    auto ownSpends(Instant now) -> std::vector<SpendStatement>;

private:
    /** A total received from a coordinator. */
    struct Told
    {
        SpendTotal total;
        Instant at{};
    };

    /** Usage of one organisation. */
    struct Account
    {
        WindowCounter own; ///< Admitted by this node.
        WindowCounter before; ///< Admitted by any node before this process started: assumed, or
                              ///< reported by a peer.
        WindowCounter asked; ///< Recent demand at this node, admitted or not.
        bool beforeTold = false; ///< A peer has reported the usage before the start.
        double ownTotal = 0; ///< Admitted by this node since its start.
        double limit = 0; ///< Limit of a window in units, without tolerance.
        std::map<std::uint32_t, Told> told; ///< By coordinator.
    };

    /** A peer's usage of one organisation. */
    struct PeerSpend
    {
        WindowCounter window; ///< Admitted by the peer.
        double total = 0; ///< Units since its start.
        double askedPerSecond = 0; ///< Demand at the peer.
        double pending = 0; ///< Units of its requests that wait for a total.
        Instant at{}; ///< Time of its last report.
    };

    /** Usage by all nodes that counts against this node's fraction of the limit. */
    struct Sums
    {
        double window = 0; ///< In the whole window.
        double recent = 0; ///< In the newer half of the window.
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
    Duration gossipLag =
        std::chrono::milliseconds(500); ///< Default until the size of the fleet is known.
    std::set<std::uint64_t> contact; ///< Incarnations of the peers that are alive.
    std::unordered_map<std::uint32_t, Account> accounts;
    /** By organisation, then by incarnation of the peer. */
    std::unordered_map<std::uint32_t, std::map<std::uint64_t, PeerSpend>> peerSpends;
};

} // namespace banyanring::fleet
