/** @file restored_domain_tests.cpp Tests of domains out of service across a restore. */
#include "restored_store_fixture.h"

namespace {

using namespace banyanring;
using std::chrono::seconds;

/** Failure domains out of service across a restore of the store. */
class RestoredDomainFixture : public test::RestoredStoreFixture
{
    CPPUNIT_TEST_SUITE(RestoredDomainFixture);
    CPPUNIT_TEST(domain_missingInTheCopy_staysOutUntilWrittenAgain);
    CPPUNIT_TEST(domain_neverWrittenAgain_comesBack);
    CPPUNIT_TEST(domain_backBeforeRestore_isNotTakenOutByTheCopy);
    CPPUNIT_TEST(domain_backBeforeRestoreAndWrittenAgain_isOutAtOnce);
    CPPUNIT_TEST(domain_backBeforeRestoreButStaysInTheStore_isOutWithinSeconds);
    CPPUNIT_TEST(domain_unknownButInTheCopy_isOutAtOnce);
    CPPUNIT_TEST(domain_removedAndWrittenAgain_staysOut);
    CPPUNIT_TEST(domain_removedAfterRestore_comesBackWithinSeconds);
    CPPUNIT_TEST(domain_missingAfterTwoRestores_staysOut);
    CPPUNIT_TEST(domain_missingAndStoreUnreachable_staysOut);
    CPPUNIT_TEST(domain_removedWithoutRestore_comesBackAtOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    auto domain_missingInTheCopy_staysOutUntilWrittenAgain() -> void
    {
        this->put(DomainKey, "");
        this->restore({});
        CPPUNIT_ASSERT(this->isOut());
        this->advance(seconds(5));
        CPPUNIT_ASSERT(this->isOut());
        this->put(DomainKey, "");
        this->advance(seconds(60));
        CPPUNIT_ASSERT(this->isOut());
    }

    auto domain_neverWrittenAgain_comesBack() -> void
    {
        this->put(DomainKey, "");
        this->restore({});
        this->advance(seconds(11));
        CPPUNIT_ASSERT(!this->isOut());
    }

    auto domain_backBeforeRestore_isNotTakenOutByTheCopy() -> void
    {
        this->restoreAfterEnd();
        CPPUNIT_ASSERT(!this->isOut());
        this->advance(seconds(2));
        CPPUNIT_ASSERT(!this->isOut());
        this->remove(DomainKey);
        this->advance(seconds(20));
        CPPUNIT_ASSERT(!this->isOut());
    }

    auto domain_backBeforeRestoreAndWrittenAgain_isOutAtOnce() -> void
    {
        this->restoreAfterEnd();
        this->put(DomainKey, "");
        CPPUNIT_ASSERT(this->isOut());
    }

    auto domain_backBeforeRestoreButStaysInTheStore_isOutWithinSeconds() -> void
    {
        // 5 s to act, less the time until a node of the largest fleet has fetched the contents.
        constexpr auto TimeLeft = std::chrono::milliseconds(5000 - 1750 - 600);
        this->restoreAfterEnd();
        this->advance(TimeLeft);
        CPPUNIT_ASSERT(this->isOut());
    }

    auto domain_unknownButInTheCopy_isOutAtOnce() -> void
    {
        this->put("op/other", "");
        this->restore({{DomainKey, ""}});
        CPPUNIT_ASSERT(this->isOut());
    }

    auto domain_removedAndWrittenAgain_staysOut() -> void
    {
        this->put(DomainKey, "");
        this->restore(this->contents);
        this->remove(DomainKey);
        this->advance(seconds(1));
        CPPUNIT_ASSERT(this->isOut());
        this->put(DomainKey, "");
        this->advance(seconds(20));
        CPPUNIT_ASSERT(this->isOut());
    }

    auto domain_removedAfterRestore_comesBackWithinSeconds() -> void
    {
        this->put(DomainKey, "");
        this->restore(this->contents);
        this->remove(DomainKey);
        this->advance(seconds(3));
        CPPUNIT_ASSERT(!this->isOut());
    }

    auto domain_missingAfterTwoRestores_staysOut() -> void
    {
        this->put(DomainKey, "");
        this->restore({});
        this->advance(seconds(8));
        this->restore({});
        this->advance(seconds(8));
        CPPUNIT_ASSERT(this->isOut());
    }

    auto domain_missingAndStoreUnreachable_staysOut() -> void
    {
        this->put(DomainKey, "");
        this->restore({});
        this->applier->setStoreContact(fleet::StoreContact::Lost, this->now);
        this->advance(seconds(20));
        CPPUNIT_ASSERT(this->isOut());
        this->applier->setStoreContact(fleet::StoreContact::Reached, this->now);
        this->advance(seconds(5));
        CPPUNIT_ASSERT(this->isOut());
        this->advance(seconds(6));
        CPPUNIT_ASSERT(!this->isOut());
    }

    auto domain_removedWithoutRestore_comesBackAtOnce() -> void
    {
        this->put(DomainKey, "");
        this->remove(DomainKey);
        CPPUNIT_ASSERT(!this->isOut());
    }

private:
    static constexpr auto DomainKey = "op/evacuate/z";

    /** Restores a copy in which a domain is out of service that has come back since. */
    auto restoreAfterEnd() -> void
    {
        this->put(DomainKey, "");
        const auto copy = this->contents;
        this->remove(DomainKey);
        this->restore(copy);
    }

    auto isOut() const -> bool
    {
        return this->state->config.isDomainOutOfService("z");
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(RestoredDomainFixture);
