/** @file scheduler_tests.cpp Tests of a request's way from its arrival to its final answer. */
#include "scheduler_world.h"

namespace {

using namespace banyanring;
using namespace banyanring::test;

/** A node with two servers of an engine and two of a plain service. */
class SchedulerFixture : public SchedulerWorld
{
    CPPUNIT_TEST_SUITE(SchedulerFixture);
    CPPUNIT_TEST(request_noConfig_isRefusedAsNotRun);
    CPPUNIT_TEST(request_unknownRoute_is404);
    CPPUNIT_TEST(request_withdrawnKey_is401);
    CPPUNIT_TEST(request_sent_carriesOrganisationAndNoKey);
    CPPUNIT_TEST(request_sealedAnswer_isDelivered);
    CPPUNIT_TEST(request_unsealedSuccess_is502);
    CPPUNIT_TEST(request_unsealed503_isNoPromise);
    CPPUNIT_TEST(order_noAnswer_isSentOnceAnd502);
    CPPUNIT_TEST(order_unreachable_goesToAnotherServer);
    CPPUNIT_TEST(order_rejected_goesToAnotherServer);
    CPPUNIT_TEST(order_rejectedEverywhere_isRefusedAsNotRun);
    CPPUNIT_TEST(lookup_noAnswer_isRepeatedAtAnother);
    CPPUNIT_TEST(lookup_serverError_isRepeatedAtMostOnce);
    CPPUNIT_TEST(lookup_silentServer_isRepeatedAtAnother);
    CPPUNIT_TEST(draft_cutStream_neverEndsAsComplete);
    CPPUNIT_TEST(draft_endInsideEvent_neverEndsAsComplete);
    CPPUNIT_TEST(clause_cutStream_goesOnAtAnother);
    CPPUNIT_TEST(clause_cutTwice_staysWithinItsServers);
    CPPUNIT_TEST(timeout_waiting_isRefusedAsNotRun);
    CPPUNIT_TEST(timeout_sent_is504);
    CPPUNIT_TEST(timeout_streaming_isBrokenOff);
    CPPUNIT_TEST(timeLeft_sent_isWhatIsLeft);
    CPPUNIT_TEST(caller_gone_cancelsTheExchange);
    CPPUNIT_TEST(caller_slow_pausesTheServerUntilItCatchesUp);
    CPPUNIT_TEST(server_domainOut_getsNothing);
    CPPUNIT_TEST(server_draining_getsNothing);
    CPPUNIT_TEST(crashes_threeServers_refusesTheRequest);
    CPPUNIT_TEST(quota_spent_is429WithRetryAfter);
    CPPUNIT_TEST(overload_refusesAtOnceWithRetryAfter);
    CPPUNIT_TEST(queue_slotFree_urgentFirst);
    CPPUNIT_TEST_SUITE_END();

public:
    auto request_noConfig_isRefusedAsNotRun() -> void
    {
        NodeBooks empty(this->environment, seconds(0));
        Scheduler fresh(
            empty, this->servers, [this] { return this->now; }, 1);
        auto caller = std::make_shared<FakeCaller>();
        fresh.accept(caller, this->request("/order/1"));
        CPPUNIT_ASSERT_EQUAL(503, caller->whole.status);
        CPPUNIT_ASSERT(!caller->header("Retry-After").empty());
    }

    auto request_unknownRoute_is404() -> void
    {
        CPPUNIT_ASSERT_EQUAL(404, this->start(this->request("/other/1"))->whole.status);
        CPPUNIT_ASSERT(this->servers.sends.empty());
    }

    auto request_withdrawnKey_is401() -> void
    {
        CPPUNIT_ASSERT_EQUAL(401, this->start(this->request("/order/1", ""))->whole.status);
        auto next = this->config(2);
        next->organisationByKey.clear();
        this->books->config.update(next, this->now);
        CPPUNIT_ASSERT_EQUAL(401, this->start(this->request("/order/1"))->whole.status);
        CPPUNIT_ASSERT(this->servers.sends.empty());
    }

