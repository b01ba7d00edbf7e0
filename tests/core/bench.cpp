/** @file bench.cpp Measures the policy beside baselines, the core's cost, and its growth. */
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

constexpr int Nodes = 9;
constexpr int Engines = 12;
constexpr std::uint16_t Slots = 8;
constexpr Duration Deadline = std::chrono::seconds(10); ///< Of the whole answer.
constexpr Duration StartUp = std::chrono::seconds(15); ///< The fake fleet's, before the load.
const std::array<std::string, 5> Organisations{"red", "blue", "green", "gold", "grey"};

/** One situation that the policies are measured in. */
struct Scenario
{
    std::string name;
    double requestsPerSecond = 30;
    double greedy = 1; ///< Times its share that red sends.
    double rate = 1e6; ///< Tokens a second of each organisation.
    bool domainLeaves = false;
    bool vmDies = false;
};

const std::array<Scenario, 6> Scenarios{{
    {"steady, 60% of capacity", 35, 1, 1e6, false, false},
    {"twice the capacity", 120, 1, 1e6, false, false},
    {"red at 5 times its rate", 30, 5, 3500, false, false},
    {"all inside their rates", 25, 1, 8000, false, false},
    {"a domain leaves and returns", 35, 1, 1e6, true, false},
    {"a VM dies, inside rates", 25, 1, 8000, false, true},
}};

/** @return The workload of a scenario: lengths differ a hundredfold. */
auto workload(const Scenario &scenario, std::uint64_t seed) -> std::vector<Arrival>
{
    std::mt19937_64 random(seed);
    const auto uniform = [&](double least, double most) {
        return std::uniform_real_distribution<double>(least, most)(random);
    };
    std::vector<Arrival> arrivals;
    double time = 0;
    const auto total = 4 + scenario.greedy;
    while (time < 60) {
        time += -std::log(uniform(1e-9, 1)) * 5 / total / scenario.requestsPerSecond;
        Arrival arrival;
        arrival.at = Duration(static_cast<std::int64_t>(time * 1e6));
        const auto pick = uniform(0, total);
        arrival.organisation =
            pick < scenario.greedy
                ? Organisations[0]
                : Organisations.at(1 + static_cast<std::size_t>(pick - scenario.greedy));
        arrival.tier = static_cast<Tier>(random() % TierCount);
        arrival.path = "/llm-" + std::to_string(arrival.tier);
        arrival.tokens =
            static_cast<std::uint32_t>(std::exp(uniform(std::log(30), std::log(3000))));
        arrivals.push_back(arrival);
    }
    return arrivals;
}

/** Figures of one policy in one scenario. */
struct Figures
{
    std::array<double, TierCount> goodput{}; ///< Share answered within the deadline, by tier.
    double worst = 1; ///< Worst organisation's goodput in tokens over its max-min fair share.
    double wrongful =
        0; ///< Share of the tokens that one ideal bucket would take and that were refused.
    double wasted = 0; ///< Share of tokens begun whose answer came too late or never.
    double lowest = 0; ///< Least share answered in time of a 5 s window over the first one's.
};

/** @return Max-min fair shares of @p capacity for @p demands. */
auto maxMin(std::map<std::string, double> demands, double capacity) -> std::map<std::string, double>
{
    std::map<std::string, double> shares;
    while (!demands.empty()) {
        const auto each = capacity / static_cast<double>(demands.size());
        const auto small = std::find_if(demands.begin(), demands.end(), [each](const auto &demand) {
            return demand.second <= each;
        });
        if (small == demands.end()) {
            for (const auto &[name, demand] : demands) {
                shares[name] = each;
            }
            return shares;
        }
        shares[small->first] = small->second;
        capacity -= small->second;
        demands.erase(small);
    }
    return shares;
}

