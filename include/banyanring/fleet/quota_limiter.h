/**
 * @file quota_limiter.h Rate limits of organisations over the whole fleet, as enforced by this
 * node.
 */
#pragma once

#include "banyanring/fleet/fleet_config_type.h"
#include "banyanring/fleet/limit_history.h"
#include "banyanring/fleet/peer_state_type.h"
#include "banyanring/fleet/process_settings_type.h"
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
    double usedUnits = 0; ///< Units of the window used by all nodes, as far as known.
    double usableUnits = 0; ///< Units of a window that may be used; 0 for no limit.
    Duration totalAge{}; ///< Age of the newest total from a coordinator; -1 us if there is none.
};

/**
 * Enforces the organisations' rate limits. Each node counts what it admits itself. Two nodes
 * coordinate the quota of an organisation: the others report to them, and query them before a
 * request that might exceed the limit. Without a reply, a node uses the totals and gossip that it
 * last received, and leaves as much of the tolerance unused as may have been admitted elsewhere
 * since. In a partition, the nodes that reach each other share the fraction of the limit that
 * corresponds to their number. A node that has just started has no record of its earlier
 * admissions, so it assumes that most of the window is used, until a coordinator or a peer that has
 * run longer reports the usage.
 */
class QuotaLimiter
{
public:
    /**
     * @param fleetBounds Fleet-wide bounds.
     * @param now Start of the process.
     */
    QuotaLimiter(const FleetBounds &fleetBounds, Instant now) : bounds(fleetBounds), startedAt(now)
    {
    }

    /**
     * Decides on a request and counts its units if it is admitted.
     * @param organisation Organisation of the request.
     * @param units Units of the request.
     * @param reachableFraction Fraction of the fleet that is reachable, 0 to 1.
     * @param now Current time.
     * @return The decision.
     */
    auto admit(const OrganisationConfig &organisation, double units, double reachableFraction,
               Instant now) -> QuotaDecision;

    /**
     * Checks whether a request might exceed the limit, so that a coordinator should be queried
     * first.
     * @param organisation Organisation of the request.
     * @param units Units of the request.
     * @param reachableFraction Fraction of the fleet that is reachable, 0 to 1.
     * @param now Current time.
     * @return Whether less is left than the expected demand, or no recent total is known.
     */
    auto nearLimit(const OrganisationConfig &organisation, double units, double reachableFraction,
                   Instant now) -> bool;

    /**
     * Refunds the units of a request that did not run.
     * @param organisation Name of its organisation.
     * @param units Units of the request.
     * @param now Current time.
     */
    auto refund(std::string_view organisation, double units, Instant now) -> void;

    /**
     * Estimates when a rejected request of an organisation can be admitted.
     * @param organisation The organisation.
     * @param units Units of the request.
     * @param now Current time.
     * @return Time from now, at least 200 ms.
     */
    auto retryAfter(const OrganisationConfig &organisation, double units, Instant now) -> Duration;

    /**
     * Updates the limit of an organisation that has already sent requests. What was used stays
     * used; a lower limit takes effect as the window moves past the change. A first limit, or one
     * in another unit, starts a new window.
     * @param organisation The organisation with the limit in force.
     * @param now Current time.
     */
    auto updateLimit(const OrganisationConfig &organisation, Instant now) -> void;

    /**
     * Merges a peer's usage since its last report.
     * @param peer Incarnation of the peer.
     * @param peerReports Usage that it reported.
     * @param now Current time.
     */
    auto mergePeerUsage(std::uint64_t peer, const std::vector<OrganisationUsage> &peerReports,
                        Instant now) -> void;

    /**
     * Stores a total from a coordinator of an organisation's quota.
     * @param coordinator Hash of the coordinator's address.
     * @param total Admitted by all nodes except this one.
     * @param now Current time.
     */
    auto setTotal(std::uint32_t coordinator, const UsageTotal &total, Instant now) -> void;

