/**
 * @file crashing_system_prompt_tests.cpp Tests of requests whose system prompt was running when
 * servers crashed.
 */
#include "scheduler_fixture.h"

namespace {

using namespace banyanring;
using namespace banyanring::test;

/**
 * Guards against rejecting sound requests that share their system prompt with some that crash
 * servers, and against never trying those with two suspects again.
 */
class CrashingPartBesideSystemPromptFixture : public SchedulerFixtureBase
{
    CPPUNIT_TEST_SUITE(CrashingPartBesideSystemPromptFixture);
    CPPUNIT_TEST(systemPrompt_crashesBesideAnotherPart_isServedWithoutIt);
    CPPUNIT_TEST(systemPrompt_answeredAgain_isServed);
    CPPUNIT_TEST(systemPrompt_turnsHarmful_isRejectedAfterFiveCrashes);
    CPPUNIT_TEST(request_crashesThreeServers_leavesItsPromptServed);
    CPPUNIT_TEST(blockedPrompt_withTwoSuspects_getsOneTrial);
    CPPUNIT_TEST(blockedPrompt_suspectsOfTwoCoordinators_isTriedByOneOfThem);
    CPPUNIT_TEST_SUITE_END();

public:
    auto systemPrompt_crashesBesideAnotherPart_isServedWithoutIt() -> void
    {
        using Parts = std::vector<std::uint64_t>;
        const std::vector<std::pair<Parts, Parts>> cases{
            {{System, Crashing}, {System}},
            {{Crashing, System}, {System, Topic}},
            {{System, Crashing, Topic}, {System, Topic}},
            {{System, Topic, Crashing}, {System, Topic}}};
        for (const auto &[crashing, sound] : cases) {
            this->restart();
            this->answer(sound);
            this->crash(crashing, 3);
            CPPUNIT_ASSERT(!this->isServed(crashing));
            CPPUNIT_ASSERT(this->isServed(sound));
            CPPUNIT_ASSERT(!this->isServed({Crashing}));
        }
    }

    auto systemPrompt_answeredAgain_isServed() -> void
    {
        this->answer({System});
        this->crash({System, Crashing}, 3);
        this->answer({System});
        CPPUNIT_ASSERT(this->isServed({System, Topic}));
        const auto caller = this->submit(this->prompt({System, Crashing}));
        CPPUNIT_ASSERT_EQUAL(503, caller->response.status);
    }

    auto systemPrompt_turnsHarmful_isRejectedAfterFiveCrashes() -> void
    {
        this->answer({System});
        std::uint64_t topic = 100;
        while (topic < 105 && this->isServed({System, topic})) {
            this->crash({System, topic++}, 1);
        }
        CPPUNIT_ASSERT(!this->isServed({System}));
        CPPUNIT_ASSERT(!this->isServed({System, Topic}));
    }

    auto request_crashesThreeServers_leavesItsPromptServed() -> void
    {
        this->answer({System});
        const auto harmful = this->prompt({System});
        for (int count = 0; count < 3; ++count) {
            this->submitServed(harmful);
            this->loseServer();
        }
        CPPUNIT_ASSERT_EQUAL(503, this->submit(harmful)->response.status);
        CPPUNIT_ASSERT(this->isServed({System}));
    }

    auto blockedPrompt_withTwoSuspects_getsOneTrial() -> void
    {
        this->crash({Topic, Crashing}, 3);
        this->now += seconds(31);
        CPPUNIT_ASSERT(this->isServed({Topic, Crashing}));
        CPPUNIT_ASSERT(!this->isServed({Topic, Crashing}));
    }

    auto blockedPrompt_suspectsOfTwoCoordinators_isTriedByOneOfThem() -> void
    {
        int triedHere = 0;
        int triedThere = 0;
        for (std::uint64_t part = 100; part < 140; part += 2) {
            if (this->isTriedHere({part}) != this->isTriedHere({part + 1})) {
                ++(this->isTriedHere({part, part + 1}) ? triedHere : triedThere);
            }
        }
        CPPUNIT_ASSERT(triedHere > 0);
        CPPUNIT_ASSERT(triedThere > 0);
    }

private:
    static constexpr std::uint64_t System = 1;
    static constexpr std::uint64_t Crashing = 2;
    static constexpr std::uint64_t Topic = 3;

    /** @return Whether this one of two nodes tries a prompt that was blocked 31 s ago. */
    auto isTriedHere(const std::vector<std::uint64_t> &parts) -> bool
    {
        this->restart();
        this->crash(parts, 3);
        this->now += seconds(31);
        fleet::NodeStatus peer;
        peer.peerAddress = "127.0.0.2:1";
        peer.incarnation = 1;
        peer.sequence = 1;
        peer.phase = fleet::NodePhase::Ready;
        this->state->members.mergeStatus(peer, this->now);
        return this->isServed(parts);
    }

    auto restart() -> void
    {
        this->scheduler.reset();
        this->servers.dispatches.clear();
        this->setUp();
    }

    auto prompt(std::vector<std::uint64_t> parts) -> CallerRequest
    {
        auto result = this->request("/draft/" + std::to_string(++this->requests));
        result.sharedPromptParts = std::move(parts);
        return result;
    }

    auto submitServed(CallerRequest arriving) -> void
    {
        const auto sent = this->servers.dispatches.size();
        this->submit(std::move(arriving));
        CPPUNIT_ASSERT(this->servers.dispatches.size() > sent);
    }

    auto answer(std::vector<std::uint64_t> parts) -> void
    {
        this->submitServed(this->prompt(std::move(parts)));
        stream(this->lastDispatch(), 1, 2);
        this->lastDispatch().observer->onResponseEnd();
    }

    /** Ends the server of the last request before it answers; all servers start anew. */
    auto loseServer() -> void
    {
        this->now += milliseconds(300);
        this->lastDispatch().observer->onExchangeFailed(ExchangeFailure::NoResponse);
        ++this->starts;
        for (const auto *id : {"e1", "e2"}) {
            this->state->servers.registerServer(
                {id, "llm", "10.0.0.1:80", "z1", 2, false, {}, this->starts}, Duration(0),
                this->now);
        }
    }

    auto crash(const std::vector<std::uint64_t> &parts, int count) -> void
    {
        for (; count > 0; --count) {
            this->submitServed(this->prompt(parts));
            this->loseServer();
        }
    }

    /** @return Whether a request is dispatched; its caller disconnects then. */
    auto isServed(std::vector<std::uint64_t> parts) -> bool
    {
        const auto sent = this->servers.dispatches.size();
        this->submit(this->prompt(std::move(parts)));
        const bool isDispatched = this->servers.dispatches.size() > sent;
        this->scheduler->onCallerDisconnected(this->requestNumber);
        return isDispatched;
    }

    std::uint64_t starts = 1;
    int requests = 0;
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingPartBesideSystemPromptFixture);
