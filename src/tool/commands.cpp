/** @file commands.cpp The table of commands, and those that work on files. */
#include "commands.h"

#include "banyanring/adapters/config_codec.h"

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace banyanring::tool {

namespace {

using nlohmann::ordered_json;

const std::array<Command, 7> Table{{
    {"check", "check FILE...",
     "Check daemons' settings, the platform's settings (.conf), deploy files (.toml) and published "
     "configurations.",
     runCheck},
    {"collect", "collect DIR...",
     "Collect operators' files (*.json below the folders) into the published shards.", runCollect},
    {"status", "status NODE...", "Print a table of nodes, each given by its operator address.",
     runStatus},
    {"dump", "dump NODE", "Print the whole state of the node with that operator address.", runDump},
    {"explain", "explain REQUEST-ID NODE... | LOGS...",
     "Print the decisions on a request and its cause, from nodes or from collected logs (files, "
     "folders, - for standard input).",
     runExplain},
    {"key", "key digest KEY", "Print a key's digest, as the configuration holds it.", runKey},
    {"send", "send ENTRY PATH KEY BODY [--ticket]",
     "Send a request as a proper caller: ask ENTRY for the address, take a ticket with --ticket, "
     "print the answer.",
     runSend},
}};

/** @return The content of a file. */
auto contentOf(const std::filesystem::path &file) -> std::string
{
    std::ifstream stream(file);
    std::ostringstream content;
    content << stream.rdbuf();
    return content.str();
}

/** @return The operators' files below @p folders, sorted. */
auto sourcesBelow(const std::vector<std::string> &folders) -> std::vector<SourceFile>
{
    std::vector<SourceFile> files;
    for (const auto &folder : folders) {
        for (const auto &entry : std::filesystem::recursive_directory_iterator(folder)) {
            if (entry.is_regular_file() && entry.path().extension() == ".json") {
                files.push_back({entry.path().string(), contentOf(entry.path())});
            }
        }
    }
    std::sort(files.begin(), files.end(),
              [](const auto &left, const auto &right) { return left.name < right.name; });
    return files;
}

} // namespace

auto commandTable() -> std::span<const Command>
{
    return Table;
}

auto runCheck(const Arguments &arguments) -> int
{
    if (arguments.words.empty()) {
        throw UsageError("a file is needed");
    }
    int result = ExitDone;
    auto report = ordered_json::array();
    for (const auto &file : arguments.words) {
        const auto faults = checkFile(file);
        result = faults.empty() ? result : ExitNot;
        report.push_back({{"file", file}, {"usable", faults.empty()}, {"faults", faults}});
        if (arguments.json) {
            continue;
        }
        if (faults.empty()) {
            std::cout << file << ": usable\n";
        }
        for (const auto &fault : faults) {
            std::cout << fault << "\n";
        }
    }
    if (arguments.json) {
        std::cout << report.dump(2) << "\n";
    }
    return result;
}

auto runCollect(const Arguments &arguments) -> int
{
    if (arguments.words.empty()) {
        throw UsageError("a folder is needed");
    }
    try {
        auto output = ordered_json::object();
        for (const auto &[name, text] : collectShards(sourcesBelow(arguments.words))) {
            output["shards"][name] = ordered_json::parse(text);
        }
        std::cout << output.dump(1) << "\n";
        return ExitDone;
    } catch (const ConfigError &error) {
        for (const auto &fault : error.faults) {
            std::cerr << fault << "\n";
        }
        return ExitNot;
    }
}

auto runKey(const Arguments &arguments) -> int
{
    if (arguments.words.size() != 2 || arguments.words.front() != "digest") {
        throw UsageError("'digest' and a key are needed");
    }
    const auto digest = keyDigest(arguments.words.back());
    std::cout << (arguments.json ? ordered_json{{"digest", digest}}.dump() : digest) << "\n";
    return ExitDone;
}

} // namespace banyanring::tool
