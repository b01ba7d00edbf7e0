/** @file log.cpp Logs as JSON lines, at a bounded rate. */
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

constexpr std::size_t BufferedLines = 4096; ///< Lines that wait for the writing thread.
constexpr std::chrono::seconds FlushInterval{1}; ///< A reader sees a line within it.

/** State of the log of this process. */
struct LogState
{
    std::mutex mutex;
    std::string node;
    std::int64_t limit = 0; ///< Calm lines a second.
    std::int64_t second = 0; ///< The running second.
    std::array<std::int64_t, 2> lines{}; ///< Lines in it, by class.
    std::int64_t dropped = 0;
};

/** @return The state of the log. */
auto logState() -> LogState &
{
    static LogState state;
    return state;
}

/** @return Lines dropped before this one, or -1 if this one has to be dropped as well. */
auto admitLine(LogClass logClass) -> std::int64_t
{
    auto &state = logState();
    const std::scoped_lock lock(state.mutex);
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(bootNow()).count();
    if (second != state.second) {
        state.second = second;
        state.lines = {};
    }
    const auto index = static_cast<std::size_t>(logClass);
    const auto limit = logClass == LogClass::Calm ? state.limit : 2 * state.limit;
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
    logState().limit = linesPerSecond;
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

auto flushLog() -> void
{
    spdlog::shutdown();
}

auto logEvent(std::string_view event, std::initializer_list<LogField> fields, LogClass logClass)
    -> void
{
    const auto dropped = admitLine(logClass);
    if (dropped < 0) {
        return;
    }
    nlohmann::ordered_json line;
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    line["ts_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(wall).count();
    line["node"] = logState().node;
    line["event"] = event;
    for (const auto &[name, value] : fields) {
        std::visit([&line, name = name](const auto &held) { line[std::string(name)] = held; },
                   value);
    }
    if (dropped > 0) {
        line["lines_dropped"] = dropped;
    }
    const auto text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    spdlog::log(logClass == LogClass::Calm ? spdlog::level::info : spdlog::level::warn, "{}", text);
}

} // namespace banyanring
