/** @file commands.h The commands of banyanringctl. */
#pragma once

#include <functional>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace banyanring::tool {

constexpr int ExitSuccess = 0; ///< Success.
/** The check failed, or the request was not found or not successful. */
constexpr int ExitNegative = 1;
constexpr int ExitUsage = 2; ///< Invalid command line.
constexpr int ExitNoResponse = 3; ///< A node did not respond.

/** Command line after the name of the command. */
struct Arguments
{
    std::vector<std::string> positional;
    bool json = false; ///< --json was given: print JSON.
};

/** The command line is invalid. */
class UsageError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** A command of the tool. */
struct Command
{
    std::string_view name;
    std::string_view usage; ///< Usage line.
    std::string_view help; ///< Description.
    std::function<int(const Arguments &)> run; ///< Returns the exit status.
};

/** @return All commands. */
auto commandTable() -> std::span<const Command>;

/**
 * Sends a GET request and waits for the response.
 * @param address "host:port".
 * @param path Path and query.
 * @return The response body.
 * @throws std::exception without a response, or with a status other than 200.
 */
auto httpGet(const std::string &address, const std::string &path) -> std::string;

/**
 * Validates a file of any format that this project reads: a deploy file (.toml), settings of a
 * daemon on the platform (.conf), a published configuration (JSON with routes) or settings of a
 * daemon (JSON).
 * @param file Path of the file.
 * @return Errors with file, line and allowed values; empty if the file is valid.
 */
auto checkFile(const std::string &file) -> std::vector<std::string>;

/** Runs "check FILE..."; returns the exit status. */
auto runCheck(const Arguments &arguments) -> int;
/** Runs "collect DIR..."; returns the exit status. */
auto runCollect(const Arguments &arguments) -> int;
/** Runs "key digest KEY"; returns the exit status. */
auto runKey(const Arguments &arguments) -> int;
/** Runs "status NODE..."; returns the exit status. */
auto runStatus(const Arguments &arguments) -> int;
/** Runs "dump NODE"; returns the exit status. */
auto runDump(const Arguments &arguments) -> int;
/**
 * Distinguishes logs from nodes on the command line.
 * @param word An argument.
 * @return Whether it names logs: "-" for standard input, or an existing file or directory.
 */
auto isLogSource(const std::string &word) -> bool;
/** Runs "explain REQUEST-ID LOGS..."; returns the exit status. */
auto explainFromLogs(const Arguments &arguments) -> int;
/** Runs "explain REQUEST-ID NODE..."; returns the exit status. */
auto runExplain(const Arguments &arguments) -> int;
/** Runs "send ENTRY PATH KEY BODY"; returns the exit status. */
auto runSend(const Arguments &arguments) -> int;

} // namespace banyanring::tool
