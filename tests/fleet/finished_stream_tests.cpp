/** @file finished_stream_tests.cpp Streams that have no event left when another server continues
 * them. */
#include "raw_response_fixture.h"
#include "scheduler_fixture.h"

namespace {

using namespace banyanring;
using namespace banyanring::gateway;
using namespace banyanring::test;

/**
 * Guards against breaking off streams whose last event was delivered, when their first server falls
 * silent or crashes before the end, and against ending unfinished ones as complete.
 */
class FinishedStreamFixture : public SchedulerFixtureBase
{
    CPPUNIT_TEST_SUITE(FinishedStreamFixture);
    CPPUNIT_TEST(finishedStream_serverSilentBeforeEnd_isEndedByNextServer);
    CPPUNIT_TEST(finishedStream_serverLostBeforeEnd_isEndedByNextServer);
    CPPUNIT_TEST(finishedStream_nextServerSendsCommentsOnly_isEnded);
    CPPUNIT_TEST(finishedStream_nextServerCut_isAborted);
    CPPUNIT_TEST(finishedStream_nextServerEndsWithConnection_isAborted);
    CPPUNIT_TEST(finishedStream_nextServerUnsealed_isAborted);
    CPPUNIT_TEST(finishedStream_nextServerCutInsideEvent_isAborted);
    CPPUNIT_TEST(stream_brokenInsideEventAndNothingLeft_isAborted);
    CPPUNIT_TEST(stream_firstServerSendsNoEvent_isNotComplete);
    CPPUNIT_TEST(callerResumption_behindLastEvent_getsHeaderAndEnd);
    CPPUNIT_TEST(callerResumption_endsWithConnection_isNotComplete);
    CPPUNIT_TEST(callerResumption_behindLastEvent_isNoCrashOfItsServer);
    CPPUNIT_TEST(callerResumption_behindLastEvent_doesNotClearCrashSuspects);
    CPPUNIT_TEST(callerResumption_behindLastEvent_isNoSampleOfResponseTimes);
    CPPUNIT_TEST_SUITE_END();

public:
    auto finishedStream_serverSilentBeforeEnd_isEndedByNextServer() -> void
    {
        const auto caller = this->submit(this->request("/clause/1"));
        stream(this->lastDispatch(), 1, 3);
        this->pass(milliseconds(900));
        this->lastDispatch().observer->onSent();
        this->pass(milliseconds(300));
        CPPUNIT_ASSERT(this->servers.dispatches.front()->cancelled);
        this->endWithoutEvents();
        assertEnded(*caller);
    }

    auto finishedStream_serverLostBeforeEnd_isEndedByNextServer() -> void
    {
        const auto caller = this->loseServerAfterLastEvent();
        this->endWithoutEvents();
        assertEnded(*caller);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->servers.dispatches.size());
    }

    auto finishedStream_nextServerSendsCommentsOnly_isEnded() -> void
    {
        const auto caller = this->loseServerAfterLastEvent();
        this->lastDispatch().observer->onResponseHeader(header(200));
        this->lastDispatch().observer->onResponseData(": alive\n\n");
        this->lastDispatch().observer->onResponseEnd();
        CPPUNIT_ASSERT(caller->ended && !caller->aborted);
    }

    auto finishedStream_nextServerCut_isAborted() -> void
    {
        for (const auto failure : {ExchangeFailure::Truncated, ExchangeFailure::NoResponse}) {
            this->restart();
            const auto caller = this->loseServerAfterLastEvent();
            if (failure == ExchangeFailure::Truncated) {
                this->lastDispatch().observer->onResponseHeader(header(200));
            }
            this->lastDispatch().observer->onExchangeFailed(failure);
            CPPUNIT_ASSERT(caller->aborted && !caller->ended);
        }
    }

    auto finishedStream_nextServerEndsWithConnection_isAborted() -> void
    {
        const auto caller = this->loseServerAfterLastEvent();
        this->endWithoutEvents(true);
        CPPUNIT_ASSERT(caller->aborted && !caller->ended);
    }

    auto finishedStream_nextServerUnsealed_isAborted() -> void
    {
        const auto caller = this->loseServerAfterLastEvent();
        this->lastDispatch().observer->onResponseHeader(header(200, false));
        this->lastDispatch().observer->onResponseEnd();
        CPPUNIT_ASSERT(caller->aborted && !caller->ended);
    }

    auto finishedStream_nextServerCutInsideEvent_isAborted() -> void
    {
        const auto caller = this->loseServerAfterLastEvent();
        this->lastDispatch().observer->onResponseHeader(header(200));
        this->lastDispatch().observer->onResponseData("id: 4\nda");
        this->lastDispatch().observer->onResponseEnd();
        CPPUNIT_ASSERT(caller->aborted && !caller->ended);
    }

    /** A server that has begun another event contradicts one that has none left. */
    auto stream_brokenInsideEventAndNothingLeft_isAborted() -> void
    {
        const auto caller = this->submit(this->request("/clause/1"));
        stream(this->lastDispatch(), 1, 3);
        this->lastDispatch().observer->onResponseData("id: 4\nda");
        this->lastDispatch().observer->onExchangeFailed(ExchangeFailure::Truncated);
        this->endWithoutEvents();
        CPPUNIT_ASSERT(caller->aborted && !caller->ended);
    }

    auto stream_firstServerSendsNoEvent_isNotComplete() -> void
    {
        for (const bool endsWithConnection : {false, true}) {
            this->restart();
            const auto caller = this->submit(this->request("/draft/1"));
            this->endWithoutEvents(endsWithConnection);
            CPPUNIT_ASSERT(!caller->ended);
            CPPUNIT_ASSERT_EQUAL(502, caller->response.status);
        }
    }

