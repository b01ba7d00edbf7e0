/** @file crash_suspects.cpp Detects requests and prompt parts that crash the backend servers. */
#include "banyanring/fleet/crash_suspects.h"

#include <algorithm>
#include <boost/container/static_vector.hpp>

namespace banyanring::fleet {

namespace {

/** Callers retry a request for minutes. */
constexpr Duration CrashRetention = std::chrono::seconds(60);
constexpr Duration BlockRetention = std::chrono::minutes(10); ///< The same while it is blocked.
/** Peers report crashes that an answer has refuted no longer than this. */
constexpr Duration AnswerRetention = std::chrono::seconds(20);
constexpr Duration TrialInterval = std::chrono::seconds(30); ///< Doubles with each further crash.
constexpr std::size_t MaxTrialDoublings = 4;
constexpr Duration SoonTrialInterval = std::chrono::seconds(2); ///< Of suspects that may be sound.
constexpr std::size_t MinRepeatedCrashes = 2; ///< Suspects with fewer are reported once only.
constexpr std::size_t MaxCrashes = 8; ///< Crashes stored for a suspect; later ones add nothing.
/** From so many crashes on, other suspects explain them only if they were at several ones, too. */
constexpr std::size_t ManyCrashes = 5;
/** Servers that fail for a common cause do so within this time of each other. */
constexpr Duration MaxSimultaneity = std::chrono::milliseconds(250);
constexpr Duration MaxTransitTime = std::chrono::milliseconds(100); ///< Of a gossip message.
/** All nodes notice the crash of a server within this time of each other. */
constexpr Duration MaxDetectionTime = std::chrono::seconds(1);

} // namespace

auto CrashSuspects::Crash::mayShareCause(const Crash &other) const -> bool
{
    return this->serverHash == other.serverHash
           || (this->startedAt < other.crashedAt && other.startedAt < this->crashedAt);
}

auto CrashSuspects::Suspect::wasAnsweredBefore() const -> bool
{
    return !this->crashes.empty()
           && this->crashes.front().crashedAt - this->answeredAt < AnswerRetention;
}

auto CrashSuspects::Suspect::sharesCrash(const Crash &crash) const -> bool
{
    // Of crashes that may share their cause, this suspect may have counted another one.
    return std::any_of(this->crashes.begin(), this->crashes.end(), [&](const Crash &own) {
        return own.mayShareCause(crash)
               && std::chrono::abs(own.crashedAt - crash.crashedAt) <= MaxDetectionTime;
    });
}

auto CrashSuspects::crashRetention(std::size_t crashes) -> Duration
{
    return crashes >= BlockingCrashes ? BlockRetention : CrashRetention;
}

auto CrashSuspects::expiryTime(const Suspect &suspect) -> Instant
{
    return suspect.crashes.empty()
               ? std::max(suspect.answeredAt, suspect.changedAt) + AnswerRetention
               : suspect.crashes.back().crashedAt + crashRetention(suspect.crashes.size());
}

auto CrashSuspects::entry(std::uint64_t hash) -> Suspect &
{
    if (this->suspects.size() < MaxSuspects || this->suspects.contains(hash)) {
        return this->suspects[hash];
    }
    // Halves the table, so that a full one does not cause a search for each new entry.
    using Ranked = std::tuple<std::size_t, Instant, std::uint64_t>;
    std::vector<Ranked> ranked;
    ranked.reserve(this->suspects.size());
    for (const auto &[key, suspect] : this->suspects) {
        ranked.emplace_back(suspect.crashes.size(), expiryTime(suspect), key);
    }
    const auto middle = ranked.begin() + static_cast<std::ptrdiff_t>(ranked.size() / 2);
    std::nth_element(ranked.begin(), middle, ranked.end());
    std::for_each(ranked.begin(), middle,
                  [this](const Ranked &weakest) { this->suspects.erase(std::get<2>(weakest)); });
    return this->suspects[hash];
}

auto CrashSuspects::addCrash(Suspect &suspect, const Crash &crash, bool isReportable, Instant now)
    -> void
{
    const bool isFull = suspect.crashes.size() >= MaxCrashes;
    if ((isFull && crash.crashedAt <= suspect.crashes.front().crashedAt)
        || std::any_of(suspect.crashes.begin(), suspect.crashes.end(),
                       [&](const Crash &known) { return known.mayShareCause(crash); })) {
        return;
    }
    const bool isRefuted = crash.crashedAt <= suspect.answeredAt;
    // Peers that still count a refuted crash have to learn of the answer.
    if (isReportable || (!isRefuted && suspect.crashes.size() + 1 >= MinRepeatedCrashes)) {
        suspect.changedAt = now;
        this->lastChangeAt = now;
    }
    if (isRefuted) {
        return;
    }
    const auto position = std::upper_bound(
        suspect.crashes.begin(), suspect.crashes.end(), crash,
        [](const Crash &first, const Crash &second) { return first.crashedAt < second.crashedAt; });
    suspect.crashes.insert(position, crash);
    if (isFull) {
        suspect.crashes.erase(suspect.crashes.begin());
    }
    suspect.maxCrashes = std::max(suspect.maxCrashes, suspect.crashes.size());
}

auto CrashSuspects::refute(Suspect &suspect, Instant answeredAt) -> bool
{
    suspect.answeredAt = std::max(suspect.answeredAt, answeredAt);
    return std::erase_if(suspect.crashes,
                         [answeredAt](const Crash &crash) { return crash.crashedAt <= answeredAt; })
           > 0;
}

auto CrashSuspects::recordCrash(std::uint64_t suspect, std::uint32_t serverHash, Instant startedAt,
                                Instant now) -> void
{
    this->addCrash(this->entry(suspect),
                   {serverHash, std::max(startedAt, now - MaxSimultaneity), now}, true, now);
}

auto CrashSuspects::recordAnswer(std::uint64_t suspect, Instant answeredAt) -> void
{
    auto &answered = this->entry(suspect);
    if (this->refute(answered, answeredAt)) {
        answered.changedAt = answeredAt;
        this->lastChangeAt = std::max(this->lastChangeAt, answeredAt);
    }
}

auto CrashSuspects::mergePeerReports(const std::vector<CrashSuspectReport> &reports, Instant now)
    -> void
{
    for (const auto &report : reports) {
        auto &suspect = this->entry(report.suspect);
        const auto answeredAt = report.answerAge ? now - *report.answerAge : LongAgo;
        // An age says nothing of the time in transit: the same answer seems to be later here.
        const bool isNews = now - answeredAt < NewsLifetime;
        if (answeredAt > suspect.answeredAt + (isNews ? Duration(0) : MaxTransitTime)
            && this->refute(suspect, answeredAt)) {
            suspect.changedAt = now;
            this->lastChangeAt = now;
        }
        suspect.maxCrashes = std::max(suspect.maxCrashes, report.crashes.size());
        // Single crashes are reported by the node that saw them only, as most requests that run at
        // a server when it crashes are sound.
        const bool isRepeated = report.crashes.size() >= MinRepeatedCrashes;
        for (const auto &crash : report.crashes) {
            if (crash.age < crashRetention(report.crashes.size())) {
                const auto crashedAt = now - crash.age;
                this->addCrash(suspect, {crash.serverHash, crashedAt - crash.runTime, crashedAt},
                               isRepeated, now);
            }
        }
    }
}

auto CrashSuspects::blockedSuspects(std::span<const std::uint64_t> request, Instant now) const
    -> std::vector<std::uint64_t>
{
    std::vector<std::uint64_t> blocked;
    for (const auto hash : request) {
        const auto found = this->suspects.find(hash);
        if (found != this->suspects.end() && found->second.crashes.size() >= BlockingCrashes
            && now - found->second.crashes.back().crashedAt < BlockRetention
            && this->isProbableCause(found->second, request)) {
            blocked.push_back(hash);
        }
    }
    return blocked;
}

auto CrashSuspects::isProbableCause(const Suspect &suspect,
                                    std::span<const std::uint64_t> request) const -> bool
{
    // One that was answered is probably sound. But it may have become harmful, and then it is the
    // only one that its crashes have in common.
    const bool hasMany = suspect.crashes.size() >= ManyCrashes;
    return !suspect.wasAnsweredBefore()
           || !this->isExplainedByOthers(suspect, request, hasMany ? MinRepeatedCrashes : 1);
}

auto CrashSuspects::isExplainedByOthers(const Suspect &suspect,
                                        std::span<const std::uint64_t> request,
                                        std::size_t minCrashes) const -> bool
{
    boost::container::static_vector<Crash, MaxCrashes> unexplained(suspect.crashes.begin(),
                                                                   suspect.crashes.end());
    const bool wasAnswered = suspect.wasAnsweredBefore();
    for (const auto &entry : this->suspects) {
        if (unexplained.empty()) {
            break;
        }
        const auto &other = entry.second;
        if (other.crashes.size() < minCrashes || (other.wasAnsweredBefore() && !wasAnswered)
            || std::find(request.begin(), request.end(), entry.first) != request.end()) {
            continue;
        }
        const auto explained =
            std::remove_if(unexplained.begin(), unexplained.end(),
                           [&](const Crash &crash) { return other.sharesCrash(crash); });
        unexplained.erase(explained, unexplained.end());
    }
    return unexplained.empty();
}

auto CrashSuspects::isTrialDue(std::span<const std::uint64_t> blocked,
                               std::span<const std::uint64_t> request, Instant now) const -> bool
{
    return std::all_of(blocked.begin(), blocked.end(), [&](std::uint64_t hash) {
        const auto found = this->suspects.find(hash);
        if (found == this->suspects.end() || found->second.crashes.empty()) {
            return false;
        }
        const auto &suspect = found->second;
        const bool wasAnswered = suspect.wasAnsweredBefore();
        const auto expected = wasAnswered ? ManyCrashes : BlockingCrashes;
        const auto further = suspect.crashes.size() - std::min(suspect.crashes.size(), expected);
        // Once only, and not if it has cost many servers already.
        const bool isSoon =
            suspect.crashes.size() < ManyCrashes
            && suspect.trialAt < suspect.crashes.front().crashedAt
            && (wasAnswered || this->isExplainedByOthers(suspect, request, MinRepeatedCrashes));
        const auto interval = isSoon ? SoonTrialInterval
                                     : TrialInterval * (1U << std::min(further, MaxTrialDoublings));
        return now - std::max(suspect.crashes.back().crashedAt, suspect.trialAt) >= interval;
    });
}

auto CrashSuspects::recordTrial(std::span<const std::uint64_t> blocked, Instant now) -> void
{
    for (const auto hash : blocked) {
        const auto found = this->suspects.find(hash);
        if (found != this->suspects.end()) {
            found->second.trialAt = now;
        }
    }
}

auto CrashSuspects::reports(Instant now) const -> std::vector<CrashSuspectReport>
{
    using Ranked = std::tuple<std::size_t, Instant, std::uint64_t>;
    std::vector<Ranked> ranked;
    for (const auto &[hash, suspect] : this->suspects) {
        const bool isNews = now - suspect.changedAt < NewsLifetime;
        if (isNews || suspect.crashes.size() >= MinRepeatedCrashes) {
            ranked.emplace_back(suspect.maxCrashes, suspect.changedAt, hash);
        }
    }
    const auto count = std::min(ranked.size(), MaxReports);
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end(), std::greater<>());
    std::vector<CrashSuspectReport> result;
    for (std::size_t index = 0; index < count; ++index) {
        const auto hash = std::get<2>(ranked[index]);
        const auto &suspect = this->suspects.at(hash);
        CrashSuspectReport report{hash, std::nullopt, {}};
        // Peers that learn of the crashes have to know that it was answered before them.
        if (now - suspect.answeredAt < AnswerRetention || suspect.wasAnsweredBefore()) {
            report.answerAge = now - suspect.answeredAt;
        }
        for (const auto &crash : suspect.crashes) {
            report.crashes.push_back(
                {crash.serverHash, now - crash.crashedAt, crash.crashedAt - crash.startedAt});
        }
        result.push_back(std::move(report));
    }
    return result;
}

auto CrashSuspects::expire(Instant now) -> void
{
    std::erase_if(this->suspects,
                  [now](const auto &entry) { return now > expiryTime(entry.second); });
}

} // namespace banyanring::fleet
