/** @file fair_shares_tests.cpp Tests of the fair shares of organisations in the admission queue. */
#include "banyanring/fleet/slot_allocator.h"
#include "banyanring/gateway/slot_codec.h"
#include "fake_slot_port.h"
#include "msgpack_func.h"
#include "scheduler_fixture.h"

#include <array>
#include <cmath>
#include <limits>
#include <random>
#include <set>

namespace {

using namespace banyanring;
using namespace banyanring::fleet;
using namespace banyanring::test;

constexpr std::uint32_t Organisations = 16;
constexpr std::uint32_t Surging = 12; ///< Its weight is 0.09 of all weights.
constexpr double WeightSum = Organisations * (Organisations + 1) / 2.0;
constexpr int Slots = 80;
constexpr double MeanServiceMs = 500;
constexpr double Capacity = Slots / MeanServiceMs; ///< Requests per millisecond.
constexpr Instant SurgeStart = seconds(5);
constexpr Instant LossAt = seconds(10);
constexpr Instant LoadEnd = seconds(20);
constexpr std::uint64_t Seeds = 20;

/** Load of a simulation, as factors. */
struct Load
{
    double ofCapacity = 1; ///< Of all organisations without the surge.
    double ofSurging = 1; ///< Of the surging organisation during the surge.
    bool losesState = false; ///< Whether another coordinator takes over during the surge.
};

/** Fraction of the requests served during the surge, by organisation. */
using Served = std::array<double, Organisations + 1>;

/** One service at its coordinator; organisation n has weight n and a load in proportion to it. */
class SharesRun
{
public:
    SharesRun(Load load, std::uint64_t seed) : load(load)
    {
        // Separate generators keep the requests of an organisation the same whatever others send.
        for (std::uint32_t organisation = 1; organisation <= Organisations; ++organisation) {
            this->random.emplace_back(seed * 100 + organisation);
        }
    }

    auto play(Served &requests, Served &served) -> void
    {
        for (; this->now < LoadEnd + seconds(2); this->now += milliseconds(5)) {
            if (this->load.losesState && this->now == LossAt) {
                this->queue = {};
                for (const auto &[number, request] : this->waiting) {
                    this->queue.push(request);
                }
            }
            std::erase_if(this->endings, [this](Instant end) { return end <= this->now; });
            for (std::uint32_t organisation = 1; organisation <= Organisations; ++organisation) {
                this->arrive(organisation, requests);
            }
            for (const auto number : this->queue.popExpired(this->now)) {
                this->waiting.erase(number);
            }
            for (const auto number : this->queue.dispatchOrder(this->now)) {
                if (this->endings.size() >= Slots) {
                    break;
                }
                this->grant(number, served);
            }
        }
    }

private:
    auto isCounted(Instant arrival) const -> bool
    {
        return arrival >= SurgeStart && (arrival < LossAt || arrival >= LossAt + seconds(1));
    }

    auto arrive(std::uint32_t organisation, Served &requests) -> void
    {
        const bool surges = organisation == Surging && this->now >= SurgeStart;
        const auto perStep = 5 * Capacity * this->load.ofCapacity * organisation / WeightSum
                             * (surges ? this->load.ofSurging : 1);
        auto &generator = this->random.at(organisation - 1);
        auto count = this->now < LoadEnd ? std::poisson_distribution<int>(perStep)(generator) : 0;
        for (; count > 0; --count) {
            const auto work = std::exponential_distribution<double>(1 / MeanServiceMs)(generator);
            const Instant end = this->now + seconds(1);
            const auto number = ++this->lastNumber;
            const QueuedRequest request{
                number, 0,    organisation,      work, end - milliseconds(600),
                end,    work, 1.0 * organisation};
            this->queue.push(request);
            this->waiting[request.number] = request;
            requests.at(organisation) += this->isCounted(this->now) ? 1 : 0;
        }
    }

    auto grant(std::uint64_t number, Served &served) -> void
    {
        const auto request = this->waiting.at(number);
        this->waiting.erase(number);
        this->queue.remove(number);
        this->queue.recordUsage(request.organisation, request.cost, this->now, request.weight);
        this->endings.push_back(this->now + Duration(std::llround(1000 * request.cost)));
        const auto arrival = request.queueDeadline - seconds(1);
        served.at(request.organisation) += this->isCounted(arrival) ? 1 : 0;
    }

    Load load;
    std::vector<std::mt19937_64> random; ///< By organisation.
    AdmissionQueue queue;
    std::map<std::uint64_t, QueuedRequest> waiting;
    std::vector<Instant> endings; ///< Of the occupied slots.
    std::uint64_t lastNumber = 0;
    Instant now = seconds(0);
};

/** @return Served fractions over all seeds. */
auto play(Load load) -> Served
{
    Served requests{};
    Served served{};
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        SharesRun(load, seed).play(requests, served);
    }
    for (std::uint32_t organisation = 1; organisation <= Organisations; ++organisation) {
        served.at(organisation) /= requests.at(organisation);
    }
    return served;
}