auto measure(const Scenario &scenario, const std::vector<Arrival> &arrivals,
             const std::vector<Result> &results) -> Figures
{
    Figures figures;
    std::array<double, TierCount> asked{};
    std::map<std::string, double> demand;
    std::map<std::string, double> served;
    std::map<std::string, TokenBucket> ideal;
    std::array<double, 12> windows{};
    double begun = 0;
    double lost = 0;
    std::map<std::string, double> idealTokens;
    std::map<std::string, double> admitted;
    std::array<double, 12> arrived{};
    double taken = 0;
    double capacity = 0;
    for (std::size_t index = 0; index < arrivals.size(); ++index) {
        const auto &arrival = arrivals[index];
        const auto &result = results[index];
        const bool good = result.answeredAt && *result.answeredAt - arrival.at <= Deadline;
        auto &bucket = ideal
                           .try_emplace(arrival.organisation, scenario.rate, scenario.rate * 20,
                                        Instant(std::chrono::seconds(-1000)))
                           .first->second;
        const bool allowed = bucket.reserve(arrival.tokens, arrival.at);
        if (allowed) {
            bucket.spend(arrival.tokens);
            taken += arrival.tokens;
            idealTokens[arrival.organisation] += arrival.tokens;
            demand[arrival.organisation] += arrival.tokens;
        }
        const bool overRate = result.refusal == Reason::OverRate && !result.answeredAt;
        admitted[arrival.organisation] += overRate ? 0 : arrival.tokens;
        asked.at(arrival.tier) += 1;
        figures.goodput.at(arrival.tier) += good ? 1 : 0;
        served[arrival.organisation] += good ? arrival.tokens : 0;
        capacity += good ? arrival.tokens : 0;
        begun += result.written ? arrival.tokens : 0;
        lost += result.written && !good ? arrival.tokens : 0;
        const auto window = static_cast<std::size_t>(arrival.at / std::chrono::seconds(5));
        windows.at(std::min<std::size_t>(window, 11)) += good ? 1 : 0;
        arrived.at(std::min<std::size_t>(window, 11)) += 1;
    }
    for (Tier tier = 0; tier < TierCount; ++tier) {
        figures.goodput.at(tier) /= std::max(1.0, asked.at(tier));
    }
    for (const auto &[name, share] : maxMin(demand, capacity)) {
        figures.worst = std::min(figures.worst, served[name] / std::max(1.0, share));
    }
    for (const auto &[name, tokens] : idealTokens) {
        figures.wrongful += std::max(0.0, tokens - admitted[name]) / std::max(1.0, taken);
    }
    figures.wasted = lost / std::max(1.0, begun);
    for (std::size_t window = 0; window < windows.size(); ++window) {
        windows.at(window) /= std::max(1.0, arrived.at(window));
    }
    figures.lowest =
        *std::min_element(windows.begin(), windows.end()) / std::max(0.001, windows[0]);
    return figures;
}

/** Runs the real cores. */
auto runCores(const Scenario &scenario, const std::vector<Arrival> &arrivals, std::uint64_t seed)
    -> std::vector<Result>
{
    RunSettings settings;
    settings.seed = seed;
    settings.nodes = Nodes;
    settings.engines = Engines;
    settings.slots = Slots;
    settings.loss = 0;
    settings.repeats = 0;
    settings.slow = 0;
    settings.silence = false;
    settings.faultsPerMinute = 0;
    settings.arrivals = arrivals;
    settings.length = std::chrono::seconds(60);
    settings.adjust = [&](Config &config) {
        for (auto &[id, organisation] : config.organisations) {
            organisation.rate = scenario.rate;
            organisation.burst = scenario.rate * 20;
        }
    };
    FakeFleet fleet(settings);
    // The buckets fill for a while before the load, as those of the ideal have.
    fleet.runUntil(std::chrono::seconds(45));
    fleet.startLoad();
    const auto start = fleet.time();
    if (scenario.domainLeaves) {
        fleet.at(start + std::chrono::seconds(20), [&] {
            fleet.publish([](Config &config) { config.domainsOut = {nameId("d0")}; });
        });
        fleet.at(start + std::chrono::seconds(40),
                 [&] { fleet.publish([](Config &config) { config.domainsOut.clear(); }); });
    }
    if (scenario.vmDies) {
        fleet.at(start + std::chrono::seconds(20), [&] { fleet.killNode(3); });
        fleet.at(start + std::chrono::seconds(25), [&] {
            fleet.publishList([](VmList &list) {
                std::erase_if(list.vms, [](const Vm &vm) { return vm.id == 3; });
            });
        });
    }
    fleet.runUntil(start + std::chrono::seconds(90));
    auto results = fleet.results;
    for (auto &result : results) {
        if (result.answeredAt) {
            *result.answeredAt -= start;
        }
    }
    return results;
}

auto baseline(const Scenario &scenario, const std::vector<Arrival> &arrivals, Choice choice,
              std::uint64_t seed) -> std::vector<Result>
{
    BaselineSettings settings;
    settings.seed = seed;
    settings.nodes = Nodes;
    settings.choice = choice;
    std::mt19937_64 random(seed);
    for (int server = 0; server < Engines; ++server) {
        settings.servers.push_back(
            {Slots, std::uniform_real_distribution<double>(200, 600)(random), server % 3});
    }
    for (const auto &name : Organisations) {
        settings.limits[name] = {scenario.rate, scenario.rate * 20};
    }
    if (scenario.domainLeaves) {
        settings.domainOutAt = std::chrono::seconds(20);
        settings.domainBackAt = std::chrono::seconds(40);
    }
    return runBaseline(settings, arrivals);
}

