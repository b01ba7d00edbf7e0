/** @file main.cpp Entry point of the daemon on the platform. */
#include "gateway.h"

#include "banyanring/adapters/log_func.h"
#include "settings_file.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace {

constexpr int ExitUsage = 2; ///< The settings are not usable.
constexpr int ExitFailure = 1; ///< Anything else.
constexpr std::int64_t CalmLinesPerSecond = 20; ///< Bounds what logging costs under load.

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
    try {
        const auto read = [file = std::string(path)] {
            return banyanring::platform::parseSettings(
                banyanring::platform::readSettingsText(file));
        };
        const auto environment = read();
        banyanring::openLog("-", environment.node, CalmLinesPerSecond);
        banyanring::gateway::Gateway gateway(environment, read);
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
