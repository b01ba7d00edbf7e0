/** @file log_admission_tests.cpp Which log lines are written while there are too many. */
#include "banyanring/adapters/log_admission.h"
#include "banyanring/gateway/active_request.h"

#include <cppunit/extensions/HelperMacros.h>
#include <numeric>

namespace {

using namespace banyanring;
using std::chrono::seconds;

constexpr std::int64_t Limit = 20; ///< The platform's.

/** @return Sum over all kinds. */
auto sum(const LogCounts &counts) -> std::int64_t
{
    return std::accumulate(counts.begin(), counts.end(), std::int64_t{0});
}

/** Lines of several kinds that arrive evenly over each second. */
class LogAdmissionFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LogAdmissionFixture);
    CPPUNIT_TEST(admit_tenTimesTheLimit_noFailedLineIsDropped);
    CPPUNIT_TEST(admit_anyOverload_totalLimitHolds);
    CPPUNIT_TEST(admit_failuresInABurst_areWrittenAmongRejections);
    CPPUNIT_TEST(admit_belowTheFormerLimits_allAreWritten);
    CPPUNIT_TEST(admit_otherKindsIdle_quotasAreLent);
    CPPUNIT_TEST(admit_allAboveQuota_leastImportantIsDroppedFirst);
    CPPUNIT_TEST(admit_fewLinesAfterOverload_allAreWritten);
    CPPUNIT_TEST(counts_linesDropped_addUpEachSecond);
    CPPUNIT_TEST(kind_outcomes_wrongKeyIsNoFailure);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Plays a second with @p offered lines by kind. @return Lines written by kind. */
    auto playSecond(const LogCounts &offered) -> LogCounts
    {
        if (const auto counts = this->log.takeDroppedCounts(this->now)) {
            this->countLines = 1;
            this->counted += sum(*counts);
        } else {
            this->countLines = 0;
        }
        LogCounts written{};
        LogCounts sent{};
        const auto total = sum(offered);
        for (std::int64_t line = 0; line < total; ++line) {
            // The kind that is furthest behind its share of the lines so far.
            const auto behind = [&](std::size_t kind) {
                return offered.at(kind) * (line + 1) - sent.at(kind) * total;
            };
            std::size_t next = 0;
            for (std::size_t kind = 1; kind < LogKindCount; ++kind) {
                next = behind(kind) > behind(next) ? kind : next;
            }
            ++sent.at(next);
            const auto time = this->now + line * Duration(seconds(1)) / total;
            written.at(next) += this->log.admit(static_cast<LogKind>(next), time) ? 1 : 0;
        }
        this->now += seconds(1);
        return written;
    }

    /** Lines of failed requests must not be displaced, also in the first second of a surge. */
    auto admit_tenTimesTheLimit_noFailedLineIsDropped() -> void
    {
        for (const auto &offered : {LogCounts{180, 0, 0, 20}, LogCounts{0, 0, 180, 20},
                                    LogCounts{100, 0, 80, 20}, LogCounts{60, 60, 60, 20}}) {
            this->log = LogAdmission(Limit);
            for (int second = 0; second < 3; ++second) {
                CPPUNIT_ASSERT_EQUAL(std::int64_t{20}, this->playSecond(offered).back());
            }
        }
    }

    /** Each line costs processor time, so there must not be more than the former limits allowed. */
    auto admit_anyOverload_totalLimitHolds() -> void
    {
        for (const auto &offered : {LogCounts{500, 500, 500, 500}, LogCounts{500, 0, 0, 0},
                                    LogCounts{0, 0, 30, 500}, LogCounts{0, 500, 0, 0}}) {
            const auto written = this->playSecond(offered);
            CPPUNIT_ASSERT(sum(written) + this->countLines <= 3 * Limit);
            CPPUNIT_ASSERT(written.front() <= Limit);
            CPPUNIT_ASSERT(written.at(1) <= 2 * Limit);
        }
    }

    /** A server's failure ends many requests at once, late in a second of many rejections. */
    auto admit_failuresInABurst_areWrittenAmongRejections() -> void
    {
        this->playSecond({100, 0, 100, 1});
        this->playSecond({100, 0, 100, 1});
        this->now -= Duration(1);
        for (int line = 0; line < 19; ++line) {
            CPPUNIT_ASSERT(this->log.admit(LogKind::Failed, this->now));
        }
    }

    /** Quotas larger than the need must not take lines from loads that fitted before. */
    auto admit_belowTheFormerLimits_allAreWritten() -> void
    {
        for (const auto &offered : {LogCounts{20, 10, 19, 10}, LogCounts{20, 1, 1, 37},
                                    LogCounts{20, 40, 0, 0}, LogCounts{20, 0, 40, 0}}) {
            this->log = LogAdmission(Limit);
            for (int second = 0; second < 3; ++second) {
                CPPUNIT_ASSERT(this->playSecond(offered) == offered);
            }
        }
    }

    /** An unused quota must not cost lines of other kinds. */
    auto admit_otherKindsIdle_quotasAreLent() -> void
    {
        this->playSecond({0, 0, 500, 0});
        CPPUNIT_ASSERT_EQUAL(2 * Limit, this->playSecond({0, 0, 500, 0}).at(2));
    }

    /** Lines of served requests must not take the room above the quotas. */
    auto admit_allAboveQuota_leastImportantIsDroppedFirst() -> void
    {
        this->playSecond({200, 0, 100, 10});
        const auto written = this->playSecond({200, 0, 100, 10});
        CPPUNIT_ASSERT(written.at(0) < Limit);
        CPPUNIT_ASSERT(written.at(2) > Limit);
    }

    /** The need of the second before must not cost lines once there is room for all. */
    auto admit_fewLinesAfterOverload_allAreWritten() -> void
    {
        this->playSecond({500, 500, 500, 500});
        const LogCounts few{Limit, 0, 0, 0};
        CPPUNIT_ASSERT(this->playSecond(few) == few);
    }

    /** Proportions are computed from lines and counts, so no line may be missing in both. */
    auto counts_linesDropped_addUpEachSecond() -> void
    {
        const LogCounts offered{100, 10, 80, 20};
        std::int64_t missing = 0;
        for (int second = 0; second < 4; ++second) {
            const auto before = missing;
            missing += sum(offered) - sum(this->playSecond(offered));
            CPPUNIT_ASSERT_EQUAL(before, this->counted);
        }
        CPPUNIT_ASSERT_EQUAL(missing, sum(this->log.allDropped()));
        CPPUNIT_ASSERT_EQUAL(missing, this->log.takeDroppedLines());
        CPPUNIT_ASSERT(this->log.takeDroppedCounts(this->now));
        CPPUNIT_ASSERT(!this->log.takeDroppedCounts(this->now + seconds(1)));
    }

    /** Callers with a wrong key must not displace the lines of failed requests. */
    auto kind_outcomes_wrongKeyIsNoFailure() -> void
    {
        using gateway::logKindOf;
        using gateway::RequestOutcome;
        CPPUNIT_ASSERT(LogKind::Served == logKindOf(RequestOutcome::Answered, 200));
        CPPUNIT_ASSERT(LogKind::Failed == logKindOf(RequestOutcome::Answered, 500));
        CPPUNIT_ASSERT(LogKind::Rejected == logKindOf(RequestOutcome::Overload, 503));
        CPPUNIT_ASSERT(LogKind::Rejected == logKindOf(RequestOutcome::BadKey, 401));
        CPPUNIT_ASSERT(LogKind::Failed == logKindOf(RequestOutcome::TimedOut, 503));
    }

private:
    LogAdmission log{Limit};
    Instant now = seconds(1000);
    std::int64_t countLines = 0; ///< Lines of counts in the last second.
    std::int64_t counted = 0; ///< Dropped lines in all counts.
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(LogAdmissionFixture);
