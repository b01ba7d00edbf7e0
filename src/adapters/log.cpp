/** @file log.cpp Structured log: JSON lines, rate-limited. */
#include "banyanring/adapters/log_func.h"

#include "banyanring/ports/clock_func.h"

#include <array>
#include <mutex>
#include <nlohmann/json.hpp>
#include <spdlog/async.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace banyanring {

namespace {

constexpr std::size_t BufferedLines = 4096; ///< Capacity of the queue to the writing thread.
constexpr std::chrono::seconds FlushInterval{1}; ///< Maximum delay until a line is in the file.

/** State of the rate limiter and fields of every line. */
struct LogState
{
    std::mutex mutex;
    std::string node;
    std::int64_t linesPerSecond = 0; ///< Rate limit of Info lines.
    std::int64_t second = 0; ///< Second of the boot clock in which lines are counted.
    std::array<std::int64_t, 2> lines{}; ///< Lines written in it, by level.
    std::int64_t dropped = 0; ///< Lines dropped since the last one that was written.
};

/** @return State of the log of this process. */
auto logState() -> LogState &
{
    static LogState state;
    return state;
}

/** @return Number of lines dropped before this one; -1 if the rate limit drops this one too. */
auto admitLine(LogLevel level) -> std::int64_t
{
    auto &state = logState();
    const std::scoped_lock lock(state.mutex);
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(bootClockNow()).count();
    if (second != state.second) {
        state.second = second;
        state.lines = {};
    }
    const auto index = static_cast<std::size_t>(level);
    const auto limit = level == LogLevel::Info ? state.linesPerSecond : 2 * state.linesPerSecond;
    if (state.lines.at(index) >= limit) {
        ++state.dropped;
        return -1;
    }
    ++state.lines.at(index);
    return std::exchange(state.dropped, 0);
}

} // namespace

auto openLog(const std::string &file, const std::string &node, std::int64_t linesPerSecond) -> void
{
    logState().node = node;
    logState().linesPerSecond = linesPerSecond;
    spdlog::init_thread_pool(BufferedLines, 1);
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
    spdlog::shutdown();
}

auto logEvent(std::string_view event, std::initializer_list<LogField> fields, LogLevel level)
    -> void
{
    const auto dropped = admitLine(level);
    if (dropped < 0) {
        return;
    }
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
    spdlog::log(level == LogLevel::Info ? spdlog::level::info : spdlog::level::warn, "{}", text);
}

} // namespace banyanring
