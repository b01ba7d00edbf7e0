/** @file fleet_size_tests.cpp Cost and results of what a node does about each other node. */
#include "banyanring/fleet/server_registry.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace banyanring;
using namespace banyanring::fleet;
using std::chrono::seconds;

/** Adds servers with latencies that a peer measured. */
auto fillRegistry(ServerRegistry &registry, std::size_t count) -> std::vector<ServerLatencyReport>
{
    std::vector<ServerLatencyReport> reports;
    for (std::size_t number = 0; number < count; ++number) {
        ServerRegistration registration;
        registration.id = "server-" + std::to_string(number);
        registration.service = "service";
        registration.address = "10.9.0.1:" + std::to_string(number);
        registration.startedAtMs = number + 1;
        registry.registerServer(registration, Duration(0), seconds(1));
        reports.push_back({registry.find(registration.id)->hash, 1, 0, 0});
    }
    return reports;
}

/** @return Shortest time of a few calls that adopt reports about all servers. */
auto adoptionTime(std::size_t count) -> std::chrono::nanoseconds
{
    ServerRegistry registry;
    const auto reports = fillRegistry(registry, count);
    auto shortest = std::chrono::nanoseconds::max();
    for (int repetition = 0; repetition < 5; ++repetition) {
        const auto start = std::chrono::steady_clock::now();
        registry.adoptPeerLatencies(reports);
        shortest =
            std::min<std::chrono::nanoseconds>(shortest, std::chrono::steady_clock::now() - start);
    }
    return shortest;
}

/** A node's view of a fleet of hundreds of nodes. */
class FleetSizeFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetSizeFixture);
    CPPUNIT_TEST(adoptPeerLatencies_manyServers_takesTimePerReportOnly);
    CPPUNIT_TEST_SUITE_END();

public:
    auto adoptPeerLatencies_manyServers_takesTimePerReportOnly() -> void
    {
        constexpr std::size_t Factor = 32;
        const auto few = adoptionTime(150);
        const auto many = adoptionTime(150 * Factor);
        // A search among all servers for each report would take Factor times as long again.
        CPPUNIT_ASSERT(many < 8 * Factor * few);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetSizeFixture);

} // namespace
