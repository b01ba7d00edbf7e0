/** @file active_request_suspects.cpp Detection and rejection of requests that crash servers. */
#include "banyanring/adapters/log_func.h"
#include "banyanring/gateway/active_request.h"

#include <algorithm>
#include <boost/container_hash/hash.hpp>
#include <sstream>

namespace banyanring::gateway {

namespace {

/** Distinguishes the hashes of prompt parts from those of requests. */
constexpr std::uint64_t PromptPartSalt = 0x70726f6d70740000ULL;
/** A server that crashes as it begins to write an answer does so within this time. */
constexpr Duration MinAnswerTime = std::chrono::milliseconds(300);
constexpr Duration SuspectRetryDelay = std::chrono::seconds(5); ///< Callers do not wait longer.

/** @return @p number in hexadecimal. */
auto formatHex(std::uint64_t number) -> std::string
{
    std::ostringstream text;
    text << std::hex << number;
    return text.str();
}

} // namespace

auto ActiveRequest::computeSuspects() -> void
{
    for (const auto part : this->request.sharedPromptParts) {
        this->suspects.push_back(mix64(part ^ PromptPartSalt));
    }
    std::uint64_t fingerprint = 0;
    boost::hash_combine(fingerprint, this->request.target);
    boost::hash_combine(fingerprint, this->request.body ? *this->request.body : std::string());
    boost::hash_combine(fingerprint, this->organisation ? this->organisation->name : "");
    this->suspects.push_back(fingerprint);
}

auto ActiveRequest::isCrashSuspect() const -> bool
{
    return !this->onTrial && !this->blockedSuspects().empty();
}

auto ActiveRequest::blockedSuspects() const -> std::vector<std::uint64_t>
{
    return this->scheduler.state.crashSuspects.blockedSuspects(this->suspects,
                                                               this->scheduler.clock());
}

auto ActiveRequest::suspectNames(std::span<const std::uint64_t> hashes) const -> std::string
{
    const auto &parts = this->request.sharedPromptParts;
    std::string names;
    for (std::size_t index = 0; index < this->suspects.size(); ++index) {
        if (std::find(hashes.begin(), hashes.end(), this->suspects[index]) != hashes.end()) {
            names += names.empty() ? "" : ", ";
            names += index < parts.size() ? "prompt part " + formatHex(parts[index])
                                          : "the whole request";
        }
    }
    return names;
}

auto ActiveRequest::tryStartTrial() -> bool
{
    auto &state = this->scheduler.state;
    const auto now = this->scheduler.clock();
    const auto blocked = this->blockedSuspects();
    // One node must not wait for the trial of another one, so a single suspect decides which it is.
    const auto leading = *std::min_element(blocked.begin(), blocked.end());
    if (!state.crashSuspects.isTrialDue(blocked, this->suspects, now)
        || !state.members.isCoordinator(static_cast<std::uint32_t>(leading), now)) {
        return false;
    }
    state.crashSuspects.recordTrial(blocked, now);
    this->onTrial = true;
    this->addStep("crash_suspect_trial");
    return true;
}

auto ActiveRequest::rejectCrashSuspect() -> bool
{
    if (!this->isCrashSuspect() || (this->dispatches == 0 && this->tryStartTrial())) {
        return false;
    }
    this->addStep("blocked", this->suspectNames(this->blockedSuspects()));
    if (this->mayHaveExecuted) {
        this->failMaybeExecuted(502, RequestOutcome::CrashSuspect);
    } else {
        this->reject(503, RequestOutcome::CrashSuspect, SuspectRetryDelay);
    }
    return true;
}

auto ActiveRequest::recordLostRun(const fleet::Server &lost, Instant runSince, bool answering,
                                  std::string_view reason) -> void
{
    auto &crashSuspects = this->scheduler.state.crashSuspects;
    const auto now = this->scheduler.clock();
    const bool wasSuspect = this->isCrashSuspect();
    crashSuspects.recordCrash(this->fingerprint(), lost.hash, runSince, now);
    if (!answering) {
        for (const auto part : this->promptPartSuspects()) {
            crashSuspects.recordCrash(part, lost.hash, runSince, now);
        }
    }
    std::vector<std::string> parts;
    for (const auto part : this->request.sharedPromptParts) {
        parts.push_back(formatHex(part));
    }
    logEvent("run_lost", {{"request_id", this->request.attemptId},
                          {"server", lost.registration.id},
                          {"reason", std::string(reason)},
                          {"answering", answering},
                          {"prompt_parts", std::move(parts)}});
    if (!wasSuspect && this->isCrashSuspect()) {
        logEvent("crash_suspect", {{"request_id", this->request.attemptId},
                                   {"server", lost.registration.id},
                                   {"blocked", this->suspectNames(this->blockedSuspects())}});
    }
}

auto ActiveRequest::hasAnswered(Instant now) const -> bool
{
    return this->answerBeganAt && now - *this->answerBeganAt >= MinAnswerTime;
}

auto ActiveRequest::recordAnswer(Instant answeredAt) -> void
{
    if (std::exchange(this->answerRecorded, true)) {
        return;
    }
    for (const auto part : this->promptPartSuspects()) {
        this->scheduler.state.crashSuspects.recordAnswer(part, answeredAt);
    }
}

} // namespace banyanring::gateway
