/** @file baseline.h Baseline policies of the benchmark: entry VMs without coordination. */
#pragma once

#include "fake_fleet.h"

namespace banyanring::test {

/** Load balancing policy of a baseline. */
enum class LoadBalancingPolicy { RoundRobin, LeastOutstanding, TwoChoices };

/** Backend server of a baseline. */
struct BaselineServer
{
    std::size_t slotCount = 0;
    double tokensPerSecond = 0;
    int domain = 0;
};

/** Settings of a baseline run. */
struct BaselineSettings
{
    std::uint64_t seed = 1;
    int nodeCount = 0;
    LoadBalancingPolicy policy = LoadBalancingPolicy::RoundRobin;
    std::vector<BaselineServer> servers;
    /** Rate (tokens per second) and burst (tokens) by organisation. */
    std::map<std::string, std::pair<double, double>> rateLimits;
    Duration loadReportAge = std::chrono::seconds(1); ///< Age of the load reports.
    Instant outageStart = Never;
    Instant outageEnd = Never;
};

/**
 * Runs a workload without priority tiers; each organisation's rate is split evenly over the VMs.
 * @param settings Settings of the run.
 * @param arrivals The workload.
 * @return Outcome of each arrival, in the same order.
 */
auto runBaseline(const BaselineSettings &settings, const std::vector<Arrival> &arrivals)
    -> std::vector<ArrivalResult>;

} // namespace banyanring::test
