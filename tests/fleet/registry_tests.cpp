/**
 * @file registry_tests.cpp Tests of the store mirror, the active configuration, the server registry and
 * crash suspects.
 */
#include "banyanring/fleet/active_config.h"
#include "banyanring/fleet/crash_suspects.h"
#include "banyanring/fleet/store_mirror.h"
#include "banyanring/fleet/server_registry.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace banyanring;
using namespace banyanring::fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** Mirror of the store. */
class PublishedBookFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PublishedBookFixture);
    CPPUNIT_TEST(apply_olderChange_isIgnored);
    CPPUNIT_TEST(replace_olderItems_areIgnored);
    CPPUNIT_TEST(replace_newerItems_namesChangedAndGone);
    CPPUNIT_TEST_SUITE_END();

public:
    auto apply_olderChange_isIgnored() -> void
    {
        this->book.apply({{"a", "new", 5, false}}, 5);
        CPPUNIT_ASSERT(this->book.apply({{"a", "old", 4, false}}, 6).empty());
        CPPUNIT_ASSERT_EQUAL(std::string("new"), this->book.find("a")->value);
        CPPUNIT_ASSERT(this->book.apply({{"a", "", 3, true}}, 6).empty());
    }

    auto replace_olderItems_areIgnored() -> void
    {
        this->book.apply({{"a", "new", 5, false}}, 9);
        CPPUNIT_ASSERT(this->book.replace({{"a", {"old", 4}}}, 8).empty());
        CPPUNIT_ASSERT_EQUAL(std::string("new"), this->book.find("a")->value);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, this->book.revision());
    }

    auto replace_newerItems_namesChangedAndGone() -> void
    {
        this->book.apply({{"a", "1", 1, false}, {"b", "1", 2, false}, {"c", "1", 3, false}}, 3);
        const auto changed = this->book.replace({{"a", {"1", 1}}, {"b", {"2", 7}}}, 8);
        CPPUNIT_ASSERT(changed == (std::vector<std::string>{"c", "b"}));
    }

private:
    PublishedBook book;
};

/** Configuration in force. */
class ConfigBookFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigBookFixture);
    CPPUNIT_TEST(take_olderVersion_isRefused);
    CPPUNIT_TEST(findRoute_severalPrefixes_longestWins);
    CPPUNIT_TEST(findRoute_otherHost_findsNone);
    CPPUNIT_TEST(findOrganisation_withdrawnKey_findsNone);
    CPPUNIT_TEST(idleTimeout_lowered_longerCountsForAWhile);
    CPPUNIT_TEST_SUITE_END();

public:
    static auto make(std::uint64_t version, Duration idle) -> std::shared_ptr<FleetConfig>
    {
        auto config = std::make_shared<FleetConfig>();
        config->version = version;
        config->limits.idleTimeout = idle;
        RouteRule wide;
        wide.prefix = "/a/";
        wide.targets = {{"s", 1}};
        RouteRule narrow = wide;
        narrow.prefix = "/a/b/";
        config->routes["host"] = {narrow, wide};
        config->organisations["red"] = {"red", std::nullopt, 10, 10, 1, false};
        config->keys["key"] = "red";
        return config;
    }

    auto take_olderVersion_isRefused() -> void
    {
        CPPUNIT_ASSERT(this->book.take(make(7, seconds(10)), seconds(1)));
        CPPUNIT_ASSERT(!this->book.take(make(6, seconds(10)), seconds(2)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, this->book.current()->version);
    }

    auto findRoute_severalPrefixes_longestWins() -> void
    {
        this->book.take(make(1, seconds(10)), seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::string("/a/b/"), this->book.findRoute("host", "/a/b/c")->prefix);
        CPPUNIT_ASSERT_EQUAL(std::string("/a/"), this->book.findRoute("host", "/a/bc")->prefix);
    }

    auto findRoute_otherHost_findsNone() -> void
    {
        this->book.take(make(1, seconds(10)), seconds(1));
        CPPUNIT_ASSERT(this->book.findRoute("other", "/a/b/c") == nullptr);
        CPPUNIT_ASSERT(this->book.findRoute("host", "/x/") == nullptr);
    }

    auto findOrganisation_withdrawnKey_findsNone() -> void
    {
        this->book.take(make(1, seconds(10)), seconds(1));
        CPPUNIT_ASSERT(this->book.findOrganisation("key") != nullptr);
        auto next = make(2, seconds(10));
        next->keys.clear();
        this->book.take(next, seconds(2));
        CPPUNIT_ASSERT(this->book.findOrganisation("key") == nullptr);
    }

    auto idleTimeout_lowered_longerCountsForAWhile() -> void
    {
        this->book.take(make(1, seconds(10)), seconds(1));
        this->book.take(make(2, seconds(4)), seconds(2));
        CPPUNIT_ASSERT(this->book.idleTimeout(seconds(3)) == seconds(10));
        CPPUNIT_ASSERT(this->book.idleTimeout(seconds(60)) == seconds(4));
    }

private:
    ConfigBook book;
};

