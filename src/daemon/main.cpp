/** @file main.cpp Entry point of banyanringd. */
#include "daemon.h"

#include "banyanring/adapters/log_func.h"
#include "banyanring/core/invariant_func.h"

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <pplx/threadpool.h>

namespace {

constexpr int ExitUsage = 2; ///< The command line or the settings are not usable.
constexpr int ExitInvariant = 3; ///< A promise would have been broken; the process stopped first.
constexpr int ExitFailure = 1; ///< Anything else.

std::atomic<bool> stopAsked = false; // NOLINT: a signal handler has no other way.

/** Asks for a graceful stop. */
extern "C" auto onSignal(int) -> void
{
    stopAsked = true;
}

/** Runs the daemon with the settings in @p file. */
[[noreturn]] auto serve(const std::string &file) -> void
{
    const auto settings = banyanring::readSettings(file);
    crossplat::threadpool::initialize_with_threads(static_cast<std::size_t>(settings.httpThreads));
    banyanring::openLog(settings.logFile, std::to_string(settings.node), settings.logRate);
    std::signal(SIGTERM, onSignal);
    std::signal(SIGINT, onSignal);
    std::signal(SIGPIPE, SIG_IGN);
    try {
        banyanring::Daemon daemon(settings);
        daemon.run(stopAsked);
        // All is answered by now. Closing the sockets between nodes in order can block for ever
        // inside nng_close(), so the system closes them.
        banyanring::flushLog();
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
    cxxopts::Options options("banyanringd", "Request scheduler daemon; one on each entry VM");
    options.add_options()("settings", "Settings file (JSON with comments)",
                          cxxopts::value<std::string>())("check",
                                                         "Check the settings file and exit")(
        "print-defaults", "Print every setting with its default and exit")("help",
                                                                           "Print this help");
    try {
        const auto given = options.parse(argc, argv);
        if (given.count("help") > 0) {
            std::cout << options.help() << "\nExit status: 0 stopped gracefully, 1 failure, 2 bad"
                      << " command line or settings, 3 invariant broken.\n";
            return 0;
        }
        if (given.count("print-defaults") > 0) {
            std::cout << banyanring::defaultSettingsText();
            return 0;
        }
        if (given.count("settings") == 0) {
            std::cerr << "banyanringd: --settings FILE is needed\n" << options.help();
            return ExitUsage;
        }
        const auto file = given["settings"].as<std::string>();
        if (given.count("check") > 0) {
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
