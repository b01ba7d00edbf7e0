/** @file crash_suspect_table_tests.cpp Tests of the first core's table of crash suspects. */
#include "banyanring/core/crash_suspect_table_base.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace banyanring;
using std::chrono::seconds;

/** A table with more suspects than a message or the table itself holds. */
class CrashSuspectTableFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashSuspectTableFixture);
    CPPUNIT_TEST(addCrash_tableFull_isRecorded);
    CPPUNIT_TEST(addCrash_tableFull_keepsRepeatedSuspects);
    CPPUNIT_TEST(notices_moreThanOneMessage_reportAllInTurn);
    CPPUNIT_TEST_SUITE_END();

public:
    auto addCrash_tableFull_isRecorded() -> void
    {
        this->fill(CrashSuspectTable::MaxSuspects);
        CPPUNIT_ASSERT(this->table.addCrash(NewSuspect, 1, 1, seconds(50)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->table.crashCount(NewSuspect));
        CPPUNIT_ASSERT(!this->table.addCrash(NewSuspect, 1, 1, seconds(50)));
    }

    auto addCrash_tableFull_keepsRepeatedSuspects() -> void
    {
        this->table.addCrash(NewSuspect, 1, 1, seconds(1));
        this->table.addCrash(NewSuspect, 2, 2, seconds(1));
        this->fill(2 * CrashSuspectTable::MaxSuspects);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->table.crashCount(NewSuspect));
    }

    auto notices_moreThanOneMessage_reportAllInTurn() -> void
    {
        constexpr std::size_t Count = 1000;
        this->fill(Count);
        std::set<std::uint64_t> reported;
        for (int message = 0; message < 10; ++message) {
            for (const auto &notice : this->table.notices(seconds(0))) {
                reported.insert(notice.fingerprint);
            }
        }
        CPPUNIT_ASSERT_EQUAL(Count, reported.size());
    }

private:
    static constexpr std::uint64_t NewSuspect = 1;

    auto fill(std::size_t count) -> void
    {
        for (std::size_t index = 0; index < count; ++index) {
            this->table.addCrash(NewSuspect + 1 + index, 1, index, seconds(10));
        }
    }

    NodeSettings settings;
    CrashSuspectTable table{this->settings};
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(CrashSuspectTableFixture);