auto assertOthersAreServedAlike(const Served &usual, const Served &surge) -> void
{
    for (std::uint32_t organisation = 1; organisation <= Organisations; ++organisation) {
        if (organisation != Surging) {
            CPPUNIT_ASSERT_GREATEREQUAL(usual.at(organisation) - 0.05, surge.at(organisation));
        }
    }
}

/** Shares of organisations with and without weights. */
class FairSharesFixture : public SchedulerFixtureBase
{
    CPPUNIT_TEST_SUITE(FairSharesFixture);
    CPPUNIT_TEST(ranks_unusedShare_isDividedByWeight);
    CPPUNIT_TEST(ranks_invalidWeights_countAsNone);
    CPPUNIT_TEST(ranks_weightNoLongerSent_expires);
    CPPUNIT_TEST(usages_idleOrganisations_areDropped);
    CPPUNIT_TEST(dispatchOrder_noWeights_isTheFormerOrder);
    CPPUNIT_TEST(surge_othersWithinTheirShares_areServedAsBefore);
    CPPUNIT_TEST(surge_allAboveTheirShares_othersAreServedAsBefore);
    CPPUNIT_TEST(surge_stateLost_othersAreServedAsBefore);
    CPPUNIT_TEST(slotRequest_otherRelease_isDecoded);
    CPPUNIT_TEST(slotRequest_organisationWithLimit_hasItsWeight);
    CPPUNIT_TEST(grantWaiting_weights_orderAndCountGrants);
    CPPUNIT_TEST_SUITE_END();

public:
    auto record(std::uint32_t user, int count, double weight, Instant at = seconds(9)) -> void
    {
        for (; count > 0; --count) {
            this->shares.recordUsage(user, 1, weight, at);
        }
    }

    /** Fails if an organisation is ranked against an equal part, or one that leaves work unused. */
    auto ranks_unusedShare_isDividedByWeight() -> void
    {
        this->record(1, 10, 1);
        this->record(2, 60, 1);
        this->record(3, 30, 2);
        // Shares of 30 and 60: the usage is 1.6 times the tolerated one, and half of the share.
        const FairShares::Ranks ranks{{2, 2}, {3, 0}};
        CPPUNIT_ASSERT(ranks == this->shares.ranks({{2, {100, 1}}, {3, {100, 2}}}, seconds(9)));
    }

    /** Fails if a malformed weight turns the part on, or makes shares infinite or undefined. */
    auto ranks_invalidWeights_countAsNone() -> void
    {
        const auto infinity = std::numeric_limits<double>::infinity();
        for (const auto weight :
             {0.0, -5.0, infinity, -infinity, std::numeric_limits<double>::quiet_NaN()}) {
            this->shares = {};
            this->record(0, 30, 0);
            this->record(1, 30, weight);
            const FairShares::Waiting waiting{{0, {100, 0}}, {1, {100, weight}}, {2, {100, 0}}};
            CPPUNIT_ASSERT(!this->shares.ranks(waiting, seconds(9)).has_value());
            this->record(2, 30, 100);
            const FairShares::Ranks equalRanks{{0, 0}, {1, 0}, {2, 0}}; // All have the mean weight.
            CPPUNIT_ASSERT(equalRanks == this->shares.ranks(waiting, seconds(9)));
        }
    }

    /** Fails if messages of old releases unset a weight, or a limit that was removed stays. */
    auto ranks_weightNoLongerSent_expires() -> void
    {
        this->record(1, 1, 5);
        this->record(1, 1, 0, seconds(38));
        CPPUNIT_ASSERT(this->shares.ranks({{1, {}}}, seconds(39)).has_value());
        CPPUNIT_ASSERT(!this->shares.ranks({{1, {}}}, seconds(40)).has_value());
    }

