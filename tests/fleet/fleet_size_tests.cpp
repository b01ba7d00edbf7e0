/** @file fleet_size_tests.cpp Cost and results of what a node does about each other node. */
#include "banyanring/fleet/fleet_directory.h"
#include "banyanring/fleet/server_registry.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace banyanring;
using namespace banyanring::fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int FleetSize = 350;
constexpr const auto *OwnDomain = "domain-0";

/** @return Status of a node. */
auto statusOf(int node, std::uint64_t incarnation, std::uint64_t sequence,
              NodePhase phase = NodePhase::Ready) -> NodeStatus
{
    NodeStatus status;
    status.peerAddress = "10.0.0." + std::to_string(node) + ":7600";
    status.domain = "domain-" + std::to_string(node % 6);
    // Ends with the number of the domain.
    status.entryAddress = "10.0.0." + std::to_string(node) + ":80/" + std::to_string(node % 6);
    status.incarnation = incarnation;
    status.sequence = sequence;
    status.phase = phase;
    return status;
}

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
    CPPUNIT_TEST(generation_newStatusesOnly_isUnchanged);
    CPPUNIT_TEST(generation_memberLost_changes);
    CPPUNIT_TEST(generation_memberRestartedOrDraining_changes);
    CPPUNIT_TEST(coordinators_manyMembers_areTheHighestRanked);
    CPPUNIT_TEST(coordinators_memberLost_areChosenAmongTheOthers);
    CPPUNIT_TEST(sampleNearby_largeDomain_takesDistantNodesAsAsked);
    CPPUNIT_TEST(sampleNearby_smallDomain_isFilledWithDistantNodes);
    CPPUNIT_TEST(listEntryAddresses_callersOfAllDomains_shareAllNodes);
    CPPUNIT_TEST(listEntryAddresses_askedAtOtherNode_isTheSame);
    CPPUNIT_TEST(unwatchedDomains_watcherLosesTheStore_areThoseWithout);
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

    auto generation_newStatusesOnly_isUnchanged() -> void
    {
        this->hearAll(seconds(10));
        const auto generation = this->members.generation(seconds(10));
        for (int round = 1; round <= 40; ++round) {
            const auto now = seconds(10) + round * milliseconds(500);
            this->hearAll(now);
            CPPUNIT_ASSERT_EQUAL(generation, this->members.generation(now));
            CPPUNIT_ASSERT_EQUAL(std::size_t{FleetSize}, this->members.aliveMembers(now).size());
        }
    }

    auto generation_memberLost_changes() -> void
    {
        this->hearAll(seconds(10));
        const auto generation = this->members.generation(seconds(10));
        const auto lostAt = seconds(10) + this->members.aliveTimeout();
        const auto before = lostAt - milliseconds(1);
        CPPUNIT_ASSERT_EQUAL(generation, this->members.generation(before));
        this->hearAll(before, 1);
        CPPUNIT_ASSERT(this->members.generation(lostAt) != generation);
        CPPUNIT_ASSERT_EQUAL(std::size_t{FleetSize - 1}, this->members.aliveMembers(lostAt).size());
    }

    auto generation_memberRestartedOrDraining_changes() -> void
    {
        this->hearAll(seconds(10));
        const auto first = this->members.generation(seconds(10));
        this->members.mergeStatus(statusOf(5, 99, 1), seconds(11));
        const auto restarted = this->members.generation(seconds(11));
        CPPUNIT_ASSERT(restarted != first);
        CPPUNIT_ASSERT(this->members.aliveIncarnations(seconds(11)).contains(99));
        this->members.mergeStatus(statusOf(5, 99, 2, NodePhase::Draining), seconds(11));
        CPPUNIT_ASSERT(this->members.generation(seconds(11)) != restarted);
    }

    auto coordinators_manyMembers_areTheHighestRanked() -> void
    {
        this->hearAll(seconds(10));
        for (std::uint32_t key = 0; key < 200; ++key) {
            std::vector<std::pair<std::uint64_t, std::string>> ranked{
                {this->rankOf(key, this->self), this->self}};
            for (int node = 0; node < FleetSize; ++node) {
                const auto address = statusOf(node, 1, 1).peerAddress;
                ranked.emplace_back(this->rankOf(key, address), address);
            }
            std::sort(ranked.begin(), ranked.end(), std::greater<>());
            CPPUNIT_ASSERT(this->members.coordinators(key, 2, seconds(10))
                           == (std::vector<std::string>{ranked[0].second, ranked[1].second}));
        }
    }

    auto coordinators_memberLost_areChosenAmongTheOthers() -> void
    {
        this->hearAll(seconds(10));
        const auto first = this->members.coordinators(7, 2, seconds(10));
        for (int node = 0; node < FleetSize; ++node) {
            const auto status = statusOf(node, 1, 2);
            if (status.peerAddress != first.front()) {
                this->members.mergeStatus(status, seconds(11));
            }
        }
        const auto lostAt = seconds(10) + this->members.aliveTimeout();
        CPPUNIT_ASSERT_EQUAL(first.at(1), this->members.coordinators(7, 1, lostAt).front());
    }

    auto sampleNearby_largeDomain_takesDistantNodesAsAsked() -> void
    {
        this->hearAll(seconds(10));
        for (std::size_t distantCount = 0; distantCount <= 3; ++distantCount) {
            const auto sample =
                this->members.sampleNearby(3, distantCount, this->random, seconds(10));
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, sample.size());
            const auto distant =
                std::count_if(sample.begin(), sample.end(), [](const Member *member) {
                    return member->status.domain != OwnDomain;
                });
            CPPUNIT_ASSERT_EQUAL(distantCount, static_cast<std::size_t>(distant));
        }
    }

    auto sampleNearby_smallDomain_isFilledWithDistantNodes() -> void
    {
        for (int node = 0; node < 12; ++node) {
            this->members.mergeStatus(statusOf(node, 1, 1), seconds(10));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{8},
                             this->members.sampleNearby(8, 0, this->random, seconds(10)).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{12},
                             this->members.sampleNearby(20, 0, this->random, seconds(10)).size());
    }

    auto listEntryAddresses_callersOfAllDomains_shareAllNodes() -> void
    {
        this->hearAll(seconds(10));
        std::map<std::string, int> listings;
        for (int domain = 0; domain < 6; ++domain) {
            const auto addresses = listEntryAddresses(
                this->ownStatus(), this->members, "domain-" + std::to_string(domain), seconds(10));
            CPPUNIT_ASSERT_EQUAL(std::size_t{64}, addresses.size());
            std::map<char, int> byDomain;
            for (const auto &address : addresses) {
                ++listings[address];
                ++byDomain[address.back()];
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t{6}, byDomain.size()); // No domain is left out.
        }
        CPPUNIT_ASSERT(listings.size() > 0.95 * FleetSize);
        for (const auto &[address, count] : listings) {
            CPPUNIT_ASSERT(count <= 2);
        }
        const auto unknown =
            listEntryAddresses(this->ownStatus(), this->members, "elsewhere", seconds(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t{64}, unknown.size());
    }

    auto listEntryAddresses_askedAtOtherNode_isTheSame() -> void
    {
        this->hearAll(seconds(10));
        const auto other = statusOf(5, 1, 100);
        FleetMembers othersMembers{other.peerAddress, {}, seconds(0), other.domain};
        othersMembers.mergeStatus(this->ownStatus(), seconds(10));
        for (int node = 0; node < FleetSize; ++node) {
            if (node != 5) {
                othersMembers.mergeStatus(statusOf(node, 1, 1), seconds(10));
            }
        }
        CPPUNIT_ASSERT(listEntryAddresses(this->ownStatus(), this->members, "domain-3", seconds(10))
                       == listEntryAddresses(other, othersMembers, "domain-3", seconds(10)));
    }

    auto unwatchedDomains_watcherLosesTheStore_areThoseWithout() -> void
    {
        this->hearAll(seconds(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, this->members.unwatchedDomains(seconds(10)).size());
        for (int node = 0; node < 6; ++node) {
            auto status = statusOf(node, 1, 100);
            status.storeReachable = node != 4;
            this->members.mergeStatus(status, seconds(10));
        }
        CPPUNIT_ASSERT(this->members.unwatchedDomains(seconds(10))
                       == (std::set<std::string_view>{"domain-4"}));
    }

private:
    auto ownStatus() const -> NodeStatus
    {
        auto status = statusOf(0, 1, 1);
        status.peerAddress = this->self;
        status.entryAddress = "10.1.0.1:80/0";
        return status;
    }

    auto hearAll(Instant now, int firstNode = 0) -> void
    {
        ++this->sequence;
        for (int node = firstNode; node < FleetSize; ++node) {
            this->members.mergeStatus(statusOf(node, 1, this->sequence), now);
        }
    }

    static auto rankOf(std::uint32_t key, std::string_view address) -> std::uint64_t
    {
        return mix64((static_cast<std::uint64_t>(key) << 32U) ^ hashName(address));
    }

    std::string self = "10.1.0.1:7600";
    FleetMembers members{this->self, {}, seconds(0), OwnDomain};
    std::mt19937_64 random{1};
    std::uint64_t sequence = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetSizeFixture);

} // namespace
