/** @file slot_desk_tests.cpp Tests of slots that are given out for the whole fleet. */
#include "banyanring/fleet/slot_desk.h"
#include "banyanring/gateway/slot_codec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <random>

namespace {

using namespace banyanring;
using namespace banyanring::gateway;
using fleet::SlotEvent;
using fleet::SlotOutcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** The keeper of two servers with two slots each. */
class SlotDeskFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SlotDeskFixture);
    CPPUNIT_TEST(ask_freeSlot_isGrantedAndCounts);
    CPPUNIT_TEST(ask_repeated_getsTheSameSlot);
    CPPUNIT_TEST(ask_triedServer_getsTheOther);
    CPPUNIT_TEST(ask_coldServer_isNotGranted);
    CPPUNIT_TEST(ask_keptByNobodyHere_isUnkept);
    CPPUNIT_TEST(ask_full_waitsAndGetsTheFreedSlot);
    CPPUNIT_TEST(ask_waitingWithdrawn_getsNothing);
    CPPUNIT_TEST(ask_notRepeated_isForgotten);
    CPPUNIT_TEST(waiting_nodes_mostUrgentFirst);
    CPPUNIT_TEST(report_rejected_isFullForAMoment);
    CPPUNIT_TEST(report_failures_setTheServerAside);
    CPPUNIT_TEST(report_firstByte_takesThePromptOff);
    CPPUNIT_TEST(holdings_newKeeper_learnsThem);
    CPPUNIT_TEST(holdings_lostReport_isMadeGood);
    CPPUNIT_TEST(holdings_grantOnTheWay_stays);
    CPPUNIT_TEST(node_gone_givesItsSlotsBack);
    CPPUNIT_TEST(slots_randomCourse_areNeverGivenOutTwice);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t Self = 1; ///< Incarnation of the keeper.

