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
auto statusOf(int node, std::uint64_t incarnation, std::uint64_t sequence,
              Duration age = Duration(0), NodePhase phase = NodePhase::Ready) -> NodeStatus
{
    NodeStatus status;
    status.peerAddress = "10.0.0." + std::to_string(node) + ":7600";
    status.entryAddress = "10.0.0." + std::to_string(node) + ":80";
    status.domain = node % 2 == 0 ? "even" : "odd";
    status.incarnation = incarnation;
    status.sequence = sequence;
    status.phase = phase;
    status.age = age;
    return status;
}

/** Fleet membership by gossip. */
class FleetMembersFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetMembersFixture);
    CPPUNIT_TEST(mergeStatus_olderSequence_isIgnored);
    CPPUNIT_TEST(mergeStatus_restartedNode_newestIssuedWins);
    CPPUNIT_TEST(aliveMembers_unresponsiveNode_isDroppedWithinTwoSeconds);
    CPPUNIT_TEST(gossipTargets_noneAlive_includesSeedsAndUnresponsiveNodes);
    CPPUNIT_TEST(reachableFraction_anySplit_sumsToAtMostOne);
    CPPUNIT_TEST(isDesignatedSender_allNodes_agreeOnTheSenders);
    CPPUNIT_TEST(isDesignatedSender_recentlyStartedNode_mayNot);
    CPPUNIT_TEST(listEntryAddresses_drainingAndUnresponsiveNodes_areNotListed);
    CPPUNIT_TEST(listEntryAddresses_drainingSelf_listsOthersOnly);
    CPPUNIT_TEST_SUITE_END();

