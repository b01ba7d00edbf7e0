/** @file momentary_slowdown_tests.cpp Tests of servers that state how long work takes right now. */
#include "banyanring/fleet/slot_allocator.h"
#include "banyanring/gateway/slot_codec.h"
#include "fake_slot_port.h"
#include "msgpack_func.h"
#include "request_headers.h"
#include "scheduler_fixture.h"

#include <cmath>
#include <random>

namespace {

using namespace banyanring;
using namespace banyanring::test;
using namespace banyanring::fleet;

constexpr double SlowFactor = 2.5;

auto isAny(const Server &) -> bool
{
    return true;
}

auto drawFactor(std::mt19937_64 &random) -> double
{
    constexpr double SlowFraction = 0.15; ///< Of the servers, at any time.
    return std::bernoulli_distribution(SlowFraction)(random) ? SlowFactor : 1;
}

auto toDuration(double ms) -> Duration
{
    return Duration(static_cast<std::int64_t>(1000 * ms));
}

/**
 * Runs short and long prompts on 16 servers that slow down for 600 ms each.
 * @return Number of requests that miss their target for the first byte.
 */
auto countMisses(bool stated, std::uint64_t seed) -> int
{
    struct Running
    {
        ServerPtr server;
        RequestProfile profile;
        double work = 0;
        double leftMs = 0; ///< Until the first byte, then until the end, at the usual speed.
        Instant sentAt{};
        Instant firstByteAt{};
        std::optional<double> factor{};
    };
    constexpr double OutputMs = 300;
    std::mt19937_64 random(seed);
    std::vector<ServerPtr> servers;
    std::vector<double> factors(16);
    for (std::uint32_t number = 0; number < factors.size(); ++number) {
        servers.push_back(std::make_shared<Server>());
        servers.back()->hash = number;
        servers.back()->registration.slots = 5;
    }
    std::vector<Running> running;
    int missed = 0;
    for (Instant now = milliseconds(1); now < seconds(30); now += milliseconds(1)) {
        for (auto &factor : factors) {
            const bool isDrawn = factor == 0 || now % milliseconds(600) == Duration(0);
            factor = isDrawn ? drawFactor(random) : factor;
        }
        if (std::bernoulli_distribution(0.09)(random)) {
            const bool isLong = std::bernoulli_distribution(0.1)(random);
            RequestProfile profile{true, promptWork(isLong ? 12000 : 2000), OutputMs / 4};
            profile.firstByteTargetMs = isLong ? 600 : 120;
            const auto server = choosePlacement(servers, profile, isAny, isAny, now).server;
            missed += server ? 0 : 1;
            if (server) {
                ++server->ownLoad.requests;
                const auto work = server->ownLoad.promptWork += profile.promptWork;
                running.push_back({server, profile, work, 5 + 0.02 * work, now});
            }
        }
        for (auto &[server, profile, work, leftMs, sentAt, firstByteAt, factor] : running) {
            leftMs -= 1 / factors[server->hash];
            if (leftMs <= 0 && firstByteAt == Instant(0)) {
                firstByteAt = now;
                leftMs = OutputMs;
                missed += toDuration(profile.firstByteTargetMs) < now - sentAt ? 1 : 0;
                server->ownLoad.promptWork -= profile.promptWork;
                if (stated) {
                    factor = factors[server->hash];
                    server->slowdown.record(*factor, now);
                }
            } else if (leftMs <= 0) {
                --server->ownLoad.requests;
                recordResponse(*server, profile, work, firstByteAt - sentAt, now - firstByteAt,
                               profile.expectedOutputTokens, factor);
            }
        }
        std::erase_if(running, [](const Running &request) { return request.leftMs <= 0; });
    }
    return missed;
}

/** Servers that state how long work takes at the moment. */
class MomentarySlowdownFixture : public SchedulerFixtureBase
{
    CPPUNIT_TEST_SUITE(MomentarySlowdownFixture);
    CPPUNIT_TEST(header_figures_onlyValidOnesAreDecoded);
    CPPUNIT_TEST(expectedFactor_figureAges_approachesTheAverage);
    CPPUNIT_TEST(placement_serverSlowNow_isAvoidedForAMoment);
    CPPUNIT_TEST(recordResponse_noisyTimes_learnsTheUsualSpeed);
    CPPUNIT_TEST(load_serversSlowForMoments_fewerRequestsMissTheirTarget);
    CPPUNIT_TEST(report_otherReleaseOrUnusableFigure_isDecodedWithoutIt);
    CPPUNIT_TEST(report_ofOwnNode_isNotAppliedTwice);
    CPPUNIT_TEST(response_withFigure_isStoredReportedAndCounted);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against an invalid figure in use, and against one that invalidates the header. */
    auto header_figures_onlyValidOnesAreDecoded() -> void
    {
        const auto decode = [](const std::string &load, unsigned status = 200) {
            platform::ResponseHeader header;
            header.result(status);
            header.set("X-Server-Load", load);
            return platform::decodeResponse(header);
        };
        CPPUNIT_ASSERT(decode("3,2,8,250").slowdown == 2.5);
        CPPUNIT_ASSERT(decode("3, 2, 8, 62.5 ").slowdown == 0.625);
        CPPUNIT_ASSERT(decode("3,2,8,10000,7").slowdown == 100.0);
        for (const std::string figure :
             {"", " ", "-1", "0", "-0", "nan", "inf", "10000.1", "1e999", "1e-999", "100%", "x"}) {
            CPPUNIT_ASSERT_MESSAGE(figure, !decode("3,2,8," + figure).slowdown);
            CPPUNIT_ASSERT(decode("3,2,8," + figure).reportedRequests == 5U);
        }
        CPPUNIT_ASSERT(!decode("3,2,8").slowdown);
        CPPUNIT_ASSERT(!decode("3,2,8,250", 421).slowdown); // Of another server.
    }

