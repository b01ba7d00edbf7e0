/** @file limit_shares.h This node's shares of the fleet-wide limits. */
#pragma once

#include "banyanring/fleet/environment_type.h"
#include "banyanring/fleet/fleet_config_type.h"
#include "banyanring/fleet/peer_state_type.h"

#include <algorithm>
#include <array>
#include <deque>
#include <string_view>

namespace banyanring::fleet {

/** Counts events over a sliding window, in buckets. */
class WindowCounter
{
public:
    /** @param window Length of the window. */
    explicit WindowCounter(Duration window) : bucketLength(window / Buckets) {}

    /**
     * Adds to the present bucket.
     * @param amount What to add.
     * @param now The present.
     */
    auto add(double amount, Instant now) -> void;

    /**
     * Sums the window.
     * @param now The present.
     * @return The sum.
     */
    auto sum(Instant now) -> double;

    /**
     * Sums the newer half of the window.
     * @param now The present.
     * @return The sum.
     */
    auto recentSum(Instant now) -> double;

    /**
     * Tells when enough of the window has passed for some of its sum to fall out.
     * @param amount What has to fall out.
     * @param now The present.
     * @return Time from now; the whole window if it does not hold so much.
     */
    auto timeToShed(double amount, Instant now) -> Duration;

    /**
     * Spreads an amount evenly over the window that has passed.
     * @param amount What to add.
     * @param now The present.
     */
    auto spread(double amount, Instant now) -> void;

    /** Forgets everything. */
    auto clear() -> void
    {
        this->amounts.fill(0);
    }

private:
    static constexpr int Buckets = 20; ///< Granularity of a twentieth of the window.
    auto advance(Instant now) -> void;

    Duration bucketLength;
    std::array<double, Buckets + 1> amounts{}; ///< One more, so that the window is never short.
    std::int64_t newest = 0; ///< Number of the present bucket since the origin.
};

/** What was decided on a request's units, and on what. */
struct QuotaDecision
{
    bool admitted = true; ///< It is within the limit, and was counted.
    double spent = 0; ///< Units of the window by all nodes, as far as known.
    double usable = 0; ///< Units of a window that may be spent; 0 for no limit.
};

/**
 * Organisations' limits. Each node keeps an estimate of what the whole fleet has admitted in the
 * sliding window: its own admissions at once, its peers' by gossip. The nodes in contact share the
 * part of the limit that falls to them. Gossip is late, so the sum passes the limit by what is
 * admitted meanwhile; the tolerance of the limit covers that. A process that has just started has
 * forgotten what it admitted: it assumes a spent window until an older peer tells it the sum.
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
     * Draws what a peer has admitted since its last statement.
     * @param peer The peer's incarnation.
     * @param spends What it stated.
     * @param now The present.
     */
    auto takePeer(std::uint64_t peer, const std::vector<SpendStatement> &spends, Instant now)
        -> void;

    /**
     * Forgets peers that are long silent.
     * @param now The present.
     */
    auto expire(Instant now) -> void;

    /**
     * Lists what this node has admitted of each organisation.
     * @param now The present.
     * @return What peers are to be told.
     */
    auto ownSpends(Instant now) -> std::vector<SpendStatement>;

private:
    /** What was admitted of one organisation. */
    struct Account
    {
        WindowCounter own; ///< By this node.
        WindowCounter before; ///< By anyone before this process started: assumed, or told.
        bool beforeTold = false; ///< A peer has told it.
        WindowCounter asked; ///< Asked for at this node of late, admitted or not.
        double ownTotal = 0; ///< By this node since its start.
        double limit = 0; ///< Limit of a window, without tolerance.
    };

    auto account(std::uint32_t organisation) -> Account &;
    auto windowLimit(const OrganisationRule &organisation) const -> double;
    auto usableLimit(const OrganisationRule &organisation, Account &held, double part,
                     Instant now) const -> double;

    FleetBounds bounds;
    Instant startedAt;
    std::unordered_map<std::uint32_t, Account> accounts;
    /** What a peer said of one organisation. */
    struct PeerSpend
    {
        WindowCounter window; ///< Admitted there, since it was first heard of.
        double total = 0; ///< Units since its start.
        double askedPerSecond = 0; ///< Units asked for there.
        Instant at{}; ///< When it was heard last.
    };

    /** What all nodes have admitted, as far as it counts against this node's part. */
    struct Sums
    {
        double window = 0; ///< In the whole window.
        double recent = 0; ///< In the newer half of it.
    };

    auto sums(std::uint32_t organisation, Account &held, double part, Instant now) -> Sums;
    auto askedSeconds(Instant now) const -> double;
    auto forgetPeers(std::uint32_t organisation) -> void;
    auto demand(std::uint32_t organisation, Account &held, Instant now) const -> double;

    /** By organisation and the peer's incarnation. */
    std::map<std::pair<std::uint32_t, std::uint64_t>, PeerSpend> peerSpends;
};

/** The share of repeats of one node, for each service. */
class RetryShare
{
public:
    /** @param fleetBounds Bounds of the fleet. */
    explicit RetryShare(const FleetBounds &fleetBounds) : bounds(fleetBounds) {}

    /**
     * Counts a request's first dispatch.
     * @param service Its service.
     * @param now The present.
     */
    auto noteRequest(const std::string &service, Instant now) -> void;

    /**
     * Takes one repeat out of the share.
     * @param service Its service.
     * @param fleetSize Nodes that share the bound.
     * @param now The present.
     * @return Whether the share allows it.
     */
    auto take(const std::string &service, std::size_t fleetSize, Instant now) -> bool;

private:
    /** Counters of a service. */
    struct Counters
    {
        WindowCounter requests;
        WindowCounter repeats;
    };

    auto counters(const std::string &service) -> Counters &;

    FleetBounds bounds;
    std::unordered_map<std::string, Counters> services;
};

/** The share of requests to cold servers of one node. */
class ColdShare
{
public:
    /** @param fleetBounds Bounds of the fleet. */
    explicit ColdShare(const FleetBounds &fleetBounds) : bounds(fleetBounds) {}

    /**
     * Gives the number of nodes that may send to one cold server.
     * @param service The server's service.
     * @param fleetSize Nodes of the fleet.
     * @return The number, at least one.
     */
    auto owners(const ServiceRule &service, std::size_t fleetSize) const -> std::size_t;

    /**
     * Tells whether an owner may send one more request to a cold server.
     * @param server Number of the server.
     * @param service Its service.
     * @param fleetSize Nodes of the fleet.
     * @param now The present.
     * @return Whether it may.
     */
    auto allows(std::uint32_t server, const ServiceRule &service, std::size_t fleetSize,
                Instant now) -> bool;

    /**
     * Counts a request to a cold server.
     * @param server Number of the server.
     * @param now The present.
     */
    auto note(std::uint32_t server, Instant now) -> void;

private:
    auto total(const ServiceRule &service) const -> double;

    FleetBounds bounds;
    std::unordered_map<std::uint32_t, std::deque<Instant>> sent;
};

} // namespace banyanring::fleet