    /**
     * Sums the usage of an organisation for a peer.
     * @param organisation hashName of the organisation.
     * @param peer Incarnation of the peer, whose own usage is left out.
     * @param reachableFraction Fraction of the fleet that is reachable, 0 to 1.
     * @param now Current time.
     * @return Admitted by all nodes except the peer.
     */
    auto totalExcept(std::uint32_t organisation, std::uint64_t peer, double reachableFraction,
                     Instant now) -> UsageTotal;

    /**
     * Sets which peers are alive. In a partition, the others use their own fraction of the limits.
     * @param incarnations Incarnations of the peers that are considered alive.
     * @param delay Time within which gossip of each of them arrives.
     */
    auto setAlivePeers(std::set<std::uint64_t> incarnations, Duration delay) -> void;

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
    auto ownUsage(std::uint32_t organisation, double pending, Instant now) -> OrganisationUsage;

    /**
     * Reports this node's usage of each organisation with usage or demand.
     * @param now Current time.
     * @return Reports for the peers.
     */
    auto ownUsages(Instant now) -> std::vector<OrganisationUsage>;

private:
    /** A total received from a coordinator. */
    struct ReceivedTotal
    {
        UsageTotal total;
        Instant receivedAt{};
    };

    /** Usage of one organisation. */
    struct Usage
    {
        Usage(Duration window, Duration demandWindow)
            : own(window), beforeStart(window), demand(demandWindow), limits(window)
        {
        }

        SlidingWindowCounter own; ///< Admitted by this node.
        /** Admitted by any node before this process started: assumed, or reported by a peer. */
        SlidingWindowCounter beforeStart;
        SlidingWindowCounter demand; ///< Recent demand at this node, admitted or not.
        bool beforeStartReported = false; ///< A peer has reported the usage before the start.
        double ownTotalUnits = 0; ///< Admitted by this node since its start.
        bool wasUnlimited = false; ///< No limit was in force at its last request.
        bool countsTokens = false; ///< Unit of the limit, as opposed to requests.
        LimitHistory limits; ///< Limits of a window, without tolerance.
        std::map<std::uint32_t, ReceivedTotal> totals; ///< By coordinator.
    };

    /** A peer's usage of one organisation. */
    struct PeerUsage
    {
        SlidingWindowCounter window; ///< Admitted by the peer.
        double totalUnits = 0; ///< Units since its start.
        double demandPerSecond = 0; ///< Demand at the peer.
        double pendingUnits = 0; ///< Units of its requests that wait for a total.
        Instant reportedAt{}; ///< Time of its last report.
    };

    auto usageOf(std::uint32_t organisation) -> Usage &;
    auto startNewWindow(std::uint32_t organisation, Usage &usage) -> void;
    auto recentlyStarted(Instant now) const -> bool
    {
        return now - this->startedAt < this->bounds.quotaWindow;
    }
    auto windowLimit(const OrganisationConfig &organisation) const -> double;
    auto usableLimit(const OrganisationConfig &organisation, double limit, Usage &usage,
                     double reachableFraction, Instant now) const -> double;
    auto totalAge(const Usage &usage, Instant now) const -> std::optional<Duration>;
    auto peerUsage(std::uint32_t organisation, std::uint64_t except, double reachableFraction,
                   Instant now) -> UsageSums;
    auto fleetUsage(std::uint32_t organisation, Usage &usage, double reachableFraction, Instant now)
        -> UsageSums;
    auto demandSeconds(Instant now) const -> double;
    auto peerDemand(std::uint32_t organisation, std::uint64_t except, Instant now) const -> double;
    auto demand(std::uint32_t organisation, Usage &usage, Instant now) const -> double;

    FleetBounds bounds;
    Instant startedAt;
    /** Time within which gossip of each peer arrives; this value until the fleet size is known. */
    Duration propagationDelay = std::chrono::milliseconds(500);
    double lastReachableFraction = 1; ///< At the last request.
    std::set<std::uint64_t> alivePeers; ///< Incarnations of the peers that are alive.
    std::unordered_map<std::uint32_t, Usage> usages;
    /** By organisation, then by incarnation of the peer. */
    std::unordered_map<std::uint32_t, std::map<std::uint64_t, PeerUsage>> peerUsages;
};

} // namespace banyanring::fleet
