/** @file log_func.h Logs as JSON lines, at a bounded rate. */
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace banyanring {

using LogField = std::pair<std::string_view, std::string>; ///< Name and value of a field.

/**
 * Opens the log.
 * @param file Path; "-" for standard output.
 * @param node This node, a field of each line.
 * @param linesPerSecond Most lines a second; the surplus is counted and told in one line.
 */
auto openLog(const std::string &file, std::uint16_t node, std::int64_t linesPerSecond) -> void;

/**
 * Writes a line.
 * @param event What happened, in a fixed word.
 * @param fields Further fields; never a key.
 */
auto logEvent(std::string_view event, std::initializer_list<LogField> fields = {}) -> void;

} // namespace banyanring