    /** Guards against a figure that lasts, or that counts for more than its moment. */
    auto expectedFactor_figureAges_approachesTheAverage() -> void
    {
        MomentarySlowdown slowdown;
        const auto factorAfter = [&](Duration age) {
            return slowdown.expectedFactor(this->now + age);
        };
        CPPUNIT_ASSERT_EQUAL(1.0, factorAfter(Duration(0)));
        slowdown.record(SlowFactor, this->now);
        const auto average = factorAfter(seconds(60));
        CPPUNIT_ASSERT(average > 1 && average < 1.1);
        CPPUNIT_ASSERT_EQUAL(SlowFactor, factorAfter(milliseconds(100)));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(average + (SlowFactor - average) * std::exp(-1),
                                     factorAfter(milliseconds(400)), 1e-9);
        slowdown.record(SlowFactor, this->now);
        slowdown.record(1, this->now - milliseconds(1));
        slowdown.record(0, this->now + milliseconds(1));
        CPPUNIT_ASSERT_EQUAL(SlowFactor, factorAfter(Duration(0)));
        CPPUNIT_ASSERT_EQUAL(average, factorAfter(seconds(60)));
    }

    /**
     * Guards against requests at a server that is slow now, against a server that is avoided for
     * good, and against a long output that counts as slow until its end.
     */
    auto placement_serverSlowNow_isAvoidedForAMoment() -> void
    {
        const auto choose = [this](double outputTokens, Duration age) {
            return choosePlacement(this->state->servers.serversOf("llm"),
                                   {true, 100, outputTokens, 0, 0, 0, 0, 0}, isAny, isAny,
                                   this->now + age)
                .server->registration.id;
        };
        this->state->servers.find("e1")->stats.outputMsPerToken = 5;
        this->state->servers.find("e2")->stats.outputMsPerToken = 9;
        CPPUNIT_ASSERT_EQUAL(std::string("e1"), choose(20, {}));
        this->state->servers.find("e1")->slowdown.record(SlowFactor, this->now);
        CPPUNIT_ASSERT_EQUAL(std::string("e2"), choose(20, {}));
        CPPUNIT_ASSERT_EQUAL(std::string("e1"), choose(400, {}));
        CPPUNIT_ASSERT_EQUAL(std::string("e1"), choose(20, seconds(2)));
    }

