/**
 * @file overload_tests.cpp Plays a burst of twice the capacity at one coordinator, and checks what
 * the callers get.
 */
#include "banyanring/fleet/admission_policy.h"
#include "banyanring/fleet/slot_allocator.h"

#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace {

using namespace banyanring;
using namespace banyanring::fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t KindCount = 3;
constexpr double TokensPerEvent = 13;
constexpr std::array<double, 3> Speeds{0.55, 1, 2.8};
constexpr int Servers = 16;
constexpr std::uint32_t SlotsPerServer = 5;
constexpr Instant BurstStart = seconds(4);
constexpr Instant BurstEnd = seconds(9);
constexpr Instant End = seconds(20);
constexpr Duration Tick = milliseconds(50);
constexpr Duration ResendInterval = milliseconds(150);

/** A kind of request: long drafts, short answers and classifications, by urgency. */
struct Kind
{
    std::uint32_t tier;
    double perSecond; ///< Outside the burst.
    double meanPromptTokens;
    double promptSpread; ///< Of the logarithm.
    double meanEvents;
    Duration target;
    Duration timeout;
    Duration eventGap;
    double worth; ///< Of a mean request that is in time; a late one has a tenth of it.
};

constexpr std::array<Kind, KindCount> Kinds{{
    {0, 17, 6610, 0.9, 29, milliseconds(1000), seconds(15), milliseconds(400), 7.6},
    {1, 22, 628, 0.7, 22, milliseconds(400), seconds(12), milliseconds(400), 2.3},
    {2, 38, 1800, 0.8, 2, milliseconds(500), seconds(3), milliseconds(400), 0.26},
}};

/** What the callers of one kind got. */
struct Tally
{
    double owed = 0;
    double earned = 0;
    int requests = 0;
    int inTime = 0;
    int served = 0;
    int largest = 0; ///< Requests with at least three times the mean prompt.
    int largestServed = 0;
};

/** A caller's request, over all of its attempts. */
struct Call
{
    std::size_t kind = 0;
    double promptTokens = 0;
    double events = 0;
    double worth = 0;
    bool inBurst = false;
    Instant firstAttemptAt{};
    int attempts = 0;
    Instant arrivedAt{}; ///< Of the current attempt.
    WaitBudget budget;
    std::uint64_t slotRequest = 0; ///< 0 while it does not wait.
    Instant sentAt{}; ///< When the slot request was last sent.
};

/** Decisions about waiting and rejecting. */
struct Policy
{
    std::function<Duration(std::string_view route, Duration timeLeft)> waitedBefore;
    std::function<WaitBudget(const RequestTiming &, Instant)> budget;
    std::function<bool(const WaitBudget &, Duration, Instant)> isWaitTooLong;
    std::function<Duration(Duration wait, Duration timeLeft, std::mt19937_64 &)> retryAfter;
};

/** @return The policy in use. */
auto currentPolicy() -> Policy
{
    return {[timeouts = CallerTimeouts()](std::string_view route, Duration timeLeft) mutable {
                return timeouts.waitedBefore(route, timeLeft);
            },
            waitBudget, isWaitTooLong, overloadRetryAfter};
}

/** @return The policy of earlier releases, to compare with. */
auto formerPolicy() -> Policy
{
    return {
        [](std::string_view, Duration) { return Duration(0); },
        [](const RequestTiming &timing, Instant now) {
            return WaitBudget{timing.arrivedAt + timing.latencyTarget - 2 * timing.firstByteTime,
                              now + timing.callerTimeout / 4};
        },
        [](const WaitBudget &budget, Duration wait, Instant now) {
            return now + wait > std::max<Instant>(budget.latencyDeadline, now + milliseconds(100));
        },
        [](Duration wait, Duration timeLeft, std::mt19937_64 &) {
            return std::max(wait, timeLeft / 3);
        }};
}