auto printPolicy(std::ostream &csv) -> void
{
    std::cout
        << "| scenario | policy | tier 0 | tier 1 | tier 2 | tier 3 | worst organisation | "
           "wrongful refusals | wasted | lowest 5 s |\n|---|---|---|---|---|---|---|---|---|---|\n";
    csv << "scenario,policy,tier0,tier1,tier2,tier3,worst,wrongful,wasted,lowest\n";
    constexpr std::uint64_t Seed = 11;
    for (const auto &scenario : Scenarios) {
        const auto arrivals = workload(scenario, Seed);
        const std::array<std::pair<std::string, std::vector<Result>>, 4> runs{{
            {"banyanring", runCores(scenario, arrivals, Seed)},
            {"round robin", baseline(scenario, arrivals, Choice::RoundRobin, Seed)},
            {"least outstanding", baseline(scenario, arrivals, Choice::LeastOutstanding, Seed)},
            {"two choices", baseline(scenario, arrivals, Choice::TwoChoices, Seed)},
        }};
        for (const auto &[policy, results] : runs) {
            const auto figures = measure(scenario, arrivals, results);
            std::cout << "| " << scenario.name << " | " << policy << std::fixed
                      << std::setprecision(3);
            csv << scenario.name << "," << policy;
            for (const auto value : figures.goodput) {
                std::cout << " | " << value;
                csv << "," << value;
            }
            for (const auto value :
                 {figures.worst, figures.wrongful, figures.wasted, figures.lowest}) {
                std::cout << " | " << value;
                csv << "," << value;
            }
            std::cout << " |\n";
            csv << "\n";
        }
    }
}

/** @return Seconds of processor time that this process has used. */
auto cpuSeconds() -> double
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

/** @return Resident memory of this process in bytes. */
auto residentBytes() -> double
{
    std::ifstream stream("/proc/self/statm");
    double pages = 0;
    stream >> pages >> pages;
    return pages * 4096;
}

/** Adds organisations and servers up to a size. */
auto grow(Config &config, int organisations, int servers, std::uint16_t slots) -> void
{
    for (int index = 0; index < organisations; ++index) {
        const auto name = "org-" + std::to_string(index);
        config.organisations[nameId(name)] = {name, nameId(name), 600, 12000, 1};
        config.keys["key-" + name] = nameId(name);
    }
    const auto model = [&](int index) { return "model-" + std::to_string(index % 22); };
    for (int index = 0; index < 22; ++index) {
        config.services[nameId(model(index))] = {model(index), nameId(model(index)),
                                                 BackendKind::Engine, std::chrono::seconds(60),
                                                 4000};
        const auto path = "/m-" + std::to_string(index);
        config.routes[path] = {path,  nameId(model(index)),   static_cast<Tier>(index % 4), true,
                               false, std::chrono::seconds(6)};
    }
    for (int index = 0; index < servers; ++index) {
        const auto name = "s-" + std::to_string(index);
        config.servers[nameId(name)] = {
            name, nameId(name), nameId(model(index)), name, nameId("d0"), slots, 2, false};
    }
}

