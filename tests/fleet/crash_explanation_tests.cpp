/** @file crash_explanation_tests.cpp Tests of which of several suspects is blamed for crashes. */
#include "banyanring/fleet/crash_suspects.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace banyanring;
using fleet::CrashSuspectReport;
using fleet::CrashSuspects;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** Guards against a verdict on a suspect whose crashes another one explains, at one node. */
class CrashExplanationFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashExplanationFixture);
    CPPUNIT_TEST(answeredPart_crashesBesideAnother_blocksOnlyBoth);
    CPPUNIT_TEST(answeredPart_crashesAlone_isBlocked);
    CPPUNIT_TEST(answeredPart_crashesApart_isBlocked);
    CPPUNIT_TEST(answeredPart_crashesBesideChangingParts_isBlockedAfterFive);
    CPPUNIT_TEST(answeredPart_crashesBesideAnsweredPart_isSpared);
    CPPUNIT_TEST(unansweredParts_crashTogether_areBothBlocked);
    CPPUNIT_TEST(answeredLongAgo_crashesBesideAnother_isBlocked);
    CPPUNIT_TEST(crashes_ofOtherStartOfTheServer_explainNothing);
    CPPUNIT_TEST(crashes_notCountedAsSimultaneous_stillExplain);
    CPPUNIT_TEST(reports_inAnyOrder_leadToTheSameVerdict);
    CPPUNIT_TEST(reports_answerLongAgo_isKeptWithTheCrashes);
    CPPUNIT_TEST(reports_ofOnePartOnly_blockUntilTheOtherArrives);
    CPPUNIT_TEST(trial_ofSuspectThatMayBeSound_isDueSoonOnce);
    CPPUNIT_TEST(trial_afterFiveCrashes_isNotDueSoon);
    CPPUNIT_TEST(trial_ofSuspectsWithoutAnotherExplanation_isNotDueSoon);
    CPPUNIT_TEST_SUITE_END();

