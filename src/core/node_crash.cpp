/** @file node_crash.cpp The decision core: requests that were running when their server died. */
#include "banyanring/core/node_base.h"

namespace banyanring {

namespace {

constexpr std::size_t SuspectLimit = 2; ///< Deaths after which none runs.
constexpr Duration CrashResend = std::chrono::milliseconds(200); ///< Between crash notices.
constexpr Duration BlameKeep = std::chrono::seconds(3); ///< A cancelled run is blamed this long.
constexpr Duration RetrySoon = std::chrono::seconds(1); ///< Told to callers of suspects.

} // namespace

auto Node::crashed(const Run &run, const std::vector<CallId> &callers) -> void
{
    auto &held = this->reportCrash(run.choice.slot.server, run.fingerprint);
    for (const auto caller : callers) {
        held.callers.emplace_back(caller, run.requestId);
        this->calls.at(caller).state = Following{};
    }
    this->resendCrashes();
}

auto Node::reportCrash(ServerId server, std::uint64_t fingerprint) -> HeldFailure &
{
    const auto number = this->nextNotice++;
    HeldFailure held;
    held.notice = {number, fingerprint, server,
                   mix64(mix64(this->incarnation) + this->self) + number};
    this->learnCrash(held.notice);
    held.limit = this->now + this->settings.crashAckLimit;
    held.resendAt = this->now + CrashResend;
    for (const auto *peer : this->members.contacts(this->now)) {
        held.unheard.insert(peer->heartbeat.node);
        this->send(peer->heartbeat.node, held.notice);
    }
    return this->heldFailures.emplace(number, std::move(held)).first->second;
}

auto Node::blameCancelled(ServerId server) -> void
{
    // A run that was cancelled shortly before the death may have caused it all the same.
    std::vector<std::uint64_t> blamed;
    std::erase_if(this->cancelledLately, [&](const CancelledRun &run) {
        const bool recent = this->now - run.at <= BlameKeep;
        if (recent && run.server == server) {
            blamed.push_back(run.fingerprint);
        }
        return !recent || run.server == server;
    });
    for (const auto fingerprint : blamed) {
        this->reportCrash(server, fingerprint);
    }
}

auto Node::mustNotWait(const Call &call) const -> bool
{
    const auto deaths = this->suspects.deaths(call.fingerprint);
    return deaths >= SuspectLimit || (deaths > 0 && !call.probation);
}

auto Node::learnCrash(const CrashNotice &notice) -> void
{
    if (!this->suspects.add(notice.fingerprint, notice.server, notice.death, this->now)) {
        return;
    }
    this->health.suspect(notice.server, this->now);
    // Copies of it that wait here would be the next to kill a server.
    std::vector<CallId> doomed;
    for (const auto &[id, call] : this->calls) {
        const bool waits = std::holds_alternative<Queued>(call.state)
                           || std::holds_alternative<Gathering>(call.state);
        if (waits && call.fingerprint == notice.fingerprint && this->mustNotWait(call)) {
            doomed.push_back(id);
        }
    }
    for (const auto id : doomed) {
        this->refuse(id, {Outcome::NotRun, Reason::Suspect, RetrySoon});
    }
}

auto Node::resendCrashes() -> void
{
    std::vector<CallId> failed;
    for (auto held = this->heldFailures.begin(); held != this->heldFailures.end();) {
        auto &failure = held->second;
        if (failure.unheard.empty() || this->now >= failure.limit) {
            for (const auto &[caller, requestId] : failure.callers) {
                failed.push_back(caller);
            }
            held = this->heldFailures.erase(held);
            continue;
        }
        if (this->now >= failure.resendAt) {
            failure.resendAt = this->now + CrashResend;
            for (const auto node : failure.unheard) {
                this->send(node, failure.notice);
            }
        }
        ++held;
    }
    for (const auto caller : failed) {
        if (this->calls.contains(caller)) {
            this->refuse(caller, {Outcome::Unknown, Reason::BackendFailed, {}});
        }
    }
}

auto Node::on(NodeId from, const CrashNotice &message) -> void
{
    this->learnCrash(message);
    this->send(from, CrashNoticeAck{message.notice});
}

auto Node::on(NodeId from, const CrashNoticeAck &message) -> void
{
    const auto held = this->heldFailures.find(message.notice);
    if (held == this->heldFailures.end()) {
        return;
    }
    held->second.unheard.erase(from);
    this->resendCrashes();
}

} // namespace banyanring