/** Measures admissions a second: a request from its arrival over its dispatch to its end. */
auto admissionsPerSecond(int organisations, int servers) -> double
{
    NodeSettings settings;
    settings.decisionCount = 1000;
    settings.reportFresh = std::chrono::hours(10);
    settings.slotLoan = std::chrono::milliseconds(200);
    Node node(settings, {1, 1, 1, {}}, Instant{});
    auto list = std::make_shared<VmList>();
    list->revision = 1;
    list->vms.push_back({1, "entry-1", "", "d", false});
    auto config = std::make_shared<Config>();
    config->revision = 1;
    grow(*config, organisations, servers, 4);
    for (auto &[id, organisation] : config->organisations) {
        organisation.rate = 1e9;
        organisation.burst = 1e10;
    }
    Instant now{};
    node.handle(VmListRead{list}, now);
    node.handle(ConfigRead{config}, now);
    for (int step = 0; step < 200; ++step) {
        now += std::chrono::milliseconds(100);
        if (step % 50 == 0) {
            for (const auto &[id, server] : config->servers) {
                BackendReport report;
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
        event.tokens = 100;
        event.bodyDigest = static_cast<std::uint64_t>(index);
        for (const auto &action : node.handle(event, now)) {
            if (const auto *run = std::get_if<Dispatch>(&action)) {
                ++dispatched;
                node.handle(BackendEnded{run->dispatch, 200, nullptr, 100, ""}, now);
            }
        }
    }
    const auto took = cpuSeconds() - before;
    if (dispatched != Requests) {
        for (std::size_t reason = 0; reason < 16; ++reason) {
            if (node.counters().refused.at(reason) > 0) {
                std::cout << reasonName(static_cast<Reason>(reason)) << " "
                          << node.counters().refused.at(reason) << " ";
            }
        }
        std::cout << "(only " << dispatched << " of " << Requests << " were dispatched)\n";
    }
    return Requests / took;
}

auto printCost() -> void
{
    std::cout << "\n| organisations | servers | admissions a second and core |\n|---|---|---|\n";
    for (const auto &[organisations, servers] :
         {std::pair{50, 44}, std::pair{500, 470}, std::pair{4900, 470}, std::pair{4900, 4700}}) {
        std::cout << "| " << organisations << " | " << servers << " | " << std::fixed
                  << std::setprecision(0) << admissionsPerSecond(organisations, servers) << " |\n";
    }
}

auto printScale(const std::function<std::size_t(NodeId, const PeerMessage &)> &sizeOf,
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
        RunSettings settings;
        settings.seed = 5;
        settings.nodes = nodes;
        settings.loss = 0;
        settings.slow = 0;
        settings.repeats = 0;
        settings.engines = 1;
        settings.plains = 1;
        settings.node.slotBlock = 16;
        settings.node.pullInterval = std::chrono::milliseconds(500);
        settings.node.gossipEntries = 80;
        settings.node.lapse = std::chrono::seconds(nodes > 100 ? 8 : 4);
        settings.adjust = [&](Config &config) { grow(config, organisations, servers, 16); };
        FakeFleet fleet(settings);
        fleet.sizeOf = sizeOf;
        fleet.runUntil(std::chrono::seconds(40));
        int ready = 0;
        for (NodeId id = 1; id <= nodes; ++id) {
            ready += fleet.core(id).ready() ? 1 : 0;
        }
        const auto memory = (residentBytes() - memoryBefore) / nodes;
        const auto cpu = cpuSeconds();
        const auto bytes = fleet.bytes;
        const auto messages = fleet.messages;
        constexpr double Seconds = 10;
        fleet.runUntil(fleet.time() + std::chrono::seconds(10));
        const auto cpuShare = (cpuSeconds() - cpu) / Seconds / nodes;
        const auto byteRate = static_cast<double>(fleet.bytes - bytes) / Seconds / nodes;
        const auto messageRate = static_cast<double>(fleet.messages - messages) / Seconds / nodes;
        fleet.publish([](Config &config) { config.domainsOut = {nameId("d0")}; });
        const auto published = fleet.time();
        const auto revision = fleet.published().revision;
        bool everywhere = false;
        while (!everywhere && fleet.time() - published < std::chrono::seconds(30)) {
            fleet.runUntil(fleet.time() + std::chrono::milliseconds(50));
            everywhere = true;
            for (NodeId id = 1; id <= nodes; ++id) {
                everywhere = everywhere && fleet.core(id).config()->revision == revision;
            }
        }
        const auto inForce = std::chrono::duration<double>(fleet.time() - published).count();
        std::cout << "| " << nodes
                  << (ready == nodes ? "" : " (" + std::to_string(ready) + " ready)") << " | "
                  << organisations << " | " << servers << std::fixed << std::setprecision(0)
                  << " | " << byteRate << std::setprecision(1) << " | " << messageRate
                  << std::setprecision(2) << " | " << cpuShare * 100 << " | " << memory / 1e6
                  << " | " << inForce << " |\n"
                  << std::flush;
        csv << nodes << "," << byteRate << "," << messageRate << "," << cpuShare * 100 << ","
            << memory / 1e6 << "," << inForce << "\n";
    }
}

} // namespace

auto main(int argc, char **argv) -> int
{
    cxxopts::Options options("core_bench", "Measures of the decision core");
    options.add_options()("only", "policy, cost or scale; all by default",
                          cxxopts::value<std::string>()->default_value(""))(
        "csv", "folder for CSV files", cxxopts::value<std::string>()->default_value("."));
    const auto given = options.parse(argc, argv);
    const auto only = given["only"].as<std::string>();
    const auto folder = given["csv"].as<std::string>();
    if (only.empty() || only == "policy") {
        std::ofstream csv(folder + "/policy.csv");
        printPolicy(csv);
    }
    if (only.empty() || only == "cost") {
        printCost();
    }
    if (only.empty() || only == "scale") {
        std::ofstream csv(folder + "/scale.csv");
        printScale(
            [](NodeId from, const PeerMessage &message) {
                return encodeEnvelope({from, message}).size();
            },
            csv);
    }
    return 0;
}
