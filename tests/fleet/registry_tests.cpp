/** @file registry_tests.cpp Tests of store mirror, active configuration and server registry. */
#include "banyanring/fleet/active_config.h"
#include "banyanring/fleet/server_registry.h"
#include "banyanring/fleet/store_mirror.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace banyanring;
using namespace banyanring::fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** Mirror of the store. */
class StoreMirrorFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreMirrorFixture);
    CPPUNIT_TEST(apply_olderChange_isIgnored);
    CPPUNIT_TEST(replaceAll_olderItems_areIgnored);
    CPPUNIT_TEST(replaceAll_newerItems_listsChangedAndRemovedKeys);
    CPPUNIT_TEST_SUITE_END();

public:
    auto apply_olderChange_isIgnored() -> void
    {
        this->mirror.apply({{"a", "new", 5, false}}, {0, 5});
        CPPUNIT_ASSERT(this->mirror.apply({{"a", "old", 4, false}}, {0, 6}).empty());
        CPPUNIT_ASSERT_EQUAL(std::string("new"), this->mirror.find("a")->value);
        CPPUNIT_ASSERT(this->mirror.apply({{"a", "", 3, true}}, {0, 6}).empty());
    }

    auto replaceAll_olderItems_areIgnored() -> void
    {
        this->mirror.apply({{"a", "new", 5, false}}, {0, 9});
        CPPUNIT_ASSERT(this->mirror.replaceAll({{"a", {"old", {0, 4}}}}, {0, 8}).empty());
        CPPUNIT_ASSERT_EQUAL(std::string("new"), this->mirror.find("a")->value);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, this->mirror.revision());
    }

    auto replaceAll_newerItems_listsChangedAndRemovedKeys() -> void
    {
        this->mirror.apply({{"a", "1", 1, false}, {"b", "1", 2, false}, {"c", "1", 3, false}},
                           {0, 3});
        const auto changed =
            this->mirror.replaceAll({{"a", {"1", {0, 1}}}, {"b", {"2", {0, 7}}}}, {0, 8});
        CPPUNIT_ASSERT(changed == (std::vector<std::string>{"c", "b"}));
    }

private:
    StoreMirror mirror;
};

/** Configuration in force. */
class ActiveConfigFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ActiveConfigFixture);
    CPPUNIT_TEST(update_olderVersion_isRejected);
    CPPUNIT_TEST(findRoute_severalPrefixes_longestWins);
    CPPUNIT_TEST(findRoute_otherHost_findsNone);
    CPPUNIT_TEST(findOrganisation_revokedKey_findsNone);
    CPPUNIT_TEST(idleTimeout_lowered_previousValueStaysForAWhile);
    CPPUNIT_TEST(idleTimeout_loweredTwice_longestPreviousValueStays);
    CPPUNIT_TEST(idleTimeout_loweredAgainAndAgain_expiresInTurn);
    CPPUNIT_TEST(idleTimeout_manyChanges_neverBelowAPreviousValue);
    CPPUNIT_TEST_SUITE_END();

