/** @file explain_logs.cpp Finds the cause of a request's fate in collected logs. */
#include "commands.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace banyanring::tool {

namespace {

using nlohmann::json;

/** News of the last seconds before a request may have decided its fate. */
constexpr std::int64_t ContextBeforeMs = 5000;
constexpr std::int64_t SameTimeMs = 1000; ///< Failures this near have one cause most often.
constexpr std::int64_t ContextAfterMs = 500; ///< Clocks of VMs differ by less.

/** What each outcome of a request means for the one on call. */
const std::map<std::string, std::string, std::less<>> Meanings{
    {"answered", "a server answered it"},
    {"no_config", "the node knew no configuration yet"},
    {"no_route", "no route of the configuration in force takes it"},
    {"bad_key", "its key is unknown or was withdrawn"},
    {"over_quota", "its organisation was beyond its limit over all nodes"},
    {"crash_suspect", "requests like it were running when three servers broke off"},
    {"overload", "it would have waited too long for a free slot"},
    {"no_server", "no server of its service may be used"},
    {"timed_out", "its time was over"},
    {"server_failed", "the server broke off or answered wrongly, and it may not run again"},
    {"caller_gone", "the caller left before the answer was complete"},
    {"stopping", "the node was stopping"},
};

/** One line of a log. */
struct Line
{
    std::int64_t atMs = 0;
    json fields;
};

/** Reads lines that hold a JSON object, with or without something before it. */
auto readLines(std::istream &stream, std::vector<Line> &lines) -> void
{
    std::string text;
    while (std::getline(stream, text)) {
        const auto brace = text.find('{');
        if (brace == std::string::npos) {
            continue;
        }
        auto fields = json::parse(text.begin() + static_cast<std::ptrdiff_t>(brace), text.end(),
                                  nullptr, false);
        if (fields.is_object() && fields.contains("event") && fields.contains("ts_ms")) {
            lines.push_back({fields["ts_ms"].get<std::int64_t>(), std::move(fields)});
        }
    }
}

/** @return All lines of all logs in the order of their times. */
auto readLogs(std::span<const std::string> words) -> std::vector<Line>
{
    std::vector<Line> lines;
    for (const auto &word : words) {
        if (word == "-") {
            readLines(std::cin, lines);
        } else if (std::filesystem::is_directory(word)) {
            for (const auto &entry : std::filesystem::recursive_directory_iterator(word)) {
                if (entry.is_regular_file()) {
                    std::ifstream file(entry.path());
                    readLines(file, lines);
                }
            }
        } else {
            std::ifstream file(word);
            readLines(file, lines);
        }
    }
    std::stable_sort(lines.begin(), lines.end(),
                     [](const Line &left, const Line &right) { return left.atMs < right.atMs; });
    return lines;
}

/** @return The servers that a request's steps name. */
auto serversOf(const json &request) -> std::set<std::string>
{
    static const std::set<std::string> ServerSteps{
        "placed:", "server_failed:", "rejected:", "unreachable:"};
    std::set<std::string> names;
    for (const auto &step : request.value("steps", json::array())) {
        std::istringstream words(step.get<std::string>());
        std::string word;
        while (words >> word && !ServerSteps.contains(word)) {
        }
        if (words >> word) {
            names.insert(word);
        }
    }
    return names;
}

/** @return Whether a line tells of something that a request's fate may stand on. */
auto concerns(const Line &line, const json &request, const std::set<std::string> &servers) -> bool
{
    const auto event = line.fields.value("event", "");
    if (event == "request" || event == "member_joined") {
        return false;
    }
    if (line.fields.contains("server")) {
        return servers.contains(line.fields.value("server", ""));
    }
    return line.fields.value("node", "") == request.value("node", "");
}

/** Prints a line's fields but for those that are said otherwise. */
auto printFields(const json &fields) -> void
{
    for (const auto &[name, value] : fields.items()) {
        if (name != "ts_ms" && name != "event" && name != "node" && name != "steps") {
            std::cout << "  " << name << "=" << value.dump();
        }
    }
    std::cout << "\n";
}

/** Counts the requests that failed at some servers around a time. */
auto failuresAround(const std::vector<Line> &lines, const std::set<std::string> &servers,
                    std::int64_t atMs) -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(lines.begin(), lines.end(), [&](const Line &line) {
            const auto outcome = line.fields.value("outcome", "");
            const auto named = serversOf(line.fields);
            return std::abs(line.atMs - atMs) <= SameTimeMs
                   && (outcome == "server_failed" || outcome == "timed_out")
                   && std::any_of(named.begin(), named.end(),
                                  [&](const std::string &name) { return servers.contains(name); });
        }));
}

/** Prints one try of a request with what was believed around it. */
auto printStory(const Line &found, const std::vector<Line> &lines) -> void
{
    const auto &request = found.fields;
    const auto outcome = request.value("outcome", "");
    const auto begunMs = found.atMs - request.value("took_ms", std::int64_t{0});
    const auto meaning = Meanings.find(outcome);
    std::cout << "node " << request.value("node", "") << ", configuration "
              << request.value("config", std::int64_t{0}) << ":\n";
    for (const auto &step : request.value("steps", json::array())) {
        std::cout << "  " << step.get<std::string>() << "\n";
    }
    std::cout << "cause: " << outcome << ": "
              << (meaning == Meanings.end() ? "not known to this version" : meaning->second)
              << "\n";
    std::cout << (request.value("may_have_run", false) ? "it may have run" : "it has not run")
              << "; news that the node and its servers had around it:\n";
    const auto servers = serversOf(request);
    if (!servers.empty()) {
        std::cout << "  " << failuresAround(lines, servers, found.atMs)
                  << " requests failed at its servers within a second\n";
    }
    for (const auto &line : lines) {
        if (line.atMs < begunMs - ContextBeforeMs || line.atMs > found.atMs + ContextAfterMs
            || !concerns(line, request, servers)) {
            continue;
        }
        std::cout << "  " << line.atMs - begunMs << " ms  " << line.fields.value("node", "") << "  "
                  << line.fields.value("event", "");
        printFields(line.fields);
    }
}

} // namespace

auto namesLogs(const std::string &word) -> bool
{
    return word == "-" || std::filesystem::exists(word);
}

auto explainFromLogs(const Arguments &arguments) -> int
{
    const auto &id = arguments.words.front();
    const auto lines = readLogs(std::span(arguments.words).subspan(1));
    auto all = json::array();
    for (const auto &line : lines) {
        if (line.fields.value("event", "") != "request"
            || line.fields.value("request_id", "") != id) {
            continue;
        }
        all.push_back(line.fields);
        if (!arguments.json) {
            printStory(line, lines);
        }
    }
    if (arguments.json) {
        std::cout << all.dump(2) << "\n";
    } else if (all.empty()) {
        std::cout << "no log line tells of " << id << "\n";
    }
    return all.empty() ? ExitNot : ExitDone;
}

} // namespace banyanring::tool
