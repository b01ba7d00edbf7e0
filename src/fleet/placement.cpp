/** @file placement.cpp Chooses the backend server for a request. */
#include "banyanring/fleet/placement.h"

#include <algorithm>

namespace banyanring::fleet {

namespace {

constexpr double PaceWeight = 0.15; ///< Weight of one response in the moving averages.
/** Defaults for a server that has not responded yet; typical of a medium inference engine. */
constexpr double DefaultPromptMsPerToken = 0.02;
constexpr double DefaultOutputMsPerToken = 4;
constexpr double DefaultAnswerMs = 60;
/**
 * Prompt length at which attention takes as long as the rest of the prefill; typical of current
 * inference engines.
 */
constexpr double AttentionTokens = 30000;
constexpr double BaseMs = 5; ///< Network and admission time before the prefill.
/** The time until the end matters less than the time until the first event, which has a target. */
constexpr double OutputPart = 0.4;
/**
 * A prefill delays each concurrent stream by its own duration; this fraction of the delay counts as
 * cost.
 */
constexpr double InterferencePart = 0.25;
constexpr double EjectedPenaltyMs = 100000; ///< Ranks ejected servers behind all others.
constexpr double TooSlowPenaltyMs =
    50000; ///< Ranks servers that are expected to miss the deadline behind the others.
constexpr double LatePenaltyMs =
    5000; ///< Ranks servers that are expected to miss a latency target behind the others.
/** Expected times are averages: above these fractions of a target, exceeding it is likely. */
constexpr double TargetPart = 0.8;
constexpr double PausePart = 0.6;
constexpr double TimeLeftPart = 0.8; ///< Fraction of the time left that the expected time may take.
/**
 * Largest difference between the nodes' preference factors for a server, which keeps them from all
 * choosing the same one.
 */
constexpr double PreferenceSpread = 0.15;

/** @return @p value, or @p fallback if the value is unknown. */
auto known(double value, double fallback) -> double
{
    return value > 0 ? value : fallback;
}

/** Updates an exponential moving average with a sample. */
auto learn(double &average, double sample) -> void
{
    average = average > 0 ? average + PaceWeight * (sample - average) : sample;
}

/** @return Factor on a server's cost, fixed for each pair of node and server. */
auto preferenceOf(const Server &server, std::uint32_t node) -> double
{
    const auto mixed = mix64((static_cast<std::uint64_t>(node) << 32U) | server.number);
    return 1
           + PreferenceSpread * static_cast<double>(mixed >> 11U)
                 / static_cast<double>(1ULL << 53U);
}

/** @return Expected cost of a request on a server, in milliseconds. */
auto costOf(const Server &server, const RequestShape &shape, Instant now) -> double
{
    const double penalty = now < server.ejectedUntil ? EjectedPenaltyMs : 0;
    const auto occupied = static_cast<double>(server.occupied(now));
    if (!shape.engine) {
        const auto slots = static_cast<double>(std::max(1U, server.entry.slots));
        return penalty + known(server.pace.answerMs, DefaultAnswerMs) * (1 + occupied / slots);
    }
    const auto &firstByte = server.pace.firstByte;
    const double perPrompt = firstByte.known() ? firstByte.slope() : DefaultPromptMsPerToken;
    const double perOutput = known(server.pace.outputMsPerToken, DefaultOutputMsPerToken);
    const double firstMs = expectedFirstMs(server, shape);
    const double outputMs = shape.outputTokens * perOutput;
    const double longestMs = std::max(shape.longestOutput, shape.outputTokens) * perOutput;
    const bool tooSlow =
        shape.timeLeftMs > 0 && firstMs + longestMs > TimeLeftPart * shape.timeLeftMs;
    const bool late = (shape.targetMs > 0 && firstMs > TargetPart * shape.targetMs)
                      || (shape.eventTargetMs > 0 && perOutput > PausePart * shape.eventTargetMs);
    return penalty + (tooSlow ? TooSlowPenaltyMs : 0) + (late ? LatePenaltyMs : 0) + firstMs
           + OutputPart * outputMs + InterferencePart * shape.promptWork * perPrompt * occupied;
}

} // namespace

auto promptWork(double tokens) -> double
{
    return tokens * (1 + tokens / AttentionTokens);
}

auto expectedFirstMs(const Server &server, const RequestShape &shape) -> double
{
    if (!shape.engine) {
        return known(server.pace.answerMs, DefaultAnswerMs);
    }
    const double ahead = server.own.promptWork + server.peers.promptWork + shape.promptWork;
    const auto &firstByte = server.pace.firstByte;
    return firstByte.known() ? firstByte.base() + ahead * firstByte.slope()
                             : BaseMs + ahead * DefaultPromptMsPerToken;
}

auto choosePlacement(std::span<const ServerPtr> servers, const RequestShape &shape,
                     const std::function<bool(const Server &)> &usable, const ColdGate &coldGate,
                     Instant now) -> Choice
{
    Choice choice;
    double best = 0;
    for (const auto &server : servers) {
        if (!usable(*server)) {
            continue;
        }
        const auto occupied = server->occupied(now);
        if (occupied >= server->entry.slots || (server->cold(now) && !coldGate(*server))) {
            continue;
        }
        const double cost = costOf(*server, shape, now) * preferenceOf(*server, shape.node);
        if (!choice.server || cost < best) {
            choice.server = server;
            choice.poor = cost >= LatePenaltyMs;
            best = cost;
        }
    }
    return choice;
}

auto learnPace(Server &server, const RequestShape &shape, double workAhead, Duration firstByte,
               Duration rest, double outputTokens) -> void
{
    const double firstMs = static_cast<double>(firstByte.count()) / 1000;
    const double restMs = static_cast<double>(rest.count()) / 1000;
    if (!shape.engine) {
        learn(server.pace.answerMs, firstMs + restMs);
        return;
    }
    server.pace.firstByte.learn(workAhead, firstMs);
    if (outputTokens > 0 && restMs > 0) {
        learn(server.pace.outputMsPerToken, restMs / outputTokens);
    }
}

} // namespace banyanring::fleet