public:
    static auto makeConfig(std::uint64_t version, Duration idleTimeout)
        -> std::shared_ptr<FleetConfig>
    {
        auto newConfig = std::make_shared<FleetConfig>();
        newConfig->version = version;
        newConfig->limits.idleTimeout = idleTimeout;
        RouteConfig shortPrefix;
        shortPrefix.prefix = "/a/";
        shortPrefix.targets = {{"s", 1}};
        RouteConfig longPrefix = shortPrefix;
        longPrefix.prefix = "/a/b/";
        newConfig->routes["host"] = {longPrefix, shortPrefix};
        newConfig->organisations["red"] = {"red", std::nullopt, 10, 10, 1, false};
        newConfig->organisationByKey["key"] = "red";
        return newConfig;
    }

    auto update_olderVersion_isRejected() -> void
    {
        CPPUNIT_ASSERT(this->activeConfig.update(makeConfig(7, seconds(10)), seconds(1)));
        CPPUNIT_ASSERT(!this->activeConfig.update(makeConfig(6, seconds(10)), seconds(2)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, this->activeConfig.current()->version);
    }

    auto findRoute_severalPrefixes_longestWins() -> void
    {
        this->activeConfig.update(makeConfig(1, seconds(10)), seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::string("/a/b/"),
                             this->activeConfig.findRoute("host", "/a/b/c")->prefix);
        CPPUNIT_ASSERT_EQUAL(std::string("/a/"),
                             this->activeConfig.findRoute("host", "/a/bc")->prefix);
    }

    auto findRoute_otherHost_findsNone() -> void
    {
        this->activeConfig.update(makeConfig(1, seconds(10)), seconds(1));
        CPPUNIT_ASSERT(this->activeConfig.findRoute("other", "/a/b/c") == nullptr);
        CPPUNIT_ASSERT(this->activeConfig.findRoute("host", "/x/") == nullptr);
    }

    auto findOrganisation_revokedKey_findsNone() -> void
    {
        this->activeConfig.update(makeConfig(1, seconds(10)), seconds(1));
        CPPUNIT_ASSERT(this->activeConfig.findOrganisation("key") != nullptr);
        auto nextConfig = makeConfig(2, seconds(10));
        nextConfig->organisationByKey.clear();
        this->activeConfig.update(nextConfig, seconds(2));
        CPPUNIT_ASSERT(this->activeConfig.findOrganisation("key") == nullptr);
    }

    auto idleTimeout_lowered_previousValueStaysForAWhile() -> void
    {
        this->activeConfig.update(makeConfig(1, seconds(10)), seconds(1));
        this->activeConfig.update(makeConfig(2, seconds(4)), seconds(2));
        CPPUNIT_ASSERT(this->activeConfig.idleTimeout(seconds(3)) == seconds(10));
        CPPUNIT_ASSERT(this->activeConfig.idleTimeout(seconds(60)) == seconds(4));
    }

    auto idleTimeout_loweredTwice_longestPreviousValueStays() -> void
    {
        this->activeConfig.update(makeConfig(1, seconds(10)), seconds(1));
        this->activeConfig.update(makeConfig(2, seconds(4)), seconds(2));
        this->activeConfig.update(makeConfig(3, seconds(2)), seconds(3));
        CPPUNIT_ASSERT(this->activeConfig.idleTimeout(seconds(4)) == seconds(10));
        CPPUNIT_ASSERT(this->activeConfig.idleTimeout(seconds(60)) == seconds(2));
    }

    auto idleTimeout_loweredAgainAndAgain_expiresInTurn() -> void
    {
        this->activeConfig.update(makeConfig(1, seconds(10)), seconds(1));
        this->activeConfig.update(makeConfig(2, seconds(8)), seconds(2)); // 10 s until 22 s
        this->activeConfig.update(makeConfig(3, seconds(2)), seconds(12)); // 8 s until 28 s
        CPPUNIT_ASSERT(this->activeConfig.idleTimeout(seconds(21)) == seconds(10));
        CPPUNIT_ASSERT(this->activeConfig.idleTimeout(seconds(23)) == seconds(8));
        CPPUNIT_ASSERT(this->activeConfig.idleTimeout(seconds(29)) == seconds(2));
    }

    auto idleTimeout_manyChanges_neverBelowAPreviousValue() -> void
    {
        std::uint64_t version = 0;
        for (int timeout = 60; timeout > 1; --timeout) {
            ++version;
            this->activeConfig.update(makeConfig(version, seconds(timeout)), seconds(version));
        }
        CPPUNIT_ASSERT(this->activeConfig.idleTimeout(seconds(version)) == seconds(60));
        for (int timeout = 60; timeout > 2; --timeout) {
            const auto until = seconds(62 - timeout + 2 * timeout);
            CPPUNIT_ASSERT(this->activeConfig.idleTimeout(until - milliseconds(1))
                           >= seconds(timeout));
        }
        CPPUNIT_ASSERT(this->activeConfig.idleTimeout(seconds(1000)) == seconds(2));
    }

private:
    ActiveConfig activeConfig;
};

/** Registry of backend servers. */
class ServerRegistryFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerRegistryFixture);
    CPPUNIT_TEST(registerServer_newServer_isColdForTheColdPeriod);
    CPPUNIT_TEST(registerServer_sameIdNewStartTime_isANewServer);
    CPPUNIT_TEST(markUnregistered_registeredAgain_isKept);
    CPPUNIT_TEST(markUnregistered_gracePeriodOver_isRemoved);
    CPPUNIT_TEST(markUnreachable_again_doublesBackoffAndIsColdAfterwards);
    CPPUNIT_TEST(recordOutcome_failsFarMoreThanOthers_isEjected);
    CPPUNIT_TEST(recordOutcome_allFail_noneIsEjected);
    CPPUNIT_TEST_SUITE_END();

