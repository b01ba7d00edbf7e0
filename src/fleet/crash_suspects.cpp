/** @file crash_suspects.cpp Detects requests and prompt parts that crash the backend servers. */
#include "banyanring/fleet/crash_suspects.h"

#include <algorithm>

namespace banyanring::fleet {

namespace {

/** Callers retry a request for minutes. */
constexpr Duration CrashRetention = std::chrono::seconds(60);
constexpr Duration BlockRetention = std::chrono::minutes(10); ///< The same while it is blocked.
/** Peers report crashes that an answer has refuted no longer than this. */
constexpr Duration AnswerRetention = std::chrono::seconds(20);
constexpr Duration TrialInterval = std::chrono::seconds(30); ///< Doubles with each further crash.
constexpr std::size_t MaxTrialDoublings = 4;
constexpr std::size_t MinRepeatedCrashes = 2; ///< Suspects with fewer are reported once only.
constexpr std::size_t MaxCrashes = 8; ///< Crashes stored for a suspect; later ones add nothing.
/** Servers that fail for a common cause do so within this time of each other. */
constexpr Duration MaxSimultaneity = std::chrono::milliseconds(250);

} // namespace

auto CrashSuspects::Crash::mayShareCause(const Crash &other) const -> bool
{
    return this->serverHash == other.serverHash
           || (this->startedAt < other.crashedAt && other.startedAt < this->crashedAt);
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
        if (report.answerAge && this->refute(suspect, now - *report.answerAge)) {
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

auto CrashSuspects::isBlocked(std::uint64_t suspect, Instant now) const -> bool
{
    const auto found = this->suspects.find(suspect);
    return found != this->suspects.end() && found->second.crashes.size() >= BlockingCrashes
           && now - found->second.crashes.back().crashedAt < BlockRetention;
}

auto CrashSuspects::isTrialDue(std::uint64_t suspect, Instant now) const -> bool
{
    const auto found = this->suspects.find(suspect);
    if (found == this->suspects.end() || found->second.crashes.empty()) {
        return false;
    }
    const auto &blocked = found->second;
    const auto further = blocked.crashes.size() - std::min(blocked.crashes.size(), BlockingCrashes);
    const auto interval = TrialInterval * (1U << std::min(further, MaxTrialDoublings));
    return now - std::max(blocked.crashes.back().crashedAt, blocked.trialAt) >= interval;
}

auto CrashSuspects::recordTrial(std::uint64_t suspect, Instant now) -> void
{
    const auto found = this->suspects.find(suspect);
    if (found != this->suspects.end()) {
        found->second.trialAt = now;
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
        if (now - suspect.answeredAt < AnswerRetention) {
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
