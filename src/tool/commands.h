/** @file commands.h The commands of banyanringctl. */
#pragma once

#include <functional>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace banyanring::tool {

constexpr int ExitDone = 0; ///< Done.
constexpr int ExitNot = 1; ///< What was asked about is not so or not there.
constexpr int ExitUsage = 2; ///< Bad command line.
constexpr int ExitNoAnswer = 3; ///< A node or the platform did not answer.

/** What stands on the command line behind the command's name. */
struct Arguments
{
    std::vector<std::string> words;
    bool json = false; ///< Print JSON.
};

/** The command line is not usable. */
class UsageError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** One command. */
struct Command
{
    std::string_view name;
    std::string_view usage;
    std::string_view help;
    std::function<int(const Arguments &)> run; ///< Gives the exit status.
};

/** @return All commands. */
auto commandTable() -> std::span<const Command>;

/**
 * Reads a URL.
 * @param address "host:port".
 * @param path Path and query.
 * @return The body.
 * @throws std::runtime_error without an answer or with another status than 200.
 */
auto httpGet(const std::string &address, const std::string &path) -> std::string;

/**
 * Checks a file of any kind that this project reads: a deploy file (.toml), the platform's settings
 * (.conf), a published configuration (JSON with routes) or a daemon's settings.
 * @param file Its path.
 * @return Faults, each with file and line and what is allowed; empty if it is usable.
 */
auto checkFile(const std::string &file) -> std::vector<std::string>;

/** @return Exit status of "check FILE..." */
auto runCheck(const Arguments &arguments) -> int;
/** @return Exit status of "collect DIR..." */
auto runCollect(const Arguments &arguments) -> int;
/** @return Exit status of "key digest KEY". */
auto runKey(const Arguments &arguments) -> int;
/** @return Exit status of "status NODE..." */
auto runStatus(const Arguments &arguments) -> int;
/** @return Exit status of "dump NODE". */
auto runDump(const Arguments &arguments) -> int;
/**
 * Tells whether a word names logs rather than a node.
 * @param word "-" for standard input, a file or a folder of files.
 * @return Whether it does.
 */
auto namesLogs(const std::string &word) -> bool;
/** @return Exit status of "explain REQUEST-ID LOGS..." */
auto explainFromLogs(const Arguments &arguments) -> int;
/** @return Exit status of "explain REQUEST-ID NODE..." */
auto runExplain(const Arguments &arguments) -> int;
/** @return Exit status of "send ENTRY PATH KEY BODY". */
auto runSend(const Arguments &arguments) -> int;

} // namespace banyanring::tool
