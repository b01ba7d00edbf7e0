/** @file main.cpp Entry point of banyanringd. */
#include "daemon.h"

#include "banyanring/adapters/log_func.h"
#include "banyanring/core/invariant_func.h"

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <pplx/threadpool.h>

namespace {

constexpr int ExitUsage = 2; ///< The command line or the settings are invalid.
constexpr int ExitInvariant = 3; ///< An invariant of the core failed; the process stopped at once.
constexpr int ExitFailure = 1; ///< Any other error.

std::atomic<bool> stopRequested = false; // NOLINT: a signal handler can only use global state.

/** Requests a graceful shutdown. */
extern "C" auto requestStop(int) -> void
{
    stopRequested = true;
}

/** Runs the daemon with the settings in @p file. */
[[noreturn]] auto serve(const std::string &file) -> void
{
    const auto settings = banyanring::readSettings(file);
    crossplat::threadpool::initialize_with_threads(static_cast<std::size_t>(settings.httpThreads));
    banyanring::openLog(settings.logFile, std::to_string(settings.node), settings.logRate);
    std::signal(SIGTERM, requestStop);
    std::signal(SIGINT, requestStop);
    std::signal(SIGPIPE, SIG_IGN);
    try {
        banyanring::Daemon daemon(settings);
        daemon.run(stopRequested);
        // All responses have been sent. The destructors are skipped because nng_close() can block
        // for ever on the sockets between nodes; the operating system closes them.
        banyanring::closeLog();
        std::_Exit(0);
    } catch (const banyanring::InvariantError &error) {
        banyanring::logEvent("invariant_broken", {{"error", error.what()}});
        std::cerr << error.what() << "\n" << std::flush;
        std::_Exit(ExitInvariant);
    }
}

} // namespace

auto main(int argc, char **argv) -> int
{
    cxxopts::Options options("banyanringd", "Request scheduler daemon; runs on each entry VM");
    options.add_options()("settings", "Settings file (JSON with comments)",
                          cxxopts::value<std::string>())("check",
                                                         "Check the settings file and exit")(
        "print-defaults", "Print a settings file with all defaults and exit")("help",
                                                                              "Print this help");
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help() << "\nExit status: 0 graceful stop, 1 failure, 2 invalid"
                      << " command line or settings, 3 failed invariant.\n";
            return 0;
        }
        if (parsed.count("print-defaults") > 0) {
            std::cout << banyanring::defaultSettingsText();
            return 0;
        }
        if (parsed.count("settings") == 0) {
            std::cerr << "banyanringd: --settings FILE is required\n" << options.help();
            return ExitUsage;
        }
        const auto file = parsed["settings"].as<std::string>();
        if (parsed.count("check") > 0) {
            banyanring::readSettings(file);
            std::cout << file << ": usable\n";
            return 0;
        }
        serve(file);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "banyanringd: " << error.what() << "\n";
        return ExitUsage;
    } catch (const banyanring::SettingsError &error) {
        std::cerr << "banyanringd: " << error.what() << "\n";
        return ExitUsage;
    } catch (const std::exception &error) {
        std::cerr << "banyanringd: " << error.what() << "\n";
        return ExitFailure;
    }
}
