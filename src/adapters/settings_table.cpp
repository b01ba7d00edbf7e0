/** @file settings_table.cpp The settings table and its reader. */
#include "banyanring/adapters/settings_type.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace banyanring {

namespace {

constexpr std::int64_t Hour = 3600 * 1000; ///< In milliseconds.

const std::array<SettingRow, 34> Table{{
    {"node", &Settings::node, 1, 65535, "", "number", "Number of this VM in the published list"},
    {"entry_listen", &Settings::entryListen, 0, 0, "", "host:port", "Where callers connect"},
    {"peer_listen", &Settings::peerListen, 0, 0, "", "host:port", "Where peers connect"},
    {"operator_listen", &Settings::operatorListen, 0, 0, "", "host:port",
     "Where metrics and state are served"},
    {"platform", &Settings::platform, 0, 0, "", "host:port",
     "The configuration service and VM list"},
    {"domain", &Settings::domain, 0, 0, "", "name", "Failure domain that this VM stands in"},
    {"log_file", &Settings::logFile, 0, 0, "-", "path", "Log of JSON lines; - for standard output"},
    {"lapse_ms", &Settings::lapseMs, 200, 60000, "4000", "ms",
     "A peer unheard this long is out of contact; the same on all nodes"},
    {"pull_ms", &Settings::pullMs, 20, 10000, "250", "ms", "Time between two gossip pulls"},
    {"gossip_entries", &Settings::gossipEntries, 1, 1000, "60", "heartbeats",
     "Most heartbeats in a gossip reply"},
    {"token_loan_ms", &Settings::tokenLoanMs, 200, 60000, "5000", "ms",
     "Length of a token loan; the same on all nodes"},
    {"slot_loan_ms", &Settings::slotLoanMs, 200, 60000, "5000", "ms",
     "Length of a slot loan; the same on all nodes"},
    {"gather_ms", &Settings::gatherMs, 10, 10000, "600", "ms", "Longest wait for token loans"},
    {"part_rate", &Settings::partRate, 1, 1000000000, "10000", "tokens/s",
     "Rate that one part carries; the same on all nodes"},
    {"min_part_burst", &Settings::minPartBurst, 1, 1000000000, "4000", "tokens",
     "Least burst of a part; the same on all nodes"},
    {"min_parts", &Settings::minParts, 1, 64, "3", "parts",
     "Parts of an organisation whose burst allows it; the same on all nodes"},
    {"slot_block", &Settings::slotBlock, 1, 4096, "1", "slots",
     "Adjoining slots of a server with one natural holder; the same on all nodes, changed only "
     "while"
     " all are stopped"},
    {"report_fresh_ms", &Settings::reportFreshMs, 100, 60000, "2000", "ms",
     "A server counts as warm this long after the reading of a report; above poll_ms"},
    {"wait_room", &Settings::waitRoom, 1, 100000, "256", "requests",
     "Requests that may wait for one service"},
    {"ticket_ms", &Settings::ticketMs, 100, Hour, "30000", "ms", "Life of an unused ticket"},
    {"answer_keep_ms", &Settings::answerKeepMs, 100, Hour, "120000", "ms",
     "How long a ticket's answer is kept"},
    {"answer_mb", &Settings::answerMb, 1, 1024, "64", "MB", "Most memory of kept answers"},
    {"ticket_count", &Settings::ticketCount, 1, 10000000, "100000", "tickets",
     "Most used tickets remembered"},
    {"address_keep_ms", &Settings::addressKeepMs, 100, Hour, "5000", "ms",
     "How long callers keep an address answer"},
    {"drain_ms", &Settings::drainMs, 0, Hour, "6000", "ms",
     "Time a stopping node still takes requests; above address_keep_ms"},
    {"suspect_keep_ms", &Settings::suspectKeepMs, 1000, 24 * Hour, "600000", "ms",
     "How long a crash suspect is remembered"},
    {"decision_count", &Settings::decisionCount, 100, 1000000, "20000", "decisions",
     "Decisions remembered for explanations"},
    {"long_share_percent", &Settings::longSharePercent, 1, 100, "70", "%",
     "Share of slots that long requests may take"},
    {"poll_ms", &Settings::pollMs, 50, 60000, "1000", "ms", "Time between reads of a load report"},
    {"progress_ms", &Settings::progressMs, 100, Hour, "15000", "ms",
     "An engine that sends nothing for this long is broken off"},
    {"body_kb", &Settings::bodyKb, 1, 65536, "1024", "KB", "Largest request body"},
    {"call_count", &Settings::callCount, 1, 1000000, "4096", "calls", "Most open calls"},
    {"http_threads", &Settings::httpThreads, 2, 256, "8", "threads", "Threads of the HTTP library"},
    {"log_rate", &Settings::logRate, 1, 100000, "200", "lines/s", "Most log lines a second"},
}};

/** @return The line on which @p name stands as a key in @p text; 0 if it does not. */
auto lineOf(const std::string &text, const std::string &name) -> std::size_t
{
    const auto found = text.find('"' + name + '"');
    if (found == std::string::npos) {
        return 0;
    }
    const auto end = text.begin() + static_cast<std::ptrdiff_t>(found);
    return static_cast<std::size_t>(std::count(text.begin(), end, '\n')) + 1;
}

/** @return What a row allows, in words. */
auto allowed(const SettingRow &row) -> std::string
{
    if (std::holds_alternative<std::string Settings::*>(row.member)) {
        return "text (" + std::string(row.unit) + ")";
    }
    return "a whole number from " + std::to_string(row.least) + " to " + std::to_string(row.most)
           + " (" + std::string(row.unit) + ")";
}

/** Puts a JSON value into the settings; returns false if the row does not allow it. */
auto assign(Settings &settings, const SettingRow &row, const nlohmann::json &value) -> bool
{
    if (const auto *text = std::get_if<std::string Settings::*>(&row.member)) {
        if (!value.is_string() || value.get<std::string>().empty()) {
            return false;
        }
        settings.*(*text) = value.get<std::string>();
        return true;
    }
    if (!value.is_number_integer()) {
        return false;
    }
    const auto number = value.get<std::int64_t>();
    settings.*std::get<std::int64_t Settings::*>(row.member) = number;
    return number >= row.least && number <= row.most;
}

/** @return A row's default as JSON. */
auto defaultOf(const SettingRow &row) -> nlohmann::json
{
    if (std::holds_alternative<std::string Settings::*>(row.member)) {
        return std::string(row.defaultText);
    }
    return std::stoll(std::string(row.defaultText));
}

/** Checks rules between settings. */
auto checkTogether(const Settings &settings, const std::string &file) -> void
{
    if (settings.drainMs <= settings.addressKeepMs) {
        throw SettingsError(file + ": drain_ms is " + std::to_string(settings.drainMs)
                            + "; allowed: above address_keep_ms ("
                            + std::to_string(settings.addressKeepMs) + ")");
    }
    if (settings.reportFreshMs <= settings.pollMs) {
        throw SettingsError(file + ": report_fresh_ms is " + std::to_string(settings.reportFreshMs)
                            + "; allowed: above poll_ms (" + std::to_string(settings.pollMs) + ")");
    }
    if (settings.pullMs * 4 > settings.lapseMs) {
        throw SettingsError(file + ": pull_ms is " + std::to_string(settings.pullMs)
                            + "; allowed: at most a quarter of lapse_ms ("
                            + std::to_string(settings.lapseMs) + ")");
    }
}

} // namespace

