/** @file silent_server_tests.cpp Requests whose server sends nothing for some time. */
#include "fake_slot_port.h"
#include "scheduler_fixture.h"

namespace {

using namespace banyanring;
using namespace banyanring::gateway;
using namespace banyanring::test;

/** Servers that fall silent, and go on later or not at all. */
class SilentServerFixture : public SchedulerFixtureBase
{
    CPPUNIT_TEST_SUITE(SilentServerFixture);
    CPPUNIT_TEST(request_serverSilentAndNoOtherFree_keepsItsServer);
    CPPUNIT_TEST(request_serverSilentAndNoRetryBudget_keepsItsServer);
    CPPUNIT_TEST(stream_serverSilentAndNoOtherFree_isNotAborted);
    CPPUNIT_TEST(request_serverSilentUntilAnotherIsFree_continuesThere);
    CPPUNIT_TEST(request_nextServerUnreachable_keepsItsServer);
    CPPUNIT_TEST(stream_nextServerRejects_keepsItsServer);
    CPPUNIT_TEST(stream_nextServerFails_keepsItsServer);
    CPPUNIT_TEST(request_nextServerDefersItself_getsNothingMeanwhile);
    CPPUNIT_TEST(request_mayHaveRunAtTheNextServer_isNotCalledUnrun);
    CPPUNIT_TEST(stream_serverFailsDuringTheMove_continuesAtTheNextOne);
    CPPUNIT_TEST(stream_serverSpeaksDuringTheMove_keepsItsServer);
    CPPUNIT_TEST(caller_disconnectsDuringTheMove_bothServersAreLeft);
    CPPUNIT_TEST(request_movedAfterSilence_overlapsForAMomentOnly);
    CPPUNIT_TEST(stream_serverSilentAndNoSlotGranted_keepsItsServer);
    CPPUNIT_TEST(stream_serverSilentAndSlotGranted_continuesThere);
    CPPUNIT_TEST(stream_serverSpeaksBeforeTheGrant_keepsItsServer);
    CPPUNIT_TEST(stream_endsBeforeTheGrant_slotRequestIsCancelled);
    CPPUNIT_TEST(stream_serverSilentAndCoordinatorToo_continuesByOwnState);
    CPPUNIT_TEST(stream_serverSilentForLong_slotRequestsAreBounded);
    CPPUNIT_TEST(server_silentForASecond_doesNotCountAsFailing);
    CPPUNIT_TEST(server_silentForGood_countsAsFailing);
    CPPUNIT_TEST(server_notReadForSlowCaller_isNotSilent);
    CPPUNIT_TEST(node_suspended_keepsItsServers);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setDraining(const std::string &id, const std::string &service, const std::string &domain,
                     bool draining) -> void
    {
        this->state->servers.registerServer(
            {id, service, "10.0.0.1:80", domain, 2, draining, {}, 1}, Duration(0), this->now);
    }

    auto request_serverSilentAndNoOtherFree_keepsItsServer() -> void
    {
        this->setDraining("p2", "desk", "z2", true);
        const auto caller = this->submit(this->request("/lookup/1"));
        this->lastDispatch().observer->onSent();
        this->pass(milliseconds(2500));
        CPPUNIT_ASSERT(!this->lastDispatch().cancelled);
        CPPUNIT_ASSERT_EQUAL(0, caller->finalResponses);
        reply(this->lastDispatch(), 200);
        CPPUNIT_ASSERT_EQUAL(200, caller->response.status);
    }

    auto request_serverSilentAndNoRetryBudget_keepsItsServer() -> void
    {
        while (this->state->retryBudget.tryTake("desk", 1, this->now)) {
        }
        const auto caller = this->submit(this->request("/lookup/1"));
        this->lastDispatch().observer->onSent();
        this->pass(milliseconds(2500));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->servers.dispatches.size());
        CPPUNIT_ASSERT(!this->lastDispatch().cancelled);
        reply(this->lastDispatch(), 200);
        CPPUNIT_ASSERT_EQUAL(200, caller->response.status);
    }