public:
    auto setUp() -> void override
    {
        for (const auto *id : {"a", "b"}) {
            this->book.takeEntry({id, "s", "10.0.0.1:80", "z", 2, false, {}, 1}, Duration(0),
                                 this->now);
            this->book.find(id)->kept = true;
        }
        this->desk = std::make_unique<fleet::SlotDesk>(
            this->book, [](const fleet::Server &, Instant) { return true; }, Self);
    }

    auto make(std::uint64_t node, std::uint64_t number) const -> fleet::SlotAsk
    {
        fleet::SlotAsk ask;
        ask.node = node;
        ask.ask = number;
        ask.origin = "node-" + std::to_string(node);
        ask.shape.engine = true;
        ask.shape.promptWork = 100;
        ask.dueIn = milliseconds(300);
        ask.refuseIn = seconds(2);
        return ask;
    }

    auto take(const fleet::SlotAsk &ask) -> fleet::SlotReply
    {
        return this->desk->take(ask, "s", this->now);
    }

    auto tell(std::uint64_t node, std::uint64_t ask, SlotEvent event) -> void
    {
        this->desk->report({node, ask, event, milliseconds(50), milliseconds(50), 10}, this->now);
    }

    /** Fills all slots with asks 1 to 4 of node 2. */
    auto fill() -> void
    {
        for (std::uint64_t number = 1; number <= 4; ++number) {
            CPPUNIT_ASSERT(this->take(this->make(2, number)).outcome == SlotOutcome::Granted);
        }
    }

    auto held() const -> std::uint32_t
    {
        return this->book.find("a")->peers.requests + this->book.find("b")->peers.requests;
    }

    auto ask_freeSlot_isGrantedAndCounts() -> void
    {
        const auto reply = this->take(this->make(2, 1));
        CPPUNIT_ASSERT(reply.outcome == SlotOutcome::Granted);
        const auto server = this->book.findNumber(reply.server);
        CPPUNIT_ASSERT_EQUAL(1U, server->peers.requests);
        CPPUNIT_ASSERT_EQUAL(100.0, server->peers.promptWork);
        this->tell(2, 1, SlotEvent::Good);
        CPPUNIT_ASSERT_EQUAL(0U, this->held());
    }

    auto ask_repeated_getsTheSameSlot() -> void
    {
        const auto first = this->take(this->make(2, 1));
        CPPUNIT_ASSERT_EQUAL(first.server, this->take(this->make(2, 1)).server);
        CPPUNIT_ASSERT_EQUAL(1U, this->held());
    }

    auto ask_triedServer_getsTheOther() -> void
    {
        auto ask = this->make(2, 1);
        ask.tried = {this->book.find("a")->number};
        CPPUNIT_ASSERT_EQUAL(this->book.find("b")->number, this->take(ask).server);
    }

    auto ask_coldServer_isNotGranted() -> void
    {
        this->book.find("a")->coldUntil = this->now + seconds(3);
        this->book.find("b")->coldUntil = this->now + seconds(3);
        CPPUNIT_ASSERT(this->take(this->make(2, 1)).outcome == SlotOutcome::Queued);
    }

    auto ask_keptByNobodyHere_isUnkept() -> void
    {
        this->book.find("a")->kept = false;
        this->book.find("b")->kept = false;
        CPPUNIT_ASSERT(this->take(this->make(2, 1)).outcome == SlotOutcome::Unkept);
    }

    auto ask_full_waitsAndGetsTheFreedSlot() -> void
    {
        this->fill();
        CPPUNIT_ASSERT(this->take(this->make(3, 9)).outcome == SlotOutcome::Queued);
        CPPUNIT_ASSERT(this->desk->placeWaiting(this->now).empty());
        this->tell(2, 3, SlotEvent::Good);
        const auto grants = this->desk->placeWaiting(this->now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, grants.size());
        CPPUNIT_ASSERT_EQUAL(std::string("node-3"), grants[0].origin);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, grants[0].reply.ask);
        CPPUNIT_ASSERT_EQUAL(4U, this->held());
    }

    auto ask_waitingWithdrawn_getsNothing() -> void
    {
        this->fill();
        this->take(this->make(3, 9));
        this->tell(3, 9, SlotEvent::Neutral);
        this->tell(2, 3, SlotEvent::Good);
        CPPUNIT_ASSERT(this->desk->placeWaiting(this->now).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->desk->waiting());
    }

    auto ask_notRepeated_isForgotten() -> void
    {
        this->fill();
        this->take(this->make(3, 9));
        this->now += milliseconds(600);
        this->desk->expire({Self, 2, 3}, this->now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->desk->waiting());
    }

    auto waiting_nodes_mostUrgentFirst() -> void
    {
        this->fill();
        auto calm = this->make(3, 1);
        calm.tier = 2;
        this->take(calm);
        this->now += milliseconds(1);
        this->take(this->make(4, 1));
        this->tell(2, 1, SlotEvent::Good);
        CPPUNIT_ASSERT_EQUAL(std::string("node-4"),
                             this->desk->placeWaiting(this->now).at(0).origin);
    }

    auto report_rejected_isFullForAMoment() -> void
    {
        const auto reply = this->take(this->make(2, 1));
        this->tell(2, 1, SlotEvent::Rejected);
        const auto next = this->take(this->make(2, 2));
        CPPUNIT_ASSERT(next.server != reply.server);
    }

    auto report_failures_setTheServerAside() -> void
    {
        const auto bad = this->book.find("a");
        for (const auto *id : {"c", "d"}) {
            this->book.takeEntry({id, "s", "10.0.0.1:80", "z", 2, false, {}, 1}, Duration(0),
                                 this->now);
            this->book.find(id)->kept = true;
        }
        for (std::uint64_t number = 1; number <= 60; ++number) {
            const auto reply = this->take(this->make(2, number));
            const bool fails = reply.server == bad->number;
            this->tell(2, number, fails ? SlotEvent::Failed : SlotEvent::Good);
            this->now += milliseconds(1);
        }
        CPPUNIT_ASSERT(bad->pace.samples == 0 || bad->pace.failures > 0);
        CPPUNIT_ASSERT(this->take(this->make(2, 99)).server != bad->number);
    }

    auto report_firstByte_takesThePromptOff() -> void
    {
        const auto server = this->book.findNumber(this->take(this->make(2, 1)).server);
        this->tell(2, 1, SlotEvent::FirstByte);
        CPPUNIT_ASSERT_EQUAL(0.0, server->peers.promptWork);
        CPPUNIT_ASSERT_EQUAL(1U, server->peers.requests);
        this->tell(2, 1, SlotEvent::Good);
        CPPUNIT_ASSERT_EQUAL(0U, this->held());
    }

    auto holdings_newKeeper_learnsThem() -> void
    {
        const auto number = this->book.find("a")->number;
        this->desk->takeHoldings({2, {{1, number, 50}, {2, number, 0}}}, this->now);
        CPPUNIT_ASSERT_EQUAL(2U, this->book.find("a")->peers.requests);
        CPPUNIT_ASSERT_EQUAL(this->book.find("b")->number, this->take(this->make(3, 1)).server);
        this->tell(2, 1, SlotEvent::Good);
        CPPUNIT_ASSERT_EQUAL(1U, this->book.find("a")->peers.requests);
    }

    auto holdings_lostReport_isMadeGood() -> void
    {
        this->fill();
        this->now += seconds(1);
        this->desk->takeHoldings({2, {{1, this->book.find("a")->number, 0}}}, this->now);
        CPPUNIT_ASSERT_EQUAL(1U, this->held());
    }

    auto holdings_grantOnTheWay_stays() -> void
    {
        this->fill();
        this->now += milliseconds(5);
        this->desk->takeHoldings({2, {}}, this->now);
        CPPUNIT_ASSERT_EQUAL(4U, this->held());
    }

    auto node_gone_givesItsSlotsBack() -> void
    {
        this->fill();
        this->desk->expire({Self, 3}, this->now);
        CPPUNIT_ASSERT_EQUAL(0U, this->held());
    }

    auto slots_randomCourse_areNeverGivenOutTwice() -> void
    {
        std::mt19937_64 random(7);
        std::map<std::pair<std::uint64_t, std::uint64_t>, std::uint32_t> granted;
        const auto note = [&](std::uint64_t node, const fleet::SlotReply &reply) {
            if (reply.outcome == SlotOutcome::Granted) {
                granted[{node, reply.ask}] = reply.server;
            }
        };
        for (std::uint64_t round = 1; round <= 5000; ++round) {
            this->now += milliseconds(random() % 40);
            const std::uint64_t node = 2 + random() % 3;
            if (random() % 2 == 0) {
                note(node, this->take(this->make(node, round)));
            } else if (!granted.empty()) {
                const auto ended = std::next(
                    granted.begin(), static_cast<std::ptrdiff_t>(random() % granted.size()));
                this->tell(ended->first.first, ended->first.second, SlotEvent::Good);
                granted.erase(ended);
            }
            for (const auto &[origin, reply] : this->desk->placeWaiting(this->now)) {
                note(std::stoull(origin.substr(5)), reply);
            }
            std::map<std::uint32_t, int> sums;
            for (const auto &[key, server] : granted) {
                CPPUNIT_ASSERT(++sums[server] <= 2);
            }
            CPPUNIT_ASSERT_EQUAL(granted.size(), static_cast<std::size_t>(this->held()));
        }
    }