    /** Guards against a momentary slowdown that is learned as the speed of the server. */
    auto recordResponse_noisyTimes_learnsTheUsualSpeed() -> void
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            std::mt19937_64 random(seed);
            Server noisy;
            for (int sample = 0; sample < 600; ++sample) {
                const double factor = drawFactor(random);
                const double work = sample % 9 == 0 ? 30000 : 400;
                const double ms = 20 + 0.01 * work;
                noisy.slowdown.record(factor, this->now + sample * milliseconds(50));
                recordResponse(noisy, {true}, work, toDuration(factor * ms), {}, 0, factor);
                recordResponse(noisy, {}, 0, toDuration(factor * 20), {}, 0, factor);
            }
            const auto usual = noisy.slowdown.relativeFactor(1);
            const auto &fit = noisy.stats.firstByteFit;
            CPPUNIT_ASSERT_DOUBLES_EQUAL(0.01, fit.slope() * usual, 0.0005);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(20, fit.intercept() * usual, 1);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(20, noisy.stats.responseMs * usual, 1);
        }
    }

    /** Guards against figures that are used without a gain. */
    auto load_serversSlowForMoments_fewerRequestsMissTheirTarget() -> void
    {
        int without = 0;
        int with = 0;
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            without += countMisses(false, seed);
            with += countMisses(true, seed);
        }
        // Single seeds vary too much for a bound on each.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(with) + " of " + std::to_string(without),
                               with < 0.75 * without);
    }

    /** Guards against reports that are lost between releases or because of a faulty figure. */
    auto report_otherReleaseOrUnusableFigure_isDecodedWithoutIt() -> void
    {
        using FormerTuple =
            std::tuple<int, std::uint64_t, std::uint64_t, std::uint8_t, std::int64_t, std::int64_t,
                       float, std::vector<std::tuple<std::uint32_t, float, std::uint32_t>>>;
        SlotReport report{1, 2, SlotEvent::FirstByte, {}, {}, 5, {{7, 1, {}}}, {{2.5, seconds(3)}}};
        const auto former = unpackMessage<FormerTuple>(encodeSlotReport(report));
        CPPUNIT_ASSERT_EQUAL(7U, std::get<0>(std::get<7>(*former).at(0)));
        CPPUNIT_ASSERT(!decodeSlotReport(packMessage(*former))->slowdown);
        const auto current = decodeSlotReport(encodeSlotReport(report))->slowdown;
        CPPUNIT_ASSERT_EQUAL(2.5, current->factor);
        CPPUNIT_ASSERT(current->age == seconds(3));
        const std::vector<double> unusable{0, -1, std::nan(""), HUGE_VAL, 101, 2, 2};
        for (std::size_t index = 0; index < unusable.size(); ++index) {
            const auto age = index < 5 ? Duration(0) : index == 5 ? Duration(-1) : Duration::max();
            report.slowdown = {unusable[index], age};
            const auto decoded = decodeSlotReport(encodeSlotReport(report));
            CPPUNIT_ASSERT_EQUAL(7U, decoded->requestLimit->serverHash);
            CPPUNIT_ASSERT(!decoded->slowdown);
        }
    }

    /** Guards against a coordinator that counts the responses to its own requests twice. */
    auto report_ofOwnNode_isNotAppliedTwice() -> void
    {
        SlotAllocator allocator(
            this->state->servers, [](auto &, auto) { return true; }, 1);
        const auto server = this->state->servers.find("e1");
        server->coordinatedHere = true;
        const auto report = [&](std::uint64_t node) {
            SlotRequest request;
            request.incarnation = node;
            allocator.handleRequest(request, "llm", this->now);
            allocator.handleReport(
                {node, 0, SlotEvent::Succeeded, {}, {}, 0, {}, {{SlowFactor, {}}}}, this->now);
            return server->slowdown.expectedFactor(this->now);
        };
        CPPUNIT_ASSERT_EQUAL(1.0, report(1));
        CPPUNIT_ASSERT_EQUAL(SlowFactor, report(2));
    }

    /** Guards against a figure that does not reach the coordinator, the metric or the trace. */
    auto response_withFigure_isStoredReportedAndCounted() -> void
    {
        FakeSlotPort slotPort;
        this->scheduler->setSlotPort(slotPort);
        const auto server = this->state->servers.find("e1");
        for (const std::string placed : {"holds 0/2", "holds 0/2, slowdown 2.50"}) {
            this->submit(this->request("/draft/1"));
            this->scheduler->onSlotReply(
                {slotPort.slotRequests.back().id, SlotOutcome::Granted, server->hash, {}});
            auto response = header(200);
            response.slowdown = SlowFactor;
            this->lastDispatch().observer->onResponseHeader(response);
            this->lastDispatch().observer->onResponseData("id: 1\ndata: x\n\n");
            this->lastDispatch().observer->onResponseEnd();
            const auto &steps = this->scheduler->findTraces("try-1").back()->steps;
            CPPUNIT_ASSERT(steps.front().detail.ends_with(placed));
        }
        CPPUNIT_ASSERT_EQUAL(SlowFactor, server->slowdown.expectedFactor(this->now));
        CPPUNIT_ASSERT(slotPort.slowdowns == std::vector<double>(4, SlowFactor));
        CPPUNIT_ASSERT(this->scheduler->metrics.render().find("slowdown_reports_total 2\n")
                       != std::string::npos);
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(MomentarySlowdownFixture);