/** A coordinator, its servers and the callers of all nodes. */
class OverloadRun
{
public:
    OverloadRun(Policy usedPolicy, double burstFactor, std::uint64_t seed)
        : policy(std::move(usedPolicy)), burstFactor(burstFactor), random(seed),
          allocator(
              this->registry, [](const Server &, Instant) { return true; }, Coordinator)
    {
        for (int number = 0; number < Servers; ++number) {
            const auto id = "server-" + std::to_string(number);
            this->registry.registerServer({id,
                                           "s",
                                           "10.0.0.1:80",
                                           "z",
                                           SlotsPerServer,
                                           false,
                                           {},
                                           static_cast<std::uint64_t>(number) + 1},
                                          Duration(0), this->now);
            const auto server = this->registry.find(id);
            server->coordinatedHere = true;
            this->speeds[server->hash] = Speeds.at(static_cast<std::size_t>(number) % 3);
        }
        for (std::size_t kind = 0; kind < KindCount; ++kind) {
            this->scheduleArrival(kind);
        }
        this->at(Tick, [this] { this->tick(); });
    }

    auto play() -> void
    {
        while (!this->events.empty()) {
            const auto event = this->events.begin();
            this->now = event->first;
            const auto action = std::move(event->second);
            this->events.erase(event);
            action();
        }
    }

    std::array<Tally, KindCount> all; ///< Of the whole run.
    std::array<Tally, KindCount> burst; ///< Of the requests whose first attempt was in the burst.
    Duration longestRejectedWait{}; ///< Longest time that a rejected attempt was kept waiting.

private:
    static constexpr std::uint64_t Coordinator = 1;
    static constexpr std::uint64_t Node = 2;

    auto at(Instant when, std::function<void()> action) -> void
    {
        this->events.emplace(when, std::move(action));
    }

    auto isBurst() const -> bool
    {
        return this->now >= BurstStart && this->now < BurstEnd;
    }

    auto logNormal(double mean, double spread) -> double
    {
        std::lognormal_distribution<double> draw(std::log(mean) - spread * spread / 2, spread);
        return std::max(1.0, draw(this->random));
    }

    auto scheduleArrival(std::size_t kind) -> void
    {
        const auto rate = Kinds.at(kind).perSecond * (this->isBurst() ? this->burstFactor : 1);
        std::exponential_distribution<double> gap(rate);
        const auto next = this->now + Duration(static_cast<std::int64_t>(gap(this->random) * 1e6));
        if (next > End) {
            return;
        }
        this->at(next, [this, kind] {
            this->arrive(kind);
            this->scheduleArrival(kind);
        });
    }

    auto arrive(std::size_t number) -> void
    {
        const auto &kind = Kinds.at(number);
        auto call = std::make_shared<Call>();
        call->kind = number;
        call->promptTokens = this->logNormal(kind.meanPromptTokens, kind.promptSpread);
        call->events = this->logNormal(kind.meanEvents, 0.8);
        call->worth = kind.worth * (0.3 + 0.7 * call->promptTokens / kind.meanPromptTokens);
        call->inBurst = this->isBurst();
        call->firstAttemptAt = this->now;
        this->forTallies(*call, [&](Tally &tally) {
            ++tally.requests;
            tally.owed += call->worth;
            tally.largest += isLargest(*call) ? 1 : 0;
        });
        this->attempt(call);
    }