    auto stream_serverSilentAndNoOtherFree_isNotAborted() -> void
    {
        this->setDraining("e2", "llm", "z2", true);
        const auto caller = this->submit(this->request("/clause/1"));
        stream(this->lastDispatch(), 1, 2);
        this->pass(milliseconds(2500));
        CPPUNIT_ASSERT(!caller->aborted);
        this->lastDispatch().observer->onResponseData("id: 3\ndata: x\n\n");
        this->lastDispatch().observer->onResponseEnd();
        CPPUNIT_ASSERT(caller->ended);
    }

    auto request_serverSilentUntilAnotherIsFree_continuesThere() -> void
    {
        this->setDraining("p2", "desk", "z2", true);
        const auto caller = this->submit(this->request("/lookup/1"));
        this->lastDispatch().observer->onSent();
        this->pass(milliseconds(1500));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->servers.dispatches.size());
        this->setDraining("p2", "desk", "z2", false);
        this->pass(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::string("p2"), this->lastDispatch().server);
        reply(this->lastDispatch(), 200);
        CPPUNIT_ASSERT(this->servers.dispatches.front()->cancelled);
        CPPUNIT_ASSERT_EQUAL(200, caller->response.status);
    }

    auto request_nextServerUnreachable_keepsItsServer() -> void
    {
        const auto caller = this->submit(this->request("/lookup/1"));
        this->lastDispatch().observer->onSent();
        this->pass(milliseconds(1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->servers.dispatches.size());
        this->lastDispatch().observer->onExchangeFailed(ExchangeFailure::NotSent);
        this->pass(milliseconds(1000));
        CPPUNIT_ASSERT_EQUAL(0, caller->finalResponses);
        CPPUNIT_ASSERT(!this->servers.dispatches.front()->cancelled);
        reply(*this->servers.dispatches.front(), 200);
        CPPUNIT_ASSERT_EQUAL(200, caller->response.status);
    }

    /** The new server rejected the request when the silent one had been left already. */
    auto stream_nextServerRejects_keepsItsServer() -> void
    {
        const auto caller = this->submit(this->request("/clause/1"));
        stream(this->lastDispatch(), 1, 2);
        this->pass(milliseconds(900));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->servers.dispatches.size());
        while (this->state->retryBudget.tryTake("llm", 1, this->now)) {
        }
        reply(this->lastDispatch(), 503, false, true);
        CPPUNIT_ASSERT(this->lastDispatch().cancelled);
        CPPUNIT_ASSERT(!this->servers.dispatches.front()->cancelled);
        this->pass(milliseconds(600));
        CPPUNIT_ASSERT(!caller->aborted);
        this->servers.dispatches.front()->observer->onResponseData("id: 3\ndata: x\n\n");
        this->servers.dispatches.front()->observer->onResponseEnd();
        CPPUNIT_ASSERT(caller->ended);
    }

    auto stream_nextServerFails_keepsItsServer() -> void
    {
        for (const auto status : {500, 0}) {
            const auto caller = this->submit(this->request("/clause/1"));
            auto &first = this->lastDispatch();
            stream(first, 1, 2);
            this->pass(milliseconds(900));
            this->lastDispatch().observer->onSent();
            if (status == 0) {
                this->lastDispatch().observer->onExchangeFailed(ExchangeFailure::NoResponse);
            } else {
                reply(this->lastDispatch(), status);
            }
            CPPUNIT_ASSERT(!first.cancelled);
            first.observer->onResponseData("id: 3\ndata: x\n\n");
            first.observer->onResponseEnd();
            CPPUNIT_ASSERT(caller->ended);
        }
    }

    auto request_nextServerDefersItself_getsNothingMeanwhile() -> void
    {
        this->submit(this->request("/lookup/1"));
        this->lastDispatch().observer->onSent();
        this->pass(milliseconds(1000));
        const auto next = this->state->servers.find(this->lastDispatch().server);
        auto rejection = header(503, false);
        rejection.notExecuted = true;
        rejection.retryAfter = seconds(2);
        rejection.leaving = true;
        this->lastDispatch().observer->onSent();
        this->lastDispatch().observer->onResponseHeader(rejection);
        CPPUNIT_ASSERT(next->isDeferred(this->now + milliseconds(1900)));
        CPPUNIT_ASSERT(next->leaving);
        CPPUNIT_ASSERT(!this->servers.dispatches.front()->cancelled);
    }

    auto request_mayHaveRunAtTheNextServer_isNotCalledUnrun() -> void
    {
        const auto caller = this->submit(this->request("/lookup/1"));
        auto &first = this->lastDispatch();
        first.observer->onSent();
        this->pass(milliseconds(1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->servers.dispatches.size());
        this->lastDispatch().observer->onSent();
        while (this->state->retryBudget.tryTake("desk", 1, this->now)) {
        }
        reply(first, 503, false, true);
        CPPUNIT_ASSERT_EQUAL(502, caller->response.status);
    }

    auto stream_serverFailsDuringTheMove_continuesAtTheNextOne() -> void
    {
        const auto caller = this->submit(this->request("/clause/1"));
        auto &first = this->lastDispatch();
        stream(first, 1, 2);
        this->pass(milliseconds(900));
        this->lastDispatch().observer->onSent();
        first.observer->onExchangeFailed(ExchangeFailure::Truncated);
        CPPUNIT_ASSERT(!caller->aborted);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->servers.dispatches.size());
        stream(this->lastDispatch(), 3, 4);
        this->lastDispatch().observer->onResponseEnd();
        CPPUNIT_ASSERT(caller->ended);
    }

    auto stream_serverSpeaksDuringTheMove_keepsItsServer() -> void
    {
        const auto caller = this->submit(this->request("/clause/1"));
        auto &first = this->lastDispatch();
        stream(first, 1, 2);
        this->pass(milliseconds(900));
        first.observer->onResponseData("id: 3\ndata: x\n\n");
        CPPUNIT_ASSERT(this->lastDispatch().cancelled);
        CPPUNIT_ASSERT(!first.cancelled);
        first.observer->onResponseEnd();
        CPPUNIT_ASSERT(caller->ended);
        CPPUNIT_ASSERT_EQUAL(0U, this->state->servers.find("e1")->ownLoad.requests);
        CPPUNIT_ASSERT_EQUAL(0U, this->state->servers.find("e2")->ownLoad.requests);
    }

    auto caller_disconnectsDuringTheMove_bothServersAreLeft() -> void
    {
        this->submit(this->request("/clause/1"));
        stream(this->lastDispatch(), 1, 2);
        this->pass(milliseconds(900));
        this->scheduler->onCallerDisconnected(this->requestNumber);
        for (const auto &dispatch : this->servers.dispatches) {
            CPPUNIT_ASSERT(dispatch->cancelled);
        }
    }

    /** Two servers may not work on a request for 400 ms. */
    auto request_movedAfterSilence_overlapsForAMomentOnly() -> void
    {
        constexpr int MaxOverlappingTicks = 7; // Of 50 ms each.
        this->submit(this->request("/lookup/1"));
        this->lastDispatch().observer->onSent();
        int overlappingTicks = 0;
        for (int tick = 0; tick < 60; ++tick) {
            this->pass(milliseconds(50));
            const auto running =
                std::count_if(this->servers.dispatches.begin(), this->servers.dispatches.end(),
                              [](const auto &dispatch) { return !dispatch->cancelled; });
            CPPUNIT_ASSERT(running == 1 || running == 2);
            overlappingTicks = running == 2 ? overlappingTicks + 1 : 0;
            CPPUNIT_ASSERT(overlappingTicks <= MaxOverlappingTicks);
            if (running == 2 && overlappingTicks == 1) {
                this->lastDispatch().observer->onSent();
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->servers.dispatches.size());
        CPPUNIT_ASSERT(this->servers.dispatches.front()->cancelled);
    }

    /** Starts a stream with a slot of a server, which then is silent until it is left. */
    auto startSilentStream(FakeSlotPort &port) -> std::shared_ptr<FakeCaller>
    {
        this->scheduler->setSlotPort(port);
        const auto caller = this->submit(this->request("/clause/1"));
        this->scheduler->onSlotReply(this->grantOf("e1", port.slotRequests.back().id));
        stream(this->lastDispatch(), 1, 2);
        this->pass(milliseconds(900));
        return caller;
    }

    auto grantOf(const std::string &id, std::uint64_t slotRequest) const -> fleet::SlotReply
    {
        return {slotRequest, fleet::SlotOutcome::Granted, this->state->servers.find(id)->hash, {}};
    }

    /** A server that looked free to all nodes rejected the requests that left a silent one. */
    auto stream_serverSilentAndNoSlotGranted_keepsItsServer() -> void
    {
        FakeSlotPort port;
        const auto caller = this->startSilentStream(port);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, port.slotRequests.size());
        const auto id = port.slotRequests.back().id;
        this->scheduler->onSlotReply({id, fleet::SlotOutcome::Queued, 0, milliseconds(10)});
        CPPUNIT_ASSERT(port.cancelled == std::vector<std::uint64_t>{id});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->servers.dispatches.size());
        CPPUNIT_ASSERT(!this->lastDispatch().cancelled);
        this->lastDispatch().observer->onResponseData("id: 3\ndata: x\n\n");
        this->lastDispatch().observer->onResponseEnd();
        CPPUNIT_ASSERT(caller->ended);
    }

    auto stream_serverSilentAndSlotGranted_continuesThere() -> void
    {
        FakeSlotPort port;
        const auto caller = this->startSilentStream(port);
        const auto &excluded = port.slotRequests.back().excludedServers;
        CPPUNIT_ASSERT(
            std::find(excluded.begin(), excluded.end(), this->state->servers.find("e1")->hash)
            != excluded.end());
        this->scheduler->onSlotReply(this->grantOf("e2", port.slotRequests.back().id));
        CPPUNIT_ASSERT_EQUAL(std::string("e2"), this->lastDispatch().server);
        CPPUNIT_ASSERT(this->lastDispatch().bytes.find("Last-Event-Id: 2") != std::string::npos);
        CPPUNIT_ASSERT(!this->servers.dispatches.front()->cancelled);
        stream(this->lastDispatch(), 3, 4);
        CPPUNIT_ASSERT(this->servers.dispatches.front()->cancelled);
        this->lastDispatch().observer->onResponseEnd();
        CPPUNIT_ASSERT(caller->ended);
        CPPUNIT_ASSERT(port.events.back() == fleet::SlotEvent::Succeeded);
        CPPUNIT_ASSERT(port.cancelled.empty());
    }

    auto stream_serverSpeaksBeforeTheGrant_keepsItsServer() -> void
    {
        FakeSlotPort port;
        this->startSilentStream(port);
        this->lastDispatch().observer->onResponseData("id: 3\ndata: x\n\n");
        const auto id = port.slotRequests.back().id;
        CPPUNIT_ASSERT(port.cancelled == std::vector<std::uint64_t>{id});
        this->scheduler->onSlotReply(this->grantOf("e2", id));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->servers.dispatches.size());
        CPPUNIT_ASSERT(!this->lastDispatch().cancelled);
    }

    auto stream_endsBeforeTheGrant_slotRequestIsCancelled() -> void
    {
        FakeSlotPort port;
        const auto caller = this->startSilentStream(port);
        const auto id = port.slotRequests.back().id;
        this->lastDispatch().observer->onResponseData("id: 3\ndata: x\n\n");
        this->lastDispatch().observer->onResponseEnd();
        CPPUNIT_ASSERT(caller->ended);
        CPPUNIT_ASSERT(port.cancelled == std::vector<std::uint64_t>{id});
        this->scheduler->onSlotReply(this->grantOf("e2", id));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->servers.dispatches.size());
    }

    auto stream_serverSilentAndCoordinatorToo_continuesByOwnState() -> void
    {
        FakeSlotPort port;
        this->startSilentStream(port);
        this->scheduler->onSlotTimeout(port.slotRequests.back().id);
        CPPUNIT_ASSERT_EQUAL(std::string("e2"), this->lastDispatch().server);
        stream(this->lastDispatch(), 3, 3);
        CPPUNIT_ASSERT(this->servers.dispatches.front()->cancelled);
    }

    auto stream_serverSilentForLong_slotRequestsAreBounded() -> void
    {
        FakeSlotPort port;
        this->startSilentStream(port);
        port.reply = fleet::SlotReply{0, fleet::SlotOutcome::Queued, 0, milliseconds(10)};
        this->scheduler->onSlotReply(
            {port.slotRequests.back().id, fleet::SlotOutcome::Queued, 0, milliseconds(10)});
        this->pass(seconds(2));
        CPPUNIT_ASSERT(port.slotRequests.size() <= 2 + 8);
        CPPUNIT_ASSERT(!this->lastDispatch().cancelled);
    }

    auto server_silentForASecond_doesNotCountAsFailing() -> void
    {
        for (int round = 0; round < 8; ++round) {
            const auto caller = this->submit(this->request("/lookup/1"));
            this->lastDispatch().observer->onSent();
            this->pass(seconds(1));
            reply(this->lastDispatch(), 200);
            CPPUNIT_ASSERT_EQUAL(200, caller->response.status);
            const auto silentId =
                this->servers.dispatches[this->servers.dispatches.size() - 2]->server;
            const auto silent = this->state->servers.find(silentId);
            silent->lastDataAt = this->now;
            CPPUNIT_ASSERT_EQUAL(0.0, silent->stats.failureRate);
            this->pass(seconds(3));
        }
    }

    auto server_silentForGood_countsAsFailing() -> void
    {
        const auto server = this->state->servers.find("p1");
        for (int round = 0; round < 6; ++round) {
            this->setDraining("p2", "desk", "z2", true);
            this->submit(this->request("/lookup/1"));
            CPPUNIT_ASSERT_EQUAL(std::string("p1"), this->lastDispatch().server);
            this->lastDispatch().observer->onSent();
            this->setDraining("p2", "desk", "z2", false);
            this->pass(seconds(1));
            CPPUNIT_ASSERT_EQUAL(std::string("p2"), this->lastDispatch().server);
            reply(this->lastDispatch(), 200);
        }
        CPPUNIT_ASSERT(server->stats.failureRate > 0);
    }

    auto server_notReadForSlowCaller_isNotSilent() -> void
    {
        const auto caller = this->submit(this->request("/clause/1"));
        caller->unsent = 1U << 20U;
        stream(this->lastDispatch(), 1, 2);
        this->pass(seconds(2));
        caller->unsent = 0;
        this->pass(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->servers.dispatches.size());
        CPPUNIT_ASSERT(!this->lastDispatch().cancelled);
    }

    auto node_suspended_keepsItsServers() -> void
    {
        this->submit(this->request("/lookup/1"));
        this->lastDispatch().observer->onSent();
        this->pass(milliseconds(100));
        this->now += seconds(2);
        this->scheduler->tick();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->servers.dispatches.size());
        CPPUNIT_ASSERT(!this->lastDispatch().cancelled);
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(SilentServerFixture);