public:
    auto answeredPart_crashesBesideAnother_blocksOnlyBoth() -> void
    {
        this->suspects.recordAnswer(Sound, seconds(9));
        this->crashTogether({Sound, Crashing}, 3);
        CPPUNIT_ASSERT(!this->isBlocked({Sound}));
        CPPUNIT_ASSERT(this->isBlocked({Crashing}));
        CPPUNIT_ASSERT(this->isBlocked({Crashing, Other}));
        CPPUNIT_ASSERT(this->isBlocked({Sound, Crashing}));
        this->suspects.recordAnswer(Sound, this->now);
        const std::vector<std::uint64_t> both{Sound, Crashing};
        CPPUNIT_ASSERT(std::vector<std::uint64_t>{Crashing}
                       == this->suspects.blockedSuspects(both, this->now));
    }

    auto answeredPart_crashesAlone_isBlocked() -> void
    {
        this->suspects.recordAnswer(Sound, seconds(9));
        this->crashTogether({Sound}, 3);
        CPPUNIT_ASSERT(this->isBlocked({Sound}));
    }

    auto answeredPart_crashesApart_isBlocked() -> void
    {
        this->suspects.recordAnswer(Sound, seconds(9));
        this->crashTogether({Sound, Crashing}, 3);
        this->crashTogether({Sound}, 1);
        CPPUNIT_ASSERT(this->isBlocked({Sound}));
        CPPUNIT_ASSERT(this->isBlocked({Sound, Other}));
    }

    auto answeredPart_crashesBesideChangingParts_isBlockedAfterFive() -> void
    {
        this->suspects.recordAnswer(Sound, seconds(9));
        for (std::uint64_t companion = 100; companion < 104; ++companion) {
            this->crashTogether({Sound, companion}, 1);
        }
        CPPUNIT_ASSERT(!this->isBlocked({Sound}));
        this->crashTogether({Sound, 104}, 1);
        CPPUNIT_ASSERT(this->isBlocked({Sound}));
    }

    auto answeredPart_crashesBesideAnsweredPart_isSpared() -> void
    {
        this->suspects.recordAnswer(Sound, seconds(9));
        this->suspects.recordAnswer(Crashing, seconds(9));
        this->crashTogether({Sound, Crashing}, 3);
        CPPUNIT_ASSERT(!this->isBlocked({Sound}));
        CPPUNIT_ASSERT(this->isBlocked({Sound, Crashing}));
    }

    auto unansweredParts_crashTogether_areBothBlocked() -> void
    {
        this->crashTogether({Sound, Crashing}, 3);
        CPPUNIT_ASSERT(this->isBlocked({Sound}));
        CPPUNIT_ASSERT(this->isBlocked({Crashing}));
    }

    auto answeredLongAgo_crashesBesideAnother_isBlocked() -> void
    {
        this->suspects.recordAnswer(Sound, seconds(-50));
        this->crashTogether({Sound, Crashing}, 3);
        CPPUNIT_ASSERT(this->isBlocked({Sound}));
    }

    auto crashes_ofOtherStartOfTheServer_explainNothing() -> void
    {
        for (std::uint32_t server = 1; server <= 3; ++server) {
            this->crashServer({Crashing}, server);
        }
        this->now += seconds(5);
        this->suspects.recordAnswer(Sound, this->now);
        for (std::uint32_t server = 1; server <= 3; ++server) {
            this->crashServer({Sound}, server);
        }
        CPPUNIT_ASSERT(this->isBlocked({Sound}));
    }

    /** The answer to the sound part fell between two crashes that overlap. */
    auto crashes_notCountedAsSimultaneous_stillExplain() -> void
    {
        this->suspects.recordAnswer(Sound, seconds(9));
        const auto start = this->now;
        const auto crash = [&](std::uint64_t part, std::uint32_t server, milliseconds after) {
            this->suspects.recordCrash(part, server, start, start + after);
        };
        for (const auto part : {Sound, Crashing}) {
            crash(part, 1, milliseconds(100));
        }
        this->suspects.recordAnswer(Sound, start + milliseconds(120));
        for (const auto part : {Sound, Crashing}) {
            crash(part, 2, milliseconds(140));
        }
        this->now += milliseconds(200);
        this->crashTogether({Sound, Crashing}, 4);
        CPPUNIT_ASSERT(!this->isBlocked({Sound}));
        CPPUNIT_ASSERT(this->isBlocked({Crashing}));
    }

    auto reports_inAnyOrder_leadToTheSameVerdict() -> void
    {
        const auto crash = [](std::uint32_t server) {
            return fleet::CrashReport{server, seconds(10 - server), milliseconds(50)};
        };
        std::vector<CrashSuspectReport> reports{
            {Sound, seconds(15), {crash(1), crash(2)}},
            {Sound, std::nullopt, {crash(3), crash(4), crash(5)}},
            {Crashing, std::nullopt, {crash(1), crash(3)}},
            {Crashing, std::nullopt, {crash(4), crash(5)}},
            {Other, std::nullopt, {crash(2), crash(5)}}};
        std::vector<std::size_t> order{0, 1, 2, 3, 4};
        do {
            this->suspects = {};
            for (const auto index : order) {
                this->suspects.mergePeerReports({reports[index]}, this->now);
            }
            CPPUNIT_ASSERT(!this->isBlocked({Sound}));
            CPPUNIT_ASSERT(this->isBlocked({Crashing}));
            CPPUNIT_ASSERT(this->isBlocked({Sound, Other}));
        } while (std::next_permutation(order.begin(), order.end()));
    }

    auto reports_answerLongAgo_isKeptWithTheCrashes() -> void
    {
        CrashSuspects restarted;
        this->suspects.recordAnswer(Sound, seconds(9));
        this->crashTogether({Sound, Crashing}, 3);
        this->now += seconds(100);
        restarted.mergePeerReports(this->suspects.reports(this->now), this->now);
        const std::vector<std::uint64_t> sound{Sound};
        const std::vector<std::uint64_t> crashing{Crashing};
        CPPUNIT_ASSERT(restarted.blockedSuspects(sound, this->now).empty());
        CPPUNIT_ASSERT(!restarted.blockedSuspects(crashing, this->now).empty());
    }

    auto reports_ofOnePartOnly_blockUntilTheOtherArrives() -> void
    {
        CrashSuspects peer;
        peer.recordAnswer(Sound, seconds(9));
        for (const auto part : {Sound, Crashing}) {
            for (std::uint32_t server = 1; server <= 3; ++server) {
                peer.recordCrash(part, server, seconds(10 + server), seconds(10 + server));
            }
        }
        this->now = seconds(14);
        auto reports = peer.reports(this->now);
        std::sort(reports.begin(), reports.end(), [](const auto &first, const auto &second) {
            return first.suspect < second.suspect;
        });
        this->suspects.mergePeerReports({reports.at(0)}, this->now);
        CPPUNIT_ASSERT(this->isBlocked({Sound}));
        this->suspects.mergePeerReports({reports.at(1)}, this->now);
        CPPUNIT_ASSERT(!this->isBlocked({Sound}));
        CPPUNIT_ASSERT(this->isBlocked({Crashing}));
    }

    auto trial_ofSuspectThatMayBeSound_isDueSoonOnce() -> void
    {
        const std::vector<std::uint64_t> sound{Sound};
        for (const bool wasAnswered : {true, false}) {
            this->suspects = {};
            if (wasAnswered) {
                this->suspects.recordAnswer(Sound, this->now);
                this->crashTogether({Sound}, 3);
            } else {
                this->crashTogether({Sound, Crashing}, 3);
            }
            this->now += seconds(3);
            CPPUNIT_ASSERT(this->suspects.isTrialDue(sound, sound, this->now));
            this->suspects.recordTrial(sound, this->now);
            this->crashTogether({Sound}, 1);
            CPPUNIT_ASSERT(!this->suspects.isTrialDue(sound, sound, this->now + seconds(29)));
            CPPUNIT_ASSERT(this->suspects.isTrialDue(sound, sound, this->now + seconds(60)));
        }
    }

    /** Guards against trials that cost more servers than may be lost after the fifth crash. */
    auto trial_afterFiveCrashes_isNotDueSoon() -> void
    {
        const std::vector<std::uint64_t> sound{Sound};
        this->suspects.recordAnswer(Sound, this->now);
        this->crashTogether({Sound}, 5);
        CPPUNIT_ASSERT(!this->suspects.isTrialDue(sound, sound, this->now + seconds(29)));
        CPPUNIT_ASSERT(this->suspects.isTrialDue(sound, sound, this->now + seconds(30)));
    }

    auto trial_ofSuspectsWithoutAnotherExplanation_isNotDueSoon() -> void
    {
        const std::vector<std::uint64_t> both{Sound, Crashing};
        this->crashTogether({Sound, Crashing}, 3);
        CPPUNIT_ASSERT(!this->suspects.isTrialDue(both, both, this->now + seconds(29)));
        CPPUNIT_ASSERT(this->suspects.isTrialDue(both, both, this->now + seconds(30)));
    }

private:
    static constexpr std::uint64_t Sound = 1;
    static constexpr std::uint64_t Crashing = 2;
    static constexpr std::uint64_t Other = 3;

    auto isBlocked(const std::vector<std::uint64_t> &request) const -> bool
    {
        return !this->suspects.blockedSuspects(request, this->now).empty();
    }

    /** A server crashes while it runs the given suspects. */
    auto crashServer(const std::vector<std::uint64_t> &running, std::uint32_t server) -> void
    {
        this->now += milliseconds(400);
        for (const auto suspect : running) {
            this->suspects.recordCrash(suspect, server, this->now, this->now);
        }
    }

    /** The same for several servers, one after the other. */
    auto crashTogether(const std::vector<std::uint64_t> &running, int count) -> void
    {
        for (; count > 0; --count) {
            this->crashServer(running, this->nextServer++);
        }
    }

    CrashSuspects suspects;
    Instant now = seconds(10);
    std::uint32_t nextServer = 100;
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(CrashExplanationFixture);
