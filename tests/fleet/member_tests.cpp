/**
 * @file member_tests.cpp Tests of membership, the directory and a node's shares of fleet-wide
 * limits.
 */
#include "banyanring/fleet/fleet_directory.h"
#include "banyanring/fleet/limit_shares.h"

#include <cppunit/extensions/HelperMacros.h>
#include <random>

namespace {

using namespace banyanring;
using namespace banyanring::fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** @return Status of a node. */
auto statementOf(int node, std::uint64_t incarnation, std::uint64_t sequence,
                 Duration age = Duration(0), NodePhase phase = NodePhase::Ready) -> NodeStatement
{
    NodeStatement statement;
    statement.peerAddress = "10.0.0." + std::to_string(node) + ":7600";
    statement.entryAddress = "10.0.0." + std::to_string(node) + ":80";
    statement.domain = node % 2 == 0 ? "even" : "odd";
    statement.incarnation = incarnation;
    statement.sequence = sequence;
    statement.phase = phase;
    statement.age = age;
    return statement;
}

/** Fleet membership by gossip. */
class FleetMembersFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetMembersFixture);
    CPPUNIT_TEST(take_relayedOlder_isIgnored);
    CPPUNIT_TEST(take_restarted_replacesByFreshness);
    CPPUNIT_TEST(live_silent_isLostWithinTwoSeconds);
    CPPUNIT_TEST(gossipTargets_allSilent_triesSeedsAndSilentOnes);
    CPPUNIT_TEST(reachablePart_anySplit_sumsToTheWhole);
    CPPUNIT_TEST(ownsCold_allNodes_agreeOnTheOwners);
    CPPUNIT_TEST(ownsCold_youngNode_isNoOwner);
    CPPUNIT_TEST(directory_drainingAndDead_areNotNamed);
    CPPUNIT_TEST(directory_selfDraining_namesOthersOnly);
    CPPUNIT_TEST_SUITE_END();

