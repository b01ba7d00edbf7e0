/** @file scheduler_slot_tests.cpp Tests of requests that obtain slots from a slot coordinator. */
#include "fake_slot_port.h"
#include "scheduler_fixture.h"

namespace {

using namespace banyanring;
using namespace banyanring::test;
using fleet::SlotEvent;
using fleet::SlotOutcome;

/** Requests whose slots are requested from a coordinator. */
class SchedulerSlotFixture : public SchedulerFixtureBase
{
    CPPUNIT_TEST_SUITE(SchedulerSlotFixture);
    CPPUNIT_TEST(request_slotRequested_waitsForGrant);
    CPPUNIT_TEST(request_slotGranted_isDispatchedAndReported);
    CPPUNIT_TEST(request_grantOfDrainingServer_isCancelledAndPlacedLocally);
    CPPUNIT_TEST(request_slotTimeout_isPlacedLocally);
    CPPUNIT_TEST(request_noCoordinator_isPlacedLocally);
    CPPUNIT_TEST(request_longExpectedWait_isRejectedAtOnce);
    CPPUNIT_TEST(request_expectedWaitGrows_isRejected);
    CPPUNIT_TEST(request_queuedTooLong_isRejectedAndCancelled);
    CPPUNIT_TEST(request_slotGrantedAsAnotherExpires_isNotRejected);
    CPPUNIT_TEST(request_placedDuringItsCancellation_isNotSentTwice);
    CPPUNIT_TEST(request_placedAsItsExclusionsEnd_isNotSentTwice);
    CPPUNIT_TEST(caller_disconnectsWhileQueued_cancelsSlotRequest);
    CPPUNIT_TEST(grant_forEndedRequest_isCancelled);
    CPPUNIT_TEST(request_rejectedByServer_excludesItFromNextSlotRequest);
    CPPUNIT_TEST(request_notRunByServer_keepsItsDeadlines);
    CPPUNIT_TEST(request_misdirected_reportsTheServerAsUnreachable);
    CPPUNIT_TEST(request_serverLeaving_excludesItFromItsSlotRequest);
    CPPUNIT_TEST(request_grantOfLeavingServer_isRequestedAgain);
    CPPUNIT_TEST(request_manyServersLeaving_excludesABoundedNumber);
    CPPUNIT_TEST(request_serverDeferred_excludesItUntilTheTimeHasPassed);
    CPPUNIT_TEST(request_grantOfDeferredServer_isRequestedAgain);
    CPPUNIT_TEST(request_queuedAndServersDeferred_callerIsToldToRetryAfterIt);
    CPPUNIT_TEST(server_namesLimit_isReportedWithTheFirstByte);
    CPPUNIT_TEST(server_atItsLimit_getsNoRequestWithoutCoordinator);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        SchedulerFixtureBase::setUp();
        this->scheduler->setSlotPort(this->slotPort);
    }

    auto replyGranted(const std::string &id) -> void
    {
        this->scheduler->onSlotReply({this->slotPort.slotRequests.back().id,
                                      SlotOutcome::Granted,
                                      this->state->servers.find(id)->hash,
                                      {}});
    }

    auto replyQueued(Duration expectedWait) -> void
    {
        this->scheduler->onSlotReply(
            {this->slotPort.slotRequests.back().id, SlotOutcome::Queued, 0, expectedWait});
    }

    auto request_slotRequested_waitsForGrant() -> void
    {
        this->submit(this->request("/order/1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->slotPort.slotRequests.size());
        this->pass(milliseconds(100));
        CPPUNIT_ASSERT(this->servers.dispatches.empty());
    }

    auto request_slotGranted_isDispatchedAndReported() -> void
    {
        const auto caller = this->submit(this->request("/order/1"));
        this->replyGranted("p2");
        CPPUNIT_ASSERT_EQUAL(std::string("p2"), this->lastDispatch().server);
        reply(this->lastDispatch(), 200);
        CPPUNIT_ASSERT_EQUAL(200, caller->response.status);
        CPPUNIT_ASSERT(this->slotPort.events == std::vector<SlotEvent>{SlotEvent::Succeeded});
        CPPUNIT_ASSERT(this->slotPort.cancelled.empty());
    }

    auto request_grantOfDrainingServer_isCancelledAndPlacedLocally() -> void
    {
        this->submit(this->request("/order/1"));
        this->state->servers.registerServer({"p2", "desk", "10.0.0.1:80", "z2", 2, true, {}, 1},
                                            Duration(0), this->now);
        this->replyGranted("p2");
        CPPUNIT_ASSERT_EQUAL(std::string("p1"), this->lastDispatch().server);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->slotPort.cancelled.size());
    }

    auto request_slotTimeout_isPlacedLocally() -> void
    {
        this->submit(this->request("/order/1"));
        this->scheduler->onSlotTimeout(this->slotPort.slotRequests.back().id);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->servers.dispatches.size());
    }

