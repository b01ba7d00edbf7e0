/** @file scheduler_tests.cpp Tests of requests from their arrival to their final response. */
#include "scheduler_fixture.h"

namespace {

using namespace banyanring;
using namespace banyanring::test;

/** Requests whose slots are chosen by the node itself. */
class SchedulerFixture : public SchedulerFixtureBase
{
    CPPUNIT_TEST_SUITE(SchedulerFixture);
    CPPUNIT_TEST(request_noConfig_gets503WithRetryAfter);
    CPPUNIT_TEST(request_unknownRoute_gets404);
    CPPUNIT_TEST(request_missingOrRevokedKey_gets401);
    CPPUNIT_TEST(request_dispatched_carriesOrganisationButNoKey);
    CPPUNIT_TEST(request_sealedResponse_isDelivered);
    CPPUNIT_TEST(request_unsealedSuccess_gets502);
    CPPUNIT_TEST(request_503WithoutNotExecutedHeader_gets502);
    CPPUNIT_TEST(nonIdempotent_noResponse_gets502WithoutRetry);
    CPPUNIT_TEST(nonIdempotent_serverUnreachable_usesAnotherServer);
    CPPUNIT_TEST(nonIdempotent_rejectedByServer_usesAnotherServer);
    CPPUNIT_TEST(nonIdempotent_rejectedByAllServers_gets503);
    CPPUNIT_TEST(idempotent_noResponse_isRetriedAtAnotherServer);
    CPPUNIT_TEST(idempotent_serverError_isRetriedOnce);
    CPPUNIT_TEST(idempotent_serverStalled_isRetriedAtAnotherServer);
    CPPUNIT_TEST(stream_truncated_isAborted);
    CPPUNIT_TEST(stream_endsInsideEvent_isAborted);
    CPPUNIT_TEST(resumableStream_truncated_isResumedAtAnotherServer);
    CPPUNIT_TEST(resumableStream_truncatedTwice_isAbortedAfterMaxAttempts);
    CPPUNIT_TEST(timeout_queued_gets503);
    CPPUNIT_TEST(timeout_dispatched_gets504);
    CPPUNIT_TEST(timeout_streaming_isAborted);
    CPPUNIT_TEST(config_routeRemovedWhileQueued_requestIsServed);
    CPPUNIT_TEST(config_timeoutLoweredWhileDispatched_requestKeepsItsDeadline);
    CPPUNIT_TEST(process_stopping_respondsToOpenRequests);
    CPPUNIT_TEST(timeLeft_dispatched_isReducedByElapsedTime);
    CPPUNIT_TEST(caller_disconnected_cancelsTheExchange);
    CPPUNIT_TEST(caller_slow_pausesReadingUntilItCatchesUp);
    CPPUNIT_TEST(server_domainOutOfService_getsNoRequests);
    CPPUNIT_TEST(server_draining_getsNoRequests);
    CPPUNIT_TEST(request_crashedThreeServers_isRejected);
    CPPUNIT_TEST(quota_exceeded_gets429WithRetryAfter);
    CPPUNIT_TEST(overload_longQueue_isRejectedWithRetryAfter);
    CPPUNIT_TEST(queue_slotFreed_highestPriorityFirst);
    CPPUNIT_TEST_SUITE_END();

public:
    auto request_noConfig_gets503WithRetryAfter() -> void
    {
        NodeState emptyState(this->settings, seconds(0));
        Scheduler emptyScheduler(
            emptyState, this->servers, [this] { return this->now; }, 1);
        auto caller = std::make_shared<FakeCaller>();
        emptyScheduler.submit(caller, this->request("/order/1"));
        CPPUNIT_ASSERT_EQUAL(503, caller->response.status);
        CPPUNIT_ASSERT(!caller->header("Retry-After").empty());
    }

    auto request_unknownRoute_gets404() -> void
    {
        CPPUNIT_ASSERT_EQUAL(404, this->submit(this->request("/other/1"))->response.status);
        CPPUNIT_ASSERT(this->servers.dispatches.empty());
    }

