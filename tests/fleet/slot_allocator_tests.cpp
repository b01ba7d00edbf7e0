/**
 * @file slot_allocator_tests.cpp Tests of the allocation of slots for the whole fleet and of its
 * messages.
 */
#include "banyanring/fleet/slot_allocator.h"
#include "banyanring/gateway/slot_codec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <random>

namespace {

using namespace banyanring;
using namespace banyanring::gateway;
using fleet::NoRequestLimit;
using fleet::SlotEvent;
using fleet::SlotOutcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** Coordinator of two servers with two slots each. */
class SlotAllocatorFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SlotAllocatorFixture);
    CPPUNIT_TEST(request_freeSlot_isGrantedAndCounted);
    CPPUNIT_TEST(request_repeated_getsTheSameSlot);
    CPPUNIT_TEST(request_excludedServer_getsTheOther);
    CPPUNIT_TEST(request_coldServer_isNotGranted);
    CPPUNIT_TEST(request_noCoordinatedServer_repliesNotCoordinator);
    CPPUNIT_TEST(request_allSlotsTaken_waitsForTheReleasedSlot);
    CPPUNIT_TEST(request_cancelledWhileWaiting_getsNoSlot);
    CPPUNIT_TEST(request_notRepeated_expires);
    CPPUNIT_TEST(grantWaiting_severalNodes_mostUrgentFirst);
    CPPUNIT_TEST(request_shortAndAllServersLimited_isNotHeldBackForLongOnes);
    CPPUNIT_TEST(report_rejected_countsTheServerAsFull);
    CPPUNIT_TEST(report_unreachable_oneRequestProbesTheServer);
    CPPUNIT_TEST(report_failures_ejectTheServer);
    CPPUNIT_TEST(report_firstByte_removesThePromptWork);
    CPPUNIT_TEST(heldSlots_newCoordinator_recordsThem);
    CPPUNIT_TEST(heldSlots_lostReport_isCorrected);
    CPPUNIT_TEST(heldSlots_grantInTransit_isKept);
    CPPUNIT_TEST(expire_unresponsiveNode_releasesItsSlots);
    CPPUNIT_TEST(slots_randomEvents_areNeverGrantedTwice);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t Self = 1; ///< Incarnation of the coordinator.

