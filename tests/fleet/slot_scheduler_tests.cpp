/** @file slot_scheduler_tests.cpp Tests of a request's way with a keeper of slots. */
#include "scheduler_world.h"

namespace {

using namespace banyanring;
using namespace banyanring::test;
using fleet::SlotEvent;
using fleet::SlotOutcome;

/** Records asks for slots, and answers when the test says so. */
class FakeSlots : public SlotPort
{
public:
    auto ask(fleet::SlotRequest ask, const std::string &)
        -> std::optional<fleet::SlotReply> override
    {
        this->asks.push_back(std::move(ask));
        return this->reply;
    }
    auto withdraw(std::uint64_t ask) -> void override
    {
        this->withdrawn.push_back(ask);
    }
    auto report(fleet::SlotReport report) -> void override
    {
        this->events.push_back(report.event);
    }

    std::vector<fleet::SlotRequest> asks;
    std::vector<std::uint64_t> withdrawn;
    std::vector<SlotEvent> events;
    std::optional<fleet::SlotReply> reply; ///< Given at once, if any.
};

/** A node that asks a keeper for slots. */
class SlotSchedulerFixture : public SchedulerWorld
{
    CPPUNIT_TEST_SUITE(SlotSchedulerFixture);
    CPPUNIT_TEST(request_asked_waitsForTheGrant);
    CPPUNIT_TEST(request_granted_goesToThatServerAndReports);
    CPPUNIT_TEST(request_grantOfLeavingServer_isGivenBackAndPlacedHere);
    CPPUNIT_TEST(request_keeperSilent_isPlacedHere);
    CPPUNIT_TEST(request_unkept_isPlacedHere);
    CPPUNIT_TEST(request_longWaitTold_isRefusedAtOnce);
    CPPUNIT_TEST(request_overtakenWhileItWaits_isRefused);
    CPPUNIT_TEST(request_waitsTooLong_isRefusedAndWithdrawn);
    CPPUNIT_TEST(caller_goneWhileAsked_withdraws);
    CPPUNIT_TEST(grant_forEndedRequest_isGivenBack);
    CPPUNIT_TEST(request_rejectedByServer_asksWithoutIt);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        SchedulerWorld::setUp();
        this->scheduler->setSlots(this->slots);
    }

    auto grant(const std::string &id) -> void
    {
        this->scheduler->slotAnswered({this->slots.asks.back().id,
                                       SlotOutcome::Granted,
                                       this->books->servers.find(id)->hash,
                                       {}});
    }

    auto queued(Duration wait) -> void
    {
        this->scheduler->slotAnswered({this->slots.asks.back().id, SlotOutcome::Queued, 0, wait});
    }

    auto request_asked_waitsForTheGrant() -> void
    {
        this->start(this->request("/order/1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->slots.asks.size());
        this->pass(milliseconds(100));
        CPPUNIT_ASSERT(this->servers.sends.empty());
    }

    auto request_granted_goesToThatServerAndReports() -> void
    {
        const auto caller = this->start(this->request("/order/1"));
        this->grant("p2");
        CPPUNIT_ASSERT_EQUAL(std::string("p2"), this->last().server);
        reply(this->last(), 200);
        CPPUNIT_ASSERT_EQUAL(200, caller->whole.status);
        CPPUNIT_ASSERT(this->slots.events == std::vector<SlotEvent>{SlotEvent::Succeeded});
        CPPUNIT_ASSERT(this->slots.withdrawn.empty());
    }

    auto request_grantOfLeavingServer_isGivenBackAndPlacedHere() -> void
    {
        this->start(this->request("/order/1"));
        this->books->servers.registerServer({"p2", "desk", "10.0.0.1:80", "z2", 2, true, {}, 1},
                                            Duration(0), this->now);
        this->grant("p2");
        CPPUNIT_ASSERT_EQUAL(std::string("p1"), this->last().server);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->slots.withdrawn.size());
    }

    auto request_keeperSilent_isPlacedHere() -> void
    {
        this->start(this->request("/order/1"));
        this->scheduler->slotSilent(this->slots.asks.back().id);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->servers.sends.size());
    }

    auto request_unkept_isPlacedHere() -> void
    {
        this->slots.reply = fleet::SlotReply{};
        this->start(this->request("/order/1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->servers.sends.size());
    }

    auto request_longWaitTold_isRefusedAtOnce() -> void
    {
        const auto caller = this->start(this->request("/order/1"));
        this->queued(seconds(2));
        CPPUNIT_ASSERT_EQUAL(503, caller->whole.status);
        CPPUNIT_ASSERT(!caller->header("Retry-After").empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->slots.withdrawn.size());
    }

    auto request_overtakenWhileItWaits_isRefused() -> void
    {
        const auto caller = this->start(this->request("/order/1"));
        this->queued(milliseconds(50));
        CPPUNIT_ASSERT_EQUAL(0, caller->finals);
        this->queued(seconds(3));
        CPPUNIT_ASSERT_EQUAL(503, caller->whole.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->scheduler->waitingRuns());
    }

    auto request_waitsTooLong_isRefusedAndWithdrawn() -> void
    {
        const auto caller = this->start(this->request("/order/1"));
        this->queued(Duration(0));
        this->pass(seconds(3));
        CPPUNIT_ASSERT_EQUAL(503, caller->whole.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->slots.withdrawn.size());
    }

    auto caller_goneWhileAsked_withdraws() -> void
    {
        this->start(this->request("/order/1"));
        this->scheduler->callerGone(this->run);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->slots.withdrawn.size());
    }

    auto grant_forEndedRequest_isGivenBack() -> void
    {
        this->start(this->request("/order/1"));
        this->scheduler->callerGone(this->run);
        this->slots.withdrawn.clear();
        this->grant("p1");
        CPPUNIT_ASSERT(this->servers.sends.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->slots.withdrawn.size());
    }

    auto request_rejectedByServer_asksWithoutIt() -> void
    {
        this->start(this->request("/order/1"));
        this->grant("p1");
        reply(this->last(), 503, true, true);
        CPPUNIT_ASSERT(this->slots.events == std::vector<SlotEvent>{SlotEvent::Rejected});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->slots.asks.size());
        CPPUNIT_ASSERT(this->slots.asks[0].id != this->slots.asks[1].id);
        CPPUNIT_ASSERT(this->slots.asks.back().excludedServers
                       == std::vector<std::uint32_t>{this->books->servers.find("p1")->hash});
    }

private:
    FakeSlots slots;
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(SlotSchedulerFixture);
