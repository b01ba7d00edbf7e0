/** @file soak.cpp Randomised soak test of the decision cores; prints each failing seed. */
#include "fake_fleet.h"

#include "banyanring/core/invariant_func.h"

#include <atomic>
#include <cxxopts.hpp>
#include <iostream>
#include <mutex>
#include <thread>

namespace {

using namespace banyanring;
using namespace banyanring::test;

/** @return Simulation settings derived from a seed. */
auto settingsFromSeed(std::uint64_t seed) -> SimulationSettings
{
    std::mt19937_64 random(seed * 7919);
    SimulationSettings settings;
    settings.seed = seed;
    constexpr std::array<int, 6> NodeCounts{3, 3, 5, 7, 9, 12};
    settings.nodeCount = NodeCounts.at(random() % NodeCounts.size());
    settings.requestsPerSecond = 10 + static_cast<double>(random() % 60);
    settings.slotsPerServer = static_cast<std::uint16_t>(4 + random() % 8);
    settings.lossRate = static_cast<double>(random() % 30) / 1000;
    settings.faultsPerMinute = 5 + static_cast<double>(random() % 50);
    settings.useReturnedAddresses = random() % 2 == 0;
    settings.queryOfDeath = random() % 2 == 0;
    settings.nodeSettings.queueCapacity = 10 + random() % 100;
    return settings;
}

/** Disables a mechanism, to show which invariants depend on it. */
auto disableMechanism(const std::string &mechanism, NodeSettings &node) -> void
{
    constexpr auto Unlimited = std::chrono::hours(1);
    if (mechanism == "warm-lease") {
        node.loadReportTtl = Unlimited;
    } else if (mechanism == "config-fence") {
        node.maxConfigStaleness = Unlimited;
    } else if (mechanism == "crash-acks") {
        node.crashAckTimeout = {};
        node.crashSuspectRetention = {};
    } else if (!mechanism.empty()) {
        throw std::invalid_argument("unknown mechanism: " + mechanism);
    }
}

/** Totals of all runs. */
struct Totals
{
    std::mutex mutex;
    std::map<std::string, int> eventTotals;
    std::uint64_t runs = 0;
    std::uint64_t dispatches = 0;
    std::uint64_t earlyColdDispatches = 0;
    std::uint64_t failedRuns = 0;
};

auto runSeed(std::uint64_t seed, Totals &totals, bool verbose, const std::string &disabledMechanism)
    -> void
{
    std::string error;
    auto settings = settingsFromSeed(seed);
    disableMechanism(disabledMechanism, settings.nodeSettings);
    FakeFleet fleet(settings);
    fleet.tracing = verbose;
    try {
        fleet.run();
    } catch (const std::exception &exception) {
        error = exception.what();
    }
    const std::scoped_lock lock(totals.mutex);
    ++totals.runs;
    totals.dispatches += fleet.invariants().dispatchCount;
    totals.earlyColdDispatches += fleet.invariants().earlyColdDispatches;
    for (const auto &[kind, count] : fleet.eventCounts.byKind) {
        totals.eventTotals[kind] += count;
    }
    if (!error.empty()) {
        ++totals.failedRuns;
        std::cout << "seed " << seed << " at "
                  << std::chrono::duration<double>(fleet.currentTime()).count() << " s: " << error
                  << "\n";
    } else if (verbose) {
        std::cout << "seed " << seed << " passed\n";
    }
}

} // namespace

auto main(int argc, char **argv) -> int
{
    cxxopts::Options options("core_soak", "Randomised runs of the decision cores");
    options.add_options()("seconds", "wall-clock time to run for",
                          cxxopts::value<int>()->default_value("0"))(
        "runs", "number of runs", cxxopts::value<std::uint64_t>()->default_value("0"))(
        "off", "mechanism to disable: warm-lease, config-fence or crash-acks",
        cxxopts::value<std::string>()->default_value(""))(
        "seed", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "threads", "threads", cxxopts::value<int>()->default_value("4"))(
        "verbose", "print the events and result of each run");
    const auto arguments = options.parse(argc, argv);
    const auto runLimit = arguments["runs"].as<std::uint64_t>();
    const auto endTime =
        std::chrono::steady_clock::now() + std::chrono::seconds(arguments["seconds"].as<int>());
    const auto firstSeed = arguments["seed"].as<std::uint64_t>();
    const bool verbose = arguments.count("verbose") > 0;
    const auto disabledMechanism = arguments["off"].as<std::string>();
    std::atomic<std::uint64_t> nextSeed = firstSeed;
    Totals totals;
    std::vector<std::thread> threads;
    for (int thread = 0; thread < arguments["threads"].as<int>(); ++thread) {
        threads.emplace_back([&] {
            while (true) {
                const auto seed = nextSeed++;
                const bool isFinished = runLimit > 0 ? seed - firstSeed >= runLimit
                                                     : std::chrono::steady_clock::now() >= endTime;
                if (isFinished) {
                    return;
                }
                runSeed(seed, totals, verbose, disabledMechanism);
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    std::cout << totals.runs << " runs, " << totals.dispatches << " dispatches, "
              << totals.failedRuns << " failed; " << totals.earlyColdDispatches
              << " dispatches above cold slots before the first sign of a restart\n";
    for (const auto &[kind, count] : totals.eventTotals) {
        std::cout << "  " << kind << ": " << count << "\n";
    }
    return totals.failedRuns == 0 ? 0 : 1;
}
