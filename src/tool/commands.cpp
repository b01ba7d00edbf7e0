/** @file commands.cpp The command table, and the commands that read files. */
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
     "Validate settings of daemons (JSON, or .conf on the platform), deploy files (.toml) and "
     "published configurations.",
     runCheck},
    {"collect", "collect DIR...",
     "Merge the operators' files (*.json below the directories) into configuration shards.",
     runCollect},
    {"status", "status NODE...", "Print a table of nodes, given by their operator addresses.",
     runStatus},
    {"dump", "dump NODE", "Print the state dump of the node with this operator address.", runDump},
    {"explain", "explain REQUEST-ID NODE... | LOGS...",
     "Print the decisions on a request and its outcome, from nodes or from collected logs (files, "
     "directories, - for standard input).",
     runExplain},
    {"key", "key digest KEY",
     "Print the digest of an API key, for the section \"keys\" of the configuration.", runKey},
    {"send", "send ENTRY PATH KEY BODY [--ticket]",
     "Send a request as callers should: get the addresses from ENTRY, get a ticket with --ticket, "
     "print the response.",
     runSend},
}};

/** @return The content of a file; empty if it cannot be read. */
auto readFile(const std::filesystem::path &file) -> std::string
{
    std::ifstream stream(file);
    std::ostringstream buffer;
    buffer << stream.rdbuf();
    return buffer.str();
}

/** @return All JSON files below @p directories, sorted by path. */
auto findSourceFiles(const std::vector<std::string> &directories) -> std::vector<ConfigSourceFile>
{
    std::vector<ConfigSourceFile> files;
    for (const auto &directory : directories) {
        for (const auto &entry : std::filesystem::recursive_directory_iterator(directory)) {
            if (entry.is_regular_file() && entry.path().extension() == ".json") {
                files.push_back({entry.path().string(), readFile(entry.path())});
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
    if (arguments.positional.empty()) {
        throw UsageError("at least one file is required");
    }
    int result = ExitSuccess;
    auto report = ordered_json::array();
    for (const auto &file : arguments.positional) {
        const auto errors = checkFile(file);
        result = errors.empty() ? result : ExitNegative;
        report.push_back({{"file", file}, {"usable", errors.empty()}, {"faults", errors}});
        if (arguments.json) {
            continue;
        }
        if (errors.empty()) {
            std::cout << file << ": usable\n";
        }
        for (const auto &error : errors) {
            std::cout << error << "\n";
        }
    }
    if (arguments.json) {
        std::cout << report.dump(2) << "\n";
    }
    return result;
}

auto runCollect(const Arguments &arguments) -> int
{
    if (arguments.positional.empty()) {
        throw UsageError("at least one directory is required");
    }
    try {
        auto output = ordered_json::object();
        for (const auto &[name, text] : collectShards(findSourceFiles(arguments.positional))) {
            output["shards"][name] = ordered_json::parse(text);
        }
        std::cout << output.dump(1) << "\n";
        return ExitSuccess;
    } catch (const ConfigError &error) {
        for (const auto &error : error.errors) {
            std::cerr << error << "\n";
        }
        return ExitNegative;
    }
}

auto runKey(const Arguments &arguments) -> int
{
    if (arguments.positional.size() != 2 || arguments.positional.front() != "digest") {
        throw UsageError("'digest' and a key are required");
    }
    const auto digest = keyDigest(arguments.positional.back());
    std::cout << (arguments.json ? ordered_json{{"digest", digest}}.dump() : digest) << "\n";
    return ExitSuccess;
}

} // namespace banyanring::tool
