/** @file request_limit_codec_func.h Tuples of the servers' request limits in messages of nodes. */
#pragma once

#include "banyanring/fleet/peer_state_type.h"

#include <algorithm>
#include <tuple>

namespace banyanring::gateway {

/** Server, requests per second, age in ms. */
using RequestLimitTuple = std::tuple<std::uint32_t, float, std::uint32_t>;

/** @return The tuple that is sent for a limit. */
inline auto toTuple(const fleet::RequestLimitReport &report) -> RequestLimitTuple
{
    const auto ageMs = std::clamp<std::int64_t>(report.age / std::chrono::milliseconds(1), 0,
                                                std::numeric_limits<std::uint32_t>::max());
    return {report.serverHash, static_cast<float>(report.perSecond),
            static_cast<std::uint32_t>(ageMs)};
}

/** @return The limits of received tuples, without those that are no number of requests. */
inline auto fromTuples(const std::vector<RequestLimitTuple> &tuples)
    -> std::vector<fleet::RequestLimitReport>
{
    std::vector<fleet::RequestLimitReport> reports;
    for (const auto &[serverHash, perSecond, ageMs] : tuples) {
        if (perSecond >= 0) {
            reports.push_back({serverHash, perSecond, std::chrono::milliseconds(ageMs)});
        }
    }
    return reports;
}

} // namespace banyanring::gateway
