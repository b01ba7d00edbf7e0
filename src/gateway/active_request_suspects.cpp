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
    boost::hash_combine(this->fingerprint, this->request.target);
    boost::hash_combine(this->fingerprint,
                        this->request.body ? *this->request.body : std::string());
    boost::hash_combine(this->fingerprint, this->organisation ? this->organisation->name : "");
    for (const auto part : this->request.sharedPromptParts) {
        this->partSuspects.push_back(mix64(part ^ PromptPartSalt));
    }
}

auto ActiveRequest::isCrashSuspect() const -> bool
{
    return !this->onTrial && !this->blockedSuspect().empty();
}

auto ActiveRequest::blockedSuspect() const -> std::string
{
    const auto &suspects = this->scheduler.state.crashSuspects;
    const auto now = this->scheduler.clock();
    for (std::size_t index = 0; index < this->partSuspects.size(); ++index) {
        if (suspects.isBlocked(this->partSuspects[index], now)) {
            return "prompt part " + formatHex(this->request.sharedPromptParts[index]);
        }
    }
    return suspects.isBlocked(this->fingerprint, now) ? "the whole request" : "";
}

auto ActiveRequest::tryStartTrial() -> bool
{
    auto &state = this->scheduler.state;
    const auto now = this->scheduler.clock();
    auto blocked = this->partSuspects;
    blocked.push_back(this->fingerprint);
    std::erase_if(blocked, [&](std::uint64_t suspect) {
        return !state.crashSuspects.isBlocked(suspect, now);
    });
    const bool isDue = std::all_of(blocked.begin(), blocked.end(), [&](std::uint64_t suspect) {
        return state.crashSuspects.isTrialDue(suspect, now)
               && state.members.isCoordinator(static_cast<std::uint32_t>(suspect), now);
    });
    if (!isDue) {
        return false;
    }
    for (const auto suspect : blocked) {
        state.crashSuspects.recordTrial(suspect, now);
    }
    this->onTrial = true;
    this->addStep("crash_suspect_trial");
    return true;
}

auto ActiveRequest::rejectCrashSuspect() -> bool
{
    if (!this->isCrashSuspect() || (this->dispatches == 0 && this->tryStartTrial())) {
        return false;
    }
    this->addStep("blocked", this->blockedSuspect());
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
    auto &suspects = this->scheduler.state.crashSuspects;
    const auto now = this->scheduler.clock();
    const bool wasSuspect = this->isCrashSuspect();
    suspects.recordCrash(this->fingerprint, lost.hash, runSince, now);
    if (!answering) {
        for (const auto part : this->partSuspects) {
            suspects.recordCrash(part, lost.hash, runSince, now);
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
                                   {"blocked", this->blockedSuspect()}});
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
    for (const auto part : this->partSuspects) {
        this->scheduler.state.crashSuspects.recordAnswer(part, answeredAt);
    }
}

} // namespace banyanring::gateway