public:
    auto take_relayedOlder_isIgnored() -> void
    {
        this->members.take(statementOf(2, 5, 9), seconds(10));
        CPPUNIT_ASSERT(!this->members.take(statementOf(2, 5, 8), seconds(11)));
        CPPUNIT_ASSERT(this->members.live(seconds(11)).size() == 1);
        CPPUNIT_ASSERT(this->members.all().begin()->second.statedAt == seconds(10));
    }

    auto take_restarted_replacesByFreshness() -> void
    {
        this->members.take(statementOf(2, 5, 9), seconds(10));
        this->members.take(statementOf(2, 6, 1), seconds(11));
        this->members.take(statementOf(2, 5, 10, milliseconds(1500)), seconds(12));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6},
                             this->members.all().begin()->second.statement.incarnation);
    }

    auto live_silent_isLostWithinTwoSeconds() -> void
    {
        this->members.take(statementOf(2, 5, 1), seconds(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->members.live(seconds(11)).size());
        CPPUNIT_ASSERT(this->members.live(seconds(12)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->members.fleetSize(seconds(12)));
    }

    auto gossipTargets_allSilent_triesSeedsAndSilentOnes() -> void
    {
        this->members.take(statementOf(2, 5, 1), seconds(10));
        const auto targets = this->members.gossipTargets(8, this->random, seconds(20));
        CPPUNIT_ASSERT(targets == (std::vector<std::string>{"10.0.0.2:7600", "10.0.0.9:7600"}));
        CPPUNIT_ASSERT(this->members.gossipTargets(8, this->random, seconds(20)).empty());
    }

    auto reachablePart_anySplit_sumsToTheWhole() -> void
    {
        for (int size = 2; size <= 9; ++size) {
            for (int reached = 1; reached < size; ++reached) {
                const auto part = [&](int live) {
                    FleetMembers side("10.0.0.1:7600", {}, seconds(0));
                    for (int node = 2; node <= size; ++node) {
                        side.take(statementOf(node, 5, 1), seconds(node <= live ? 20 : 10));
                    }
                    return side.reachablePart(seconds(21));
                };
                // Two sides of a partition, and one side next to isolated nodes.
                CPPUNIT_ASSERT(part(reached) + part(size - reached) <= 1.01);
                CPPUNIT_ASSERT(part(reached) + (size - reached) * part(1) <= 1.01);
            }
        }
    }

    auto ownsCold_allNodes_agreeOnTheOwners() -> void
    {
        int owners = 0;
        for (int self = 1; self <= 9; ++self) {
            FleetMembers view("10.0.0." + std::to_string(self) + ":7600", {}, seconds(0));
            for (int node = 1; node <= 9; ++node) {
                view.take(statementOf(node, 5, 1), seconds(10));
            }
            owners += view.ownsCold(42, 4, seconds(11)) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(4, owners);
    }

    auto ownsCold_youngNode_isNoOwner() -> void
    {
        CPPUNIT_ASSERT(!this->members.ownsCold(42, 4, seconds(1)));
        CPPUNIT_ASSERT(this->members.ownsCold(42, 4, seconds(3)));
    }

    auto directory_drainingAndDead_areNotNamed() -> void
    {
        this->members.take(statementOf(2, 5, 1), seconds(10));
        this->members.take(statementOf(3, 5, 1), seconds(20));
        this->members.take(statementOf(4, 5, 1, Duration(0), NodePhase::Draining), seconds(20));
        const auto addresses =
            callerAddresses(statementOf(1, 1, 1), this->members, milliseconds(20100));
        CPPUNIT_ASSERT(addresses == (std::vector<std::string>{"10.0.0.1:80", "10.0.0.3:80"}));
    }

    auto directory_selfDraining_namesOthersOnly() -> void
    {
        this->members.take(statementOf(3, 5, 1), seconds(20));
        const auto self = statementOf(1, 1, 1, Duration(0), NodePhase::Draining);
        CPPUNIT_ASSERT(callerAddresses(self, this->members, milliseconds(20100))
                       == (std::vector<std::string>{"10.0.0.3:80"}));
    }

private:
    FleetMembers members{"10.0.0.1:7600", {"10.0.0.1:7600", "10.0.0.9:7600"}, seconds(0)};
    std::mt19937_64 random{7};
};

/** A node's shares of fleet-wide limits. */
class LimitSharesFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LimitSharesFixture);
    CPPUNIT_TEST(window_slides_forgetsOldAmounts);
    CPPUNIT_TEST(retries_beyondShare_areRefused);
    CPPUNIT_TEST(colds_allOwnersAtOnce_stayInsideTheBound);
    CPPUNIT_TEST_SUITE_END();

public:
    auto window_slides_forgetsOldAmounts() -> void
    {
        WindowCounter counter(seconds(10));
        counter.add(5, seconds(1));
        CPPUNIT_ASSERT_EQUAL(5.0, counter.sum(milliseconds(10900)));
        CPPUNIT_ASSERT_EQUAL(0.0, counter.sum(milliseconds(12000)));
    }

    auto retries_beyondShare_areRefused() -> void
    {
        RetryShare share(this->bounds);
        for (int request = 0; request < 100; ++request) {
            share.noteRequest("s", seconds(1));
        }
        int taken = 0;
        while (share.take("s", 5, seconds(1))) {
            ++taken;
        }
        CPPUNIT_ASSERT(taken >= 20);
        CPPUNIT_ASSERT(taken <= 0.2 * 100 + 50.0 / 5);
    }

    auto colds_allOwnersAtOnce_stayInsideTheBound() -> void
    {
        ServiceRule service;
        service.coldPerSecond = 13;
        for (const std::size_t fleet : {1U, 2U, 7U, 9U, 87U, 350U}) {
            ColdShare share(this->bounds);
            int each = 0;
            while (share.allows(1, service, fleet, seconds(1))) {
                share.note(1, seconds(1));
                ++each;
            }
            const auto total = each * static_cast<double>(share.owners(service, fleet));
            CPPUNIT_ASSERT(total >= 5);
            CPPUNIT_ASSERT(total <= 13 * 1.5 + 5);
        }
    }

private:
    FleetBounds bounds;
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(FleetMembersFixture);
CPPUNIT_TEST_SUITE_REGISTRATION(LimitSharesFixture);
