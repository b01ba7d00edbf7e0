/**
 * @file crash_explanation_fleet_tests.cpp Simulated fleets in which sound prompt parts share
 * requests with parts that crash servers.
 */
#include "crash_suspect_fleet_fixture.h"

#include <algorithm>
#include <numeric>

namespace {

using namespace banyanring;
using fleet::CrashSuspects;
using std::chrono::milliseconds;
using std::chrono::seconds;

/**
 * Guards against blocking a sound part beside one that crashes servers, whichever place they have
 * in the prompts, and against blocking the crashing one too late.
 */
class CrashExplanationFleetFixture : public test::CrashSuspectFleetFixtureBase
{
    CPPUNIT_TEST_SUITE(CrashExplanationFleetFixture);
    CPPUNIT_TEST(crashingPart_afterSystemPrompt_leavesItServed);
    CPPUNIT_TEST(crashingPart_beforeSystemPrompt_leavesItServed);
    CPPUNIT_TEST(crashingPart_betweenSoundParts_leavesThemServed);
    CPPUNIT_TEST(crashingPart_behindSoundParts_leavesThemServed);
    CPPUNIT_TEST(crashingPart_besideDifferentParts_leavesThemServed);
    CPPUNIT_TEST(twoCrashingParts_byTurns_leaveSystemPromptServed);
    CPPUNIT_TEST(crashingPart_firstOfAllPrompts_isBlockedInTime);
    CPPUNIT_TEST(crashingPart_withConstantCompanion_isBlockedInTime);
    CPPUNIT_TEST(crashingPart_withFewCompanions_isBlockedInTime);
    CPPUNIT_TEST(systemPrompt_startsToCrashServers_isBlockedInTime);
    CPPUNIT_TEST_SUITE_END();

public:
    auto crashingPart_afterSystemPrompt_leavesItServed() -> void
    {
        this->runAll({{{System, Crashing}}, {{System}}});
    }

    auto crashingPart_beforeSystemPrompt_leavesItServed() -> void
    {
        this->runAll({{{Crashing, System}}, {{System, Topic}}});
    }

    auto crashingPart_betweenSoundParts_leavesThemServed() -> void
    {
        this->runAll({{{System, Crashing, Topic}}, {{System, Topic}}});
    }

    auto crashingPart_behindSoundParts_leavesThemServed() -> void
    {
        this->runAll({{{System, Topic, Crashing}}, {{System, Topic}, {System}}});
    }

    auto crashingPart_besideDifferentParts_leavesThemServed() -> void
    {
        this->runAll({{{System, Crashing}, {Topic, Crashing}, {Crashing}}, {{System}, {Topic}}});
    }

    auto twoCrashingParts_byTurns_leaveSystemPromptServed() -> void
    {
        this->runAll({{{System, Crashing}, {System, Crashing + 1}}, {{System}}});
    }

    auto crashingPart_firstOfAllPrompts_isBlockedInTime() -> void
    {
        this->runAll({{{Crashing}, {Crashing, NewPart}}, {{System}}});
    }

    auto crashingPart_withConstantCompanion_isBlockedInTime() -> void
    {
        this->runAll({{{Crashing, Topic}}, {{System}, {Topic}}});
    }

    auto crashingPart_withFewCompanions_isBlockedInTime() -> void
    {
        this->runAll({{{Crashing, 50}, {Crashing, 51}, {Crashing, 52}}, {{System}}});
    }

    auto systemPrompt_startsToCrashServers_isBlockedInTime() -> void
    {
        this->runAll({{{System}, {System, NewPart}, {System, Topic}}, {{System}}, true});
    }

private:
    using Parts = std::vector<std::uint64_t>;

    static constexpr std::uint64_t System = 1;
    static constexpr std::uint64_t Topic = 2;
    static constexpr std::uint64_t NewPart = 9; ///< Replaced by another part in each request.
    static constexpr std::uint64_t Crashing = 10;
    static constexpr Duration MinAnswerTime = milliseconds(300); ///< Answers count after it.
    static constexpr int CalmSteps = 200;
    static constexpr int TroubleSteps = 600;
    static constexpr int SoundCallers = 4;

    /** Shared parts of the prompts. */
    struct Prompts
    {
        std::vector<Parts> crashing; ///< By turns.
        std::vector<Parts> sound; ///< By turns.
        bool soundOnesTurnHarmful = false; ///< The sound prompts are sent before the trouble only.
    };

    /** How often requests come, in steps. */
    struct Rates
    {
        int crashingInterval = 1;
        int soundInterval = 1; ///< Of groups of one request per caller.
        int restartInterval = 0; ///< Of restarts of a node, which then knows nothing; 0 for none.
    };

    /** A request that runs at a server. */
    struct Run
    {
        std::size_t node = 0;
        std::size_t server = 0;
        Parts suspects; ///< The last one stands for the whole request.
        Instant startedAt{};
        bool crashes = false;
    };

    /** Requests of one kind. */
    struct Count
    {
        int sent = 0;
        int begun = 0;
    };

    auto runAll(const Prompts &prompts) -> void
    {
        for (const Rates rates : {Rates{6, 40}, Rates{6, 60}, Rates{1, 40}, Rates{20, 13}}) {
            for (std::uint64_t seed = 1; seed <= 10; ++seed) {
                this->runFleet(9, prompts, rates, seed);
            }
            this->runFleet(87, prompts, rates, 1);
        }
        this->runFleet(350, prompts, {6, 13}, 1);
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            this->runFleet(87, prompts, {6, 40, StepsPerSecond}, seed);
        }
    }