private:
    Instant now = seconds(100);
    fleet::ServerBook book;
    std::unique_ptr<fleet::SlotDesk> desk;
};

/** Messages about slots. */
class SlotCodecFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SlotCodecFixture);
    CPPUNIT_TEST(messages_roundTrip_keepEverything);
    CPPUNIT_TEST(messages_garbage_areNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    auto messages_roundTrip_keepEverything() -> void
    {
        fleet::SlotAsk ask{1,
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
        const auto asked = decodeSlotRequest(encodeSlotRequest(ask));
        CPPUNIT_ASSERT(asked.has_value());
        CPPUNIT_ASSERT_EQUAL(ask.origin, asked->origin);
        CPPUNIT_ASSERT_EQUAL(8.0, asked->shape.eventTargetMs);
        CPPUNIT_ASSERT(asked->refuseIn == milliseconds(14));
        CPPUNIT_ASSERT(asked->tried == ask.tried);
        CPPUNIT_ASSERT(asked->forwarded);
        const auto reply =
            decodeSlotReply(encodeSlotReply({1, SlotOutcome::Queued, 2, milliseconds(3)}));
        CPPUNIT_ASSERT(reply->outcome == SlotOutcome::Queued);
        CPPUNIT_ASSERT(reply->wait == milliseconds(3));
        const auto report = decodeSlotReport(
            encodeSlotReport({1, 2, SlotEvent::Rejected, milliseconds(3), milliseconds(4), 5}));
        CPPUNIT_ASSERT(report->event == SlotEvent::Rejected);
        CPPUNIT_ASSERT(report->rest == milliseconds(4));
        const auto holdings = decodeHeldSlots(encodeHeldSlots({1, {{2, 3, 4}}}));
        CPPUNIT_ASSERT_EQUAL(3U, holdings->slots.at(0).server);
        const auto rooms = decodeFreeSlots(encodeFreeSlots({{1, 2}}));
        CPPUNIT_ASSERT_EQUAL(2U, rooms->at(0).freeSlots);
    }

    auto messages_garbage_areNothing() -> void
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

CPPUNIT_TEST_SUITE_REGISTRATION(SlotDeskFixture);
CPPUNIT_TEST_SUITE_REGISTRATION(SlotCodecFixture);