    auto request_noCoordinator_isPlacedLocally() -> void
    {
        this->slotPort.reply = fleet::SlotReply{};
        this->submit(this->request("/order/1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->servers.dispatches.size());
    }

    auto request_longExpectedWait_isRejectedAtOnce() -> void
    {
        const auto caller = this->submit(this->request("/order/1"));
        this->replyQueued(seconds(2));
        CPPUNIT_ASSERT_EQUAL(503, caller->response.status);
        CPPUNIT_ASSERT(!caller->header("Retry-After").empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->slotPort.cancelled.size());
    }

    auto request_expectedWaitGrows_isRejected() -> void
    {
        const auto caller = this->submit(this->request("/order/1"));
        this->replyQueued(milliseconds(50));
        CPPUNIT_ASSERT_EQUAL(0, caller->finalResponses);
        this->replyQueued(seconds(3));
        CPPUNIT_ASSERT_EQUAL(503, caller->response.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->scheduler->queuedRequests());
    }

    auto request_queuedTooLong_isRejectedAndCancelled() -> void
    {
        const auto caller = this->submit(this->request("/order/1"));
        this->replyQueued(Duration(0));
        this->pass(seconds(3));
        CPPUNIT_ASSERT_EQUAL(503, caller->response.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->slotPort.cancelled.size());
    }

    auto request_slotGrantedAsAnotherExpires_isNotRejected() -> void
    {
        std::vector<std::shared_ptr<FakeCaller>> callers;
        for (int count = 0; count < 2; ++count) {
            callers.push_back(this->submit(this->request("/order/1")));
            this->replyQueued(Duration(0));
        }
        this->slotPort.onCancel = [this] {
            const bool isFirst =
                this->slotPort.cancelled.back() == this->slotPort.slotRequests.front().id;
            const auto &other = this->slotPort.slotRequests.at(isFirst ? 1 : 0);
            this->scheduler->onSlotReply(
                {other.id, SlotOutcome::Granted, this->state->servers.find("p1")->hash, {}});
        };
        this->pass(milliseconds(1050));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->servers.dispatches.size());
        CPPUNIT_ASSERT_EQUAL(1, callers[0]->finalResponses + callers[1]->finalResponses);
        reply(this->lastDispatch(), 200);
        CPPUNIT_ASSERT(callers[0]->response.status == 200 || callers[1]->response.status == 200);
    }

    auto request_placedDuringItsCancellation_isNotSentTwice() -> void
    {
        this->submit(this->request("/order/1"));
        const auto waiting = this->slotPort.slotRequests.back().id;
        this->rejectFor("p1", seconds(1));
        const auto hash = this->state->servers.find("p1")->hash;
        const auto before = this->servers.dispatches.size();
        this->slotPort.onCancel = [this] { this->scheduler->placeQueued(); };
        this->scheduler->onSlotReply({waiting, SlotOutcome::Granted, hash, {}});
        this->replyGranted("p2");
        CPPUNIT_ASSERT_EQUAL(before + 1, this->servers.dispatches.size());
    }

    auto request_placedAsItsExclusionsEnd_isNotSentTwice() -> void
    {
        this->rejectFor("p1", milliseconds(300));
        this->submit(this->request("/order/1"));
        this->replyQueued(Duration(0));
        const auto before = this->servers.dispatches.size();
        this->slotPort.onCancel = [this] { this->scheduler->placeQueued(); };
        this->pass(milliseconds(300));
        CPPUNIT_ASSERT(!this->slotPort.onCancel);
        this->replyGranted("p2");
        CPPUNIT_ASSERT_EQUAL(before + 1, this->servers.dispatches.size());
    }

    auto caller_disconnectsWhileQueued_cancelsSlotRequest() -> void
    {
        this->submit(this->request("/order/1"));
        this->scheduler->onCallerDisconnected(this->requestNumber);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->slotPort.cancelled.size());
    }

