/** @file log.cpp Logs as JSON lines, at a bounded rate. */
#include "banyanring/adapters/log_func.h"

#include "banyanring/ports/clock_func.h"

#include <mutex>
#include <nlohmann/json.hpp>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace banyanring {

namespace {

/** State of the log of this process. */
struct LogState
{
    std::mutex mutex;
    std::uint16_t node = 0;
    std::int64_t limit = 0; ///< Lines a second.
    std::int64_t second = 0; ///< The running second.
    std::int64_t lines = 0; ///< Lines in it.
    std::int64_t dropped = 0;
};

/** @return The state of the log. */
auto logState() -> LogState &
{
    static LogState state;
    return state;
}

/** @return Lines dropped before this one, or -1 if this one has to be dropped as well. */
auto admitLine() -> std::int64_t
{
    auto &state = logState();
    const std::scoped_lock lock(state.mutex);
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(bootNow()).count();
    if (second != state.second) {
        state.second = second;
        state.lines = 0;
    }
    if (state.lines >= state.limit) {
        ++state.dropped;
        return -1;
    }
    ++state.lines;
    return std::exchange(state.dropped, 0);
}

} // namespace

auto openLog(const std::string &file, std::uint16_t node, std::int64_t linesPerSecond) -> void
{
    logState().node = node;
    logState().limit = linesPerSecond;
    auto logger = file == "-" ? spdlog::stdout_logger_mt("banyanring")
                              : spdlog::basic_logger_mt("banyanring", file);
    logger->set_pattern("%v");
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(logger);
}

auto logEvent(std::string_view event, std::initializer_list<LogField> fields) -> void
{
    const auto dropped = admitLine();
    if (dropped < 0) {
        return;
    }
    nlohmann::ordered_json line;
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    line["ts_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(wall).count();
    line["node"] = logState().node;
    line["event"] = event;
    for (const auto &[name, value] : fields) {
        line[std::string(name)] = value;
    }
    if (dropped > 0) {
        line["lines_dropped"] = dropped;
    }
    spdlog::info("{}", line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace banyanring