    auto attempt(const std::shared_ptr<Call> &call) -> void
    {
        const auto &kind = Kinds.at(call->kind);
        const auto timeLeft = call->firstAttemptAt + kind.timeout - this->now;
        ++call->attempts;
        call->arrivedAt = this->now;
        const auto callerTimeout = std::min<Duration>(
            timeLeft, std::max<Duration>({seconds(2), 4 * kind.target, 8 * kind.eventGap}));
        SlotRequest request;
        request.profile.engine = true;
        request.profile.promptWork = promptWork(call->promptTokens);
        request.profile.expectedOutputTokens = kind.meanEvents * TokensPerEvent;
        const auto firstByteTime = Duration(
            static_cast<std::int64_t>(1000 * expectedFirstByteMs(Server{}, request.profile)));
        call->budget = this->policy.budget(
            {this->now, this->policy.waitedBefore(std::to_string(call->kind), timeLeft),
             kind.target, firstByteTime, callerTimeout},
            this->now);
        call->slotRequest = ++this->lastSlotRequest;
        call->sentAt = this->now;
        request.incarnation = Node;
        request.id = call->slotRequest;
        request.tier = kind.tier;
        request.organisation = static_cast<std::uint32_t>(call->slotRequest % 7);
        request.cost = 1 + request.profile.promptWork + request.profile.expectedOutputTokens;
        request.latencyBudget = call->budget.latencyDeadline - this->now;
        request.queueTimeout = call->budget.queueDeadline - this->now;
        this->waiting[call->slotRequest] = {call, request};
        const auto reply = this->allocator.handleRequest(request, "s", this->now);
        if (reply.outcome == SlotOutcome::Granted) {
            this->run(call, reply.serverHash);
        } else if (this->policy.isWaitTooLong(call->budget, reply.expectedWait, this->now)) {
            this->reject(call, reply.expectedWait);
        }
    }

    auto reject(const std::shared_ptr<Call> &call, Duration wait) -> void
    {
        this->longestRejectedWait =
            std::max(this->longestRejectedWait, this->now - call->arrivedAt);
        this->waiting.erase(call->slotRequest);
        this->report(call->slotRequest, SlotEvent::Neutral, {}, {}, 0);
        const auto timeLeft = call->firstAttemptAt + Kinds.at(call->kind).timeout - this->now;
        const auto delay = this->policy.retryAfter(wait, timeLeft, this->random);
        if (call->attempts < 2 && delay < timeLeft) {
            this->at(this->now + delay, [this, call] { this->attempt(call); });
        }
    }

    auto run(const std::shared_ptr<Call> &call, std::uint32_t serverHash) -> void
    {
        const auto &kind = Kinds.at(call->kind);
        const auto speed = this->speeds.at(serverHash);
        const auto requestNumber = std::exchange(call->slotRequest, 0);
        this->waiting.erase(requestNumber);
        const auto readMs =
            call->promptTokens / 64.2 + 0.647e-6 * call->promptTokens * call->promptTokens;
        const auto firstByte = Duration(static_cast<std::int64_t>(1000 * (4 + readMs) / speed));
        const auto tokens = call->events * TokensPerEvent;
        const auto rest = Duration(static_cast<std::int64_t>(1000 * tokens * 4.23 / speed));
        const bool isInTime = this->now + firstByte - call->firstAttemptAt <= kind.target;
        this->forTallies(*call, [&](Tally &tally) {
            ++tally.served;
            tally.inTime += isInTime ? 1 : 0;
            tally.earned += call->worth * (isInTime ? 1 : 0.1);
            tally.largestServed += isLargest(*call) ? 1 : 0;
        });
        this->at(this->now + firstByte, [this, requestNumber, firstByte] {
            this->report(requestNumber, SlotEvent::FirstByte, firstByte, {}, 0);
        });
        this->at(this->now + firstByte + rest, [this, requestNumber, firstByte, rest, tokens] {
            this->report(requestNumber, SlotEvent::Succeeded, firstByte, rest, tokens);
        });
    }

    auto report(std::uint64_t requestNumber, SlotEvent event, Duration firstByte, Duration rest,
                double tokens) -> void
    {
        this->allocator.handleReport({Node, requestNumber, event, firstByte, rest, tokens, {}},
                                     this->now);
        this->grantWaiting();
    }

    auto grantWaiting() -> void
    {
        for (const auto &grant : this->allocator.grantWaiting(this->now)) {
            this->run(this->waiting.at(grant.reply.requestId).first, grant.reply.serverHash);
        }
    }