    auto callerResumption_behindLastEvent_getsHeaderAndEnd() -> void
    {
        const auto caller = this->submit(this->resumption());
        this->endWithoutEvents();
        CPPUNIT_ASSERT_EQUAL(200, caller->streamStatus);
        CPPUNIT_ASSERT_EQUAL(std::string(), caller->streamed);
        CPPUNIT_ASSERT(caller->ended);
        CPPUNIT_ASSERT_EQUAL(1, caller->finalResponses);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->servers.dispatches.size());
    }

    auto callerResumption_endsWithConnection_isNotComplete() -> void
    {
        const auto caller = this->submit(this->resumption());
        this->endWithoutEvents(true);
        this->endWithoutEvents(true);
        CPPUNIT_ASSERT(!caller->ended);
        CPPUNIT_ASSERT_EQUAL(502, caller->response.status);
    }

    auto callerResumption_behindLastEvent_isNoCrashOfItsServer() -> void
    {
        for (std::size_t count = 0; count < fleet::CrashSuspects::BlockingCrashes; ++count) {
            this->submit(this->resumption());
            this->now += milliseconds(300);
            this->endWithoutEvents();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->state->crashSuspects.size());
        for (const auto *id : {"e1", "e2"}) {
            CPPUNIT_ASSERT_EQUAL(0.0, this->state->servers.find(id)->stats.failureRate);
        }
    }

    auto callerResumption_behindLastEvent_doesNotClearCrashSuspects() -> void
    {
        for (std::uint64_t start = 1; start < fleet::CrashSuspects::BlockingCrashes; ++start) {
            this->submit(this->resumption());
            this->now += milliseconds(300);
            this->lastDispatch().observer->onExchangeFailed(ExchangeFailure::NoResponse);
            this->lastDispatch().observer->onExchangeFailed(ExchangeFailure::NoResponse);
        }
        const auto blocked = [this] {
            const auto reports = this->state->crashSuspects.reports(this->now);
            return std::count_if(reports.begin(), reports.end(),
                                 [](const auto &report) { return !report.crashes.empty(); });
        };
        const auto before = blocked();
        CPPUNIT_ASSERT(before > 0);
        this->submit(this->resumption());
        this->now += milliseconds(300);
        this->endWithoutEvents();
        CPPUNIT_ASSERT_EQUAL(before, blocked());
    }

    auto callerResumption_behindLastEvent_isNoSampleOfResponseTimes() -> void
    {
        this->submit(this->resumption());
        this->now += milliseconds(300);
        this->endWithoutEvents();
        const auto &server = *this->state->servers.find(this->lastDispatch().server);
        CPPUNIT_ASSERT_EQUAL(0.0, server.stats.sampleCount);
        CPPUNIT_ASSERT_EQUAL(0U, server.ownLoad.requests);
    }

private:
    auto restart() -> void
    {
        this->scheduler.reset();
        this->setUp();
    }

    /** @return A caller's request to resume a stream after its last event. */
    auto resumption() const -> CallerRequest
    {
        auto result = this->request("/clause/1");
        result.lastEventId = 3;
        result.sharedPromptParts = {1};
        return result;
    }

    /** Starts a stream of three events, whose server is lost before it ends the response. */
    auto loseServerAfterLastEvent() -> std::shared_ptr<FakeCaller>
    {
        auto caller = this->submit(this->request("/clause/1"));
        stream(this->lastDispatch(), 1, 3);
        this->lastDispatch().observer->onExchangeFailed(ExchangeFailure::Truncated);
        return caller;
    }

    /** Sends a response without events to the last dispatch. */
    auto endWithoutEvents(bool endsWithConnection = false) -> void
    {
        auto &dispatch = this->lastDispatch();
        auto response = header(200);
        response.endsWithConnection = endsWithConnection;
        dispatch.observer->onSent();
        dispatch.observer->onResponseHeader(response);
        dispatch.observer->onResponseEnd();
    }

    /** Checks that the caller got the three events and a proper end. */
    static auto assertEnded(const FakeCaller &caller) -> void
    {
        CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n"),
                             caller.streamed);
        CPPUNIT_ASSERT(caller.ended);
        CPPUNIT_ASSERT(!caller.aborted);
        CPPUNIT_ASSERT_EQUAL(1, caller.finalResponses);
    }
};

/** What tells the end of a response from the end of its connection, over loopback. */
class ResponseFramingFixture : public RawResponseFixtureBase
{
    CPPUNIT_TEST_SUITE(ResponseFramingFixture);
    CPPUNIT_TEST(response_lengthOrChunks_endsByItself);
    CPPUNIT_TEST(response_neither_endsWithConnection);
    CPPUNIT_TEST_SUITE_END();

public:
    auto response_lengthOrChunks_endsByItself() -> void
    {
        this->rawServer->ending = RawServer::Ending::Close;
        for (const auto *framing :
             {"Content-Length: 0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"}) {
            const auto result = this->respond(head("200") + framing);
            CPPUNIT_ASSERT_MESSAGE(framing, result.ended && !result.endsWithConnection);
        }
    }

    auto response_neither_endsWithConnection() -> void
    {
        this->rawServer->ending = RawServer::Ending::Close;
        const auto result = this->respond(head("200") + "\r\n");
        CPPUNIT_ASSERT(result.ended && result.endsWithConnection);
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(FinishedStreamFixture);
CPPUNIT_TEST_SUITE_REGISTRATION(ResponseFramingFixture);