auto settingsTable() -> std::span<const SettingRow>
{
    return Table;
}

auto readSettings(const std::filesystem::path &file) -> Settings
{
    std::ifstream stream(file);
    if (!stream) {
        throw SettingsError(file.string() + ": cannot be read");
    }
    std::ostringstream content;
    content << stream.rdbuf();
    const auto text = content.str();
    nlohmann::json json;
    try {
        json = nlohmann::json::parse(text, nullptr, true, true);
    } catch (const nlohmann::json::exception &error) {
        throw SettingsError(file.string() + ": " + error.what());
    }
    if (!json.is_object()) {
        throw SettingsError(file.string() + ": allowed: an object of settings");
    }
    Settings settings;
    for (const auto &item : json.items()) {
        const auto &name = item.key();
        const auto &value = item.value();
        const auto row = std::find_if(Table.begin(), Table.end(),
                                      [&](const auto &entry) { return entry.name == name; });
        const auto place = file.string() + ":" + std::to_string(lineOf(text, name)) + ": ";
        if (row == Table.end()) {
            throw SettingsError(place + "unknown setting " + name + " = " + value.dump()
                                + "; --print-defaults lists all");
        }
        if (!assign(settings, *row, value)) {
            throw SettingsError(place + name + " is " + value.dump()
                                + "; allowed: " + allowed(*row));
        }
    }
    for (const auto &row : Table) {
        if (json.contains(row.name)) {
            continue;
        }
        if (row.defaultText.empty()) {
            throw SettingsError(file.string() + ": " + std::string(row.name)
                                + " is missing; allowed: " + allowed(row));
        }
        assign(settings, row, defaultOf(row));
    }
    checkTogether(settings, file.string());
    return settings;
}

