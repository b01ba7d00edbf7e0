/** @file request_outcome.h How a request ended. */
#pragma once

#include "banyanring/adapters/log_admission.h"

#include <cstdint>
#include <string_view>

namespace banyanring::gateway {

/** How a request ended. */
enum class RequestOutcome : std::uint8_t {
    Answered, ///< The response of a backend server was delivered.
    NoConfig, ///< No configuration has been received yet.
    NoRoute, ///< No route matches it.
    BadKey, ///< Its API key is missing, unknown or revoked.
    OverQuota, ///< Its organisation has exceeded its quota.
    CrashSuspect, ///< The same request is suspected of crashing servers.
    Overload, ///< It waited too long in the queue, or would have.
    NoServer, ///< No server of the service is registered.
    TimedOut, ///< Its deadline passed.
    ServerFailed, ///< The server closed the connection or sent an invalid response.
    CallerGone, ///< The caller disconnected.
    Stopping, ///< The process is about to stop.
};

/**
 * Returns the name of an outcome for logs and metrics.
 * @param outcome The outcome.
 * @return Name in snake case.
 */
auto outcomeName(RequestOutcome outcome) -> std::string_view;

/**
 * Returns the kind of the log line of a finished request.
 * @param outcome The outcome.
 * @param status Status code that the caller got.
 * @return Its kind.
 */
auto logKindOf(RequestOutcome outcome, int status) -> LogKind;

} // namespace banyanring::gateway
