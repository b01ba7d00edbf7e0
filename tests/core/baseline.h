/** @file baseline.h Baselines for the policy measures: entry VMs that act alone. */
#pragma once

#include "fake_fleet.h"

namespace banyanring::test {

/** How a baseline chooses a backend server. */
enum class Choice { RoundRobin, LeastOutstanding, TwoChoices };

/** A backend server of a baseline. */
struct BaselineServer
{
    std::size_t slots = 0;
    double speed = 0; ///< Tokens a second.
    int domain = 0;
};

/** One baseline run. */
struct BaselineSettings
{
    std::uint64_t seed = 1;
    int nodes = 0;
    Choice choice = Choice::RoundRobin;
    std::vector<BaselineServer> servers;
    std::map<std::string, std::pair<double, double>> limits; ///< Rate and burst by organisation.
    Duration reportAge = std::chrono::seconds(1); ///< Age of the load reports.
    Instant domainOutAt = Never;
    Instant domainBackAt = Never;
};

/**
 * Runs a workload without tiers, with each organisation's rate split evenly over the VMs.
 * @param settings The run.
 * @param arrivals The workload.
 * @return What became of each arrival.
 */
auto runBaseline(const BaselineSettings &settings, const std::vector<Arrival> &arrivals)
    -> std::vector<Result>;

} // namespace banyanring::test
