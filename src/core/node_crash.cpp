/** @file node_crash.cpp The decision core: handling of server crashes and crash suspects. */
#include "banyanring/core/node_base.h"

namespace banyanring {

namespace {

constexpr std::size_t CrashLimit = 2; ///< Crashes after which a request is no longer run.
/** Interval at which crash notices are resent. */
constexpr Duration CrashNoticeInterval = std::chrono::milliseconds(200);
/** Time for which a failed or cancelled run counts as a possible cause of a crash. */
constexpr Duration CancelledRunRetention = std::chrono::seconds(3);
/** Retry delay sent to callers of crash suspects. */
constexpr Duration ShortRetryDelay = std::chrono::seconds(1);

} // namespace

auto Node::onServerCrash(const Run &run, const std::vector<CallId> &callers) -> void
{
    auto &pending = this->announceCrash(run.choice.slot.server, run.fingerprint);
    for (const auto caller : callers) {
        pending.callers.emplace_back(caller, run.requestId);
        this->calls.at(caller).state = AwaitingOutcome{};
    }
    this->processPendingFailures();
}

auto Node::announceCrash(ServerId server, std::uint64_t fingerprint) -> PendingFailure &
{
    const auto noticeId = this->nextNoticeId++;
    PendingFailure pending;
    pending.notice = {noticeId, fingerprint, server,
                      mix64(mix64(this->incarnation) + this->self) + noticeId};
    this->recordCrash(pending.notice);
    pending.deadline = this->now + this->settings.crashAckTimeout;
    pending.resendAt = this->now + CrashNoticeInterval;
    for (const auto *peer : this->membership.reachablePeers(this->now)) {
        pending.unacknowledged.insert(peer->heartbeat.node);
        this->send(peer->heartbeat.node, pending.notice);
    }
    return this->pendingFailures.emplace(noticeId, std::move(pending)).first->second;
}

auto Node::suspectCancelledRuns(ServerId server) -> void
{
    // A run that was cancelled shortly before the crash may have caused it.
    std::vector<std::uint64_t> suspects;
    std::erase_if(this->recentlyCancelledRuns, [&](const CancelledRun &run) {
        const bool recent = this->now - run.cancelledAt <= CancelledRunRetention;
        if (recent && run.server == server) {
            suspects.push_back(run.fingerprint);
        }
        return !recent || run.server == server;
    });
    for (const auto fingerprint : suspects) {
        this->announceCrash(server, fingerprint);
    }
}

auto Node::mustRejectSuspect(const Call &call) const -> bool
{
    const auto crashCount = this->crashSuspects.crashCount(call.fingerprint);
    return crashCount >= CrashLimit || (crashCount > 0 && !call.isolated);
}

auto Node::recordCrash(const CrashNotice &notice) -> void
{
    if (!this->crashSuspects.addCrash(notice.fingerprint, notice.server, notice.crashId,
                                      this->now)) {
        return;
    }
    this->serverHealth.markSuspected(notice.server, this->now);
    // Identical requests that wait here could crash the next server.
    std::vector<CallId> rejected;
    for (const auto &[id, call] : this->calls) {
        const bool waiting = std::holds_alternative<Queued>(call.state)
                             || std::holds_alternative<BorrowingTokens>(call.state);
        if (waiting && call.fingerprint == notice.fingerprint && this->mustRejectSuspect(call)) {
            rejected.push_back(id);
        }
    }
    for (const auto id : rejected) {
        this->rejectCall(id, {Outcome::NotRun, Reason::Suspect, ShortRetryDelay});
    }
}

auto Node::processPendingFailures() -> void
{
    std::vector<CallId> failed;
    for (auto pending = this->pendingFailures.begin(); pending != this->pendingFailures.end();) {
        auto &failure = pending->second;
        if (failure.unacknowledged.empty() || this->now >= failure.deadline) {
            for (const auto &[caller, requestId] : failure.callers) {
                failed.push_back(caller);
            }
            pending = this->pendingFailures.erase(pending);
            continue;
        }
        if (this->now >= failure.resendAt) {
            failure.resendAt = this->now + CrashNoticeInterval;
            for (const auto node : failure.unacknowledged) {
                this->send(node, failure.notice);
            }
        }
        ++pending;
    }
    for (const auto caller : failed) {
        if (this->calls.contains(caller)) {
            this->rejectCall(caller, {Outcome::Unknown, Reason::BackendFailed, {}});
        }
    }
}

auto Node::on(NodeId from, const CrashNotice &message) -> void
{
    this->recordCrash(message);
    this->send(from, CrashNoticeAck{message.noticeId});
}

auto Node::on(NodeId from, const CrashNoticeAck &message) -> void
{
    const auto pending = this->pendingFailures.find(message.noticeId);
    if (pending == this->pendingFailures.end()) {
        return;
    }
    pending->second.unacknowledged.erase(from);
    this->processPendingFailures();
}

} // namespace banyanring