    auto request_sent_carriesOrganisationAndNoKey() -> void
    {
        this->start(this->request("/order/1"));
        CPPUNIT_ASSERT(this->last().bytes.find("red") != std::string::npos);
        CPPUNIT_ASSERT(this->last().bytes.find("key-1") == std::string::npos);
        this->start(this->request("/open/1", ""));
        CPPUNIT_ASSERT(this->last().bytes.find("red") == std::string::npos);
    }

    auto request_sealedAnswer_isDelivered() -> void
    {
        const auto caller = this->start(this->request("/order/1"));
        reply(this->last(), 201);
        CPPUNIT_ASSERT_EQUAL(201, caller->whole.status);
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), caller->whole.body);
        CPPUNIT_ASSERT_EQUAL(1, caller->finals);
    }

    auto request_unsealedSuccess_is502() -> void
    {
        const auto caller = this->start(this->request("/order/1"));
        reply(this->last(), 200, false);
        CPPUNIT_ASSERT_EQUAL(502, caller->whole.status);
    }

    auto request_unsealed503_isNoPromise() -> void
    {
        const auto caller = this->start(this->request("/order/1"));
        reply(this->last(), 503);
        CPPUNIT_ASSERT_EQUAL(502, caller->whole.status);
    }

    auto order_noAnswer_isSentOnceAnd502() -> void
    {
        const auto caller = this->start(this->request("/order/1"));
        this->last().listener->onAnswerFailed(ExchangeFailure::NoAnswer);
        CPPUNIT_ASSERT_EQUAL(502, caller->whole.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->servers.sends.size());
    }

    auto order_unreachable_goesToAnotherServer() -> void
    {
        const auto caller = this->start(this->request("/order/1"));
        const auto first = this->last().server;
        this->last().listener->onAnswerFailed(ExchangeFailure::NotSent);
        CPPUNIT_ASSERT(this->last().server != first);
        reply(this->last(), 200);
        CPPUNIT_ASSERT_EQUAL(200, caller->whole.status);
    }

    auto order_rejected_goesToAnotherServer() -> void
    {
        const auto caller = this->start(this->request("/order/1"));
        const auto first = this->last().server;
        reply(this->last(), 503, false, true);
        CPPUNIT_ASSERT(this->last().server != first);
        reply(this->last(), 200);
        CPPUNIT_ASSERT_EQUAL(200, caller->whole.status);
    }

    auto order_rejectedEverywhere_isRefusedAsNotRun() -> void
    {
        const auto caller = this->start(this->request("/order/1"));
        reply(this->last(), 503, false, true);
        reply(this->last(), 503, false, true);
        this->pass(seconds(1));
        CPPUNIT_ASSERT_EQUAL(503, caller->whole.status);
        CPPUNIT_ASSERT_EQUAL(1, caller->finals);
    }

    auto lookup_noAnswer_isRepeatedAtAnother() -> void
    {
        const auto caller = this->start(this->request("/lookup/1"));
        const auto first = this->last().server;
        this->last().listener->onAnswerFailed(ExchangeFailure::NoAnswer);
        CPPUNIT_ASSERT(this->last().server != first);
        reply(this->last(), 200);
        CPPUNIT_ASSERT_EQUAL(200, caller->whole.status);
    }

    auto lookup_serverError_isRepeatedAtMostOnce() -> void
    {
        const auto caller = this->start(this->request("/lookup/1"));
        reply(this->last(), 500);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->servers.sends.size());
        reply(this->last(), 500);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->servers.sends.size());
        CPPUNIT_ASSERT_EQUAL(500, caller->whole.status);
    }

    auto lookup_silentServer_isRepeatedAtAnother() -> void
    {
        const auto caller = this->start(this->request("/lookup/1"));
        this->last().listener->onSent();
        this->pass(milliseconds(1200));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->servers.sends.size());
        CPPUNIT_ASSERT(this->servers.sends.front()->cancelled);
        reply(this->last(), 200);
        CPPUNIT_ASSERT_EQUAL(200, caller->whole.status);
    }

    auto draft_cutStream_neverEndsAsComplete() -> void
    {
        const auto caller = this->start(this->request("/draft/1"));
        stream(this->last(), 1, 3);
        this->last().listener->onAnswerFailed(ExchangeFailure::Truncated);
        CPPUNIT_ASSERT(caller->aborted);
        CPPUNIT_ASSERT(!caller->ended);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->servers.sends.size());
    }

    auto draft_endInsideEvent_neverEndsAsComplete() -> void
    {
        const auto caller = this->start(this->request("/draft/1"));
        stream(this->last(), 1, 3);
        this->last().listener->onAnswerData("id: 4\nda");
        this->last().listener->onAnswerEnd();
        CPPUNIT_ASSERT(caller->aborted);
        CPPUNIT_ASSERT(!caller->ended);
    }

    auto clause_cutStream_goesOnAtAnother() -> void
    {
        const auto caller = this->start(this->request("/clause/1"));
        const auto first = this->last().server;
        stream(this->last(), 1, 3);
        this->last().listener->onAnswerData("id: 4\nda");
        this->last().listener->onAnswerFailed(ExchangeFailure::Truncated);
        CPPUNIT_ASSERT(this->last().server != first);
        CPPUNIT_ASSERT(this->last().bytes.find("Last-Event-Id: 3\r\n") != std::string::npos);
        stream(this->last(), 4, 5);
        this->last().listener->onAnswerEnd();
        CPPUNIT_ASSERT(caller->ended);
        CPPUNIT_ASSERT_EQUAL(1, caller->finals);
        std::string whole;
        for (int id = 1; id <= 5; ++id) {
            whole += "id: " + std::to_string(id) + "\ndata: x\n\n";
        }
        CPPUNIT_ASSERT_EQUAL(whole, caller->stream);
    }

    auto clause_cutTwice_staysWithinItsServers() -> void
    {
        const auto caller = this->start(this->request("/clause/1"));
        stream(this->last(), 1, 3);
        this->last().listener->onAnswerFailed(ExchangeFailure::Truncated);
        stream(this->last(), 4, 4);
        this->last().listener->onAnswerFailed(ExchangeFailure::Truncated);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->servers.sends.size());
        CPPUNIT_ASSERT(caller->aborted);
    }

    auto timeout_waiting_isRefusedAsNotRun() -> void
    {
        this->books->servers.markUnregistered("p1", this->now);
        this->books->servers.markUnregistered("p2", this->now);
        this->books->servers.removeExpired(this->now);
        const auto caller = this->start(this->request("/order/1"));
        this->pass(seconds(5));
        CPPUNIT_ASSERT_EQUAL(503, caller->whole.status);
        CPPUNIT_ASSERT_EQUAL(1, caller->finals);
    }

    auto timeout_sent_is504() -> void
    {
        const auto caller = this->start(this->request("/order/1"));
        this->last().listener->onSent();
        this->pass(milliseconds(4100));
        CPPUNIT_ASSERT_EQUAL(504, caller->whole.status);
        CPPUNIT_ASSERT(this->last().cancelled);
    }

    auto timeout_streaming_isBrokenOff() -> void
    {
        const auto caller = this->start(this->request("/draft/1"));
        stream(this->last(), 1, 3);
        this->pass(milliseconds(4100));
        CPPUNIT_ASSERT(caller->aborted);
        CPPUNIT_ASSERT(this->last().cancelled);
    }

    auto timeLeft_sent_isWhatIsLeft() -> void
    {
        auto arriving = this->request("/order/1");
        arriving.arrivedAt = this->now - milliseconds(300);
        this->start(std::move(arriving));
        CPPUNIT_ASSERT(this->last().bytes.find(": 3700\r\n") != std::string::npos);
    }

    auto caller_gone_cancelsTheExchange() -> void
    {
        const auto caller = this->start(this->request("/draft/1"));
        this->last().listener->onSent();
        this->scheduler->callerGone(this->run);
        CPPUNIT_ASSERT(this->last().cancelled);
        this->scheduler->tick();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->scheduler->openRuns());
    }

    auto caller_slow_pausesTheServerUntilItCatchesUp() -> void
    {
        const auto caller = this->start(this->request("/draft/1"));
        caller->untaken = 1U << 20U;
        stream(this->last(), 1, 2);
        CPPUNIT_ASSERT(this->last().paused);
        caller->untaken = 0;
        this->pass(milliseconds(100));
        CPPUNIT_ASSERT(!this->last().paused);
    }

    auto server_domainOut_getsNothing() -> void
    {
        this->books->config.setOutOfServiceDomains({"z1"});
        for (int number = 0; number < 4; ++number) {
            this->start(this->request("/order/1"));
        }
        for (const auto &send : this->servers.sends) {
            CPPUNIT_ASSERT_EQUAL(std::string("p2"), send->server);
        }
    }

    auto server_draining_getsNothing() -> void
    {
        this->books->servers.registerServer({"p1", "desk", "10.0.0.1:80", "z1", 2, true, {}, 1},
                                            Duration(0), this->now);
        this->start(this->request("/order/1"));
        this->start(this->request("/order/2"));
        for (const auto &send : this->servers.sends) {
            CPPUNIT_ASSERT_EQUAL(std::string("p2"), send->server);
        }
    }

    auto crashes_threeServers_refusesTheRequest() -> void
    {
        this->start(this->request("/lookup/1"));
        this->last().listener->onAnswerFailed(ExchangeFailure::NoAnswer);
        this->last().listener->onAnswerFailed(ExchangeFailure::NoAnswer);
        // One of the servers is back under its id.
        this->books->servers.registerServer({"p1", "desk", "10.0.0.1:80", "z1", 2, false, {}, 2},
                                            Duration(0), this->now);
        this->books->servers.markUnregistered("p2", this->now);
        this->start(this->request("/lookup/1"));
        this->last().listener->onAnswerFailed(ExchangeFailure::NoAnswer);
        const auto sent = this->servers.sends.size();
        const auto caller = this->start(this->request("/lookup/1"));
        CPPUNIT_ASSERT_EQUAL(503, caller->whole.status);
        CPPUNIT_ASSERT_EQUAL(sent, this->servers.sends.size());
        this->start(this->request("/lookup/2"));
        CPPUNIT_ASSERT_EQUAL(sent + 1, this->servers.sends.size());
    }

    auto quota_spent_is429WithRetryAfter() -> void
    {
        auto large = this->request("/order/1");
        large.countsTokens = true;
        large.promptTokens = 5000;
        this->start(large);
        const auto caller = this->start(large);
        CPPUNIT_ASSERT_EQUAL(429, caller->whole.status);
        CPPUNIT_ASSERT(!caller->header("Retry-After").empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->servers.sends.size());
    }

    auto overload_refusesAtOnceWithRetryAfter() -> void
    {
        this->start(this->request("/order/0"));
        this->last().listener->onSent();
        this->now += milliseconds(100);
        this->last().listener->onAnswerHead(head(200));
        this->last().listener->onAnswerEnd();
        this->servers.sends.clear();
        std::vector<std::shared_ptr<FakeCaller>> callers;
        for (int number = 0; number < 40; ++number) {
            callers.push_back(this->start(this->request("/order/" + std::to_string(number))));
            this->now += milliseconds(5);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, this->servers.sends.size());
        CPPUNIT_ASSERT_EQUAL(503, callers.back()->whole.status);
        CPPUNIT_ASSERT(std::stod(callers.back()->header("Retry-After")) > 0);
        CPPUNIT_ASSERT(this->scheduler->waitingRuns() > 0);
    }

    auto queue_slotFree_urgentFirst() -> void
    {
        for (int number = 0; number < 4; ++number) {
            this->start(this->request("/draft/" + std::to_string(number)));
        }
        this->start(this->request("/clause/1"));
        this->start(this->request("/draft/9"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, this->servers.sends.size());
        stream(*this->servers.sends.front(), 1, 1);
        this->servers.sends.front()->listener->onAnswerEnd();
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, this->servers.sends.size());
        CPPUNIT_ASSERT(this->last().bytes.starts_with("POST /draft/9 "));
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulerFixture);
