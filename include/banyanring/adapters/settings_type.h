/** @file settings_type.h Settings of a daemon and the table that defines them. */
#pragma once

#include "banyanring/core/node_settings_type.h"

#include <filesystem>
#include <span>
#include <stdexcept>
#include <string>
#include <variant>

namespace banyanring {

/**
 * Settings of one daemon. Each member is named after its key in the settings file (lapseMs after
 * "lapse_ms"); settingsTable() has its meaning, unit, range and default.
 */
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
struct SettingDefinition
{
    std::string_view name; ///< Key in the settings file.
    /** Member that holds the value. */
    std::variant<std::int64_t Settings::*, std::string Settings::*> member;
    std::int64_t minimum = 0; ///< Minimum of a number.
    std::int64_t maximum = 0; ///< Maximum of a number.
    std::string_view defaultText; ///< Default as text; empty if the setting is required.
    std::string_view unit; ///< Unit of a number or format of a text.
    std::string_view help; ///< Meaning.
};

/** A settings file cannot be read or is invalid. */
class SettingsError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** @return The settings table, the single source of names, ranges, defaults and help texts. */
auto settingsTable() -> std::span<const SettingDefinition>;

/**
 * Reads and validates a settings file (JSON with comments).
 * @param file Path of the file.
 * @return The settings, with defaults for those that are not in the file.
 * @throws SettingsError giving file, line, setting, value and allowed values.
 */
auto readSettings(const std::filesystem::path &file) -> Settings;

/** @return A settings file with every setting at its default and a comment on each. */
auto defaultSettingsText() -> std::string;

/**
 * Extracts the settings of the decision core.
 * @param settings Settings of the daemon.
 * @return Settings of the core.
 */
auto nodeSettings(const Settings &settings) -> NodeSettings;

} // namespace banyanring
