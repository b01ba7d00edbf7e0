/** @file explain_logs.cpp Explains the outcome of a request from collected logs. */
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

/** Events of the last seconds before a request may have caused its outcome. */
constexpr std::int64_t ContextBeforeMs = 5000;
/** Failures within this time mostly have the same cause. */
constexpr std::int64_t SameCauseWindowMs = 1000;
constexpr std::int64_t ContextAfterMs = 500; ///< Above the clock skew between VMs.

/** Explanation of each outcome for the operator on call. */
const std::map<std::string, std::string, std::less<>> OutcomeExplanations{
    {"answered", "a server sent the complete response"},
    {"no_config", "the node had no configuration yet"},
    {"no_route", "no route of the configuration in force matches it"},
    {"bad_key", "its API key is unknown or was revoked"},
    {"over_quota", "its organisation exceeded its quota over all nodes"},
    {"crash_suspect", "requests like it were running when three servers failed"},
    {"overload", "the expected wait for a free slot was too long"},
    {"no_server", "no server of its service was usable"},
    {"timed_out", "its deadline passed"},
    {"server_failed", "the server failed or sent an invalid response, and a retry was not allowed"},
    {"caller_gone", "the caller disconnected before the response was complete"},
    {"stopping", "the node was stopping"},
};

/** One line of a log. */
struct LogLine
{
    std::int64_t timeMs = 0; ///< Milliseconds since the epoch.
    json fields;
};

/** Appends the log lines of a stream: JSON objects, which may have a prefix such as a timestamp. */
auto readLines(std::istream &stream, std::vector<LogLine> &lines) -> void
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

/** @return The lines of all logs, sorted by time. */
auto readLogs(std::span<const std::string> words) -> std::vector<LogLine>
{
    std::vector<LogLine> lines;
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
    std::stable_sort(lines.begin(), lines.end(), [](const LogLine &left, const LogLine &right) {
        return left.timeMs < right.timeMs;
    });
    return lines;
}

/** @return Names of the servers in the steps of a request. */
auto serversOf(const json &request) -> std::set<std::string>
{
    static const std::set<std::string> StepsWithServer{
        "placed:", "server_failed:", "rejected:", "unreachable:"};
    std::set<std::string> names;
    for (const auto &step : request.value("steps", json::array())) {
        std::istringstream words(step.get<std::string>());
        std::string word;
        while (words >> word && !StepsWithServer.contains(word)) {
        }
        if (words >> word) {
            names.insert(word);
        }
    }
    return names;
}

/** @return Whether an event may have influenced a request: events of its node and its servers. */
auto isRelevant(const LogLine &line, const json &request, const std::set<std::string> &servers)
    -> bool
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

/** Prints the fields of a line, without those that are printed elsewhere. */
auto printFields(const json &fields) -> void
{
    for (const auto &[name, value] : fields.items()) {
        if (name != "ts_ms" && name != "event" && name != "node" && name != "steps") {
            std::cout << "  " << name << "=" << value.dump();
        }
    }
    std::cout << "\n";
}

/** Counts the requests that failed at any of some servers around a time. */
auto countFailures(const std::vector<LogLine> &lines, const std::set<std::string> &servers,
                   std::int64_t timeMs) -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(lines.begin(), lines.end(), [&](const LogLine &line) {
            const auto outcome = line.fields.value("outcome", "");
            const auto named = serversOf(line.fields);
            return std::abs(line.timeMs - timeMs) <= SameCauseWindowMs
                   && (outcome == "server_failed" || outcome == "timed_out")
                   && std::any_of(named.begin(), named.end(),
                                  [&](const std::string &name) { return servers.contains(name); });
        }));
}

/** Prints one attempt of a request and the events around it. */
auto printAttempt(const LogLine &found, const std::vector<LogLine> &lines) -> void
{
    const auto &request = found.fields;
    const auto outcome = request.value("outcome", "");
    const auto startMs = found.timeMs - request.value("took_ms", std::int64_t{0});
    const auto explanation = OutcomeExplanations.find(outcome);
    std::cout << "node " << request.value("node", "") << ", configuration "
              << request.value("config", std::int64_t{0}) << ":\n";
    for (const auto &step : request.value("steps", json::array())) {
        std::cout << "  " << step.get<std::string>() << "\n";
    }
    std::cout << "cause: " << outcome << ": "
              << (explanation == OutcomeExplanations.end() ? "unknown to this version of the tool"
                                                           : explanation->second)
              << "\n";
    std::cout << (request.value("may_have_run", false) ? "it may have run" : "it has not run")
              << "; events of its node and its servers around it:\n";
    const auto servers = serversOf(request);
    if (!servers.empty()) {
        std::cout << "  " << countFailures(lines, servers, found.timeMs)
                  << " requests failed at its servers within a second\n";
    }
    for (const auto &line : lines) {
        if (line.timeMs < startMs - ContextBeforeMs || line.timeMs > found.timeMs + ContextAfterMs
            || !isRelevant(line, request, servers)) {
            continue;
        }
        std::cout << "  " << line.timeMs - startMs << " ms  " << line.fields.value("node", "")
                  << "  " << line.fields.value("event", "");
        printFields(line.fields);
    }
}

} // namespace

auto isLogSource(const std::string &word) -> bool
{
    return word == "-" || std::filesystem::exists(word);
}

auto explainFromLogs(const Arguments &arguments) -> int
{
    const auto &id = arguments.positional.front();
    const auto lines = readLogs(std::span(arguments.positional).subspan(1));
    auto attempts = json::array();
    for (const auto &line : lines) {
        if (line.fields.value("event", "") != "request"
            || line.fields.value("request_id", "") != id) {
            continue;
        }
        attempts.push_back(line.fields);
        if (!arguments.json) {
            printAttempt(line, lines);
        }
    }
    if (arguments.json) {
        std::cout << attempts.dump(2) << "\n";
    } else if (attempts.empty()) {
        std::cout << "no log line has request " << id << "\n";
    }
    return attempts.empty() ? ExitNegative : ExitSuccess;
}

} // namespace banyanring::tool
