/** @file soak.cpp Long randomised runs of the decision cores; prints each failing seed. */
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

/** @return Settings that follow from a seed. */
auto settingsFor(std::uint64_t seed) -> RunSettings
{
    std::mt19937_64 random(seed * 7919);
    RunSettings settings;
    settings.seed = seed;
    constexpr std::array<int, 6> Sizes{3, 3, 5, 7, 9, 12};
    settings.nodes = Sizes.at(random() % Sizes.size());
    settings.requestsPerSecond = 10 + static_cast<double>(random() % 60);
    settings.slots = static_cast<std::uint16_t>(4 + random() % 8);
    settings.loss = static_cast<double>(random() % 30) / 1000;
    settings.faultsPerMinute = 5 + static_cast<double>(random() % 50);
    settings.steered = random() % 2 == 0;
    settings.killer = random() % 2 == 0;
    settings.node.queueCapacity = 10 + random() % 100;
    return settings;
}

/** Switches a mechanism off, so that the runs show what it is good for. */
auto switchOff(const std::string &mechanism, NodeSettings &node) -> void
{
    constexpr auto Long = std::chrono::hours(1);
    if (mechanism == "warm-lease") {
        node.loadReportTtl = Long;
    } else if (mechanism == "config-fence") {
        node.maxConfigStaleness = Long;
    } else if (mechanism == "crash-acks") {
        node.crashAckTimeout = {};
        node.crashSuspectRetention = {};
    } else if (!mechanism.empty()) {
        throw std::invalid_argument("no mechanism is named " + mechanism);
    }
}

/** Totals of all runs. */
struct Totals
{
    std::mutex mutex;
    std::map<std::string, int> counts;
    std::uint64_t runs = 0;
    std::uint64_t dispatches = 0;
    std::uint64_t earlyCold = 0;
    std::uint64_t failed = 0;
};

auto runSeed(std::uint64_t seed, Totals &totals, bool verbose, const std::string &off) -> void
{
    std::string error;
    auto settings = settingsFor(seed);
    switchOff(off, settings.node);
    FakeFleet fleet(settings);
    fleet.tracing = verbose;
    try {
        fleet.run();
    } catch (const std::exception &exception) {
        error = exception.what();
    }
    const std::scoped_lock lock(totals.mutex);
    ++totals.runs;
    totals.dispatches += fleet.checks().runs;
    totals.earlyCold += fleet.checks().earlyColdRuns;
    for (const auto &[kind, count] : fleet.faults.byKind) {
        totals.counts[kind] += count;
    }
    if (!error.empty()) {
        ++totals.failed;
        std::cout << "seed " << seed << " at "
                  << std::chrono::duration<double>(fleet.time()).count() << " s: " << error << "\n";
    } else if (verbose) {
        std::cout << "seed " << seed << " passed\n";
    }
}

} // namespace

auto main(int argc, char **argv) -> int
{
    cxxopts::Options options("core_soak", "Randomised runs of the decision cores");
    options.add_options()("seconds", "real time to go on",
                          cxxopts::value<int>()->default_value("0"))(
        "runs", "number of runs", cxxopts::value<std::uint64_t>()->default_value("0"))(
        "off", "mechanism to switch off: warm-lease, config-fence or crash-acks",
        cxxopts::value<std::string>()->default_value(""))(
        "seed", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "threads", "threads", cxxopts::value<int>()->default_value("4"))("verbose",
                                                                         "print each run");
    const auto given = options.parse(argc, argv);
    const auto limit = given["runs"].as<std::uint64_t>();
    const auto until =
        std::chrono::steady_clock::now() + std::chrono::seconds(given["seconds"].as<int>());
    const auto first = given["seed"].as<std::uint64_t>();
    const bool verbose = given.count("verbose") > 0;
    const auto off = given["off"].as<std::string>();
    std::atomic<std::uint64_t> next = first;
    Totals totals;
    std::vector<std::thread> threads;
    for (int thread = 0; thread < given["threads"].as<int>(); ++thread) {
        threads.emplace_back([&] {
            while (true) {
                const auto seed = next++;
                const bool byCount =
                    limit > 0 ? seed - first >= limit : std::chrono::steady_clock::now() >= until;
                if (byCount) {
                    return;
                }
                runSeed(seed, totals, verbose, off);
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    std::cout << totals.runs << " runs, " << totals.dispatches << " dispatches, " << totals.failed
              << " failed; " << totals.earlyCold
              << " dispatches above cold slots before the first sign of a restart\n";
    for (const auto &[kind, count] : totals.counts) {
        std::cout << "  " << kind << ": " << count << "\n";
    }
    return totals.failed == 0 ? 0 : 1;
}
