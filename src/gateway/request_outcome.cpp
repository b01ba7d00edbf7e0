/** @file request_outcome.cpp Names of outcomes and kinds of log lines. */
#include "banyanring/gateway/request_outcome.h"

namespace banyanring::gateway {

auto outcomeName(RequestOutcome outcome) -> std::string_view
{
    switch (outcome) {
    case RequestOutcome::Answered:
        return "answered";
    case RequestOutcome::NoConfig:
        return "no_config";
    case RequestOutcome::NoRoute:
        return "no_route";
    case RequestOutcome::BadKey:
        return "bad_key";
    case RequestOutcome::OverQuota:
        return "over_quota";
    case RequestOutcome::CrashSuspect:
        return "crash_suspect";
    case RequestOutcome::Overload:
        return "overload";
    case RequestOutcome::NoServer:
        return "no_server";
    case RequestOutcome::TimedOut:
        return "timed_out";
    case RequestOutcome::ServerFailed:
        return "server_failed";
    case RequestOutcome::CallerGone:
        return "caller_gone";
    case RequestOutcome::Stopping:
        return "stopping";
    }
    return "unknown";
}

auto logKindOf(RequestOutcome outcome, int status) -> LogKind
{
    switch (outcome) {
    case RequestOutcome::Answered:
        return status < 500 ? LogKind::Served : LogKind::Failed;
    case RequestOutcome::Overload:
    case RequestOutcome::OverQuota:
    // A caller with a wrong path or key must not displace the lines of failed requests.
    case RequestOutcome::NoRoute:
    case RequestOutcome::BadKey:
        return LogKind::Rejected;
    default:
        return LogKind::Failed;
    }
}

} // namespace banyanring::gateway