    auto runFleet(std::size_t nodeCount, const Prompts &prompts, const Rates &rates,
                  std::uint64_t seed) -> void
    {
        const auto name = std::to_string(nodeCount) + " nodes, a crashing request each "
                          + std::to_string(rates.crashingInterval) + " steps, sound ones each "
                          + std::to_string(rates.soundInterval) + ", seed " + std::to_string(seed);
        this->startNodes(nodeCount, seed);
        this->servers.assign(nodeCount, 0);
        std::iota(this->servers.begin(), this->servers.end(), 1U);
        this->nextServer = static_cast<std::uint32_t>(nodeCount) + 1;
        this->runs.clear();
        this->crashTimes.clear();
        Count calm;
        Count judged;
        int lateRequests = 0;
        this->restartedAt.assign(nodeCount, Instant(0));
        for (int step = 0; step < CalmSteps + TroubleSteps; ++step) {
            const bool isTrouble = step >= CalmSteps;
            if (rates.restartInterval > 0 && step % rates.restartInterval == 0) {
                const auto node = this->anyNode();
                this->nodes[node] = {};
                this->restartedAt[node] = this->now;
            }
            if (step % rates.soundInterval == 0 && !(isTrouble && prompts.soundOnesTurnHarmful)) {
                for (int caller = 0; caller < SoundCallers; ++caller) {
                    const auto &prompt = prompts.sound[this->soundCount++ % prompts.sound.size()];
                    const bool begins = this->send(this->suspectsOf(prompt), false);
                    auto &count = isTrouble ? judged : calm;
                    const bool counts =
                        this->isInTouch && (!isTrouble || this->isAfterCrashes(2 * StableWindow));
                    count.sent += counts ? 1 : 0;
                    count.begun += counts && begins ? 1 : 0;
                }
            }
            if (isTrouble && step % rates.crashingInterval == 0) {
                const bool isLate =
                    this->crashTimes.size() >= 5 && this->now - this->crashTimes[4] > StableWindow;
                const auto &prompt =
                    prompts.crashing[this->crashingCount++ % prompts.crashing.size()];
                const bool begins = this->send(this->suspectsOf(prompt), true);
                lateRequests += begins && isLate && this->isInTouch ? 1 : 0;
            }
            this->finishRuns();
            this->exchangeGossip(step);
        }
        CPPUNIT_ASSERT_MESSAGE(name, this->crashTimes.size() >= 3);
        CPPUNIT_ASSERT_MESSAGE(name + ", late: " + std::to_string(lateRequests),
                               lateRequests <= MaxLateRequests);
        CPPUNIT_ASSERT_MESSAGE(name + ", begun: " + std::to_string(judged.begun) + " of "
                                   + std::to_string(judged.sent),
                               2.0 * judged.begun * calm.sent >= 1.0 * judged.sent * calm.begun);
    }

    /** @return Whether the fifth crash, or the last if there are fewer, is longer ago. */
    auto isAfterCrashes(Duration time) const -> bool
    {
        return !this->crashTimes.empty()
               && this->now
                          - this->crashTimes[std::min<std::size_t>(4, this->crashTimes.size() - 1)]
                      > time;
    }

    /** @return The parts of a prompt, and the hash of the request. */
    auto suspectsOf(const Parts &prompt) -> Parts
    {
        auto suspects = prompt;
        std::replace(suspects.begin(), suspects.end(), NewPart, this->nextSuspect++);
        suspects.push_back(this->nextSuspect++);
        return suspects;
    }

    /** Sends a request to any node; returns whether it is run. */
    auto send(Parts suspects, bool crashes) -> bool
    {
        const auto node = this->anyNode();
        this->isInTouch = this->now - this->restartedAt[node] > StableWindow;
        if (!this->nodes[node].blockedSuspects(suspects, this->now).empty()) {
            return false;
        }
        this->runs.push_back(
            {node, this->random() % this->servers.size(), std::move(suspects), this->now, crashes});
        return true;
    }

    auto finishRuns() -> void
    {
        const auto isCrashDue = [this](const Run &run) {
            return run.crashes && this->now - run.startedAt >= RunTime;
        };
        for (auto due = std::find_if(this->runs.begin(), this->runs.end(), isCrashDue);
             due != this->runs.end();
             due = std::find_if(this->runs.begin(), this->runs.end(), isCrashDue)) {
            this->crash(due->server);
        }
        std::erase_if(this->runs, [this](const Run &run) {
            const bool isDone = this->now - run.startedAt > RunTime + MinAnswerTime;
            for (const auto suspect : isDone ? run.suspects : Parts{}) {
                this->nodes[run.node].recordAnswer(suspect, run.startedAt + RunTime);
            }
            return isDone;
        });
    }

    /** Ends a server and all that runs there; another one takes its place. */
    auto crash(std::size_t server) -> void
    {
        this->crashTimes.push_back(this->now);
        for (const auto &run : this->runs) {
            for (const auto suspect : run.server == server ? run.suspects : Parts{}) {
                this->nodes[run.node].recordCrash(suspect, this->servers[server], run.startedAt,
                                                  this->now);
            }
        }
        std::erase_if(this->runs, [&](const Run &run) { return run.server == server; });
        this->servers[server] = this->nextServer++;
    }

    std::vector<std::uint32_t> servers; ///< Hashes of the servers.
    std::uint32_t nextServer = 1;
    std::uint64_t nextSuspect = 1000;
    std::size_t soundCount = 0; ///< Sound requests sent.
    std::size_t crashingCount = 0; ///< The others.
    std::vector<Run> runs;
    std::vector<Instant> crashTimes;
    std::vector<Instant> restartedAt; ///< By node.
    bool isInTouch = true; ///< The last request was sent to a node that had run for long enough.
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(CrashExplanationFleetFixture);