/** Registry of backend servers. */
class ServerBookFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerBookFixture);
    CPPUNIT_TEST(takeEntry_newServer_isColdForItsTime);
    CPPUNIT_TEST(takeEntry_sameIdNewBirth_isANewServer);
    CPPUNIT_TEST(loseEntry_thenBack_isKept);
    CPPUNIT_TEST(loseEntry_graceOver_isDropped);
    CPPUNIT_TEST(noteUnreachable_again_doublesAndThenIsCold);
    CPPUNIT_TEST(judge_failsFarMoreThanOthers_isSetAside);
    CPPUNIT_TEST(judge_allFail_noneIsSetAside);
    CPPUNIT_TEST_SUITE_END();

public:
    static auto entry(const std::string &id, std::uint64_t born = 1) -> ServerEntry
    {
        return {id, "llm", "10.0.0.1:80", "zone", 4, false, Duration(0), born};
    }

    auto takeEntry_newServer_isColdForItsTime() -> void
    {
        this->book.takeEntry(entry("a"), seconds(3), seconds(10));
        CPPUNIT_ASSERT(this->book.find("a")->cold(seconds(12)));
        CPPUNIT_ASSERT(!this->book.find("a")->cold(seconds(14)));
    }

    auto takeEntry_sameIdNewBirth_isANewServer() -> void
    {
        this->book.takeEntry(entry("a", 1), Duration(0), seconds(10));
        const auto before = this->book.find("a");
        CPPUNIT_ASSERT(this->book.takeEntry(entry("a", 2), seconds(3), seconds(20)));
        CPPUNIT_ASSERT(this->book.find("a") != before);
        CPPUNIT_ASSERT(this->book.find("a")->cold(seconds(21)));
    }

    auto loseEntry_thenBack_isKept() -> void
    {
        this->book.takeEntry(entry("a"), Duration(0), seconds(10));
        this->book.loseEntry("a", seconds(13));
        CPPUNIT_ASSERT(this->book.expire(seconds(12)).empty());
        this->book.takeEntry(entry("a"), Duration(0), seconds(12));
        CPPUNIT_ASSERT(this->book.expire(seconds(20)).empty());
    }

    auto loseEntry_graceOver_isDropped() -> void
    {
        this->book.takeEntry(entry("a"), Duration(0), seconds(10));
        this->book.loseEntry("a", seconds(13));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->book.expire(seconds(13)).size());
        CPPUNIT_ASSERT(this->book.ofService("llm").empty());
    }

    auto noteUnreachable_again_doublesAndThenIsCold() -> void
    {
        this->book.takeEntry(entry("a"), Duration(0), seconds(10));
        auto &server = *this->book.find("a");
        ServerBook::noteUnreachable(server, seconds(11));
        const auto first = server.avoidUntil - seconds(11);
        ServerBook::noteUnreachable(server, seconds(12));
        CPPUNIT_ASSERT(server.avoidUntil - seconds(12) == 2 * first);
        ServerBook::noteReachable(server, seconds(3), seconds(14));
        CPPUNIT_ASSERT(server.cold(seconds(16)));
        CPPUNIT_ASSERT(server.avoidUntil < seconds(14));
    }

    auto judge_failsFarMoreThanOthers_isSetAside() -> void
    {
        this->fill();
        bool aside = false;
        for (int answer = 0; answer < 12; ++answer) {
            for (const auto *id : {"a", "b", "c", "d"}) {
                this->book.judge(*this->book.find(id), ServerVerdict::Good, seconds(11));
            }
            aside |= this->book.judge(*this->book.find("e"), ServerVerdict::Failed, seconds(11));
        }
        CPPUNIT_ASSERT(aside);
        CPPUNIT_ASSERT(this->book.find("e")->ejectedUntil > seconds(11));
        CPPUNIT_ASSERT(this->book.find("a")->ejectedUntil <= seconds(11));
    }

    auto judge_allFail_noneIsSetAside() -> void
    {
        this->fill();
        for (int answer = 0; answer < 30; ++answer) {
            for (const auto *id : {"a", "b", "c", "d", "e"}) {
                const auto verdict = answer % 2 == 0 ? ServerVerdict::Failed : ServerVerdict::Good;
                CPPUNIT_ASSERT(!this->book.judge(*this->book.find(id), verdict, seconds(11)));
            }
        }
    }

