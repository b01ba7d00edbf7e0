/**
 * @file overload_tests.cpp Checks what callers get in a burst of up to four times the usual load.
 */
#include "overload_run.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace banyanring;
using namespace banyanring::fleet;
using namespace banyanring::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** What several runs of a burst came to. */
struct Summary
{
    double allShare = 0; ///< Mean worth earned over worth owed, of the whole run.
    double burstShare = 0; ///< The same of the requests in the burst.
    std::array<Tally, KindCount> burst;
    Duration longestRejectedWait{};
};

/** @return Summary of a few seeded runs. */
auto playRuns(const std::function<Policy()> &makePolicy, double burstFactor) -> Summary
{
    constexpr int Runs = 8;
    Summary summary;
    for (std::uint64_t seed = 1; seed <= Runs; ++seed) {
        OverloadRun run(makePolicy(), burstFactor, seed);
        run.play();
        summary.allShare += worthShare(run.all) / Runs;
        summary.burstShare += worthShare(run.burst) / Runs;
        summary.longestRejectedWait =
            std::max(summary.longestRejectedWait, run.longestRejectedWait);
        for (std::size_t kind = 0; kind < KindCount; ++kind) {
            auto &sum = summary.burst.at(kind);
            const auto &tally = run.burst.at(kind);
            sum.requests += tally.requests;
            sum.inTime += tally.inTime;
            sum.served += tally.served;
            sum.largest += tally.largest;
            sum.largestServed += tally.largestServed;
        }
    }
    return summary;
}

/** Callers during and after a burst. */
class OverloadFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OverloadFixture);
    CPPUNIT_TEST(burst_anyOverload_moreWorthIsServedThanBefore);
    CPPUNIT_TEST(burst_mostUrgentKind_isServedAlsoIfLarge);
    CPPUNIT_TEST(burst_rejectedAttempts_waitForLimitedTime);
    CPPUNIT_TEST(usualLoad_allKinds_areServedInTime);
    CPPUNIT_TEST(waitedBefore_commonTimeouts_countAsFirstAttempts);
    CPPUNIT_TEST(waitedBefore_returningCallers_areRecognised);
    CPPUNIT_TEST(waitBudget_longPrompt_mayStillWait);
    CPPUNIT_TEST_SUITE_END();

public:
    auto burst_anyOverload_moreWorthIsServedThanBefore() -> void
    {
        for (const double factor : {2.0, 2.5, 3.0, 4.0}) {
            const auto former = playRuns(formerPolicy, factor);
            const auto current = playRuns(currentPolicy, factor);
            CPPUNIT_ASSERT(current.burstShare > former.burstShare);
            CPPUNIT_ASSERT(current.allShare > former.allShare);
            CPPUNIT_ASSERT(inTimeShare(current.burst[0]) > inTimeShare(former.burst[0]));
        }
    }

    auto burst_mostUrgentKind_isServedAlsoIfLarge() -> void
    {
        const auto summary = playRuns(currentPolicy, 4);
        const auto &drafts = summary.burst[0];
        CPPUNIT_ASSERT(2 * drafts.largestServed * drafts.requests
                       >= drafts.served * drafts.largest);
    }

    auto burst_rejectedAttempts_waitForLimitedTime() -> void
    {
        const auto summary = playRuns(currentPolicy, 4);
        const auto longestTimeout = 4 * Kinds[0].target;
        CPPUNIT_ASSERT(summary.longestRejectedWait <= longestTimeout / 2 + Tick);
    }

    auto usualLoad_allKinds_areServedInTime() -> void
    {
        const auto summary = playRuns(currentPolicy, 1);
        for (const auto &tally : summary.burst) {
            CPPUNIT_ASSERT_EQUAL(tally.requests, tally.served);
            CPPUNIT_ASSERT(inTimeShare(tally) > 0.98);
        }
    }

    auto waitedBefore_commonTimeouts_countAsFirstAttempts() -> void
    {
        CallerTimeouts timeouts;
        for (int number = 0; number < 200; ++number) {
            const auto timeout = number % 2 == 0 ? seconds(12) : seconds(6);
            const auto delay = milliseconds(number % 7);
            CPPUNIT_ASSERT(timeouts.waitedBefore("r", timeout - delay) < milliseconds(20));
        }
    }

    auto waitedBefore_returningCallers_areRecognised() -> void
    {
        CallerTimeouts timeouts;
        CPPUNIT_ASSERT(timeouts.waitedBefore("r", seconds(8)) == Duration(0));
        for (int number = 0; number < 100; ++number) {
            timeouts.waitedBefore("r", seconds(12) - milliseconds(number % 5));
        }
        const auto waited = timeouts.waitedBefore("r", seconds(8));
        CPPUNIT_ASSERT(waited > milliseconds(3900) && waited < milliseconds(4100));
        CPPUNIT_ASSERT(timeouts.waitedBefore("other", seconds(8)) == Duration(0));
    }

    auto waitBudget_longPrompt_mayStillWait() -> void
    {
        const Instant now = seconds(100);
        const auto budgetFor = [now](Duration firstByteTime, Duration waitedBefore) {
            return waitBudget({now, waitedBefore, seconds(1), firstByteTime, seconds(4)}, now);
        };
        CPPUNIT_ASSERT(budgetFor(milliseconds(200), {}).latencyDeadline == now + milliseconds(600));
        CPPUNIT_ASSERT(budgetFor(milliseconds(800), {}).latencyDeadline == now + milliseconds(100));
        const auto late = budgetFor(milliseconds(200), seconds(3));
        CPPUNIT_ASSERT(!isWaitTooLong(late, milliseconds(1900), now));
        CPPUNIT_ASSERT(isWaitTooLong(late, milliseconds(2100), now));
        const auto first = budgetFor(milliseconds(200), {});
        CPPUNIT_ASSERT(!isWaitTooLong(first, milliseconds(500), now));
        CPPUNIT_ASSERT(isWaitTooLong(first, milliseconds(700), now));
    }

private:
    static auto inTimeShare(const Tally &tally) -> double
    {
        return static_cast<double>(tally.inTime) / tally.requests;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverloadFixture);

} // namespace
