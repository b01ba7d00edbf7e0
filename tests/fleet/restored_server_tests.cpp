/** @file restored_server_tests.cpp Tests of the state of servers across a restore of the store. */
#include "restored_store_fixture.h"

namespace {

using namespace banyanring;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** Servers across a restore of the store. */
class RestoredServerFixture : public test::RestoredStoreFixture
{
    CPPUNIT_TEST_SUITE(RestoredServerFixture);
    CPPUNIT_TEST(server_drainingBeforeRestore_staysDraining);
    CPPUNIT_TEST(server_leftBeforeRestore_isNotUsedAgain);
    CPPUNIT_TEST(server_leftAndRemovedAgain_getsNoGrace);
    CPPUNIT_TEST(server_drainingThenMissingThenInAnOlderCopy_staysDraining);
    CPPUNIT_TEST(server_restartedUnderItsId_isUsed);
    CPPUNIT_TEST(server_withoutStartTime_isNotLockedOut);
    CPPUNIT_TEST(server_olderEntryStaysInTheStore_countsAfterTheRewriting);
    CPPUNIT_TEST(server_missingAfterTwoRestores_staysUsableUntilTheLastGrace);
    CPPUNIT_TEST(server_missingThenInAnOlderCopy_staysUsable);
    CPPUNIT_TEST(server_missingThenWrittenUnchanged_isUsed);
    CPPUNIT_TEST(server_lapsedThenWrittenUnchangedAfterRestore_isUsed);
    CPPUNIT_TEST(server_missingWhileStoreIsAwayAgain_staysUsable);
    CPPUNIT_TEST(server_restoreWhileStoreUnreachable_isCompared);
    CPPUNIT_TEST(server_sameEntryAfterRestore_isNotColdAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    auto server_drainingBeforeRestore_staysDraining() -> void
    {
        this->writeServer("a", 1, "ready");
        const auto copy = this->contents;
        this->writeServer("a", 9, "draining");
        this->restore(copy);
        CPPUNIT_ASSERT(!this->isUsable("a"));
        this->writeServer("a", 12, "draining");
        CPPUNIT_ASSERT(!this->isUsable("a"));
    }

    auto server_leftBeforeRestore_isNotUsedAgain() -> void
    {
        this->writeServer("a", 1, "ready");
        const auto copy = this->contents;
        this->remove("servers/a");
        this->advance(seconds(5));
        this->restore(copy);
        CPPUNIT_ASSERT(!this->isUsable("a"));
        this->writeServer("b", 1, "ready");
        CPPUNIT_ASSERT(this->isUsable("b"));
        CPPUNIT_ASSERT(!this->isUsable("a"));
    }

    auto server_leftAndRemovedAgain_getsNoGrace() -> void
    {
        this->writeServer("a", 1, "ready");
        const auto copy = this->contents;
        this->remove("servers/a");
        this->restore(copy);
        this->advance(seconds(1));
        this->remove("servers/a");
        CPPUNIT_ASSERT(!this->isUsable("a"));
    }

    auto server_drainingThenMissingThenInAnOlderCopy_staysDraining() -> void
    {
        this->writeServer("a", 1, "ready");
        const auto copy = this->contents;
        this->writeServer("a", 2, "draining");
        this->restore({});
        this->advance(seconds(1));
        this->restore(copy);
        CPPUNIT_ASSERT(!this->isUsable("a"));
    }

    auto server_restartedUnderItsId_isUsed() -> void
    {
        this->writeServer("a", 40, "ready", 1000);
        const auto copy = this->contents;
        this->writeServer("a", 41, "draining", 1000);
        this->remove("servers/a");
        this->restore(copy);
        CPPUNIT_ASSERT(!this->isUsable("a"));
        this->writeServer("a", 1, "ready", 2000);
        CPPUNIT_ASSERT(this->isUsable("a"));
    }

    auto server_withoutStartTime_isNotLockedOut() -> void
    {
        this->put("servers/a", entry("draining", R"("seq":40,"born":1000)"));
        this->restore({});
        this->put("servers/a", entry("ready", R"("slots":4)"));
        CPPUNIT_ASSERT(this->isUsable("a"));
        this->restore({{"servers/a", entry("ready", R"("seq":1)")}});
        CPPUNIT_ASSERT(this->isUsable("a"));
    }

    auto server_olderEntryStaysInTheStore_countsAfterTheRewriting() -> void
    {
        this->writeServer("a", 5, "ready");
        const auto copy = this->contents;
        this->writeServer("a", 6, "draining");
        this->restore(copy);
        this->advance(seconds(5));
        CPPUNIT_ASSERT(!this->isUsable("a"));
        this->advance(seconds(10));
        CPPUNIT_ASSERT(this->isUsable("a"));
    }

    auto server_missingAfterTwoRestores_staysUsableUntilTheLastGrace() -> void
    {
        const auto copy = this->contents;
        this->writeServer("a", 1, "ready");
        this->restore(copy);
        this->advance(milliseconds(1500));
        CPPUNIT_ASSERT(this->isUsable("a"));
        this->writeServer("a", 3, "ready");
        this->restore(copy);
        this->advance(milliseconds(1500));
        CPPUNIT_ASSERT(this->isUsable("a"));
        this->advance(seconds(1));
        CPPUNIT_ASSERT(!this->isUsable("a"));
    }

    auto server_missingThenInAnOlderCopy_staysUsable() -> void
    {
        this->writeServer("a", 1, "ready");
        const auto copy = this->contents;
        this->writeServer("a", 2, "ready");
        this->restore({});
        this->advance(seconds(1));
        this->restore(copy);
        this->advance(seconds(3));
        CPPUNIT_ASSERT(this->isUsable("a"));
    }

    auto server_missingThenWrittenUnchanged_isUsed() -> void
    {
        this->writeServer("a", 1, "ready");
        this->restore({});
        this->advance(seconds(3));
        CPPUNIT_ASSERT(!this->isUsable("a"));
        this->writeServer("a", 1, "ready");
        CPPUNIT_ASSERT(this->isUsable("a"));
    }

    auto server_lapsedThenWrittenUnchangedAfterRestore_isUsed() -> void
    {
        this->writeServer("a", 1, "ready");
        this->writeServer("b", 1, "ready");
        const auto olderCopy = this->contents;
        this->remove("servers/a");
        this->remove("servers/b");
        this->restore({{"servers/b", olderCopy.at("servers/b")}});
        this->advance(seconds(1));
        this->writeServer("a", 1, "ready");
        CPPUNIT_ASSERT(this->isUsable("a"));
        CPPUNIT_ASSERT(!this->isUsable("b"));
        this->advance(seconds(3)); // A removal within the grace time may be an expiry.
        this->remove("servers/a");
        this->restore(olderCopy);
        CPPUNIT_ASSERT(!this->isUsable("a"));
        CPPUNIT_ASSERT(!this->isUsable("b"));
    }

    auto server_missingWhileStoreIsAwayAgain_staysUsable() -> void
    {
        this->writeServer("a", 1, "ready");
        this->restore({});
        this->advance(seconds(1));
        this->applier->setStoreContact(fleet::StoreContact::Lost, this->now);
        this->advance(seconds(5));
        CPPUNIT_ASSERT(this->isUsable("a"));
        this->applier->setStoreContact(fleet::StoreContact::Reached, this->now);
        this->restore({});
        this->advance(seconds(2));
        CPPUNIT_ASSERT(this->isUsable("a"));
        this->advance(seconds(1));
        CPPUNIT_ASSERT(!this->isUsable("a"));
    }

    auto server_restoreWhileStoreUnreachable_isCompared() -> void
    {
        this->writeServer("a", 1, "ready");
        this->writeServer("b", 1, "ready");
        auto copy = this->contents;
        copy.erase("servers/b");
        this->writeServer("a", 2, "draining");
        this->applier->setStoreContact(fleet::StoreContact::Lost, this->now);
        this->restore(copy);
        this->advance(seconds(1));
        this->applier->setStoreContact(fleet::StoreContact::Reached, this->now);
        this->advance(milliseconds(500));
        CPPUNIT_ASSERT(!this->isUsable("a"));
        CPPUNIT_ASSERT(this->isUsable("b"));
    }

    auto server_sameEntryAfterRestore_isNotColdAgain() -> void
    {
        this->put("servers/a", entry("ready", R"("seq":1,"born":1,"cold_left_ms":3000)"));
        CPPUNIT_ASSERT(this->state->servers.find("a")->isCold(this->now));
        this->advance(seconds(5));
        this->restore(this->contents);
        CPPUNIT_ASSERT(!this->state->servers.find("a")->isCold(this->now));
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(RestoredServerFixture);
