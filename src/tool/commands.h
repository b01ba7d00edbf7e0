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
/** @return Exit status of "explain REQUEST-ID NODE..." */
auto runExplain(const Arguments &arguments) -> int;
/** @return Exit status of "send ENTRY PATH KEY BODY". */
auto runSend(const Arguments &arguments) -> int;

} // namespace banyanring::tool
