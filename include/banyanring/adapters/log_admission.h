/** @file log_admission.h Decides which log lines are written while there are too many. */
#pragma once

#include "banyanring/core/ids_type.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace banyanring {

/** What a line is about, from the least to the most important kind. */
enum class LogKind : std::uint8_t {
    Served, ///< A request was served.
    State, ///< Any line that is not the one of a finished request.
    Rejected, ///< A request was rejected for overload, a limit or an error of the caller.
    Failed, ///< A request ended in any other way.
};

constexpr std::size_t LogKindCount = 4; ///< Number of kinds.
using LogCounts = std::array<std::int64_t, LogKindCount>; ///< Numbers of lines by kind.

/**
 * Rate limit of the log, by second and kind. With a limit of R lines, at most R lines of served
 * requests, 2R of each other kind and 3R of all are written in a second.
 *
 * The first R lines of a second are written whatever their kind. After them, each kind has a quota,
 * and writes more than that only as far as the other kinds will not need theirs: kinds that had no
 * line in this second and the previous one need nothing. A more important kind needs as much as in
 * the previous second, if that is above its quota, so the least important kind is dropped first.
 *
 * Not thread-safe. A time before the current second counts as within it.
 */
class LogAdmission
{
public:
    /** @param linesPerSecond The limit R; with 0, no line is written. */
    explicit LogAdmission(std::int64_t linesPerSecond = 0);

    /**
     * Decides about a line, which counts as written or as dropped.
     * @param kind Kind of the line.
     * @param now Current time.
     * @return Whether to write it.
     */
    auto admit(LogKind kind, Instant now) -> bool;

    /**
     * Returns the counts of dropped lines if they are due: in the second after the drop. They count
     * as a written line, so the total limit holds with them.
     * @param now Current time.
     * @return Lines dropped since the last counts, by kind.
     */
    auto takeDroppedCounts(Instant now) -> std::optional<LogCounts>;

    /** @return Number of lines dropped since the last call. */
    auto takeDroppedLines() -> std::int64_t;

    /** @return Lines dropped since the start, by kind. */
    [[nodiscard]] auto allDropped() const -> const LogCounts &
    {
        return this->dropped;
    }

    /** @return Maximum number of lines in a second. */
    [[nodiscard]] auto totalLimit() const -> std::int64_t
    {
        return 3 * this->linesPerSecond;
    }

private:
    /** Lines of one second. */
    struct Second
    {
        std::int64_t number = -1; ///< Whole seconds of the clock.
        LogCounts offered{}; ///< Lines written or dropped, by kind.
        LogCounts written{};
        std::int64_t lines = 0; ///< Lines written, of all kinds.
        std::int64_t countLines = 0; ///< Lines written with counts of dropped lines, 0 or 1.
    };

    /** Starts a new second if @p now is in one. */
    auto enterSecond(Instant now) -> void;
    /** @return Whether the total limit is reached. */
    [[nodiscard]] auto isFull() const -> bool;
    /** @return Whether all kinds together, each up to its limit, had the total limit. */
    [[nodiscard]] auto isContended(const Second &second) const -> bool;
    /** @return Whether a line may be written. */
    [[nodiscard]] auto hasRoom(std::size_t kind, Instant now) const -> bool;
    /** @return Lines to keep free for @p other, for a line of @p kind above its quota. */
    [[nodiscard]] auto reserved(std::size_t other, std::size_t kind, Instant now) const
        -> std::int64_t;

    std::int64_t linesPerSecond;
    LogCounts limits; ///< Maximum lines in a second, by kind.
    LogCounts quotas;
    Second current;
    Second previous; ///< The second before the current one.
    LogCounts dropped{}; ///< Since the start.
    LogCounts uncounted{}; ///< Dropped since the last counts.
    std::int64_t firstDropSecond = -1; ///< Of the first drop in `uncounted`; -1 without any.
    std::int64_t droppedLines = 0; ///< Since the last takeDroppedLines().
};

} // namespace banyanring
