/** @file queue_tests.cpp Tests of the queue, the placement and the splitting of streams. */
#include "banyanring/fleet/admission_queue.h"
#include "banyanring/fleet/placement.h"
#include "banyanring/gateway/event_stream_parser.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace banyanring;
using namespace banyanring::fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** Waiting requests. */
class AdmissionQueueFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdmissionQueueFixture);
    CPPUNIT_TEST(order_tiers_mostUrgentFirst);
    CPPUNIT_TEST(order_lateOnes_comeLast);
    CPPUNIT_TEST(order_sameTier_leastServedOrganisationFirst);
    CPPUNIT_TEST(takeExpired_timeOver_givesThemOnce);
    CPPUNIT_TEST(aheadOf_laterAndLessUrgent_doNotCount);
    CPPUNIT_TEST_SUITE_END();

public:
    auto order_tiers_mostUrgentFirst() -> void
    {
        this->queue.push({1, 2, 0, 1, seconds(2), seconds(9)});
        this->queue.push({2, 0, 0, 1, seconds(3), seconds(9)});
        this->queue.push({3, 0, 0, 1, seconds(2), seconds(9)});
        CPPUNIT_ASSERT(this->queue.order(seconds(1)) == (std::vector<std::uint64_t>{3, 2, 1}));
    }

    auto order_lateOnes_comeLast() -> void
    {
        this->queue.push({1, 0, 0, 1, seconds(2), seconds(9)});
        this->queue.push({2, 2, 0, 1, seconds(5), seconds(9)});
        CPPUNIT_ASSERT(this->queue.order(seconds(3)) == (std::vector<std::uint64_t>{2, 1}));
    }

    auto order_sameTier_leastServedOrganisationFirst() -> void
    {
        this->queue.noteServed(7, 1000, seconds(1));
        this->queue.push({1, 1, 7, 1, seconds(2), seconds(9)});
        this->queue.push({2, 1, 8, 1, seconds(3), seconds(9)});
        CPPUNIT_ASSERT(this->queue.order(seconds(1)) == (std::vector<std::uint64_t>{2, 1}));
    }

    auto takeExpired_timeOver_givesThemOnce() -> void
    {
        this->queue.push({1, 1, 7, 1, seconds(2), seconds(3)});
        CPPUNIT_ASSERT(this->queue.takeExpired(seconds(2)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->queue.takeExpired(seconds(3)).size());
        CPPUNIT_ASSERT(this->queue.takeExpired(seconds(4)).empty());
    }

    auto aheadOf_laterAndLessUrgent_doNotCount() -> void
    {
        this->queue.push({1, 1, 0, 1, seconds(2), seconds(9)});
        this->queue.push({2, 1, 0, 1, seconds(4), seconds(9)});
        this->queue.push({3, 2, 0, 1, seconds(3), seconds(9)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->queue.aheadOf(2, seconds(1)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->queue.aheadOf(1, seconds(1)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->queue.aheadOf(1, seconds(3)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->queue.aheadOf(9, seconds(1)));
    }

private:
    AdmissionQueue queue;
};

/** The choice of a server. */
class PlacementFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlacementFixture);
    CPPUNIT_TEST(choose_fasterServer_isPreferred);
    CPPUNIT_TEST(choose_fullServer_isPassedOver);
    CPPUNIT_TEST(choose_peersFillServer_isPassedOver);
    CPPUNIT_TEST(choose_coldWithoutShare_isPassedOver);
    CPPUNIT_TEST(choose_setAside_isLastResort);
    CPPUNIT_TEST(choose_wouldNotEndInTime_takesTheOther);
    CPPUNIT_TEST(choose_wouldAnswerLate_takesTheOther);
    CPPUNIT_TEST(line_samples_giveBaseAndSlope);
    CPPUNIT_TEST(choose_noneUsable_givesNone);
    CPPUNIT_TEST(choose_longPromptAhead_takesTheOther);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        for (int number = 0; number < 2; ++number) {
            auto server = std::make_shared<Server>();
            server->entry.id = std::to_string(number);
            server->entry.slots = 2;
            server->number = 1;
            server->pace.firstByte.adopt(5, 0.02);
            server->pace.outputMsPerToken = 5;
            this->servers.push_back(server);
        }
    }

    auto choose() -> Choice
    {
        return choosePlacement(
            this->servers, {true, 1000, 200, 0, this->targetMs, 0, 5000, 3},
            [this](const Server &server) { return &server != this->unusable; },
            [](const Server &) { return false; }, this->now);
    }

    auto choose_fasterServer_isPreferred() -> void
    {
        this->servers[0]->pace.outputMsPerToken = 9;
        CPPUNIT_ASSERT(this->choose().server == this->servers[1]);
        this->servers[1]->pace.outputMsPerToken = 15;
        CPPUNIT_ASSERT(this->choose().server == this->servers[0]);
    }

    auto choose_fullServer_isPassedOver() -> void
    {
        this->servers[0]->own.requests = 2;
        this->servers[1]->pace.outputMsPerToken = 15;
        CPPUNIT_ASSERT(this->choose().server == this->servers[1]);
        this->servers[1]->own.requests = 2;
        CPPUNIT_ASSERT(this->choose().server == nullptr);
    }

    auto choose_peersFillServer_isPassedOver() -> void
    {
        this->servers[0]->own.requests = 1;
        this->servers[0]->peers.requests = 1;
        CPPUNIT_ASSERT(this->choose().server == this->servers[1]);
    }

    auto choose_coldWithoutShare_isPassedOver() -> void
    {
        this->servers[0]->coldUntil = this->now + seconds(1);
        this->servers[1]->pace.outputMsPerToken = 15;
        CPPUNIT_ASSERT(this->choose().server == this->servers[1]);
    }

    auto choose_setAside_isLastResort() -> void
    {
        this->servers[0]->ejectedUntil = this->now + seconds(1);
        this->servers[1]->pace.outputMsPerToken = 15;
        CPPUNIT_ASSERT(this->choose().server == this->servers[1]);
        this->unusable = this->servers[1].get();
        CPPUNIT_ASSERT(this->choose().server == this->servers[0]);
    }

    auto choose_wouldNotEndInTime_takesTheOther() -> void
    {
        this->servers[0]->pace.outputMsPerToken = 30;
        this->servers[1]->pace.outputMsPerToken = 15;
        this->servers[1]->own.promptWork = 40000;
        CPPUNIT_ASSERT(this->choose().server == this->servers[1]);
    }

    auto choose_wouldAnswerLate_takesTheOther() -> void
    {
        this->servers[0]->pace.firstByte.adopt(5, 0.3);
        this->servers[1]->pace.outputMsPerToken = 15;
        CPPUNIT_ASSERT(this->choose().server == this->servers[0]);
        this->targetMs = 300;
        CPPUNIT_ASSERT(this->choose().server == this->servers[1]);
        CPPUNIT_ASSERT(!this->choose().poor);
        this->unusable = this->servers[1].get();
        CPPUNIT_ASSERT(this->choose().poor);
    }

    auto line_samples_giveBaseAndSlope() -> void
    {
        FadingLine line;
        for (int sample = 0; sample < 400; ++sample) {
            const double work = sample % 9 == 0 ? 30000 : 400;
            line.learn(work, 20 + 0.01 * work);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(20, line.base(), 1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.01, line.slope(), 0.0005);
    }

    auto choose_noneUsable_givesNone() -> void
    {
        this->servers.pop_back();
        this->unusable = this->servers[0].get();
        CPPUNIT_ASSERT(this->choose().server == nullptr);
    }

    auto choose_longPromptAhead_takesTheOther() -> void
    {
        this->servers[0]->peers.promptWork = 50000;
        CPPUNIT_ASSERT(this->choose().server == this->servers[1]);
    }

private:
    std::vector<ServerPtr> servers;
    const Server *unusable = nullptr;
    double targetMs = 0;
    Instant now = seconds(100);
};

/** Streams of events. */
class EventStreamFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EventStreamFixture);
    CPPUNIT_TEST(take_partsOfEvents_givesWholeOnes);
    CPPUNIT_TEST(take_afterRestart_dropsWhatWasDelivered);
    CPPUNIT_TEST(take_missingEvent_tellsOfTheGap);
    CPPUNIT_TEST_SUITE_END();

public:
    auto take_partsOfEvents_givesWholeOnes() -> void
    {
        gateway::EventStreamParser stream(std::nullopt);
        CPPUNIT_ASSERT_EQUAL(std::string(), stream.feed("id: 1\ndata: a").events);
        CPPUNIT_ASSERT(!stream.atEventBoundary());
        CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\n"), stream.feed("\n\nid: 2").events);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, *stream.lastEventId());
    }

    auto take_afterRestart_dropsWhatWasDelivered() -> void
    {
        gateway::EventStreamParser stream(std::nullopt);
        stream.feed("id: 1\ndata: a\n\nid: 2\nda");
        stream.reset();
        const auto taken = stream.feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        CPPUNIT_ASSERT_EQUAL(std::string("id: 2\ndata: b\n\n"), taken.events);
        CPPUNIT_ASSERT(stream.atEventBoundary());
    }

    auto take_missingEvent_tellsOfTheGap() -> void
    {
        gateway::EventStreamParser stream(4);
        const auto taken = stream.feed("id: 5\n\nid: 7\n\n");
        CPPUNIT_ASSERT_EQUAL(std::string("id: 5\n\n"), taken.events);
        CPPUNIT_ASSERT(taken.gap);
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionQueueFixture);
CPPUNIT_TEST_SUITE_REGISTRATION(PlacementFixture);
CPPUNIT_TEST_SUITE_REGISTRATION(EventStreamFixture);