auto defaultSettingsText() -> std::string
{
    std::ostringstream out;
    out << "{\n";
    for (const auto &row : Table) {
        out << "    // " << row.help << ". Allowed: " << allowed(row) << ".\n";
        const bool last = &row == &Table.back();
        if (row.defaultText.empty()) {
            out << "    // \"" << row.name << "\": must be given" << (last ? "\n" : ",\n");
        } else {
            out << "    \"" << row.name << "\": " << defaultOf(row).dump() << (last ? "\n" : ",\n");
        }
    }
    out << "}\n";
    return out.str();
}

auto nodeSettings(const Settings &settings) -> NodeSettings
{
    using std::chrono::milliseconds;
    NodeSettings result;
    result.peerTimeout = milliseconds(settings.lapseMs);
    result.gossipInterval = milliseconds(settings.pullMs);
    result.maxGossipHeartbeats = static_cast<std::uint32_t>(settings.gossipEntries);
    result.tokenLoanDuration = milliseconds(settings.tokenLoanMs);
    result.slotLoanDuration = milliseconds(settings.slotLoanMs);
    result.tokenLoanTimeout = milliseconds(settings.gatherMs);
    result.partitionRate = static_cast<double>(settings.partRate);
    result.minPartitionBurst = static_cast<double>(settings.minPartBurst);
    result.minPartitions = static_cast<std::uint32_t>(settings.minParts);
    result.slotBlockSize = static_cast<std::uint32_t>(settings.slotBlock);
    result.loadReportTtl = milliseconds(settings.reportFreshMs);
    result.queueCapacity = static_cast<std::uint32_t>(settings.waitRoom);
    result.ticketTtl = milliseconds(settings.ticketMs);
    result.responseRetention = milliseconds(settings.answerKeepMs);
    result.maxStoredResponseBytes = static_cast<std::uint64_t>(settings.answerMb) << 20U;
    result.maxTickets = static_cast<std::uint32_t>(settings.ticketCount);
    result.addressTtl = milliseconds(settings.addressKeepMs);
    result.drainDelay = milliseconds(settings.drainMs);
    result.crashSuspectRetention = milliseconds(settings.suspectKeepMs);
    result.decisionLogCapacity = static_cast<std::uint32_t>(settings.decisionCount);
    result.longRequestShare = static_cast<double>(settings.longSharePercent) / 100;
    return result;
}

} // namespace banyanring
