/** @file log_func.h Logs as JSON lines, at a bounded rate, written by a thread of their own. */
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace banyanring {

using LogValue = std::variant<std::string, std::int64_t, double, bool,
                              std::vector<std::string>>; ///< A field's value.
using LogField = std::pair<std::string_view, LogValue>; ///< Name and value of a field.

/** How much a line matters when there are too many. */
enum class LogClass : std::uint8_t {
    Calm, ///< Ordinary work; dropped first.
    Notable, ///< Failures, and changes of what the process believes.
};

/**
 * Opens the log.
 * @param file Path; "-" for standard output.
 * @param node This node, a field of each line.
 * @param linesPerSecond Most calm lines a second, and twice as many notable ones; the surplus is
 *                       counted and told in the next line.
 */
auto openLog(const std::string &file, const std::string &node, std::int64_t linesPerSecond) -> void;

/** Writes out what is buffered, before the process ends. */
auto flushLog() -> void;

/**
 * Writes a line. Never blocks: lines beyond the buffer are dropped.
 * @param event What happened, in a fixed word.
 * @param fields Further fields; never a key.
 * @param logClass How much it matters.
 */
auto logEvent(std::string_view event, std::initializer_list<LogField> fields = {},
              LogClass logClass = LogClass::Notable) -> void;

} // namespace banyanring