    auto request_missingOrRevokedKey_gets401() -> void
    {
        CPPUNIT_ASSERT_EQUAL(401, this->submit(this->request("/order/1", ""))->response.status);
        auto next = this->config(2);
        next->organisationByKey.clear();
        this->state->config.update(next, this->now);
        CPPUNIT_ASSERT_EQUAL(401, this->submit(this->request("/order/1"))->response.status);
        CPPUNIT_ASSERT(this->servers.dispatches.empty());
    }

    auto request_dispatched_carriesOrganisationButNoKey() -> void
    {
        this->submit(this->request("/order/1"));
        CPPUNIT_ASSERT(this->lastDispatch().bytes.find("red") != std::string::npos);
        CPPUNIT_ASSERT(this->lastDispatch().bytes.find("key-1") == std::string::npos);
        this->submit(this->request("/open/1", ""));
        CPPUNIT_ASSERT(this->lastDispatch().bytes.find("red") == std::string::npos);
    }

    auto request_sealedResponse_isDelivered() -> void
    {
        const auto caller = this->submit(this->request("/order/1"));
        reply(this->lastDispatch(), 201);
        CPPUNIT_ASSERT_EQUAL(201, caller->response.status);
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), caller->response.body);
        CPPUNIT_ASSERT_EQUAL(1, caller->finalResponses);
    }

    auto request_unsealedSuccess_gets502() -> void
    {
        const auto caller = this->submit(this->request("/order/1"));
        reply(this->lastDispatch(), 200, false);
        CPPUNIT_ASSERT_EQUAL(502, caller->response.status);
    }

    auto request_503WithoutNotExecutedHeader_gets502() -> void
    {
        const auto caller = this->submit(this->request("/order/1"));
        reply(this->lastDispatch(), 503);
        CPPUNIT_ASSERT_EQUAL(502, caller->response.status);
    }

    auto nonIdempotent_noResponse_gets502WithoutRetry() -> void
    {
        const auto caller = this->submit(this->request("/order/1"));
        this->lastDispatch().observer->onExchangeFailed(ExchangeFailure::NoResponse);
        CPPUNIT_ASSERT_EQUAL(502, caller->response.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->servers.dispatches.size());
    }

    auto nonIdempotent_serverUnreachable_usesAnotherServer() -> void
    {
        const auto caller = this->submit(this->request("/order/1"));
        const auto first = this->lastDispatch().server;
        this->lastDispatch().observer->onExchangeFailed(ExchangeFailure::NotSent);
        CPPUNIT_ASSERT(this->lastDispatch().server != first);
        reply(this->lastDispatch(), 200);
        CPPUNIT_ASSERT_EQUAL(200, caller->response.status);
    }

    auto nonIdempotent_rejectedByServer_usesAnotherServer() -> void
    {
        const auto caller = this->submit(this->request("/order/1"));
        const auto first = this->lastDispatch().server;
        reply(this->lastDispatch(), 503, false, true);
        CPPUNIT_ASSERT(this->lastDispatch().server != first);
        reply(this->lastDispatch(), 200);
        CPPUNIT_ASSERT_EQUAL(200, caller->response.status);
    }

    auto nonIdempotent_rejectedByAllServers_gets503() -> void
    {
        const auto caller = this->submit(this->request("/order/1"));
        reply(this->lastDispatch(), 503, false, true);
        reply(this->lastDispatch(), 503, false, true);
        this->pass(seconds(1));
        CPPUNIT_ASSERT_EQUAL(503, caller->response.status);
        CPPUNIT_ASSERT_EQUAL(1, caller->finalResponses);
    }

    auto idempotent_noResponse_isRetriedAtAnotherServer() -> void
    {
        const auto caller = this->submit(this->request("/lookup/1"));
        const auto first = this->lastDispatch().server;
        this->lastDispatch().observer->onExchangeFailed(ExchangeFailure::NoResponse);
        CPPUNIT_ASSERT(this->lastDispatch().server != first);
        reply(this->lastDispatch(), 200);
        CPPUNIT_ASSERT_EQUAL(200, caller->response.status);
    }

    auto idempotent_serverError_isRetriedOnce() -> void
    {
        const auto caller = this->submit(this->request("/lookup/1"));
        reply(this->lastDispatch(), 500);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->servers.dispatches.size());
        reply(this->lastDispatch(), 500);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->servers.dispatches.size());
        CPPUNIT_ASSERT_EQUAL(500, caller->response.status);
    }

    auto idempotent_serverStalled_isRetriedAtAnotherServer() -> void
    {
        const auto caller = this->submit(this->request("/lookup/1"));
        this->lastDispatch().observer->onSent();
        this->pass(milliseconds(900));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->servers.dispatches.size());
        this->lastDispatch().observer->onSent();
        this->pass(milliseconds(300));
        CPPUNIT_ASSERT(this->servers.dispatches.front()->cancelled);
        reply(this->lastDispatch(), 200);
        CPPUNIT_ASSERT_EQUAL(200, caller->response.status);
    }

    auto stream_truncated_isAborted() -> void
    {
        const auto caller = this->submit(this->request("/draft/1"));
        stream(this->lastDispatch(), 1, 3);
        this->lastDispatch().observer->onExchangeFailed(ExchangeFailure::Truncated);
        CPPUNIT_ASSERT(caller->aborted);
        CPPUNIT_ASSERT(!caller->ended);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->servers.dispatches.size());
    }

    auto stream_endsInsideEvent_isAborted() -> void
    {
        const auto caller = this->submit(this->request("/draft/1"));
        stream(this->lastDispatch(), 1, 3);
        this->lastDispatch().observer->onResponseData("id: 4\nda");
        this->lastDispatch().observer->onResponseEnd();
        CPPUNIT_ASSERT(caller->aborted);
        CPPUNIT_ASSERT(!caller->ended);
    }

    auto resumableStream_truncated_isResumedAtAnotherServer() -> void
    {
        const auto caller = this->submit(this->request("/clause/1"));
        const auto first = this->lastDispatch().server;
        stream(this->lastDispatch(), 1, 3);
        this->lastDispatch().observer->onResponseData("id: 4\nda");
        this->lastDispatch().observer->onExchangeFailed(ExchangeFailure::Truncated);
        CPPUNIT_ASSERT(this->lastDispatch().server != first);
        CPPUNIT_ASSERT(this->lastDispatch().bytes.find("Last-Event-Id: 3\r\n")
                       != std::string::npos);
        stream(this->lastDispatch(), 4, 5);
        this->lastDispatch().observer->onResponseEnd();
        CPPUNIT_ASSERT(caller->ended);
        CPPUNIT_ASSERT_EQUAL(1, caller->finalResponses);
        std::string expected;
        for (int id = 1; id <= 5; ++id) {
            expected += "id: " + std::to_string(id) + "\ndata: x\n\n";
        }
        CPPUNIT_ASSERT_EQUAL(expected, caller->streamed);
    }

    auto resumableStream_truncatedTwice_isAbortedAfterMaxAttempts() -> void
    {
        const auto caller = this->submit(this->request("/clause/1"));
        stream(this->lastDispatch(), 1, 3);
        this->lastDispatch().observer->onExchangeFailed(ExchangeFailure::Truncated);
        stream(this->lastDispatch(), 4, 4);
        this->lastDispatch().observer->onExchangeFailed(ExchangeFailure::Truncated);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->servers.dispatches.size());
        CPPUNIT_ASSERT(caller->aborted);
    }

    auto timeout_queued_gets503() -> void
    {
        this->state->servers.markUnregistered("p1", this->now);
        this->state->servers.markUnregistered("p2", this->now);
        this->state->servers.removeExpired(this->now);
        const auto caller = this->submit(this->request("/order/1"));
        this->pass(seconds(5));
        CPPUNIT_ASSERT_EQUAL(503, caller->response.status);
        CPPUNIT_ASSERT_EQUAL(1, caller->finalResponses);
    }

    auto timeout_dispatched_gets504() -> void
    {
        const auto caller = this->submit(this->request("/order/1"));
        this->lastDispatch().observer->onSent();
        this->pass(milliseconds(4100));
        CPPUNIT_ASSERT_EQUAL(504, caller->response.status);
        CPPUNIT_ASSERT(this->lastDispatch().cancelled);
    }

    auto timeout_streaming_isAborted() -> void
    {
        const auto caller = this->submit(this->request("/draft/1"));
        stream(this->lastDispatch(), 1, 3);
        this->pass(milliseconds(4100));
        CPPUNIT_ASSERT(caller->aborted);
        CPPUNIT_ASSERT(this->lastDispatch().cancelled);
    }

    auto config_routeRemovedWhileQueued_requestIsServed() -> void
    {
        this->state->servers.markUnregistered("p1", this->now);
        this->state->servers.markUnregistered("p2", this->now);
        this->state->servers.removeExpired(this->now);
        const auto caller = this->submit(this->request("/lookup/1"));
        auto changed = this->config(2);
        changed->routes.clear();
        changed->services.clear();
        changed->organisations.clear();
        changed->organisationByKey.clear();
        this->state->config.update(changed, this->now);
        this->pass(milliseconds(500));
        this->addServer("p3", "desk", "z1");
        this->pass(milliseconds(50));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->servers.dispatches.size());
        reply(this->lastDispatch(), 200);
        CPPUNIT_ASSERT_EQUAL(200, caller->response.status);
    }

    auto config_timeoutLoweredWhileDispatched_requestKeepsItsDeadline() -> void
    {
        const auto caller = this->submit(this->request("/order/1"));
        auto changed = this->config(2);
        for (auto &route : changed->routes["host"]) {
            route.timeout = milliseconds(500);
        }
        this->state->config.update(changed, this->now);
        this->pass(seconds(3));
        CPPUNIT_ASSERT_EQUAL(0, caller->finalResponses);
        reply(this->lastDispatch(), 200);
        CPPUNIT_ASSERT_EQUAL(200, caller->response.status);
    }

    auto process_stopping_respondsToOpenRequests() -> void
    {
        const auto sent = this->submit(this->request("/order/1"));
        const auto stream = this->submit(this->request("/draft/1"));
        SchedulerFixtureBase::stream(this->lastDispatch(), 1, 2);
        this->state->servers.markUnregistered("p1", this->now);
        this->state->servers.markUnregistered("p2", this->now);
        const auto queued = this->submit(this->request("/order/2"));
        this->scheduler->endAllRequests();
        CPPUNIT_ASSERT_EQUAL(502, sent->response.status);
        CPPUNIT_ASSERT_EQUAL(503, queued->response.status);
        CPPUNIT_ASSERT(!queued->header("Retry-After").empty());
        CPPUNIT_ASSERT(stream->aborted);
        for (const auto &dispatch : this->servers.dispatches) {
            CPPUNIT_ASSERT(dispatch->cancelled);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->scheduler->activeRequests());
    }

    auto timeLeft_dispatched_isReducedByElapsedTime() -> void
    {
        auto arriving = this->request("/order/1");
        arriving.arrivedAt = this->now - milliseconds(300);
        this->submit(std::move(arriving));
        CPPUNIT_ASSERT(this->lastDispatch().bytes.find(": 3700\r\n") != std::string::npos);
    }

    auto caller_disconnected_cancelsTheExchange() -> void
    {
        const auto caller = this->submit(this->request("/draft/1"));
        this->lastDispatch().observer->onSent();
        this->scheduler->onCallerDisconnected(this->requestNumber);
        CPPUNIT_ASSERT(this->lastDispatch().cancelled);
        this->scheduler->tick();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->scheduler->activeRequests());
    }

    auto caller_slow_pausesReadingUntilItCatchesUp() -> void
    {
        const auto caller = this->submit(this->request("/draft/1"));
        caller->unsent = 1U << 20U;
        stream(this->lastDispatch(), 1, 2);
        CPPUNIT_ASSERT(this->lastDispatch().paused);
        caller->unsent = 0;
        this->pass(milliseconds(100));
        CPPUNIT_ASSERT(!this->lastDispatch().paused);
    }

    auto server_domainOutOfService_getsNoRequests() -> void
    {
        this->state->config.setOutOfServiceDomains({"z1"});
        for (int number = 0; number < 4; ++number) {
            this->submit(this->request("/order/1"));
        }
        for (const auto &dispatch : this->servers.dispatches) {
            CPPUNIT_ASSERT_EQUAL(std::string("p2"), dispatch->server);
        }
    }

    auto server_draining_getsNoRequests() -> void
    {
        this->state->servers.registerServer({"p1", "desk", "10.0.0.1:80", "z1", 2, true, {}, 1},
                                            Duration(0), this->now);
        this->submit(this->request("/order/1"));
        this->submit(this->request("/order/2"));
        for (const auto &dispatch : this->servers.dispatches) {
            CPPUNIT_ASSERT_EQUAL(std::string("p2"), dispatch->server);
        }
    }

    auto request_crashedThreeServers_isRejected() -> void
    {
        this->submit(this->request("/lookup/1"));
        this->lastDispatch().observer->onExchangeFailed(ExchangeFailure::NoResponse);
        this->lastDispatch().observer->onExchangeFailed(ExchangeFailure::NoResponse);
        // One of the servers has been restarted under its id.
        this->state->servers.registerServer({"p1", "desk", "10.0.0.1:80", "z1", 2, false, {}, 2},
                                            Duration(0), this->now);
        this->state->servers.markUnregistered("p2", this->now);
        this->submit(this->request("/lookup/1"));
        this->lastDispatch().observer->onExchangeFailed(ExchangeFailure::NoResponse);
        const auto sent = this->servers.dispatches.size();
        const auto caller = this->submit(this->request("/lookup/1"));
        CPPUNIT_ASSERT_EQUAL(503, caller->response.status);
        CPPUNIT_ASSERT_EQUAL(sent, this->servers.dispatches.size());
        this->submit(this->request("/lookup/2"));
        CPPUNIT_ASSERT_EQUAL(sent + 1, this->servers.dispatches.size());
    }

    auto quota_exceeded_gets429WithRetryAfter() -> void
    {
        auto large = this->request("/order/1");
        large.hasTokenCounts = true;
        large.promptTokens = 5000;
        this->submit(large);
        const auto caller = this->submit(large);
        CPPUNIT_ASSERT_EQUAL(429, caller->response.status);
        CPPUNIT_ASSERT(!caller->header("Retry-After").empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->servers.dispatches.size());
    }

    auto overload_longQueue_isRejectedWithRetryAfter() -> void
    {
        this->submit(this->request("/order/0"));
        this->lastDispatch().observer->onSent();
        this->now += milliseconds(100);
        this->lastDispatch().observer->onResponseHeader(header(200));
        this->lastDispatch().observer->onResponseEnd();
        this->servers.dispatches.clear();
        std::vector<std::shared_ptr<FakeCaller>> callers;
        for (int number = 0; number < 40; ++number) {
            callers.push_back(this->submit(this->request("/order/" + std::to_string(number))));
            this->now += milliseconds(5);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, this->servers.dispatches.size());
        CPPUNIT_ASSERT_EQUAL(503, callers.back()->response.status);
        CPPUNIT_ASSERT(std::stod(callers.back()->header("Retry-After")) > 0);
        CPPUNIT_ASSERT(this->scheduler->queuedRequests() > 0);
    }

    auto queue_slotFreed_highestPriorityFirst() -> void
    {
        for (int number = 0; number < 4; ++number) {
            this->submit(this->request("/draft/" + std::to_string(number)));
        }
        this->submit(this->request("/clause/1"));
        this->submit(this->request("/draft/9"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, this->servers.dispatches.size());
        stream(*this->servers.dispatches.front(), 1, 1);
        this->servers.dispatches.front()->observer->onResponseEnd();
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, this->servers.dispatches.size());
        CPPUNIT_ASSERT(this->lastDispatch().bytes.starts_with("POST /draft/9 "));
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulerFixture);
