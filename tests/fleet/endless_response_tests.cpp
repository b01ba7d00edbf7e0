/** @file endless_response_tests.cpp Tests of responses whose body does not end. */
#include "banyanring/gateway/response_buffer.h"
#include "scheduler_fixture.h"

namespace {

using namespace banyanring;
using namespace banyanring::test;

/** Servers that send bytes until the caller closes. */
class EndlessResponseFixture : public SchedulerFixtureBase
{
    CPPUNIT_TEST_SUITE(EndlessResponseFixture);
    CPPUNIT_TEST(body_withoutEnd_isCutAndGets502);
    CPPUNIT_TEST(body_withoutEndInRetry_isCutAgain);
    CPPUNIT_TEST(body_declaredTooLong_isCutAtItsHeader);
    CPPUNIT_TEST(server_secondBodyWithoutEnd_getsNothingForAWhile);
    CPPUNIT_TEST(server_oneLongBodyAmongOthers_isNotDeferred);
    CPPUNIT_TEST(body_growing_holdsLittleMoreThanItsBytes);
    CPPUNIT_TEST(bodies_exceedTheirFractionOfASmallNode_longestIsCut);
    CPPUNIT_TEST(bodies_exceedTheTotal_longestIsCut);
    CPPUNIT_TEST(bodies_exceedTheTotalAfterDisconnect_endedRequestIsNotCut);
    CPPUNIT_TEST(bodies_exceedTheTotalDuringRetry_queuedRequestIsNotCut);
    CPPUNIT_TEST(event_withoutEnd_abortsTheStream);
    CPPUNIT_TEST(rejection_withoutEnd_isCutAndGets502);
    CPPUNIT_TEST_SUITE_END();

public:
    auto body_withoutEnd_isCutAndGets502() -> void
    {
        const auto caller = this->submit(this->request("/order/1"));
        CPPUNIT_ASSERT(this->sendUntilCut(this->lastDispatch(), 200) <= MaxBytesSent);
        CPPUNIT_ASSERT_EQUAL(502, caller->response.status);
        CPPUNIT_ASSERT(caller->response.body.empty());
    }

    auto body_withoutEndInRetry_isCutAgain() -> void
    {
        const auto caller = this->submit(this->request("/lookup/1"));
        this->sendUntilCut(this->lastDispatch(), 200);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->servers.dispatches.size());
        this->sendUntilCut(this->lastDispatch(), 200);
        CPPUNIT_ASSERT_EQUAL(502, caller->response.status);
    }

    auto body_declaredTooLong_isCutAtItsHeader() -> void
    {
        const auto caller = this->submit(this->request("/order/1"));
        auto response = header(200);
        response.declaredLength = ResponseBuffer::MaxBytes + 1;
        this->lastDispatch().observer->onResponseHeader(response);
        CPPUNIT_ASSERT(this->lastDispatch().cancelled);
        CPPUNIT_ASSERT_EQUAL(502, caller->response.status);
    }

    /** Each retry and each new request went to such a server at once. */
    auto server_secondBodyWithoutEnd_getsNothingForAWhile() -> void
    {
        for (const auto *id : {"p1", "p1", "p2", "p2"}) {
            this->deferOthers(id);
            this->submit(this->request("/order/1"));
            CPPUNIT_ASSERT_EQUAL(std::string(id), this->lastDispatch().server);
            this->sendUntilCut(this->lastDispatch(), 200);
        }
        this->state->servers.find("p1")->deferredUntil = this->now + milliseconds(500);
        const auto dispatches = this->servers.dispatches.size();
        const auto caller = this->submit(this->request("/order/1"));
        CPPUNIT_ASSERT_EQUAL(dispatches, this->servers.dispatches.size());
        CPPUNIT_ASSERT(caller->finalResponses == 0 || caller->response.status == 503);
        this->pass(milliseconds(600));
        this->submit(this->request("/order/1"));
        CPPUNIT_ASSERT(this->servers.dispatches.size() > dispatches);
    }

