/** @file log_func.h Structured log: JSON lines, rate-limited, written by a background thread. */
#pragma once

#include "banyanring/adapters/log_admission.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace banyanring {

/** Value of a field. */
using LogValue = std::variant<std::string, std::int64_t, double, bool, std::vector<std::string>>;
using LogField = std::pair<std::string_view, LogValue>; ///< Name and value of a field.

/**
 * Opens the log; called once, before the first logEvent().
 * @param file Path; "-" for standard output.
 * @param node Name of this node, a field of every line.
 * @param linesPerSecond Rate limit, see LogAdmission. The next line that is written has the number
 *                       of dropped lines as "lines_dropped"; "log_lines_dropped" has them by kind.
 */
auto openLog(const std::string &file, const std::string &node, std::int64_t linesPerSecond) -> void;

/**
 * Writes the counts of dropped lines, writes the buffered lines and closes the log; called once,
 * before the process exits.
 */
auto closeLog() -> void;

/** Writes the counts of lines dropped before the current second, if any; see LogAdmission. */
auto logDroppedLines() -> void;

/** @return Lines dropped since the start, by kind. */
auto droppedLogLines() -> LogCounts;

/** @return Name of a kind for logs and metrics. */
auto logKindName(LogKind kind) -> std::string_view;

/**
 * Writes a line. Never blocks: if the buffer is full, a line is dropped.
 * @param event Name of the event.
 * @param fields Further fields; must not hold an API key.
 * @param kind Kind of the line; all but those of served requests are flushed at once.
 */
auto logEvent(std::string_view event, std::initializer_list<LogField> fields = {},
              LogKind kind = LogKind::State) -> void;

} // namespace banyanring