public:
    auto setUp() -> void override
    {
        for (const auto *id : {"a", "b"}) {
            this->registry.registerServer({id, "s", "10.0.0.1:80", "z", 2, false, {}, 1},
                                          Duration(0), this->now);
            this->registry.find(id)->coordinatedHere = true;
        }
        this->allocator = std::make_unique<fleet::SlotAllocator>(
            this->registry, [](const fleet::Server &, Instant) { return true; }, Self);
    }

    auto makeRequest(std::uint64_t node, std::uint64_t number) const -> fleet::SlotRequest
    {
        fleet::SlotRequest request;
        request.incarnation = node;
        request.id = number;
        request.replyAddress = "node-" + std::to_string(node);
        request.profile.engine = true;
        request.profile.promptWork = 100;
        request.latencyBudget = milliseconds(300);
        request.queueTimeout = seconds(2);
        return request;
    }

    auto requestSlot(const fleet::SlotRequest &request) -> fleet::SlotReply
    {
        return this->allocator->handleRequest(request, "s", this->now);
    }

    auto reportEvent(std::uint64_t node, std::uint64_t request, SlotEvent event) -> void
    {
        this->allocator->handleReport(
            {node, request, event, milliseconds(50), milliseconds(50), 10}, this->now);
    }

    /** Fills all slots with the slot requests 1 to 4 of node 2. */
    auto fillAllSlots() -> void
    {
        for (std::uint64_t number = 1; number <= 4; ++number) {
            CPPUNIT_ASSERT(this->requestSlot(this->makeRequest(2, number)).outcome
                           == SlotOutcome::Granted);
        }
    }

    auto heldSlotCount() const -> std::uint32_t
    {
        return this->registry.find("a")->peerLoad.requests
               + this->registry.find("b")->peerLoad.requests;
    }

    auto request_freeSlot_isGrantedAndCounted() -> void
    {
        const auto reply = this->requestSlot(this->makeRequest(2, 1));
        CPPUNIT_ASSERT(reply.outcome == SlotOutcome::Granted);
        const auto server = this->registry.findByHash(reply.serverHash);
        CPPUNIT_ASSERT_EQUAL(1U, server->peerLoad.requests);
        CPPUNIT_ASSERT_EQUAL(100.0, server->peerLoad.promptWork);
        this->reportEvent(2, 1, SlotEvent::Succeeded);
        CPPUNIT_ASSERT_EQUAL(0U, this->heldSlotCount());
    }

    auto request_repeated_getsTheSameSlot() -> void
    {
        const auto first = this->requestSlot(this->makeRequest(2, 1));
        CPPUNIT_ASSERT_EQUAL(first.serverHash,
                             this->requestSlot(this->makeRequest(2, 1)).serverHash);
        CPPUNIT_ASSERT_EQUAL(1U, this->heldSlotCount());
    }

    auto request_excludedServer_getsTheOther() -> void
    {
        auto request = this->makeRequest(2, 1);
        request.excludedServers = {this->registry.find("a")->hash};
        CPPUNIT_ASSERT_EQUAL(this->registry.find("b")->hash, this->requestSlot(request).serverHash);
    }

    auto request_coldServer_isNotGranted() -> void
    {
        this->registry.find("a")->coldUntil = this->now + seconds(3);
        this->registry.find("b")->coldUntil = this->now + seconds(3);
        CPPUNIT_ASSERT(this->requestSlot(this->makeRequest(2, 1)).outcome == SlotOutcome::Queued);
    }

    auto request_noCoordinatedServer_repliesNotCoordinator() -> void
    {
        this->registry.find("a")->coordinatedHere = false;
        this->registry.find("b")->coordinatedHere = false;
        CPPUNIT_ASSERT(this->requestSlot(this->makeRequest(2, 1)).outcome
                       == SlotOutcome::NotCoordinator);
    }

    auto request_allSlotsTaken_waitsForTheReleasedSlot() -> void
    {
        this->fillAllSlots();
        CPPUNIT_ASSERT(this->requestSlot(this->makeRequest(3, 9)).outcome == SlotOutcome::Queued);
        CPPUNIT_ASSERT(this->allocator->grantWaiting(this->now).empty());
        this->reportEvent(2, 3, SlotEvent::Succeeded);
        const auto grants = this->allocator->grantWaiting(this->now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, grants.size());
        CPPUNIT_ASSERT_EQUAL(std::string("node-3"), grants[0].destination);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, grants[0].reply.requestId);
        CPPUNIT_ASSERT_EQUAL(4U, this->heldSlotCount());
    }

    auto request_cancelledWhileWaiting_getsNoSlot() -> void
    {
        this->fillAllSlots();
        this->requestSlot(this->makeRequest(3, 9));
        this->reportEvent(3, 9, SlotEvent::Neutral);
        this->reportEvent(2, 3, SlotEvent::Succeeded);
        CPPUNIT_ASSERT(this->allocator->grantWaiting(this->now).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->allocator->waitingCount());
    }

    auto request_notRepeated_expires() -> void
    {
        this->fillAllSlots();
        this->requestSlot(this->makeRequest(3, 9));
        this->now += milliseconds(600);
        this->allocator->expire({Self, 2, 3}, this->now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->allocator->waitingCount());
    }

    auto grantWaiting_severalNodes_mostUrgentFirst() -> void
    {
        this->fillAllSlots();
        auto lessUrgent = this->makeRequest(3, 1);
        lessUrgent.tier = 2;
        this->requestSlot(lessUrgent);
        this->now += milliseconds(1);
        this->requestSlot(this->makeRequest(4, 1));
        this->reportEvent(2, 1, SlotEvent::Succeeded);
        CPPUNIT_ASSERT_EQUAL(std::string("node-4"),
                             this->allocator->grantWaiting(this->now).at(0).destination);
    }

    auto request_shortAndAllServersLimited_isNotHeldBackForLongOnes() -> void
    {
        const auto serverB = this->registry.find("b");
        for (const auto *id : {"a", "b"}) {
            this->registry.find(id)->requestLimit.update(1, this->now, this->now);
        }
        auto longRequest = this->makeRequest(2, 1);
        longRequest.profile.expectedOutputTokens = 1000;
        this->requestSlot(longRequest);
        this->reportEvent(2, 1, SlotEvent::Neutral);
        serverB->requestLimit.update(NoRequestLimit, this->now, this->now);
        serverB->reportedOtherRequests = serverB->registration.slots;
        this->now += milliseconds(1100);
        serverB->reportedAt = this->now;
        CPPUNIT_ASSERT(this->requestSlot(this->makeRequest(2, 2)).outcome == SlotOutcome::Queued);
        this->reportEvent(2, 2, SlotEvent::Neutral);
        serverB->requestLimit.update(1, this->now, this->now);
        CPPUNIT_ASSERT(this->requestSlot(this->makeRequest(2, 3)).outcome == SlotOutcome::Granted);
    }

    auto report_rejected_countsTheServerAsFull() -> void
    {
        const auto reply = this->requestSlot(this->makeRequest(2, 1));
        this->reportEvent(2, 1, SlotEvent::Rejected);
        const auto next = this->requestSlot(this->makeRequest(2, 2));
        CPPUNIT_ASSERT(next.serverHash != reply.serverHash);
    }

    /** A server that is still down must not take a request for each of its slots after a backoff.
     */
    auto report_unreachable_oneRequestProbesTheServer() -> void
    {
        this->registry.find("b")->coordinatedHere = false;
        this->requestSlot(this->makeRequest(2, 1));
        this->reportEvent(2, 1, SlotEvent::Unreachable);
        this->now = this->registry.find("a")->backoffUntil;
        CPPUNIT_ASSERT(this->requestSlot(this->makeRequest(2, 2)).outcome == SlotOutcome::Granted);
        CPPUNIT_ASSERT(this->requestSlot(this->makeRequest(2, 3)).outcome == SlotOutcome::Queued);
        this->now += milliseconds(10);
        CPPUNIT_ASSERT(this->allocator->grantWaiting(this->now).empty());
        this->reportEvent(2, 2, SlotEvent::FirstByte);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->allocator->grantWaiting(this->now).size());
    }

    auto report_failures_ejectTheServer() -> void
    {
        const auto failingServer = this->registry.find("a");
        for (const auto *id : {"c", "d"}) {
            this->registry.registerServer({id, "s", "10.0.0.1:80", "z", 2, false, {}, 1},
                                          Duration(0), this->now);
            this->registry.find(id)->coordinatedHere = true;
        }
        for (std::uint64_t number = 1; number <= 60; ++number) {
            const auto reply = this->requestSlot(this->makeRequest(2, number));
            const bool fails = reply.serverHash == failingServer->hash;
            this->reportEvent(2, number, fails ? SlotEvent::Failed : SlotEvent::Succeeded);
            this->now += milliseconds(1);
        }
        CPPUNIT_ASSERT(failingServer->stats.sampleCount == 0
                       || failingServer->stats.failureRate > 0);
        CPPUNIT_ASSERT(this->requestSlot(this->makeRequest(2, 99)).serverHash
                       != failingServer->hash);
    }

    auto report_firstByte_removesThePromptWork() -> void
    {
        const auto server =
            this->registry.findByHash(this->requestSlot(this->makeRequest(2, 1)).serverHash);
        this->reportEvent(2, 1, SlotEvent::FirstByte);
        CPPUNIT_ASSERT_EQUAL(0.0, server->peerLoad.promptWork);
        CPPUNIT_ASSERT_EQUAL(1U, server->peerLoad.requests);
        this->reportEvent(2, 1, SlotEvent::Succeeded);
        CPPUNIT_ASSERT_EQUAL(0U, this->heldSlotCount());
    }

    auto heldSlots_newCoordinator_recordsThem() -> void
    {
        const auto serverHash = this->registry.find("a")->hash;
        this->allocator->reconcileHeldSlots({2, {{1, serverHash, 50}, {2, serverHash, 0}}},
                                            this->now);
        CPPUNIT_ASSERT_EQUAL(2U, this->registry.find("a")->peerLoad.requests);
        CPPUNIT_ASSERT_EQUAL(this->registry.find("b")->hash,
                             this->requestSlot(this->makeRequest(3, 1)).serverHash);
        this->reportEvent(2, 1, SlotEvent::Succeeded);
        CPPUNIT_ASSERT_EQUAL(1U, this->registry.find("a")->peerLoad.requests);
    }

    auto heldSlots_lostReport_isCorrected() -> void
    {
        this->fillAllSlots();
        this->now += seconds(1);
        this->allocator->reconcileHeldSlots({2, {{1, this->registry.find("a")->hash, 0}}},
                                            this->now);
        CPPUNIT_ASSERT_EQUAL(1U, this->heldSlotCount());
    }

    auto heldSlots_grantInTransit_isKept() -> void
    {
        this->fillAllSlots();
        this->now += milliseconds(5);
        this->allocator->reconcileHeldSlots({2, {}}, this->now);
        CPPUNIT_ASSERT_EQUAL(4U, this->heldSlotCount());
    }

    auto expire_unresponsiveNode_releasesItsSlots() -> void
    {
        this->fillAllSlots();
        this->allocator->expire({Self, 3}, this->now);
        CPPUNIT_ASSERT_EQUAL(0U, this->heldSlotCount());
    }

    auto slots_randomEvents_areNeverGrantedTwice() -> void
    {
        std::mt19937_64 random(7);
        std::map<std::pair<std::uint64_t, std::uint64_t>, std::uint32_t> granted;
        const auto recordGrant = [&](std::uint64_t node, const fleet::SlotReply &reply) {
            if (reply.outcome == SlotOutcome::Granted) {
                granted[{node, reply.requestId}] = reply.serverHash;
            }
        };
        for (std::uint64_t round = 1; round <= 5000; ++round) {
            this->now += milliseconds(random() % 40);
            const std::uint64_t node = 2 + random() % 3;
            if (random() % 2 == 0) {
                recordGrant(node, this->requestSlot(this->makeRequest(node, round)));
            } else if (!granted.empty()) {
                const auto finished = std::next(
                    granted.begin(), static_cast<std::ptrdiff_t>(random() % granted.size()));
                this->reportEvent(finished->first.first, finished->first.second,
                                  SlotEvent::Succeeded);
                granted.erase(finished);
            }
            for (const auto &[destination, reply] : this->allocator->grantWaiting(this->now)) {
                recordGrant(std::stoull(destination.substr(5)), reply);
            }
            std::map<std::uint32_t, int> grantsByServer;
            for (const auto &[key, server] : granted) {
                CPPUNIT_ASSERT(++grantsByServer[server] <= 2);
            }
            CPPUNIT_ASSERT_EQUAL(granted.size(), static_cast<std::size_t>(this->heldSlotCount()));
        }
    }

