/** @file limit_shares.h This node's shares of the bounds on repeats and cold servers. */
#pragma once

#include "banyanring/fleet/environment_type.h"
#include "banyanring/fleet/fleet_config_type.h"
#include "banyanring/fleet/window_counter.h"

#include <deque>
#include <string>
#include <unordered_map>

namespace banyanring::fleet {

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
