/** @file active_request_silence.cpp Requests whose server sends nothing for some time. */
#include "banyanring/gateway/active_request.h"

namespace banyanring::gateway {

namespace {

using std::chrono::milliseconds;

/**
 * A server counts as silent if it sends nothing for this time or for the multiple of the target
 * that applies, whichever is longer. The caller gives up later.
 */
constexpr Duration MinSilence = milliseconds(800);
constexpr double SilenceTargetFactor = 2.5; ///< Multiple of the latency target, until first byte.
constexpr double SilenceGapFactor = 4; ///< Multiple of the event gap target, inside a stream.
/** Longer times between checks are not counted, as the process did not read in the meantime. */
constexpr Duration MaxCheckInterval = milliseconds(200);

} // namespace

auto ActiveRequest::measureSilence(Instant now) -> void
{
    const auto elapsed = now - std::exchange(this->checkedAt, now);
    if (!this->exchange || this->readPaused) {
        this->silentFor = Duration(0);
        return;
    }
    this->silentFor += std::min(elapsed, MaxCheckInterval);
}

auto ActiveRequest::isServerSilent() const -> bool
{
    if (!this->exchange || !this->route->isRetryable()
        || this->possibleExecutions + 1 >= this->route->maxAttempts) {
        return false;
    }
    const auto limit = this->streamStarted ? SilenceGapFactor * this->route->eventGapTarget
                                           : SilenceTargetFactor * this->route->latencyTarget;
    return this->silentFor > std::max(MinSilence, std::chrono::duration_cast<Duration>(limit));
}

} // namespace banyanring::gateway
