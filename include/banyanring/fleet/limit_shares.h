/**
 * @file limit_shares.h This node's shares of the fleet-wide bounds on retries and on requests to
 * cold servers.
 */
#pragma once

#include "banyanring/fleet/fleet_config_type.h"
#include "banyanring/fleet/process_settings_type.h"
#include "banyanring/fleet/sliding_window_counter.h"

#include <deque>
#include <string>
#include <unordered_map>

namespace banyanring::fleet {

/** This node's share of the fleet-wide retry budget, for each service. */
class RetryBudget
{
public:
    /** @param fleetBounds Fleet-wide bounds. */
    explicit RetryBudget(const FleetBounds &fleetBounds) : bounds(fleetBounds) {}

    /**
     * Counts the first dispatch of a request.
     * @param service Name of its service.
     * @param now Current time.
     */
    auto recordRequest(const std::string &service, Instant now) -> void;

    /**
     * Takes one retry from the budget.
     * @param service Name of the service.
     * @param fleetSize Number of nodes that share the bound.
     * @param now Current time.
     * @return Whether the budget allows the retry.
     */
    auto tryTake(const std::string &service, std::size_t fleetSize, Instant now) -> bool;

private:
    /** Counters of one service. */
    struct Counters
    {
        SlidingWindowCounter requests;
        SlidingWindowCounter retries;
    };

    auto counters(const std::string &service) -> Counters &;

    FleetBounds bounds;
    std::unordered_map<std::string, Counters> services;
};

/** This node's share of the fleet-wide limit on requests to cold servers. */
class ColdServerLimiter
{
public:
    /** @param fleetBounds Fleet-wide bounds. */
    explicit ColdServerLimiter(const FleetBounds &fleetBounds) : bounds(fleetBounds) {}

    /**
     * Returns the number of nodes that may send requests to one cold server.
     * @param service Service of the server.
     * @param fleetSize Number of nodes of the fleet.
     * @return Number of nodes, at least one.
     */
    auto senderCount(const ServiceConfig &service, std::size_t fleetSize) const -> std::size_t;

    /**
     * Checks whether one of these nodes may send another request to a cold server.
     * @param serverHash Hash of the server.
     * @param service Service of the server.
     * @param fleetSize Number of nodes of the fleet.
     * @param now Current time.
     * @return Whether it may.
     */
    auto allows(std::uint32_t serverHash, const ServiceConfig &service, std::size_t fleetSize,
                Instant now) -> bool;

    /**
     * Counts a request to a cold server.
     * @param serverHash Hash of the server.
     * @param now Current time.
     */
    auto recordRequest(std::uint32_t serverHash, Instant now) -> void;

private:
    auto fleetRate(const ServiceConfig &service) const -> double;

    FleetBounds bounds;
    std::unordered_map<std::uint32_t, std::deque<Instant>> sendTimes;
};

} // namespace banyanring::fleet