    auto server_oneLongBodyAmongOthers_isNotDeferred() -> void
    {
        this->deferOthers("p1");
        for (int round = 0; round < 4; ++round) {
            this->submit(this->request("/order/1"));
            this->sendUntilCut(this->lastDispatch(), 200);
            const auto caller = this->submit(this->request("/order/1"));
            CPPUNIT_ASSERT_EQUAL(std::string("p1"), this->lastDispatch().server);
            reply(this->lastDispatch(), 200);
            CPPUNIT_ASSERT_EQUAL(200, caller->response.status);
        }
    }

    /** Strings that doubled as they grew held several times what had been counted. */
    auto body_growing_holdsLittleMoreThanItsBytes() -> void
    {
        std::size_t total = 0;
        ResponseBuffer buffer(total);
        std::string expected;
        while (expected.size() < ResponseBuffer::MaxBytes) {
            const std::string data(BlockBytes - 7, static_cast<char>('a' + expected.size() % 26));
            buffer.append(data);
            expected += data;
            CPPUNIT_ASSERT(buffer.heldBytes() <= buffer.size() + MaxUnusedBytes);
            CPPUNIT_ASSERT_EQUAL(buffer.heldBytes(), total);
        }
        CPPUNIT_ASSERT(buffer.take() == expected);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, total);
        buffer.append("small");
        CPPUNIT_ASSERT(buffer.heldBytes() < 64);
        CPPUNIT_ASSERT_EQUAL(std::string("small"), buffer.take());
    }

    auto bodies_exceedTheirFractionOfASmallNode_longestIsCut() -> void
    {
        this->scheduler->setNodeMemory(16U << 20U);
        const auto callers = this->submitAll("/order/1");
        this->sendBody(0, 200, 1U << 20U);
        this->sendBody(1, 200, 2U << 20U);
        this->sendBody(2, 200, 2U << 20U);
        CPPUNIT_ASSERT_EQUAL(1, callers[1]->finalResponses + callers[2]->finalResponses);
        this->servers.dispatches[0]->observer->onResponseEnd();
        CPPUNIT_ASSERT_EQUAL(200, callers[0]->response.status);
    }

    auto bodies_exceedTheTotal_longestIsCut() -> void
    {
        std::vector<std::shared_ptr<FakeCaller>> callers;
        for (int count = 0; count < 4; ++count) {
            callers.push_back(this->submit(this->request("/order/1")));
        }
        CPPUNIT_ASSERT_EQUAL(callers.size(), this->servers.dispatches.size());
        for (std::size_t index = 0; index < callers.size(); ++index) {
            auto &dispatch = *this->servers.dispatches[index];
            dispatch.observer->onResponseHeader(header(200));
            // The third response is the longest.
            const auto size = ResponseBuffer::MaxBytes - (index == 2 ? 0 : (2U << 20U));
            dispatch.observer->onResponseData(std::string(size, 'x'));
        }
        CPPUNIT_ASSERT_EQUAL(502, callers[2]->response.status);
        for (const std::size_t index : {0, 1, 3}) {
            this->servers.dispatches[index]->observer->onResponseEnd();
            CPPUNIT_ASSERT_EQUAL(200, callers[index]->response.status);
        }
    }

    auto bodies_exceedTheTotalAfterDisconnect_endedRequestIsNotCut() -> void
    {
        const auto callers = this->submitAll("/order/1");
        this->sendBody(0, 200, ResponseBuffer::MaxBytes);
        this->scheduler->onCallerDisconnected(this->requestNumber + 1 - callers.size());
        this->fillBodies();
        CPPUNIT_ASSERT_EQUAL(0, callers.front()->finalResponses);
        for (std::size_t index = 1; index < callers.size(); ++index) {
            this->servers.dispatches[index]->observer->onResponseEnd();
            CPPUNIT_ASSERT_EQUAL(200, callers[index]->response.status);
        }
    }

    auto bodies_exceedTheTotalDuringRetry_queuedRequestIsNotCut() -> void
    {
        const auto callers = this->submitAll("/lookup/1");
        for (const auto *id : {"p1", "p2"}) {
            this->state->servers.find(id)->deferredUntil = this->now + seconds(1);
        }
        this->sendBody(0, 500, ResponseBuffer::MaxBytes);
        this->servers.dispatches.front()->observer->onResponseEnd();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->scheduler->queuedRequests());
        this->fillBodies();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->scheduler->queuedRequests());
        CPPUNIT_ASSERT_EQUAL(0, callers.front()->finalResponses);
    }

    auto event_withoutEnd_abortsTheStream() -> void
    {
        const auto caller = this->submit(this->request("/draft/1"));
        this->stream(this->lastDispatch(), 1, 2);
        const auto sent = this->sendWhileOpen(this->lastDispatch());
        CPPUNIT_ASSERT(sent <= EventStreamLimit);
        CPPUNIT_ASSERT(caller->aborted);
    }

    auto rejection_withoutEnd_isCutAndGets502() -> void
    {
        const auto caller = this->submit(this->request("/order/1"));
        CPPUNIT_ASSERT(this->sendUntilCut(this->lastDispatch(), 404) <= MaxBytesSent);
        CPPUNIT_ASSERT_EQUAL(502, caller->response.status);
    }

