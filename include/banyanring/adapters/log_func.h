/** @file log_func.h Structured log: JSON lines, rate-limited, written by a background thread. */
#pragma once

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

/** Severity of a line; each level has its own rate limit. */
enum class LogLevel : std::uint8_t {
    Info, ///< Normal operation; has the lower rate limit.
    Warning, ///< Failures and changes of state; flushed at once.
};

/**
 * Opens the log; called once, before the first logEvent().
 * @param file Path; "-" for standard output.
 * @param node Name of this node, a field of every line.
 * @param linesPerSecond Rate limit of Info lines; Warning lines have twice this limit. The next
 *                       line that is written has the number of dropped lines as "lines_dropped".
 */
auto openLog(const std::string &file, const std::string &node, std::int64_t linesPerSecond) -> void;

/** Writes the buffered lines and closes the log; called once, before the process exits. */
auto closeLog() -> void;

/**
 * Writes a line. Never blocks: if the buffer is full, a line is dropped.
 * @param event Name of the event.
 * @param fields Further fields; must not hold an API key.
 * @param level Severity.
 */
auto logEvent(std::string_view event, std::initializer_list<LogField> fields = {},
              LogLevel level = LogLevel::Warning) -> void;

} // namespace banyanring