    /** Fails if state grows with each organisation ever seen. */
    auto usages_idleOrganisations_areDropped() -> void
    {
        for (std::uint32_t organisation = 1; organisation <= 4900; ++organisation) {
            this->record(organisation, 1, organisation);
        }
        this->record(1, 1, 1, seconds(38));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4900}, this->shares.size());
        this->record(2, 1, 1, seconds(42));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->shares.size());
    }

    /** Fails if deployments without limits are served in another order than before. */
    auto dispatchOrder_noWeights_isTheFormerOrder() -> void
    {
        AdmissionQueue queue;
        std::vector<QueuedRequest> waiting;
        std::mt19937 random(1);
        const auto draw = [&random](std::uint32_t end) -> std::uint32_t { return random() % end; };
        std::map<std::uint32_t, std::pair<double, Instant>> usages;
        const auto usage = [&usages](std::uint32_t organisation, Instant now) {
            const auto &[cost, at] = usages[organisation];
            return cost * std::exp2(-(std::chrono::duration<double>(now - at) / seconds(3)));
        };
        for (std::uint32_t round = 1; round <= 200; ++round) {
            const Instant now = milliseconds(50 * round);
            const auto used = draw(8);
            const double cost = draw(50);
            usages[used] = {usage(used, now) + cost, now};
            queue.recordUsage(used, cost, now);
            const Instant deadline = now + milliseconds(draw(2000));
            waiting.push_back({round, draw(2), draw(8), 1, deadline, seconds(99)});
            queue.push(waiting.back());
            std::set<std::tuple<bool, std::uint32_t, double, Instant, std::uint64_t>> former;
            for (const auto &request : waiting) {
                former.emplace(request.latencyDeadline < now, request.tier,
                               usage(request.organisation, now), request.latencyDeadline,
                               request.number);
            }
            const auto order = queue.dispatchOrder(now);
            CPPUNIT_ASSERT(std::equal(order.begin(), order.end(), former.begin(), former.end(),
                                      [](auto number, const auto &key) {
                                          return number == std::get<std::uint64_t>(key);
                                      }));
        }
    }

    /** Fails if a surge displaces others, or a large organisation yields to smaller ones. */
    auto surge_othersWithinTheirShares_areServedAsBefore() -> void
    {
        const auto surge = play({0.98, 7}); // 1.5 times the capacity with the surge.
        assertOthersAreServedAlike(play({0.98, 1}), surge);
        for (std::uint32_t small = 1; small < Organisations; ++small) {
            CPPUNIT_ASSERT_GREATEREQUAL(surge.at(small) - 0.05, surge.at(Organisations));
        }
    }

    /** Fails if a surge takes the others' shares while all want more than theirs. */
    auto surge_allAboveTheirShares_othersAreServedAsBefore() -> void
    {
        assertOthersAreServedAlike(play({1.5, 1}), play({1.5, 7}));
    }

    /** Fails if a new coordinator needs more than a second to protect the others. */
    auto surge_stateLost_othersAreServedAsBefore() -> void
    {
        assertOthersAreServedAlike(play({0.98, 1}), play({0.98, 7, true}));
    }

    /** Fails if nodes of two releases cannot exchange slot requests during an upgrade. */
    auto slotRequest_otherRelease_isDecoded() -> void
    {
        using OldRequestTuple =
            std::tuple<int, std::uint64_t, std::uint64_t, std::string, std::uint32_t,
                       std::tuple<bool, float, float, float, float, float, float>, std::uint32_t,
                       std::uint32_t, float, std::int64_t, std::int64_t, std::vector<std::uint32_t>,
                       bool>;
        SlotRequest request;
        request.organisation = 7;
        request.forwarded = true;
        request.organisationWeight = 98;
        const auto bytes = encodeSlotRequest(request);
        CPPUNIT_ASSERT_EQUAL(98.0, decodeSlotRequest(bytes)->organisationWeight);
        const auto old = unpackMessage<OldRequestTuple>(bytes);
        CPPUNIT_ASSERT(old && std::get<12>(*old));
        const auto decoded = decodeSlotRequest(packMessage(*old));
        CPPUNIT_ASSERT_EQUAL(7U, decoded->organisation);
        CPPUNIT_ASSERT_EQUAL(0.0, decoded->organisationWeight);
    }

    /** Fails if the coordinator ignores the weights of requests, or counts no grants. */
    auto grantWaiting_weights_orderAndCountGrants() -> void
    {
        ServerRegistry registry;
        registry.registerServer({"a", "s", "10.0.0.1:80", "z", 20, false, {}, 1}, {}, seconds(1));
        registry.find("a")->coordinatedHere = true;
        SlotAllocator allocator(
            registry, [](const Server &, Instant) { return true; }, 1);
        SlotRequest request;
        request.latencyBudget = request.queueTimeout = seconds(2);
        // Organisation 1 gets 18 slots and then waits; organisation 2 gets two and waits with more.
        for (request.id = 1; request.id <= 40; ++request.id) {
            const bool isFirst = request.id > 2 && request.id <= 21;
            request.organisation = isFirst ? 1 : 2;
            request.organisationWeight = isFirst ? 1 : 9;
            allocator.handleRequest(request, "s", seconds(1));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, allocator.waitingCount());
        for (std::uint64_t id = 1; id <= 20; ++id) {
            allocator.handleReport({0, id, SlotEvent::Neutral, {}, {}, 0, {}}, seconds(1));
        }
        const auto grants = allocator.grantWaiting(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, grants.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{21}, grants.back().reply.requestId);
        const auto &counts = allocator.queuedGrantCounts().at("s");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{19}, counts.withinShare);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, counts.aboveShare);
    }

    /** Fails if nodes do not send the limits of organisations. */
    auto slotRequest_organisationWithLimit_hasItsWeight() -> void
    {
        FakeSlotPort slotPort;
        this->scheduler->setSlotPort(slotPort);
        this->submit(this->request("/order/1"));
        CPPUNIT_ASSERT_EQUAL(1000.0, slotPort.slotRequests.at(0).organisationWeight);
    }

private:
    FairShares shares;
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(FairSharesFixture);
