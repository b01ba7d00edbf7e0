/** @file placement.cpp Chooses the backend server for a request. */
#include "banyanring/fleet/placement.h"

#include <algorithm>

namespace banyanring::fleet {

namespace {

constexpr double AverageWeight = 0.15; ///< Weight of one response in the moving averages.
/** Defaults for a server that has not responded yet; typical of a medium inference engine. */
constexpr double DefaultPromptMsPerToken = 0.02;
constexpr double DefaultOutputMsPerToken = 4;
constexpr double DefaultResponseMs = 60;
/**
 * Prompt length at which attention takes as long as the rest of the prefill; typical of current
 * inference engines.
 */
constexpr double AttentionTokens = 30000;
constexpr double DefaultBaseMs = 5; ///< Network and admission time before the prefill.
/** The time until the end matters less than the time until the first event, which has a target. */
constexpr double OutputCostFraction = 0.4;
/**
 * A prefill delays each concurrent stream by its own duration; this fraction of the delay counts as
 * cost.
 */
constexpr double InterferenceCostFraction = 0.25;
constexpr double EjectedPenaltyMs = 100000; ///< Ranks ejected servers behind all others.
/** Ranks servers that are expected to miss the deadline behind the others. */
constexpr double DeadlinePenaltyMs = 50000;
/** Ranks servers that are expected to miss a latency target behind the others. */
constexpr double LatePenaltyMs = 5000;
/** Expected times are averages: above these fractions of a target, exceeding it is likely. */
constexpr double FirstByteTargetFraction = 0.8;
constexpr double TokenGapTargetFraction = 0.6;
/** Fraction of the time left that the expected time may take. */
constexpr double TimeLeftFraction = 0.8;
/**
 * Largest difference between the nodes' preference factors for a server, which keeps them from all
 * choosing the same one.
 */
constexpr double PreferenceSpread = 0.15;

/** @return @p value, or @p fallback if the value is unknown. */
auto valueOr(double value, double fallback) -> double
{
    return value > 0 ? value : fallback;
}

/** Updates an exponential moving average with a sample. */
auto updateAverage(double &average, double sample) -> void
{
    average = average > 0 ? average + AverageWeight * (sample - average) : sample;
}

/** @return Factor on a server's cost, fixed for each pair of node and server. */
auto preferenceFactor(const Server &server, std::uint32_t node) -> double
{
    const auto hash = mix64((static_cast<std::uint64_t>(node) << 32U) | server.hash);
    return 1
           + PreferenceSpread * static_cast<double>(hash >> 11U) / static_cast<double>(1ULL << 53U);
}

/** @return Expected time of an output, of which only the next moments are slowed down. */
auto slowedOutputMs(double outputMs, double firstMs, double slowdown) -> double
{
    constexpr double SlowMs = static_cast<double>(MomentarySlowdown::Persistence.count()) / 1000;
    const double slowedMs = std::min(outputMs, std::max(0.0, SlowMs - firstMs) / slowdown);
    return outputMs + slowedMs * (slowdown - 1);
}

/** @return Expected cost of a request on a server, in milliseconds. */
auto costOf(const Server &server, const RequestProfile &profile, Instant now) -> double
{
    const double penalty = now < server.ejectedUntil ? EjectedPenaltyMs : 0;
    const auto occupied = static_cast<double>(server.occupiedSlots(now));
    const double slowdown = server.slowdown.relativeFactor(server.slowdown.expectedFactor(now));
    if (!profile.engine) {
        const auto slots = static_cast<double>(std::max(1U, server.registration.slots));
        return penalty
               + slowdown * valueOr(server.stats.responseMs, DefaultResponseMs)
                     * (1 + occupied / slots);
    }
    const auto &firstByteFit = server.stats.firstByteFit;
    const double promptMsPerToken =
        slowdown * (firstByteFit.hasSamples() ? firstByteFit.slope() : DefaultPromptMsPerToken);
    const double outputMsPerToken = valueOr(server.stats.outputMsPerToken, DefaultOutputMsPerToken);
    const double firstMs = slowdown * expectedFirstByteMs(server, profile);
    const double outputMs =
        slowedOutputMs(profile.expectedOutputTokens * outputMsPerToken, firstMs, slowdown);
    const double maxOutputMs = slowedOutputMs(
        std::max(profile.maxOutputTokens, profile.expectedOutputTokens) * outputMsPerToken, firstMs,
        slowdown);
    const bool missesDeadline =
        profile.timeLeftMs > 0 && firstMs + maxOutputMs > TimeLeftFraction * profile.timeLeftMs;
    const bool missesTarget =
        (profile.firstByteTargetMs > 0
         && firstMs > FirstByteTargetFraction * profile.firstByteTargetMs)
        || (profile.tokenGapTargetMs > 0
            && outputMsPerToken > TokenGapTargetFraction * profile.tokenGapTargetMs);
    return penalty + (missesDeadline ? DeadlinePenaltyMs : 0) + (missesTarget ? LatePenaltyMs : 0)
           + firstMs + OutputCostFraction * outputMs
           + InterferenceCostFraction * profile.promptWork * promptMsPerToken * occupied;
}

} // namespace

auto promptWork(double tokens) -> double
{
    return tokens * (1 + tokens / AttentionTokens);
}

auto expectedServiceMs(const RequestProfile &profile) -> double
{
    return profile.engine ? profile.promptWork * DefaultPromptMsPerToken
                                + profile.expectedOutputTokens * DefaultOutputMsPerToken
                          : DefaultResponseMs;
}

auto expectedFirstByteMs(const Server &server, const RequestProfile &profile) -> double
{
    if (!profile.engine) {
        return valueOr(server.stats.responseMs, DefaultResponseMs);
    }
    const double workAhead =
        server.ownLoad.promptWork + server.peerLoad.promptWork + profile.promptWork;
    const auto &firstByteFit = server.stats.firstByteFit;
    return firstByteFit.hasSamples() ? firstByteFit.intercept() + workAhead * firstByteFit.slope()
                                     : DefaultBaseMs + workAhead * DefaultPromptMsPerToken;
}

auto choosePlacement(std::span<const ServerPtr> servers, const RequestProfile &profile,
                     const std::function<bool(const Server &)> &usable,
                     const ColdServerFilter &coldFilter, Instant now) -> PlacementChoice
{
    PlacementChoice choice;
    double bestCost = 0;
    for (const auto &server : servers) {
        if (!usable(*server)) {
            continue;
        }
        const auto occupied = server->occupiedSlots(now);
        if (occupied >= server->registration.slots
            || (server->isCold(now) && !coldFilter(*server))) {
            continue;
        }
        const double cost =
            costOf(*server, profile, now) * preferenceFactor(*server, profile.nodeHash);
        if (!choice.server || cost < bestCost) {
            choice.server = server;
            choice.lateOrEjected = cost >= LatePenaltyMs;
            bestCost = cost;
        }
    }
    return choice;
}

auto recordResponse(Server &server, const RequestProfile &profile, double workAhead,
                    Duration firstByte, Duration rest, double outputTokens,
                    std::optional<double> slowdown) -> void
{
    const double firstMs = static_cast<double>(firstByte.count()) / 1000;
    const double restMs = static_cast<double>(rest.count()) / 1000;
    const double factor = slowdown ? server.slowdown.relativeFactor(*slowdown) : 1;
    if (!profile.engine) {
        updateAverage(server.stats.responseMs, (firstMs + restMs) / factor);
        return;
    }
    server.stats.firstByteFit.addSample(workAhead, firstMs / factor);
    // The output spans several moments, which average out.
    if (outputTokens > 0 && restMs > 0) {
        updateAverage(server.stats.outputMsPerToken, restMs / outputTokens);
    }
}

} // namespace banyanring::fleet