public:
    static auto registration(const std::string &id, std::uint64_t startedAtMs = 1)
        -> ServerRegistration
    {
        return {id, "llm", "10.0.0.1:80", "zone", 4, false, Duration(0), startedAtMs};
    }

    auto registerServer_newServer_isColdForTheColdPeriod() -> void
    {
        this->registry.registerServer(registration("a"), seconds(3), seconds(10));
        CPPUNIT_ASSERT(this->registry.find("a")->isCold(seconds(12)));
        CPPUNIT_ASSERT(!this->registry.find("a")->isCold(seconds(14)));
    }

    auto registerServer_sameIdNewStartTime_isANewServer() -> void
    {
        this->registry.registerServer(registration("a", 1), Duration(0), seconds(10));
        const auto before = this->registry.find("a");
        CPPUNIT_ASSERT(
            this->registry.registerServer(registration("a", 2), seconds(3), seconds(20)));
        CPPUNIT_ASSERT(this->registry.find("a") != before);
        CPPUNIT_ASSERT(this->registry.find("a")->isCold(seconds(21)));
    }

    auto markUnregistered_registeredAgain_isKept() -> void
    {
        this->registry.registerServer(registration("a"), Duration(0), seconds(10));
        this->registry.markUnregistered("a", seconds(13));
        CPPUNIT_ASSERT(this->registry.removeExpired(seconds(12)).empty());
        this->registry.registerServer(registration("a"), Duration(0), seconds(12));
        CPPUNIT_ASSERT(this->registry.removeExpired(seconds(20)).empty());
    }

    auto markUnregistered_gracePeriodOver_isRemoved() -> void
    {
        this->registry.registerServer(registration("a"), Duration(0), seconds(10));
        this->registry.markUnregistered("a", seconds(13));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->registry.removeExpired(seconds(13)).size());
        CPPUNIT_ASSERT(this->registry.serversOf("llm").empty());
    }

    auto markUnreachable_again_doublesBackoffAndIsColdAfterwards() -> void
    {
        this->registry.registerServer(registration("a"), Duration(0), seconds(10));
        auto &server = *this->registry.find("a");
        ServerRegistry::markUnreachable(server, seconds(11));
        const auto firstBackoff = server.backoffUntil - seconds(11);
        ServerRegistry::markUnreachable(server, seconds(12));
        CPPUNIT_ASSERT(server.backoffUntil - seconds(12) == 2 * firstBackoff);
        ServerRegistry::markReachable(server, seconds(3), seconds(14));
        CPPUNIT_ASSERT(server.isCold(seconds(16)));
        CPPUNIT_ASSERT(server.backoffUntil < seconds(14));
    }

    auto recordOutcome_failsFarMoreThanOthers_isEjected() -> void
    {
        this->registerServers();
        bool ejected = false;
        for (int round = 0; round < 12; ++round) {
            for (const auto *id : {"a", "b", "c", "d"}) {
                this->registry.recordOutcome(*this->registry.find(id), AttemptOutcome::Succeeded,
                                             seconds(11));
            }
            ejected |= this->registry.recordOutcome(*this->registry.find("e"),
                                                    AttemptOutcome::Failed, seconds(11));
        }
        CPPUNIT_ASSERT(ejected);
        CPPUNIT_ASSERT(this->registry.find("e")->ejectedUntil > seconds(11));
        CPPUNIT_ASSERT(this->registry.find("a")->ejectedUntil <= seconds(11));
    }

    auto recordOutcome_allFail_noneIsEjected() -> void
    {
        this->registerServers();
        for (int round = 0; round < 30; ++round) {
            for (const auto *id : {"a", "b", "c", "d", "e"}) {
                const auto outcome =
                    round % 2 == 0 ? AttemptOutcome::Failed : AttemptOutcome::Succeeded;
                CPPUNIT_ASSERT(
                    !this->registry.recordOutcome(*this->registry.find(id), outcome, seconds(11)));
            }
        }
    }

private:
    auto registerServers() -> void
    {
        for (const auto *id : {"a", "b", "c", "d", "e"}) {
            this->registry.registerServer(registration(id), Duration(0), seconds(10));
        }
    }

    ServerRegistry registry;
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(StoreMirrorFixture);
CPPUNIT_TEST_SUITE_REGISTRATION(ActiveConfigFixture);
CPPUNIT_TEST_SUITE_REGISTRATION(ServerRegistryFixture);
