/** @file crash_suspect_tests.cpp Tests of the detection of requests that crash servers. */
#include "scheduler_fixture.h"

#include <array>

namespace {

using namespace banyanring;
using namespace banyanring::test;
using fleet::CrashSuspects;

/** Records of one node. */
class CrashSuspectsFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashSuspectsFixture);
    CPPUNIT_TEST(recordCrash_threeServers_isBlocked);
    CPPUNIT_TEST(recordCrash_sameServerOften_isNotBlocked);
    CPPUNIT_TEST(recordCrash_serversFailTogether_isNotBlocked);
    CPPUNIT_TEST(recordAnswer_afterCrashes_removesThem);
    CPPUNIT_TEST(recordAnswer_beforeCrash_keepsIt);
    CPPUNIT_TEST(mergePeerReports_addsUp_isBlocked);
    CPPUNIT_TEST(mergePeerReports_crashesBeforeAnswer_areNotCounted);
    CPPUNIT_TEST(mergePeerReports_answerAtPeer_unblocks);
    CPPUNIT_TEST(mergePeerReports_betweenTwoNodes_crashesExpire);
    CPPUNIT_TEST(mergePeerReports_inTransitForSomeTime_keepTheTimeOfTheAnswer);
    CPPUNIT_TEST(reports_moreThanOneMessage_blockedComesFirst);
    CPPUNIT_TEST(table_full_keepsBlockedAndAddsNew);
    CPPUNIT_TEST(trial_afterBlock_isDueOnceAnInterval);
    CPPUNIT_TEST_SUITE_END();

public:
    auto recordCrash_threeServers_isBlocked() -> void
    {
        this->crash(1, 10, seconds(1));
        this->crash(1, 11, seconds(2));
        CPPUNIT_ASSERT(!this->suspects.isBlocked(1, seconds(3)));
        this->crash(1, 12, seconds(3));
        CPPUNIT_ASSERT(this->suspects.isBlocked(1, seconds(4)));
        CPPUNIT_ASSERT(!this->suspects.isBlocked(2, seconds(4)));
    }

    auto recordCrash_sameServerOften_isNotBlocked() -> void
    {
        for (int count = 0; count < 9; ++count) {
            this->crash(1, 10, seconds(count));
        }
        CPPUNIT_ASSERT(!this->suspects.isBlocked(1, seconds(9)));
    }

    auto recordCrash_serversFailTogether_isNotBlocked() -> void
    {
        for (std::uint32_t server = 0; server < 9; ++server) {
            this->suspects.recordCrash(1, server, seconds(1), seconds(5) + milliseconds(server));
        }
        CPPUNIT_ASSERT(!this->suspects.isBlocked(1, seconds(6)));
    }

    auto recordAnswer_afterCrashes_removesThem() -> void
    {
        this->crash(1, 10, seconds(1));
        this->crash(1, 11, seconds(1));
        this->suspects.recordAnswer(1, seconds(1));
        this->crash(1, 12, seconds(1));
        CPPUNIT_ASSERT(!this->suspects.isBlocked(1, seconds(2)));
    }

    auto recordAnswer_beforeCrash_keepsIt() -> void
    {
        this->crash(1, 10, seconds(2));
        this->crash(1, 11, seconds(3));
        this->crash(1, 12, seconds(4));
        this->suspects.recordAnswer(1, seconds(1));
        CPPUNIT_ASSERT(this->suspects.isBlocked(1, seconds(5)));
    }

    auto mergePeerReports_addsUp_isBlocked() -> void
    {
        this->crash(1, 10, seconds(1));
        this->suspects.mergePeerReports(
            {{1, std::nullopt, {{11, seconds(2), {}}, {12, seconds(1), {}}}}}, seconds(5));
        CPPUNIT_ASSERT(this->suspects.isBlocked(1, seconds(5)));
    }

    auto mergePeerReports_crashesBeforeAnswer_areNotCounted() -> void
    {
        this->suspects.recordAnswer(1, seconds(4));
        this->suspects.mergePeerReports(
            {{1, std::nullopt, {{10, seconds(4), {}}, {11, seconds(3), {}}, {12, seconds(2), {}}}}},
            seconds(5));
        CPPUNIT_ASSERT(!this->suspects.isBlocked(1, seconds(5)));
        CPPUNIT_ASSERT(this->suspects.reports(seconds(5)).at(0).answerAge == seconds(1));
    }

    auto mergePeerReports_answerAtPeer_unblocks() -> void
    {
        this->block(1, seconds(3));
        this->suspects.mergePeerReports({{1, seconds(1), {}}}, seconds(5));
        CPPUNIT_ASSERT(!this->suspects.isBlocked(1, seconds(5)));
    }

    auto mergePeerReports_betweenTwoNodes_crashesExpire() -> void
    {
        CrashSuspects peer;
        this->crash(1, 10, seconds(1));
        this->crash(1, 11, seconds(2));
        for (auto now = seconds(3); now < seconds(90); now += seconds(1)) {
            peer.mergePeerReports(this->suspects.reports(now), now);
            this->suspects.mergePeerReports(peer.reports(now), now);
            peer.expire(now);
            this->suspects.expire(now);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, peer.size() + this->suspects.size());
    }

    /** Guards against an answer that gets younger with each message, and refutes later crashes. */
    auto mergePeerReports_inTransitForSomeTime_keepTheTimeOfTheAnswer() -> void
    {
        CrashSuspects peer;
        this->suspects.recordAnswer(1, seconds(1));
        this->block(1, seconds(4));
        for (Instant now = seconds(4); now < seconds(60); now += milliseconds(200)) {
            const auto arrival = now + milliseconds(30);
            peer.mergePeerReports(this->suspects.reports(now), arrival);
            this->suspects.mergePeerReports(peer.reports(arrival), arrival + milliseconds(30));
        }
        for (const auto &node : {this->suspects, peer}) {
            const auto report = node.reports(seconds(60)).at(0);
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, report.crashes.size());
            CPPUNIT_ASSERT(report.answerAge > seconds(59) - milliseconds(100));
        }
    }

    auto reports_moreThanOneMessage_blockedComesFirst() -> void
    {
        this->block(7, seconds(3));
        for (std::uint64_t other = 100; other < 300; ++other) {
            this->crash(other, 10, seconds(4));
        }
        const auto reports = this->suspects.reports(seconds(4));
        CPPUNIT_ASSERT_EQUAL(CrashSuspects::MaxReports, reports.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, reports.front().suspect);
    }

    auto table_full_keepsBlockedAndAddsNew() -> void
    {
        this->block(7, seconds(3));
        for (std::uint64_t other = 100; other < 100 + 3 * CrashSuspects::MaxSuspects; ++other) {
            this->suspects.recordAnswer(other, seconds(4));
        }
        CPPUNIT_ASSERT(this->suspects.size() <= CrashSuspects::MaxSuspects);
        CPPUNIT_ASSERT(this->suspects.isBlocked(7, seconds(5)));
        this->block(8, seconds(6));
        CPPUNIT_ASSERT(this->suspects.isBlocked(8, seconds(7)));
    }

    auto trial_afterBlock_isDueOnceAnInterval() -> void
    {
        this->block(1, seconds(3));
        CPPUNIT_ASSERT(!this->isTrialDue(seconds(4)));
        CPPUNIT_ASSERT(this->isTrialDue(seconds(34)));
        this->suspects.recordTrial(Only, seconds(34));
        CPPUNIT_ASSERT(!this->isTrialDue(seconds(35)));
        this->crash(1, 20, seconds(36));
        CPPUNIT_ASSERT(!this->isTrialDue(seconds(67)));
        CPPUNIT_ASSERT(this->isTrialDue(seconds(97)));
    }