    auto tick() -> void
    {
        this->grantWaiting();
        this->allocator.expire({Node}, this->now);
        const auto waitingNow = this->waiting; // Rejections change it.
        for (const auto &[number, waitingCall] : waitingNow) {
            const auto &[call, request] = waitingCall;
            if (this->now >= call->budget.queueDeadline) {
                this->reject(call, Duration(0));
            } else if (this->now - call->sentAt >= ResendInterval) {
                call->sentAt = this->now;
                const auto reply = this->allocator.handleRequest(request, "s", this->now);
                if (this->now + reply.expectedWait > call->budget.queueDeadline) {
                    this->reject(call, reply.expectedWait);
                }
            }
        }
        if (this->now < End || !this->waiting.empty()) {
            this->at(this->now + Tick, [this] { this->tick(); });
        }
    }

    template <typename Change> auto forTallies(const Call &call, Change change) -> void
    {
        change(this->all.at(call.kind));
        if (call.inBurst) {
            change(this->burst.at(call.kind));
        }
    }

    static auto isLargest(const Call &call) -> bool
    {
        return call.promptTokens >= 3 * Kinds.at(call.kind).meanPromptTokens;
    }

    Policy policy;
    double burstFactor;
    std::mt19937_64 random;
    ServerRegistry registry;
    SlotAllocator allocator;
    Instant now = seconds(0);
    std::multimap<Instant, std::function<void()>> events;
    std::map<std::uint32_t, double> speeds; ///< By hash of the server.
    std::map<std::uint64_t, std::pair<std::shared_ptr<Call>, SlotRequest>> waiting;
    std::uint64_t lastSlotRequest = 0;
};

/** @return Worth earned over worth owed, of all kinds. */
auto worthShare(const std::array<Tally, KindCount> &tallies) -> double
{
    double earned = 0;
    double owed = 0;
    for (const auto &tally : tallies) {
        earned += tally.earned;
        owed += tally.owed;
    }
    return earned / owed;
}

/** What several runs of a burst came to. */
struct Summary
{
    double allShare = 0; ///< Mean worth earned over worth owed, of the whole run.
    double burstShare = 0; ///< The same of the requests in the burst.
    std::array<Tally, KindCount> burst;
    Duration longestRejectedWait{};
};

/** @return Summary of a few seeded runs. */
auto playRuns(const std::function<Policy()> &makePolicy, double burstFactor) -> Summary
{
    constexpr int Runs = 8;
    Summary summary;
    for (std::uint64_t seed = 1; seed <= Runs; ++seed) {
        OverloadRun run(makePolicy(), burstFactor, seed);
        run.play();
        summary.allShare += worthShare(run.all) / Runs;
        summary.burstShare += worthShare(run.burst) / Runs;
        summary.longestRejectedWait =
            std::max(summary.longestRejectedWait, run.longestRejectedWait);
        for (std::size_t kind = 0; kind < KindCount; ++kind) {
            auto &sum = summary.burst.at(kind);
            const auto &tally = run.burst.at(kind);
            sum.requests += tally.requests;
            sum.inTime += tally.inTime;
            sum.served += tally.served;
            sum.largest += tally.largest;
            sum.largestServed += tally.largestServed;
        }
    }
    return summary;
}

/** Callers during and after a burst. */
class OverloadFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OverloadFixture);
    CPPUNIT_TEST(burst_anyOverload_moreWorthIsServedThanBefore);
    CPPUNIT_TEST(burst_mostUrgentKind_isServedAlsoIfLarge);
    CPPUNIT_TEST(burst_rejectedAttempts_waitForLimitedTime);
    CPPUNIT_TEST(usualLoad_allKinds_areServedInTime);
    CPPUNIT_TEST(waitedBefore_commonTimeouts_countAsFirstAttempts);
    CPPUNIT_TEST(waitedBefore_returningCallers_areRecognised);
    CPPUNIT_TEST(waitBudget_longPrompt_mayStillWait);
    CPPUNIT_TEST_SUITE_END();

