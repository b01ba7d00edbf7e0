/** @file quota_limiter_tests.cpp Tests of the organisations' limits at one node. */
#include "banyanring/fleet/quota_limiter.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace banyanring;
using namespace banyanring::fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** A single quota limiter. */
class QuotaLimiterFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuotaLimiterFixture);
    CPPUNIT_TEST(limit_lowered_usageStaysCounted);
    CPPUNIT_TEST(limit_loweredAfterEvenUse_newRateIsUsableAtOnce);
    CPPUNIT_TEST(limit_loweredFarBelowTheUsage_bindsAfterAWindow);
    CPPUNIT_TEST(limit_loweredWhileIdle_bindsLaterUsage);
    CPPUNIT_TEST(limit_raisedAndLoweredInTurn_usageStaysCounted);
    CPPUNIT_TEST(limit_organisationMissingForATime_usageStaysCounted);
    CPPUNIT_TEST(limit_inAnotherUnit_startsANewWindow);
    CPPUNIT_TEST(limit_setForTheFirstTime_startsANewWindow);
    CPPUNIT_TEST(retryAfter_rejectedRequest_canBeAdmittedLater);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Lowering the quota handed the whole window out again. */
    auto limit_lowered_usageStaysCounted() -> void
    {
        QuotaLimiter limiter(this->bounds, seconds(0));
        OrganisationConfig red{"red", std::nullopt, 100, 100, 1, false};
        CPPUNIT_ASSERT(this->admitUpTo(limiter, red, 2000, seconds(20)) > 600);
        red.ratePerSecond = 98;
        CPPUNIT_ASSERT_EQUAL(0, this->admitUpTo(limiter, red, 2000, seconds(21)));
        limiter.updateLimit(red, seconds(22));
        CPPUNIT_ASSERT_EQUAL(0, this->admitUpTo(limiter, red, 2000, seconds(22)));
    }

    /** Neither a stop until the usage under the former limit has left the window, nor more. */
    auto limit_loweredAfterEvenUse_newRateIsUsableAtOnce() -> void
    {
        QuotaLimiter limiter(this->bounds, seconds(0));
        OrganisationConfig red{"red", std::nullopt, 100, 0, 1, false};
        auto now = seconds(20);
        for (int second = 0; second < 10; ++second) {
            this->admitUpTo(limiter, red, 100, now);
            now += seconds(1);
        }
        red.ratePerSecond = 40;
        for (int second = 0; second < 8; ++second) {
            const auto admitted = this->admitUpTo(limiter, red, 100, now);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(admitted), admitted > 20 && admitted <= 100);
            now += seconds(1);
        }
    }

    auto limit_loweredFarBelowTheUsage_bindsAfterAWindow() -> void
    {
        QuotaLimiter limiter(this->bounds, seconds(0));
        OrganisationConfig red{"red", std::nullopt, 1000, 1000, 1, false};
        this->admitUpTo(limiter, red, 20000, seconds(20));
        red.ratePerSecond = 10;
        red.burst = 10;
        int admitted = 0;
        for (auto now = Instant(seconds(21)); now < seconds(60); now += milliseconds(250)) {
            const auto count = this->admitUpTo(limiter, red, 100, now);
            admitted += now >= seconds(29) && now < seconds(37) ? count : 0;
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(admitted),
                               admitted <= 90 * (1 + this->bounds.quotaOvershoot) && admitted > 0);
    }

    auto limit_loweredWhileIdle_bindsLaterUsage() -> void
    {
        QuotaLimiter limiter(this->bounds, seconds(0));
        OrganisationConfig red{"red", std::nullopt, 1000, 1000, 1, false};
        CPPUNIT_ASSERT_EQUAL(1, this->admitUpTo(limiter, red, 1, seconds(20)));
        red.ratePerSecond = 10;
        red.burst = 10;
        limiter.updateLimit(red, seconds(21));
        int admitted = 0;
        for (auto now = Instant(seconds(23)); now < seconds(31); now += milliseconds(250)) {
            admitted += this->admitUpTo(limiter, red, 100, now);
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(admitted),
                               admitted <= 90 * (1 + this->bounds.quotaOvershoot) && admitted > 45);
    }

    auto limit_raisedAndLoweredInTurn_usageStaysCounted() -> void
    {
        QuotaLimiter limiter(this->bounds, seconds(0));
        OrganisationConfig red{"red", std::nullopt, 100, 100, 1, false};
        int admitted = 0;
        for (int step = 0; step < 16; ++step) {
            red.ratePerSecond = step % 2 == 0 ? 100 : 50;
            admitted += this->admitUpTo(limiter, red, 2000, seconds(20) + step * milliseconds(500));
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(admitted),
                               admitted <= 900 * (1 + this->bounds.quotaOvershoot));
    }

    auto limit_organisationMissingForATime_usageStaysCounted() -> void
    {
        QuotaLimiter limiter(this->bounds, seconds(0));
        OrganisationConfig red{"red", std::nullopt, 100, 100, 1, false};
        const OrganisationConfig blue{"blue", std::nullopt, 100, 100, 1, false};
        this->admitUpTo(limiter, red, 2000, seconds(20));
        limiter.updateLimit(blue, seconds(21)); // A configuration without the other one.
        limiter.expire(seconds(21));
        red.ratePerSecond = 98;
        CPPUNIT_ASSERT_EQUAL(0, this->admitUpTo(limiter, red, 2000, seconds(22)));
    }

    auto limit_inAnotherUnit_startsANewWindow() -> void
    {
        QuotaLimiter limiter(this->bounds, seconds(0));
        OrganisationConfig red{"red", std::nullopt, 36000, 36000, 200, true};
        CPPUNIT_ASSERT(limiter.admit(red, 200000, 1, seconds(20)).admitted);
        red = {"red", std::nullopt, 10, 10, 1, false};
        CPPUNIT_ASSERT(this->admitUpTo(limiter, red, 100, seconds(21)) > 0);
        CPPUNIT_ASSERT_EQUAL(0, this->admitUpTo(limiter, red, 100, seconds(22)));
    }

    auto limit_setForTheFirstTime_startsANewWindow() -> void
    {
        QuotaLimiter limiter(this->bounds, seconds(0));
        OrganisationConfig red{"red", std::nullopt, 0, 0, 1, false};
        CPPUNIT_ASSERT_EQUAL(5000, this->admitUpTo(limiter, red, 5000, seconds(20)));
        red.ratePerSecond = 100;
        CPPUNIT_ASSERT(this->admitUpTo(limiter, red, 2000, seconds(21)) > 0);
        CPPUNIT_ASSERT_EQUAL(0, this->admitUpTo(limiter, red, 2000, seconds(22)));
    }

    auto retryAfter_rejectedRequest_canBeAdmittedLater() -> void
    {
        QuotaLimiter limiter(this->bounds, seconds(0));
        const OrganisationConfig red{"red", std::nullopt, 100, 100, 1, false};
        CPPUNIT_ASSERT(limiter.admit(red, 500, 1, seconds(20)).admitted);
        CPPUNIT_ASSERT(!limiter.admit(red, 500, 1, seconds(21)).admitted);
        const auto wait = limiter.retryAfter(red, 100, seconds(21));
        CPPUNIT_ASSERT(wait > seconds(0));
        CPPUNIT_ASSERT(wait <= seconds(9));
        CPPUNIT_ASSERT(limiter.admit(red, 500, 1, seconds(31)).admitted);
    }

private:
    /** @return Requests of one unit each that were admitted until one was not. */
    auto admitUpTo(QuotaLimiter &limiter, const OrganisationConfig &organisation, int count,
                   Instant now) const -> int
    {
        int admitted = 0;
        while (admitted < count && limiter.admit(organisation, 1, 1, now).admitted) {
            ++admitted;
        }
        return admitted;
    }

    FleetBounds bounds;
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaLimiterFixture);