private:
    /** Records a crash of a run that began with it. */
    auto crash(std::uint64_t suspect, std::uint32_t server, Instant now) -> void
    {
        this->suspects.recordCrash(suspect, server, now, now);
    }

    /** Records the crashes that block a suspect, the last at a given time. */
    auto block(std::uint64_t suspect, Instant now) -> void
    {
        for (std::uint32_t server = 10; server < 13; ++server) {
            this->crash(suspect, server, now - seconds(12 - server));
        }
    }

    auto isTrialDue(Instant now) const -> bool
    {
        return this->suspects.isTrialDue(Only, Only, now);
    }

    static constexpr std::array<std::uint64_t, 1> Only{1}; ///< Suspect of a request with one only.
    CrashSuspects suspects;
};

/** A prompt part that crashes servers, at one node. */
class CrashingPromptPartFixture : public SchedulerFixtureBase
{
    CPPUNIT_TEST_SUITE(CrashingPromptPartFixture);
    CPPUNIT_TEST(promptPart_crashedThreeServers_isRejectedInEachRequest);
    CPPUNIT_TEST(promptPart_answeredBetweenCrashes_isNotRejected);
    CPPUNIT_TEST(promptPart_blockedWhileQueued_isNotDispatched);
    CPPUNIT_TEST(promptPart_answerCutLater_isNotRejected);
    CPPUNIT_TEST(promptPart_unframedStreamsCutInsideEvent_isRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    auto promptPart_crashedThreeServers_isRejectedInEachRequest() -> void
    {
        this->crashServers({SharedPart, CrashingPart});
        const auto sent = this->servers.dispatches.size();
        const auto caller = this->submit(this->prompt("/clause/", {CrashingPart}));
        CPPUNIT_ASSERT_EQUAL(503, caller->response.status);
        CPPUNIT_ASSERT_EQUAL(std::string("5.00"), caller->header("Retry-After"));
        CPPUNIT_ASSERT_EQUAL(sent, this->servers.dispatches.size());
        this->submit(this->prompt("/draft/", {OtherPart}));
        CPPUNIT_ASSERT_EQUAL(sent + 1, this->servers.dispatches.size());
    }

    auto promptPart_answeredBetweenCrashes_isNotRejected() -> void
    {
        for (std::size_t round = 0; round < CrashSuspects::BlockingCrashes; ++round) {
            this->crash({SharedPart, CrashingPart});
            this->submit(this->prompt("/draft/", {SharedPart}));
            this->stream(this->lastDispatch(), 1, 2);
            this->lastDispatch().observer->onResponseEnd();
        }
        const auto sent = this->servers.dispatches.size();
        this->submit(this->prompt("/draft/", {SharedPart}));
        CPPUNIT_ASSERT_EQUAL(sent + 1, this->servers.dispatches.size());
        this->submit(this->prompt("/draft/", {SharedPart, CrashingPart}));
        CPPUNIT_ASSERT_EQUAL(sent + 1, this->servers.dispatches.size());
    }

    auto promptPart_blockedWhileQueued_isNotDispatched() -> void
    {
        this->crash({CrashingPart});
        this->crash({CrashingPart});
        std::vector<std::shared_ptr<FakeCaller>> callers;
        for (int count = 0; count < 6; ++count) {
            callers.push_back(this->submit(this->prompt("/draft/", {CrashingPart})));
        }
        this->now += milliseconds(300);
        const auto sent = this->servers.dispatches.size();
        this->lastDispatch().observer->onExchangeFailed(ExchangeFailure::NoResponse);
        this->pass(milliseconds(50));
        CPPUNIT_ASSERT_EQUAL(sent, this->servers.dispatches.size());
        CPPUNIT_ASSERT_EQUAL(503, callers.back()->response.status);
    }

    auto promptPart_answerCutLater_isNotRejected() -> void
    {
        for (int server = 0; server < 4; ++server) {
            this->submit(this->prompt("/draft/", {SharedPart}));
            this->stream(this->lastDispatch(), 1, 1);
            this->now += seconds(1);
            this->lastDispatch().observer->onExchangeFailed(ExchangeFailure::Truncated);
            this->restartServers();
        }
        const auto sent = this->servers.dispatches.size();
        this->submit(this->prompt("/draft/", {SharedPart}));
        CPPUNIT_ASSERT_EQUAL(sent + 1, this->servers.dispatches.size());
    }

    auto promptPart_unframedStreamsCutInsideEvent_isRejected() -> void
    {
        for (std::size_t count = 0; count < CrashSuspects::BlockingCrashes; ++count) {
            this->submit(this->prompt("/draft/", {CrashingPart}));
            this->now += milliseconds(300);
            this->lastDispatch().observer->onResponseHeader(header(200));
            this->lastDispatch().observer->onResponseData("id: 1\nda");
            this->lastDispatch().observer->onResponseEnd();
            this->restartServers();
        }
        const auto sent = this->servers.dispatches.size();
        const auto caller = this->submit(this->prompt("/draft/", {CrashingPart}));
        CPPUNIT_ASSERT_EQUAL(503, caller->response.status);
        CPPUNIT_ASSERT_EQUAL(sent, this->servers.dispatches.size());
    }

private:
    static constexpr std::uint64_t SharedPart = 1;
    static constexpr std::uint64_t CrashingPart = 2;
    static constexpr std::uint64_t OtherPart = 3;

    auto prompt(const std::string &path, std::vector<std::uint64_t> parts) -> CallerRequest
    {
        auto result = this->request(path + std::to_string(++this->requests));
        result.sharedPromptParts = std::move(parts);
        return result;
    }

    auto restartServers() -> void
    {
        ++this->starts;
        for (const auto *id : {"e1", "e2"}) {
            this->state->servers.registerServer(
                {id, "llm", "10.0.0.1:80", "z1", 2, false, {}, this->starts}, Duration(0),
                this->now);
        }
    }

    /** Runs a request that crashes its server before the first event. */
    auto crash(std::vector<std::uint64_t> parts) -> void
    {
        this->submit(this->prompt("/draft/", std::move(parts)));
        this->now += milliseconds(300);
        this->lastDispatch().observer->onExchangeFailed(ExchangeFailure::NoResponse);
        this->restartServers();
    }

    auto crashServers(const std::vector<std::uint64_t> &parts) -> void
    {
        for (std::size_t count = 0; count < CrashSuspects::BlockingCrashes; ++count) {
            this->crash(parts);
        }
    }

    std::uint64_t starts = 1;
    int requests = 0;
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(CrashSuspectsFixture);
CPPUNIT_TEST_SUITE_REGISTRATION(CrashingPromptPartFixture);