public:
    auto burst_anyOverload_moreWorthIsServedThanBefore() -> void
    {
        for (const double factor : {2.0, 2.5, 3.0, 4.0}) {
            const auto former = playRuns(formerPolicy, factor);
            const auto current = playRuns(currentPolicy, factor);
            CPPUNIT_ASSERT(current.burstShare > former.burstShare);
            CPPUNIT_ASSERT(current.allShare > former.allShare);
            CPPUNIT_ASSERT(inTimeShare(current.burst[0]) > inTimeShare(former.burst[0]));
        }
    }

    auto burst_mostUrgentKind_isServedAlsoIfLarge() -> void
    {
        const auto summary = playRuns(currentPolicy, 4);
        const auto &drafts = summary.burst[0];
        CPPUNIT_ASSERT(2 * drafts.largestServed * drafts.requests
                       >= drafts.served * drafts.largest);
    }

    auto burst_rejectedAttempts_waitForLimitedTime() -> void
    {
        const auto summary = playRuns(currentPolicy, 4);
        const auto longestTimeout = 4 * Kinds[0].target;
        CPPUNIT_ASSERT(summary.longestRejectedWait <= longestTimeout / 2 + Tick);
    }

    auto usualLoad_allKinds_areServedInTime() -> void
    {
        const auto summary = playRuns(currentPolicy, 1);
        for (const auto &tally : summary.burst) {
            CPPUNIT_ASSERT_EQUAL(tally.requests, tally.served);
            CPPUNIT_ASSERT(inTimeShare(tally) > 0.98);
        }
    }

    auto waitedBefore_commonTimeouts_countAsFirstAttempts() -> void
    {
        CallerTimeouts timeouts;
        for (int number = 0; number < 200; ++number) {
            const auto timeout = number % 2 == 0 ? seconds(12) : seconds(6);
            const auto delay = milliseconds(number % 7);
            CPPUNIT_ASSERT(timeouts.waitedBefore("r", timeout - delay) < milliseconds(20));
        }
    }

    auto waitedBefore_returningCallers_areRecognised() -> void
    {
        CallerTimeouts timeouts;
        CPPUNIT_ASSERT(timeouts.waitedBefore("r", seconds(8)) == Duration(0));
        for (int number = 0; number < 100; ++number) {
            timeouts.waitedBefore("r", seconds(12) - milliseconds(number % 5));
        }
        const auto waited = timeouts.waitedBefore("r", seconds(8));
        CPPUNIT_ASSERT(waited > milliseconds(3900) && waited < milliseconds(4100));
        CPPUNIT_ASSERT(timeouts.waitedBefore("other", seconds(8)) == Duration(0));
    }

    auto waitBudget_longPrompt_mayStillWait() -> void
    {
        const Instant now = seconds(100);
        const auto budgetFor = [now](Duration firstByteTime, Duration waitedBefore) {
            return waitBudget({now, waitedBefore, seconds(1), firstByteTime, seconds(4)}, now);
        };
        CPPUNIT_ASSERT(budgetFor(milliseconds(200), {}).latencyDeadline == now + milliseconds(600));
        CPPUNIT_ASSERT(budgetFor(milliseconds(800), {}).latencyDeadline == now + milliseconds(100));
        const auto late = budgetFor(milliseconds(200), seconds(3));
        CPPUNIT_ASSERT(!isWaitTooLong(late, milliseconds(1900), now));
        CPPUNIT_ASSERT(isWaitTooLong(late, milliseconds(2100), now));
        const auto first = budgetFor(milliseconds(200), {});
        CPPUNIT_ASSERT(!isWaitTooLong(first, milliseconds(500), now));
        CPPUNIT_ASSERT(isWaitTooLong(first, milliseconds(700), now));
    }

private:
    static auto inTimeShare(const Tally &tally) -> double
    {
        return static_cast<double>(tally.inTime) / tally.requests;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverloadFixture);

} // namespace