private:
    Instant now = seconds(100);
    fleet::ServerRegistry registry;
    std::unique_ptr<fleet::SlotAllocator> allocator;
};

/** Encoding of messages about slots. */
class SlotCodecFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SlotCodecFixture);
    CPPUNIT_TEST(messages_roundTrip_keepAllFields);
    CPPUNIT_TEST(messages_malformed_areRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    auto messages_roundTrip_keepAllFields() -> void
    {
        fleet::SlotRequest request{1,
                                   2,
                                   "10.0.0.1:83",
                                   3,
                                   {true, 4, 5, 6, 7, 8, 9, 0},
                                   10,
                                   11,
                                   12,
                                   milliseconds(13),
                                   milliseconds(14),
                                   {15, 16},
                                   true};
        const auto decodedRequest = decodeSlotRequest(encodeSlotRequest(request));
        CPPUNIT_ASSERT(decodedRequest.has_value());
        CPPUNIT_ASSERT_EQUAL(request.replyAddress, decodedRequest->replyAddress);
        CPPUNIT_ASSERT_EQUAL(8.0, decodedRequest->profile.tokenGapTargetMs);
        CPPUNIT_ASSERT(decodedRequest->queueTimeout == milliseconds(14));
        CPPUNIT_ASSERT(decodedRequest->excludedServers == request.excludedServers);
        CPPUNIT_ASSERT(decodedRequest->forwarded);
        const auto reply =
            decodeSlotReply(encodeSlotReply({1, SlotOutcome::Queued, 2, milliseconds(3)}));
        CPPUNIT_ASSERT(reply->outcome == SlotOutcome::Queued);
        CPPUNIT_ASSERT(reply->expectedWait == milliseconds(3));
        const auto report = decodeSlotReport(
            encodeSlotReport({1, 2, SlotEvent::Rejected, milliseconds(3), milliseconds(4), 5}));
        CPPUNIT_ASSERT(report->event == SlotEvent::Rejected);
        CPPUNIT_ASSERT(report->rest == milliseconds(4));
        CPPUNIT_ASSERT(!report->requestLimit.has_value());
        const auto limitReport = decodeSlotReport(encodeSlotReport(
            {1, 2, SlotEvent::FirstByte, {}, {}, 0, {{7, fleet::NoRequestLimit, {}}}}));
        CPPUNIT_ASSERT_EQUAL(7U, limitReport->requestLimit->serverHash);
        CPPUNIT_ASSERT_EQUAL(fleet::NoRequestLimit, limitReport->requestLimit->perSecond);
        const auto heldSlots = decodeHeldSlots(
            encodeHeldSlots({1, {{2, 3, 4}}, {{5, 6, milliseconds(7)}, {8, -1, {}}}}));
        CPPUNIT_ASSERT_EQUAL(3U, heldSlots->slots.at(0).serverHash);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, heldSlots->requestLimits.size());
        CPPUNIT_ASSERT_EQUAL(6.0, heldSlots->requestLimits.at(0).perSecond);
        CPPUNIT_ASSERT(heldSlots->requestLimits.at(0).age == milliseconds(7));
        const auto freeSlots = decodeFreeSlots(encodeFreeSlots({{1, 2}}));
        CPPUNIT_ASSERT_EQUAL(2U, freeSlots->at(0).freeSlots);
    }

    auto messages_malformed_areRejected() -> void
    {
        for (const std::string_view bytes :
             {"", "garbage", "\x92\x01\x90", "\xdd\xff\xff\xff\xff"}) {
            CPPUNIT_ASSERT(!decodeSlotRequest(bytes).has_value());
            CPPUNIT_ASSERT(!decodeSlotReply(bytes).has_value());
            CPPUNIT_ASSERT(!decodeSlotReport(bytes).has_value());
            CPPUNIT_ASSERT(!decodeHeldSlots(bytes).has_value());
        }
        CPPUNIT_ASSERT(!decodeFreeSlots("garbage").has_value());
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(SlotAllocatorFixture);
CPPUNIT_TEST_SUITE_REGISTRATION(SlotCodecFixture);