private:
    static constexpr std::size_t BlockBytes = 16384;
    static constexpr std::size_t MaxBytesSent = ResponseBuffer::MaxBytes + BlockBytes;
    static constexpr std::size_t MaxUnusedBytes = 256U << 10U;
    static constexpr std::size_t EventStreamLimit = 65536 + BlockBytes;
    static constexpr std::size_t EndlessBytes = 64U << 20U; ///< More than any bound.

    /** Submits as many requests as the servers take at once. */
    auto submitAll(const std::string &path) -> std::vector<std::shared_ptr<FakeCaller>>
    {
        std::vector<std::shared_ptr<FakeCaller>> callers;
        for (int count = 0; count < 4; ++count) {
            callers.push_back(this->submit(this->request(path)));
        }
        CPPUNIT_ASSERT_EQUAL(callers.size(), this->servers.dispatches.size());
        return callers;
    }

    /** Lets a server of the plain service be the only one that gets requests. */
    auto deferOthers(const std::string &id) -> void
    {
        for (const auto &server : this->state->servers.serversOf("desk")) {
            server->deferredUntil =
                server->registration.id == id ? Instant{} : this->now + seconds(60);
        }
    }

    auto sendBody(std::size_t dispatch, int status, std::size_t size) -> void
    {
        auto &observer = *this->servers.dispatches[dispatch]->observer;
        observer.onResponseHeader(header(status));
        observer.onResponseData(std::string(size, 'x'));
    }

    /** Sends bodies to all dispatches but the first, together a little less than the total. */
    auto fillBodies() -> void
    {
        for (std::size_t index = 1; index < this->servers.dispatches.size(); ++index) {
            this->sendBody(index, 200, ResponseBuffer::MaxBytes - BlockBytes);
        }
    }

    /** @return Bytes sent until the exchange was cancelled. */
    auto sendWhileOpen(FakeDispatch &dispatch) -> std::size_t
    {
        std::size_t sent = 0;
        while (!dispatch.cancelled && sent < EndlessBytes) {
            dispatch.observer->onResponseData(std::string(BlockBytes, 'x'));
            sent += BlockBytes;
        }
        return sent;
    }

    auto sendUntilCut(FakeDispatch &dispatch, int status) -> std::size_t
    {
        dispatch.observer->onResponseHeader(header(status));
        return this->sendWhileOpen(dispatch);
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessResponseFixture);
