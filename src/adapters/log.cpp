/** @file log.cpp Structured log: JSON lines, rate-limited. */
#include "banyanring/adapters/log_func.h"

#include "banyanring/ports/clock_func.h"

#include <algorithm>
#include <mutex>
#include <nlohmann/json.hpp>
#include <span>
#include <spdlog/async.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace banyanring {

namespace {

constexpr std::size_t MinBufferedLines = 4096; ///< Minimum size of the writing thread's queue.
constexpr std::chrono::seconds FlushInterval{1}; ///< Maximum delay until a line is in the file.

/** Rate limiter and fields of every line. */
struct LogState
{
    std::mutex mutex;
    std::string node;
    LogAdmission admission; ///< Guarded by the mutex.
};

/** @return State of the log of this process. */
auto logState() -> LogState &
{
    static LogState state;
    return state;
}

/** Writes a line that was admitted. @p dropped is the number of lines dropped before it. */
auto writeLine(std::string_view event, std::span<const LogField> fields, LogKind kind,
               std::int64_t dropped) -> void
{
    nlohmann::ordered_json line;
    const auto wallTime = std::chrono::system_clock::now().time_since_epoch();
    line["ts_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(wallTime).count();
    line["node"] = logState().node;
    line["event"] = event;
    for (const auto &[name, value] : fields) {
        std::visit([&line, name = name](const auto &typed) { line[std::string(name)] = typed; },
                   value);
    }
    if (dropped > 0) {
        line["lines_dropped"] = dropped;
    }
    const auto text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    spdlog::log(kind == LogKind::Served ? spdlog::level::info : spdlog::level::warn, "{}", text);
}

/** Writes the counts of dropped lines if they are due at @p now. */
auto writeDroppedCounts(Instant now) -> void
{
    auto &state = logState();
    std::unique_lock lock(state.mutex);
    const auto counts = state.admission.takeDroppedCounts(now);
    if (!counts) {
        return;
    }
    const auto dropped = state.admission.takeDroppedLines();
    lock.unlock();
    std::vector<LogField> fields;
    for (std::size_t kind = 0; kind < LogKindCount; ++kind) {
        fields.emplace_back(logKindName(static_cast<LogKind>(kind)), counts->at(kind));
    }
    writeLine("log_lines_dropped", fields, LogKind::State, dropped);
}

} // namespace

auto openLog(const std::string &file, const std::string &node, std::int64_t linesPerSecond) -> void
{
    logState().node = node;
    logState().admission = LogAdmission(linesPerSecond);
    // A full queue drops lines that no count has, so it holds more than a second's lines.
    const auto secondsLines = static_cast<std::size_t>(logState().admission.totalLimit());
    spdlog::init_thread_pool(std::max(MinBufferedLines, secondsLines + 1), 1);
    auto logger =
        file == "-"
            ? spdlog::create_async_nb<spdlog::sinks::stdout_sink_st>("banyanring")
            : spdlog::create_async_nb<spdlog::sinks::basic_file_sink_st>("banyanring", file);
    logger->set_pattern("%v");
    logger->flush_on(spdlog::level::warn);
    spdlog::set_default_logger(logger);
    spdlog::flush_every(FlushInterval);
}

auto closeLog() -> void
{
    writeDroppedCounts(bootClockNow() + std::chrono::seconds(1));
    spdlog::shutdown();
}

auto logDroppedLines() -> void
{
    writeDroppedCounts(bootClockNow());
}

auto droppedLogLines() -> LogCounts
{
    const std::scoped_lock lock(logState().mutex);
    return logState().admission.allDropped();
}

auto logKindName(LogKind kind) -> std::string_view
{
    switch (kind) {
    case LogKind::Served:
        return "served";
    case LogKind::State:
        return "state";
    case LogKind::Rejected:
        return "rejected";
    case LogKind::Failed:
        return "failed";
    }
    return "";
}

auto logEvent(std::string_view event, std::initializer_list<LogField> fields, LogKind kind) -> void
{
    logDroppedLines();
    auto &state = logState();
    std::unique_lock lock(state.mutex);
    if (!state.admission.admit(kind, bootClockNow())) {
        return;
    }
    const auto dropped = state.admission.takeDroppedLines();
    lock.unlock();
    writeLine(event, {fields.begin(), fields.size()}, kind, dropped);
}

} // namespace banyanring
