/** @file settings_type.h Settings of the daemon and the table that defines them. */
#pragma once

#include "banyanring/core/node_settings_type.h"

#include <filesystem>
#include <span>
#include <stdexcept>
#include <string>
#include <variant>

namespace banyanring {

/** Settings of one daemon. */
struct Settings
{
    std::int64_t node = 0;
    std::string entryListen;
    std::string peerListen;
    std::string operatorListen;
    std::string platform;
    std::string domain;
    std::string logFile;
    std::int64_t lapseMs = 0;
    std::int64_t pullMs = 0;
    std::int64_t gossipEntries = 0;
    std::int64_t tokenLoanMs = 0;
    std::int64_t slotLoanMs = 0;
    std::int64_t gatherMs = 0;
    std::int64_t partRate = 0;
    std::int64_t minPartBurst = 0;
    std::int64_t minParts = 0;
    std::int64_t slotBlock = 0;
    std::int64_t reportFreshMs = 0;
    std::int64_t waitRoom = 0;
    std::int64_t ticketMs = 0;
    std::int64_t answerKeepMs = 0;
    std::int64_t answerMb = 0;
    std::int64_t ticketCount = 0;
    std::int64_t addressKeepMs = 0;
    std::int64_t drainMs = 0;
    std::int64_t suspectKeepMs = 0;
    std::int64_t decisionCount = 0;
    std::int64_t longSharePercent = 0;
    std::int64_t pollMs = 0;
    std::int64_t progressMs = 0;
    std::int64_t bodyKb = 0;
    std::int64_t callCount = 0;
    std::int64_t httpThreads = 0;
    std::int64_t logRate = 0;
};

/** One row of the settings table. */
struct SettingRow
{
    std::string_view name; ///< Name in the settings file.
    std::variant<std::int64_t Settings::*, std::string Settings::*> member; ///< Where it is kept.
    std::int64_t least = 0; ///< Least value of a number.
    std::int64_t most = 0; ///< Greatest value of a number.
    std::string_view defaultText; ///< Default as text; empty for a setting that must be given.
    std::string_view unit; ///< Unit or form.
    std::string_view help; ///< What it does.
};

/** A settings file is not usable. */
class SettingsError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** @return The settings table: the one source of names, ranges, defaults and help. */
auto settingsTable() -> std::span<const SettingRow>;

/**
 * Reads a settings file (JSON with comments).
 * @param file Its path.
 * @return The settings.
 * @throws SettingsError naming file, line, setting, value and what is allowed.
 */
auto readSettings(const std::filesystem::path &file) -> Settings;

/** @return The table as a settings file with every default and a comment on each. */
auto defaultSettingsText() -> std::string;

/**
 * Picks the decision core's settings.
 * @param settings The daemon's settings.
 * @return The core's.
 */
auto nodeSettings(const Settings &settings) -> NodeSettings;

} // namespace banyanring