private:
    auto fill() -> void
    {
        for (const auto *id : {"a", "b", "c", "d", "e"}) {
            this->book.takeEntry(entry(id), Duration(0), seconds(10));
        }
    }

    ServerBook book;
};

/** Detection of requests that crash servers. */
class CrashSuspectsFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashSuspectsFixture);
    CPPUNIT_TEST(note_threeServers_isRefused);
    CPPUNIT_TEST(note_sameServerOften_isNot);
    CPPUNIT_TEST(clear_answered_isForgotten);
    CPPUNIT_TEST(takePeer_addsUp_isRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    auto note_threeServers_isRefused() -> void
    {
        this->suspects.note(1, 10, seconds(1));
        this->suspects.note(1, 11, seconds(2));
        CPPUNIT_ASSERT(!this->suspects.refused(1, seconds(3)));
        this->suspects.note(1, 12, seconds(3));
        CPPUNIT_ASSERT(this->suspects.refused(1, seconds(4)));
        CPPUNIT_ASSERT(!this->suspects.refused(2, seconds(4)));
    }

    auto note_sameServerOften_isNot() -> void
    {
        for (int time = 0; time < 9; ++time) {
            this->suspects.note(1, 10, seconds(time));
        }
        CPPUNIT_ASSERT(!this->suspects.refused(1, seconds(9)));
    }

    auto clear_answered_isForgotten() -> void
    {
        this->suspects.note(1, 10, seconds(1));
        this->suspects.note(1, 11, seconds(1));
        this->suspects.clear(1);
        this->suspects.note(1, 12, seconds(1));
        CPPUNIT_ASSERT(!this->suspects.refused(1, seconds(2)));
    }

    auto takePeer_addsUp_isRefused() -> void
    {
        this->suspects.note(1, 10, seconds(1));
        this->suspects.takePeer({{1, {11, 12}}}, seconds(1));
        CPPUNIT_ASSERT(this->suspects.refused(1, seconds(2)));
    }

private:
    CrashSuspects suspects;
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(PublishedBookFixture);
CPPUNIT_TEST_SUITE_REGISTRATION(ConfigBookFixture);
CPPUNIT_TEST_SUITE_REGISTRATION(ServerBookFixture);
CPPUNIT_TEST_SUITE_REGISTRATION(CrashSuspectsFixture);
