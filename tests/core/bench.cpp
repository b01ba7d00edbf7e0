/**
 * @file bench.cpp Benchmarks the scheduling policy against baselines, the core's CPU cost and its
 * scaling.
 */
#include "baseline.h"

#include "banyanring/adapters/peer_codec.h"

#include <algorithm>
#include <cmath>
#include <cxxopts.hpp>
#include <fstream>
#include <iomanip>
#include <iostream>

namespace {

using namespace banyanring;
using namespace banyanring::test;

constexpr int NodeCount = 9;
constexpr int EngineCount = 12;
constexpr std::uint16_t SlotsPerServer = 8;
constexpr Duration ResponseDeadline = std::chrono::seconds(10); ///< For the complete response.
/** Time from the start of the simulated fleet to the start of the load. */
constexpr Duration StartUpTime = std::chrono::seconds(15);
const std::array<std::string, 5> Organisations{"red", "blue", "green", "gold", "grey"};

/** Workload and fault under which the policies are compared. */
struct Scenario
{
    std::string name;
    double requestsPerSecond = 30;
    double redLoadFactor = 1; ///< Factor on the load of the organisation red.
    double tokenRate = 1e6; ///< Rate limit of each organisation, tokens per second.
    bool domainOutage = false;
    bool vmCrash = false;
};

const std::array<Scenario, 6> Scenarios{{
    {"steady, 60% of capacity", 35, 1, 1e6, false, false},
    {"twice the capacity", 120, 1, 1e6, false, false},
    {"red at 5 times its rate", 30, 5, 3500, false, false},
    {"all inside their rates", 25, 1, 8000, false, false},
    {"a domain leaves and returns", 35, 1, 1e6, true, false},
    {"a VM dies, inside rates", 25, 1, 8000, false, true},
}};

/** @return Workload of a scenario; request sizes are log-uniform over a factor of 100. */
auto workload(const Scenario &scenario, std::uint64_t seed) -> std::vector<Arrival>
{
    std::mt19937_64 random(seed);
    const auto uniform = [&](double minimum, double maximum) {
        return std::uniform_real_distribution<double>(minimum, maximum)(random);
    };
    std::vector<Arrival> arrivals;
    double time = 0;
    const auto total = 4 + scenario.redLoadFactor;
    while (time < 60) {
        time += -std::log(uniform(1e-9, 1)) * 5 / total / scenario.requestsPerSecond;
        Arrival arrival;
        arrival.at = Duration(static_cast<std::int64_t>(time * 1e6));
        const auto pick = uniform(0, total);
        arrival.organisation =
            pick < scenario.redLoadFactor
                ? Organisations[0]
                : Organisations.at(1 + static_cast<std::size_t>(pick - scenario.redLoadFactor));
        arrival.tier = static_cast<Tier>(random() % TierCount);
        arrival.path = "/llm-" + std::to_string(arrival.tier);
        arrival.tokens =
            static_cast<std::uint32_t>(std::exp(uniform(std::log(30), std::log(3000))));
        arrivals.push_back(arrival);
    }
    return arrivals;
}

/** Results of one policy in one scenario. */
struct PolicyMetrics
{
    /** Fraction of the requests completed within the deadline, by tier. */
    std::array<double, TierCount> goodput{};
    /** Minimum ratio of an organisation's goodput (tokens) to its max-min fair share. */
    double minFairShareRatio = 1;
    /** Rejected fraction of the tokens that one fleet-wide bucket would admit. */
    double wrongfulRejections = 0;
    /** Fraction of the dispatched tokens whose response was late or missing. */
    double wastedFraction = 0;
    double minWindowGoodput = 0; ///< Minimum goodput of a 5 s window, relative to the first window.
};

/** @return Max-min fair shares of @p capacity for @p demands. */
auto maxMinShares(std::map<std::string, double> demands, double capacity)
    -> std::map<std::string, double>
{
    std::map<std::string, double> shares;
    while (!demands.empty()) {
        const auto equalShare = capacity / static_cast<double>(demands.size());
        const auto satisfied =
            std::find_if(demands.begin(), demands.end(),
                         [equalShare](const auto &demand) { return demand.second <= equalShare; });
        if (satisfied == demands.end()) {
            for (const auto &[name, demand] : demands) {
                shares[name] = equalShare;
            }
            return shares;
        }
        shares[satisfied->first] = satisfied->second;
        capacity -= satisfied->second;
        demands.erase(satisfied);
    }
    return shares;
}

auto computeMetrics(const Scenario &scenario, const std::vector<Arrival> &arrivals,
                    const std::vector<ArrivalResult> &results) -> PolicyMetrics
{
    PolicyMetrics metrics;
    std::array<double, TierCount> requestCounts{};
    std::map<std::string, double> demand;
    std::map<std::string, double> servedTokens;
    std::map<std::string, TokenBucket> idealBuckets;
    std::array<double, 12> windowGoodput{};
    double dispatchedTokens = 0;
    double wastedTokens = 0;
    std::map<std::string, double> idealTokens;
    std::map<std::string, double> admittedTokens;
    std::array<double, 12> windowArrivals{};
    double totalIdealTokens = 0;
    double capacity = 0;
    for (std::size_t index = 0; index < arrivals.size(); ++index) {
        const auto &arrival = arrivals[index];
        const auto &result = results[index];
        const bool inTime =
            result.respondedAt && *result.respondedAt - arrival.at <= ResponseDeadline;
        auto &bucket =
            idealBuckets
                .try_emplace(arrival.organisation, scenario.tokenRate, scenario.tokenRate * 20,
                             Instant(std::chrono::seconds(-1000)))
                .first->second;
        const bool allowed = bucket.reserve(arrival.tokens, arrival.at);
        if (allowed) {
            bucket.spend(arrival.tokens);
            totalIdealTokens += arrival.tokens;
            idealTokens[arrival.organisation] += arrival.tokens;
            demand[arrival.organisation] += arrival.tokens;
        }
        const bool overRate = result.rejection == Reason::OverRate && !result.respondedAt;
        admittedTokens[arrival.organisation] += overRate ? 0 : arrival.tokens;
        requestCounts.at(arrival.tier) += 1;
        metrics.goodput.at(arrival.tier) += inTime ? 1 : 0;
        servedTokens[arrival.organisation] += inTime ? arrival.tokens : 0;
        capacity += inTime ? arrival.tokens : 0;
        dispatchedTokens += result.dispatched ? arrival.tokens : 0;
        wastedTokens += result.dispatched && !inTime ? arrival.tokens : 0;
        const auto window = static_cast<std::size_t>(arrival.at / std::chrono::seconds(5));
        windowGoodput.at(std::min<std::size_t>(window, 11)) += inTime ? 1 : 0;
        windowArrivals.at(std::min<std::size_t>(window, 11)) += 1;
    }
    for (Tier tier = 0; tier < TierCount; ++tier) {
        metrics.goodput.at(tier) /= std::max(1.0, requestCounts.at(tier));
    }
    for (const auto &[name, share] : maxMinShares(demand, capacity)) {
        metrics.minFairShareRatio =
            std::min(metrics.minFairShareRatio, servedTokens[name] / std::max(1.0, share));
    }
    for (const auto &[name, tokens] : idealTokens) {
        metrics.wrongfulRejections +=
            std::max(0.0, tokens - admittedTokens[name]) / std::max(1.0, totalIdealTokens);
    }
    metrics.wastedFraction = wastedTokens / std::max(1.0, dispatchedTokens);
    for (std::size_t window = 0; window < windowGoodput.size(); ++window) {
        windowGoodput.at(window) /= std::max(1.0, windowArrivals.at(window));
    }
    metrics.minWindowGoodput = *std::min_element(windowGoodput.begin(), windowGoodput.end())
                               / std::max(0.001, windowGoodput[0]);
    return metrics;
}

/** Runs a workload on the simulated fleet. */
auto runFleet(const Scenario &scenario, const std::vector<Arrival> &arrivals, std::uint64_t seed)
    -> std::vector<ArrivalResult>
{
    SimulationSettings settings;
    settings.seed = seed;
    settings.nodeCount = NodeCount;
    settings.engineCount = EngineCount;
    settings.slotsPerServer = SlotsPerServer;
    settings.lossRate = 0;
    settings.duplicateRate = 0;
    settings.delayRate = 0;
    settings.stalledConnections = false;
    settings.faultsPerMinute = 0;
    settings.arrivals = arrivals;
    settings.duration = std::chrono::seconds(60);
    settings.adjustConfig = [&](Config &config) {
        for (auto &[id, organisation] : config.organisations) {
            organisation.rate = scenario.tokenRate;
            organisation.burst = scenario.tokenRate * 20;
        }
    };
    FakeFleet fleet(settings);
    // The buckets fill before the load starts, as the ideal buckets do.
    fleet.runUntil(std::chrono::seconds(45));
    fleet.startLoad();
    const auto start = fleet.currentTime();
    if (scenario.domainOutage) {
        fleet.schedule(start + std::chrono::seconds(20), [&] {
            fleet.publishConfig(
                [](Config &config) { config.outOfServiceDomains = {hashName("d0")}; });
        });
        fleet.schedule(start + std::chrono::seconds(40), [&] {
            fleet.publishConfig([](Config &config) { config.outOfServiceDomains.clear(); });
        });
    }
    if (scenario.vmCrash) {
        fleet.schedule(start + std::chrono::seconds(20), [&] { fleet.killNode(3); });
        fleet.schedule(start + std::chrono::seconds(25), [&] {
            fleet.publishVmList([](VmList &list) {
                std::erase_if(list.vms, [](const Vm &vm) { return vm.id == 3; });
            });
        });
    }
    fleet.runUntil(start + std::chrono::seconds(90));
    auto results = fleet.results;
    for (auto &result : results) {
        if (result.respondedAt) {
            *result.respondedAt -= start;
        }
    }
    return results;
}

auto runBaselinePolicy(const Scenario &scenario, const std::vector<Arrival> &arrivals,
                       LoadBalancingPolicy policy, std::uint64_t seed) -> std::vector<ArrivalResult>
{
    BaselineSettings settings;
    settings.seed = seed;
    settings.nodeCount = NodeCount;
    settings.policy = policy;
    std::mt19937_64 random(seed);
    for (int server = 0; server < EngineCount; ++server) {
        settings.servers.push_back(
            {SlotsPerServer, std::uniform_real_distribution<double>(200, 600)(random), server % 3});
    }
    for (const auto &name : Organisations) {
        settings.rateLimits[name] = {scenario.tokenRate, scenario.tokenRate * 20};
    }
    if (scenario.domainOutage) {
        settings.outageStart = std::chrono::seconds(20);
        settings.outageEnd = std::chrono::seconds(40);
    }
    return runBaseline(settings, arrivals);
}

auto printPolicyTable(std::ostream &csv) -> void
{
    std::cout
        << "| scenario | policy | tier 0 | tier 1 | tier 2 | tier 3 | worst organisation | "
           "wrongful refusals | wasted | lowest 5 s |\n|---|---|---|---|---|---|---|---|---|---|\n";
    csv << "scenario,policy,tier0,tier1,tier2,tier3,worst,wrongful,wasted,lowest\n";
    constexpr std::uint64_t Seed = 11;
    for (const auto &scenario : Scenarios) {
        const auto arrivals = workload(scenario, Seed);
        const std::array<std::pair<std::string, std::vector<ArrivalResult>>, 4> runs{{
            {"banyanring", runFleet(scenario, arrivals, Seed)},
            {"round robin",
             runBaselinePolicy(scenario, arrivals, LoadBalancingPolicy::RoundRobin, Seed)},
            {"least outstanding",
             runBaselinePolicy(scenario, arrivals, LoadBalancingPolicy::LeastOutstanding, Seed)},
            {"two choices",
             runBaselinePolicy(scenario, arrivals, LoadBalancingPolicy::TwoChoices, Seed)},
        }};
        for (const auto &[policy, results] : runs) {
            const auto metrics = computeMetrics(scenario, arrivals, results);
            std::cout << "| " << scenario.name << " | " << policy << std::fixed
                      << std::setprecision(3);
            csv << scenario.name << "," << policy;
            for (const auto value : metrics.goodput) {
                std::cout << " | " << value;
                csv << "," << value;
            }
            for (const auto value : {metrics.minFairShareRatio, metrics.wrongfulRejections,
                                     metrics.wastedFraction, metrics.minWindowGoodput}) {
                std::cout << " | " << value;
                csv << "," << value;
            }
            std::cout << " |\n";
            csv << "\n";
        }
    }
}

/** @return CPU time of this process in seconds. */
auto cpuSeconds() -> double
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

/** @return Resident set size of this process in bytes. */
auto residentBytes() -> double
{
    std::ifstream stream("/proc/self/statm");
    double pages = 0;
    stream >> pages >> pages;
    return pages * 4096;
}

/** Adds the given numbers of organisations and backend servers. */
auto populateConfig(Config &config, int organisations, int servers, std::uint16_t slots) -> void
{
    for (int index = 0; index < organisations; ++index) {
        const auto name = "org-" + std::to_string(index);
        config.organisations[hashName(name)] = {name, hashName(name), 600, 12000, 1};
        config.organisationByKey["key-" + name] = hashName(name);
    }
    const auto model = [&](int index) { return "model-" + std::to_string(index % 22); };
    for (int index = 0; index < 22; ++index) {
        config.services[hashName(model(index))] = {model(index), hashName(model(index)),
                                                   BackendKind::Engine, std::chrono::seconds(60),
                                                   4000};
        const auto path = "/m-" + std::to_string(index);
        config.routes[path] = {path,  hashName(model(index)), static_cast<Tier>(index % 4), true,
                               false, std::chrono::seconds(6)};
    }
    for (int index = 0; index < servers; ++index) {
        const auto name = "s-" + std::to_string(index);
        config.servers[hashName(name)] = {
            name, hashName(name), hashName(model(index)), name, hashName("d0"), slots, 2, false};
    }
}

/** @return Requests per CPU second that a node handles from arrival to completion. */
auto admissionsPerSecond(int organisations, int servers) -> double
{
    NodeSettings settings;
    settings.decisionLogCapacity = 1000;
    settings.loadReportTtl = std::chrono::hours(10);
    settings.slotLoanDuration = std::chrono::milliseconds(200);
    Node node(settings, {1, 1, 1, {}}, Instant{});
    auto list = std::make_shared<VmList>();
    list->revision = 1;
    list->vms.push_back({1, "entry-1", "", "d", false});
    auto config = std::make_shared<Config>();
    config->revision = 1;
    populateConfig(*config, organisations, servers, 4);
    for (auto &[id, organisation] : config->organisations) {
        organisation.rate = 1e9;
        organisation.burst = 1e10;
    }
    Instant now{};
    node.handle(VmListReceived{list}, now);
    node.handle(ConfigReceived{config}, now);
    for (int step = 0; step < 200; ++step) {
        now += std::chrono::milliseconds(100);
        if (step % 50 == 0) {
            for (const auto &[id, server] : config->servers) {
                LoadReport report;
                report.server = id;
                report.startedAt = 1;
                node.handle(report, now);
            }
        }
        node.handle(Tick{}, now);
    }
    constexpr int Requests = 100000;
    const auto before = cpuSeconds();
    int dispatched = 0;
    for (int index = 0; index < Requests; ++index) {
        now += Duration(5);
        RequestArrived event;
        event.call = static_cast<CallId>(index + 1);
        event.requestId = "r" + std::to_string(index);
        event.keyDigest = "key-org-" + std::to_string(index % organisations);
        event.path = "/m-" + std::to_string(index % 22);
        event.estimatedTokens = 100;
        event.bodyDigest = static_cast<std::uint64_t>(index);
        for (const auto &action : node.handle(event, now)) {
            if (const auto *dispatch = std::get_if<Dispatch>(&action)) {
                ++dispatched;
                node.handle(BackendCompleted{dispatch->dispatch, 200, nullptr, 100, ""}, now);
            }
        }
    }
    const auto cpuTime = cpuSeconds() - before;
    if (dispatched != Requests) {
        for (std::size_t reason = 0; reason < 16; ++reason) {
            if (node.counters().rejected.at(reason) > 0) {
                std::cout << reasonName(static_cast<Reason>(reason)) << " "
                          << node.counters().rejected.at(reason) << " ";
            }
        }
        std::cout << "(only " << dispatched << " of " << Requests << " were dispatched)\n";
    }
    return Requests / cpuTime;
}

auto printCostTable() -> void
{
    std::cout << "\n| organisations | servers | admissions a second and core |\n|---|---|---|\n";
    for (const auto &[organisations, servers] :
         {std::pair{50, 44}, std::pair{500, 470}, std::pair{4900, 470}, std::pair{4900, 4700}}) {
        std::cout << "| " << organisations << " | " << servers << " | " << std::fixed
                  << std::setprecision(0) << admissionsPerSecond(organisations, servers) << " |\n";
    }
}

auto printScaleTable(const std::function<std::size_t(NodeId, const PeerMessage &)> &messageSize,
                     std::ostream &csv) -> void
{
    std::cout
        << "\n| nodes | organisations | servers | control sent, B/s a node | messages/s a node "
           "| core CPU a node, % | memory a node, MB | new config in force, s |\n"
           "|---|---|---|---|---|---|---|---|\n";
    csv << "nodes,bytes_per_second,messages_per_second,cpu_percent,memory_mb,config_seconds\n";
    for (const int nodes : {3, 9, 27, 81, 350}) {
        const int organisations = 14 * nodes;
        const int servers = std::max(4, static_cast<int>(13.43 * nodes));
        const auto memoryBefore = residentBytes();
        SimulationSettings settings;
        settings.seed = 5;
        settings.nodeCount = nodes;
        settings.lossRate = 0;
        settings.delayRate = 0;
        settings.duplicateRate = 0;
        settings.engineCount = 1;
        settings.plainServerCount = 1;
        settings.nodeSettings.slotBlockSize = 16;
        settings.nodeSettings.gossipInterval = std::chrono::milliseconds(500);
        settings.nodeSettings.maxGossipHeartbeats = 80;
        settings.nodeSettings.peerTimeout = std::chrono::seconds(nodes > 100 ? 8 : 4);
        settings.adjustConfig = [&](Config &config) {
            populateConfig(config, organisations, servers, 16);
        };
        FakeFleet fleet(settings);
        fleet.messageSize = messageSize;
        fleet.runUntil(std::chrono::seconds(40));
        int ready = 0;
        for (NodeId id = 1; id <= nodes; ++id) {
            ready += fleet.node(id).ready() ? 1 : 0;
        }
        const auto memory = (residentBytes() - memoryBefore) / nodes;
        const auto cpu = cpuSeconds();
        const auto bytes = fleet.byteCount;
        const auto messages = fleet.messageCount;
        constexpr double Seconds = 10;
        fleet.runUntil(fleet.currentTime() + std::chrono::seconds(10));
        const auto cpuFraction = (cpuSeconds() - cpu) / Seconds / nodes;
        const auto byteRate = static_cast<double>(fleet.byteCount - bytes) / Seconds / nodes;
        const auto messageRate =
            static_cast<double>(fleet.messageCount - messages) / Seconds / nodes;
        fleet.publishConfig([](Config &config) { config.outOfServiceDomains = {hashName("d0")}; });
        const auto published = fleet.currentTime();
        const auto revision = fleet.publishedConfig().revision;
        bool allApplied = false;
        while (!allApplied && fleet.currentTime() - published < std::chrono::seconds(30)) {
            fleet.runUntil(fleet.currentTime() + std::chrono::milliseconds(50));
            allApplied = true;
            for (NodeId id = 1; id <= nodes; ++id) {
                allApplied = allApplied && fleet.node(id).config()->revision == revision;
            }
        }
        const auto propagationTime =
            std::chrono::duration<double>(fleet.currentTime() - published).count();
        std::cout << "| " << nodes
                  << (ready == nodes ? "" : " (" + std::to_string(ready) + " ready)") << " | "
                  << organisations << " | " << servers << std::fixed << std::setprecision(0)
                  << " | " << byteRate << std::setprecision(1) << " | " << messageRate
                  << std::setprecision(2) << " | " << cpuFraction * 100 << " | " << memory / 1e6
                  << " | " << propagationTime << " |\n"
                  << std::flush;
        csv << nodes << "," << byteRate << "," << messageRate << "," << cpuFraction * 100 << ","
            << memory / 1e6 << "," << propagationTime << "\n";
    }
}

} // namespace

auto main(int argc, char **argv) -> int
{
    cxxopts::Options options("core_bench", "Benchmarks of the decision core");
    options.add_options()("only", "policy, cost or scale; all by default",
                          cxxopts::value<std::string>()->default_value(""))(
        "csv", "directory for CSV files", cxxopts::value<std::string>()->default_value("."));
    const auto arguments = options.parse(argc, argv);
    const auto selected = arguments["only"].as<std::string>();
    const auto directory = arguments["csv"].as<std::string>();
    if (selected.empty() || selected == "policy") {
        std::ofstream csv(directory + "/policy.csv");
        printPolicyTable(csv);
    }
    if (selected.empty() || selected == "cost") {
        printCostTable();
    }
    if (selected.empty() || selected == "scale") {
        std::ofstream csv(directory + "/scale.csv");
        printScaleTable(
            [](NodeId from, const PeerMessage &message) {
                return encodeEnvelope({from, message}).size();
            },
            csv);
    }
    return 0;
}
