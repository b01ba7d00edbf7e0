/** @file main.cpp Entry point of the daemon on the platform. */
#include "gateway.h"

#include "banyanring/adapters/log_func.h"
#include "settings_file.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <malloc.h>

namespace {

constexpr int ExitUsage = 2; ///< The settings file is missing or malformed.
constexpr int ExitFailure = 1; ///< Any other error.
constexpr std::int64_t InfoLinesPerSecond = 20; ///< Bounds the cost of logging under load.
/** Larger blocks go back to the system once released. By default the largest one raises this. */
constexpr int MinReturnedBlockBytes = 128 << 10;

} // namespace

auto main() -> int
{
    const char *path = std::getenv(banyanring::platform::SettingsVariable);
    if (path == nullptr) {
        std::cerr << "banyanringd: " << banyanring::platform::SettingsVariable
                  << " must hold the path of the settings file\n";
        return ExitUsage;
    }
    std::signal(SIGPIPE, SIG_IGN);
    mallopt(M_MMAP_THRESHOLD, MinReturnedBlockBytes);
    try {
        const auto readSettings = [file = std::string(path)] {
            return banyanring::platform::parseSettings(
                banyanring::platform::readSettingsText(file));
        };
        const auto settings = readSettings();
        banyanring::openLog("-", settings.nodeName, InfoLinesPerSecond);
        banyanring::gateway::Gateway gateway(settings, readSettings);
        gateway.run();
        banyanring::closeLog();
        return 0;
    } catch (const banyanring::platform::SettingsFileError &error) {
        std::cerr << "banyanringd: " << path << ": " << error.what() << "\n";
        return ExitUsage;
    } catch (const std::exception &error) {
        std::cerr << "banyanringd: " << error.what() << "\n";
        return ExitFailure;
    }
}