    auto grant_forEndedRequest_isCancelled() -> void
    {
        this->submit(this->request("/order/1"));
        this->scheduler->onCallerDisconnected(this->requestNumber);
        this->slotPort.cancelled.clear();
        this->replyGranted("p1");
        CPPUNIT_ASSERT(this->servers.dispatches.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->slotPort.cancelled.size());
    }

    auto request_rejectedByServer_excludesItFromNextSlotRequest() -> void
    {
        this->submit(this->request("/order/1"));
        this->replyGranted("p1");
        reply(this->lastDispatch(), 503, true, true);
        CPPUNIT_ASSERT(this->slotPort.events == std::vector<SlotEvent>{SlotEvent::Rejected});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->slotPort.slotRequests.size());
        CPPUNIT_ASSERT(this->slotPort.slotRequests[0].id != this->slotPort.slotRequests[1].id);
        CPPUNIT_ASSERT(this->slotPort.slotRequests.back().excludedServers
                       == std::vector<std::uint32_t>{this->state->servers.find("p1")->hash});
    }

    /** A request that was granted a server that turned out to be gone was rejected for overload. */
    auto request_notRunByServer_keepsItsDeadlines() -> void
    {
        const auto caller = this->submit(this->request("/order/1"));
        this->replyGranted("p1");
        this->lastDispatch().observer->onExchangeFailed(ExchangeFailure::NotSent);
        const auto &requests = this->slotPort.slotRequests;
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, requests.size());
        CPPUNIT_ASSERT(requests[1].latencyBudget == requests[0].latencyBudget);
        CPPUNIT_ASSERT(requests[1].queueTimeout == requests[0].queueTimeout);
        this->replyQueued(seconds(3));
        this->replyQueued(seconds(3));
        CPPUNIT_ASSERT_EQUAL(0, caller->finalResponses);
    }

    /** The coordinator went on granting the slots of a server that another one had replaced. */
    auto request_misdirected_reportsTheServerAsUnreachable() -> void
    {
        this->submit(this->request("/order/1"));
        this->replyGranted("p1");
        auto response = header(421);
        response.misdirected = true;
        response.notExecuted = true;
        this->lastDispatch().observer->onResponseHeader(response);
        this->lastDispatch().observer->onResponseEnd();
        CPPUNIT_ASSERT(this->slotPort.events == std::vector<SlotEvent>{SlotEvent::Unreachable});
    }

    /** Sends a request to the server, whose response says that it is about to stop. */
    auto answerLeaving(const std::string &id) -> void
    {
        this->submit(this->request("/order/1"));
        this->replyGranted(id);
        auto response = header(200);
        response.leaving = true;
        this->lastDispatch().observer->onResponseHeader(response);
        this->lastDispatch().observer->onResponseEnd();
    }

    auto request_serverLeaving_excludesItFromItsSlotRequest() -> void
    {
        this->answerLeaving("p1");
        this->submit(this->request("/order/2"));
        CPPUNIT_ASSERT(this->slotPort.slotRequests.back().excludedServers
                       == std::vector<std::uint32_t>{this->state->servers.find("p1")->hash});
    }

    auto request_grantOfLeavingServer_isRequestedAgain() -> void
    {
        this->submit(this->request("/order/1"));
        const auto waiting = this->slotPort.slotRequests.back().id;
        this->answerLeaving("p1");
        const auto hash = this->state->servers.find("p1")->hash;
        this->scheduler->onSlotReply({waiting, SlotOutcome::Granted, hash, {}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->servers.dispatches.size());
        CPPUNIT_ASSERT(this->slotPort.cancelled == std::vector<std::uint64_t>{waiting});
        CPPUNIT_ASSERT(this->slotPort.slotRequests.back().id != waiting);
        CPPUNIT_ASSERT(this->slotPort.slotRequests.back().excludedServers
                       == std::vector<std::uint32_t>{hash});
        this->replyGranted("p2");
        CPPUNIT_ASSERT_EQUAL(std::string("p2"), this->lastDispatch().server);
    }

    auto request_manyServersLeaving_excludesABoundedNumber() -> void
    {
        for (int number = 0; number < 100; ++number) {
            const auto id = "s" + std::to_string(number);
            this->addServer(id, "desk", "z1");
            this->answerLeaving(id);
        }
        this->submit(this->request("/order/2"));
        const auto count = this->slotPort.slotRequests.back().excludedServers.size();
        CPPUNIT_ASSERT(count >= 8 && count <= 32);
    }

    /** Sends a request to the server, which rejects it with a Retry-After. */
    auto rejectFor(const std::string &id, Duration time) -> void
    {
        this->submit(this->request("/order/1"));
        this->replyGranted(id);
        auto response = header(503);
        response.notExecuted = true;
        response.retryAfter = time;
        this->lastDispatch().observer->onResponseHeader(response);
        this->lastDispatch().observer->onResponseEnd();
        this->scheduler->onCallerDisconnected(this->requestNumber);
        this->slotPort.cancelled.clear();
    }

    auto request_serverDeferred_excludesItUntilTheTimeHasPassed() -> void
    {
        this->rejectFor("p1", milliseconds(300));
        CPPUNIT_ASSERT(this->slotPort.events.front() == SlotEvent::Rejected);
        this->submit(this->request("/order/2"));
        const auto first = this->slotPort.slotRequests.back();
        CPPUNIT_ASSERT(first.excludedServers
                       == std::vector<std::uint32_t>{this->state->servers.find("p1")->hash});
        this->replyQueued(Duration(0));
        this->pass(milliseconds(250));
        CPPUNIT_ASSERT_EQUAL(first.id, this->slotPort.slotRequests.back().id);
        this->pass(milliseconds(50));
        CPPUNIT_ASSERT(this->slotPort.cancelled == std::vector<std::uint64_t>{first.id});
        CPPUNIT_ASSERT(this->slotPort.slotRequests.back().excludedServers.empty());
        this->replyGranted("p1");
        CPPUNIT_ASSERT_EQUAL(std::string("p1"), this->lastDispatch().server);
    }

    auto request_grantOfDeferredServer_isRequestedAgain() -> void
    {
        this->submit(this->request("/order/1"));
        const auto waiting = this->slotPort.slotRequests.back().id;
        this->rejectFor("p1", seconds(1));
        const auto hash = this->state->servers.find("p1")->hash;
        this->scheduler->onSlotReply({waiting, SlotOutcome::Granted, hash, {}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->servers.dispatches.size());
        CPPUNIT_ASSERT(this->slotPort.cancelled == std::vector<std::uint64_t>{waiting});
        CPPUNIT_ASSERT(this->slotPort.slotRequests.back().excludedServers
                       == std::vector<std::uint32_t>{hash});
    }

    auto request_queuedAndServersDeferred_callerIsToldToRetryAfterIt() -> void
    {
        this->rejectFor("p1", milliseconds(2500));
        this->rejectFor("p2", milliseconds(2500));
        const auto caller = this->submit(this->request("/order/2"));
        this->replyQueued(Duration(0));
        CPPUNIT_ASSERT_EQUAL(503, caller->response.status);
        CPPUNIT_ASSERT(std::stod(caller->header("Retry-After")) >= 2.5);
    }

    auto server_namesLimit_isReportedWithTheFirstByte() -> void
    {
        this->submit(this->request("/draft/1"));
        this->replyGranted("e1");
        auto response = header(200);
        response.requestLimit = 2;
        auto &dispatch = this->lastDispatch();
        dispatch.observer->onResponseHeader(response);
        CPPUNIT_ASSERT_EQUAL(2.0, this->state->servers.find("e1")->requestLimit.perSecond());
        dispatch.observer->onResponseData("id: 1\ndata: x\n\n");
        dispatch.observer->onResponseEnd();
        CPPUNIT_ASSERT(this->slotPort.limits == std::vector<double>{2.0});
    }

    auto server_atItsLimit_getsNoRequestWithoutCoordinator() -> void
    {
        for (const auto *id : {"p1", "p2"}) {
            this->state->servers.find(id)->requestLimit.update(1, this->now, this->now);
        }
        this->slotPort.reply = fleet::SlotReply{};
        this->submit(this->request("/order/1"));
        CPPUNIT_ASSERT(this->servers.dispatches.empty());
        this->state->servers.find("p2")->requestLimit.update(fleet::NoRequestLimit, this->now,
                                                             this->now);
        this->submit(this->request("/order/2"));
        CPPUNIT_ASSERT_EQUAL(std::string("p2"), this->lastDispatch().server);
    }

private:
    FakeSlotPort slotPort;
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulerSlotFixture);