public:
    auto mergeStatus_olderSequence_isIgnored() -> void
    {
        this->members.mergeStatus(statusOf(2, 5, 9), seconds(10));
        CPPUNIT_ASSERT(!this->members.mergeStatus(statusOf(2, 5, 8), seconds(11)));
        CPPUNIT_ASSERT(this->members.aliveMembers(seconds(11)).size() == 1);
        CPPUNIT_ASSERT(this->members.all().begin()->second.issuedAt == seconds(10));
    }

    auto mergeStatus_restartedNode_newestIssuedWins() -> void
    {
        this->members.mergeStatus(statusOf(2, 5, 9), seconds(10));
        this->members.mergeStatus(statusOf(2, 6, 1), seconds(11));
        this->members.mergeStatus(statusOf(2, 5, 10, milliseconds(1500)), seconds(12));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6},
                             this->members.all().begin()->second.status.incarnation);
    }

    auto aliveMembers_unresponsiveNode_isDroppedWithinTwoSeconds() -> void
    {
        this->members.mergeStatus(statusOf(2, 5, 1), seconds(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->members.aliveMembers(seconds(11)).size());
        CPPUNIT_ASSERT(this->members.aliveMembers(seconds(12)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->members.fleetSize(seconds(12)));
    }

    auto gossipTargets_noneAlive_includesSeedsAndUnresponsiveNodes() -> void
    {
        this->members.mergeStatus(statusOf(2, 5, 1), seconds(10));
        const auto targets = this->members.gossipTargets(8, 8, this->random, seconds(20));
        CPPUNIT_ASSERT(targets == (std::vector<std::string>{"10.0.0.2:7600", "10.0.0.9:7600"}));
        CPPUNIT_ASSERT(this->members.gossipTargets(8, 8, this->random, seconds(20)).empty());
    }

    auto reachableFraction_anySplit_sumsToAtMostOne() -> void
    {
        for (int size = 2; size <= 9; ++size) {
            for (int reachable = 1; reachable < size; ++reachable) {
                const auto fractionOf = [&](int aliveNodes) {
                    FleetMembers view("10.0.0.1:7600", {}, seconds(0));
                    for (int node = 2; node <= size; ++node) {
                        view.mergeStatus(statusOf(node, 5, 1),
                                         seconds(node <= aliveNodes ? 20 : 10));
                    }
                    return view.reachableFraction(seconds(21));
                };
                // Two sides of a partition, and one side next to isolated nodes.
                CPPUNIT_ASSERT(fractionOf(reachable) + fractionOf(size - reachable) <= 1.01);
                CPPUNIT_ASSERT(fractionOf(reachable) + (size - reachable) * fractionOf(1) <= 1.01);
            }
        }
    }

    auto isDesignatedSender_allNodes_agreeOnTheSenders() -> void
    {
        int senders = 0;
        for (int self = 1; self <= 9; ++self) {
            FleetMembers view("10.0.0." + std::to_string(self) + ":7600", {}, seconds(0));
            for (int node = 1; node <= 9; ++node) {
                view.mergeStatus(statusOf(node, 5, 1), seconds(10));
            }
            senders += view.isDesignatedSender(42, 4, seconds(11)) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(4, senders);
    }

    auto isDesignatedSender_recentlyStartedNode_mayNot() -> void
    {
        CPPUNIT_ASSERT(!this->members.isDesignatedSender(42, 4, seconds(1)));
        CPPUNIT_ASSERT(this->members.isDesignatedSender(42, 4, seconds(3)));
    }

    auto listEntryAddresses_drainingAndUnresponsiveNodes_areNotListed() -> void
    {
        this->members.mergeStatus(statusOf(2, 5, 1), seconds(10));
        this->members.mergeStatus(statusOf(3, 5, 1), seconds(20));
        this->members.mergeStatus(statusOf(4, 5, 1, Duration(0), NodePhase::Draining), seconds(20));
        const auto addresses =
            listEntryAddresses(statusOf(1, 1, 1), this->members, "odd", milliseconds(20100));
        CPPUNIT_ASSERT(addresses == (std::vector<std::string>{"10.0.0.1:80", "10.0.0.3:80"}));
    }

    auto listEntryAddresses_drainingSelf_listsOthersOnly() -> void
    {
        this->members.mergeStatus(statusOf(3, 5, 1), seconds(20));
        const auto self = statusOf(1, 1, 1, Duration(0), NodePhase::Draining);
        CPPUNIT_ASSERT(listEntryAddresses(self, this->members, "odd", milliseconds(20100))
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
    CPPUNIT_TEST(slidingWindow_slides_dropsOldAmounts);
    CPPUNIT_TEST(retryBudget_exhausted_rejectsRetries);
    CPPUNIT_TEST(coldLimiter_allSendersAtOnce_stayWithinTheBound);
    CPPUNIT_TEST_SUITE_END();

public:
    auto slidingWindow_slides_dropsOldAmounts() -> void
    {
        SlidingWindowCounter counter(seconds(10));
        counter.add(5, seconds(1));
        CPPUNIT_ASSERT_EQUAL(5.0, counter.sum(milliseconds(10900)));
        CPPUNIT_ASSERT_EQUAL(0.0, counter.sum(milliseconds(12000)));
    }

    auto retryBudget_exhausted_rejectsRetries() -> void
    {
        RetryBudget budget(this->bounds);
        for (int request = 0; request < 100; ++request) {
            budget.recordRequest("s", seconds(1));
        }
        int taken = 0;
        while (budget.tryTake("s", 5, seconds(1))) {
            ++taken;
        }
        CPPUNIT_ASSERT(taken >= 20);
        CPPUNIT_ASSERT(taken <= 0.2 * 100 + 50.0 / 5);
    }

    auto coldLimiter_allSendersAtOnce_stayWithinTheBound() -> void
    {
        ServiceConfig service;
        service.coldRatePerSecond = 13;
        for (const std::size_t fleetSize : {1U, 2U, 7U, 9U, 87U, 350U}) {
            ColdServerLimiter limiter(this->bounds);
            int perSender = 0;
            while (limiter.allows(1, service, fleetSize, seconds(1))) {
                limiter.recordRequest(1, seconds(1));
                ++perSender;
            }
            const auto total =
                perSender * static_cast<double>(limiter.senderCount(service, fleetSize));
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
