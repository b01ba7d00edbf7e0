/** @file settings_table.cpp The settings table, and reading and validation of settings files. */
#include "banyanring/adapters/settings_type.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace banyanring {

namespace {

constexpr std::int64_t HourMs = 3600 * 1000;

const std::array<SettingDefinition, 34> Definitions{{
    {"node", &Settings::node, 1, 65535, "", "number",
     "Id of this VM in the VM list of the platform"},
    {"entry_listen", &Settings::entryListen, 0, 0, "", "host:port", "Listen address for callers"},
    {"peer_listen", &Settings::peerListen, 0, 0, "", "host:port", "Listen address for peers"},
    {"operator_listen", &Settings::operatorListen, 0, 0, "", "host:port",
     "Listen address for metrics, state and request traces"},
    {"platform", &Settings::platform, 0, 0, "", "host:port",
     "Address of the configuration service and VM list"},
    {"domain", &Settings::domain, 0, 0, "", "name", "Failure domain of this VM"},
    {"log_file", &Settings::logFile, 0, 0, "-", "path",
     "Log file of JSON lines; - for standard output"},
    {"lapse_ms", &Settings::lapseMs, 200, 60000, "4000", "ms",
     "Heartbeat timeout after which a peer counts as unreachable; must be the same on all nodes"},
    {"pull_ms", &Settings::pullMs, 20, 10000, "250", "ms", "Interval of gossip pulls"},
    {"gossip_entries", &Settings::gossipEntries, 1, 1000, "60", "heartbeats",
     "Maximum number of heartbeats in a gossip reply"},
    {"token_loan_ms", &Settings::tokenLoanMs, 200, 60000, "5000", "ms",
     "Duration of a token loan; must be the same on all nodes"},
    {"slot_loan_ms", &Settings::slotLoanMs, 200, 60000, "5000", "ms",
     "Duration of a slot loan; must be the same on all nodes"},
    {"gather_ms", &Settings::gatherMs, 10, 10000, "600", "ms",
     "Maximum time that a request waits for token loans"},
    {"part_rate", &Settings::partRate, 1, 1000000000, "10000", "tokens/s",
     "Rate of one partition of an organisation's rate limit; must be the same on all nodes"},
    {"min_part_burst", &Settings::minPartBurst, 1, 1000000000, "4000", "tokens",
     "Minimum burst of a partition; must be the same on all nodes"},
    {"min_parts", &Settings::minParts, 1, 64, "3", "parts",
     "Minimum number of partitions of an organisation, if its burst allows; must be the same on "
     "all nodes"},
    {"slot_block", &Settings::slotBlock, 1, 4096, "1", "slots",
     "Consecutive slots of a server with the same default owner; must be the same on all nodes and "
     "be changed only "
     "while all nodes are stopped"},
    {"report_fresh_ms", &Settings::reportFreshMs, 100, 60000, "2000", "ms",
     "Time after a load report during which a server counts as warm; above poll_ms"},
    {"wait_room", &Settings::waitRoom, 1, 100000, "256", "requests",
     "Maximum number of queued requests of one service"},
    {"ticket_ms", &Settings::ticketMs, 100, HourMs, "30000", "ms", "Lifetime of an unused ticket"},
    {"answer_keep_ms", &Settings::answerKeepMs, 100, HourMs, "120000", "ms",
     "Time for which the response to a ticket is kept"},
    {"answer_mb", &Settings::answerMb, 1, 1024, "64", "MB", "Maximum memory of kept responses"},
    {"ticket_count", &Settings::ticketCount, 1, 10000000, "100000", "tickets",
     "Maximum number of used tickets in the table"},
    {"address_keep_ms", &Settings::addressKeepMs, 100, HourMs, "5000", "ms",
     "Time for which callers cache the entry addresses"},
    {"drain_ms", &Settings::drainMs, 0, HourMs, "6000", "ms",
     "Time for which a stopping node still accepts requests; above address_keep_ms"},
    {"suspect_keep_ms", &Settings::suspectKeepMs, 1000, 24 * HourMs, "600000", "ms",
     "Time for which the fingerprint of a crash suspect is kept"},
    {"decision_count", &Settings::decisionCount, 100, 1000000, "20000", "decisions",
     "Number of decisions kept for request traces"},
    {"long_share_percent", &Settings::longSharePercent, 1, 100, "70", "%",
     "Maximum share of slots that long requests occupy"},
    {"poll_ms", &Settings::pollMs, 50, 60000, "1000", "ms", "Polling interval of load reports"},
    {"progress_ms", &Settings::progressMs, 100, HourMs, "15000", "ms",
     "Time without data from an engine after which the dispatch is cancelled"},
    {"body_kb", &Settings::bodyKb, 1, 65536, "1024", "KB", "Maximum size of a request body"},
    {"call_count", &Settings::callCount, 1, 1000000, "4096", "calls",
     "Maximum number of open calls"},
    {"http_threads", &Settings::httpThreads, 2, 256, "8", "threads",
     "Number of threads of the HTTP library"},
    {"log_rate", &Settings::logRate, 1, 100000, "200", "lines/s", "Rate limit of log lines"},
}};

/** @return The line of the first key @p name in @p text; 0 without one. */
auto lineOf(const std::string &text, const std::string &name) -> std::size_t
{
    const auto found = text.find('"' + name + '"');
    if (found == std::string::npos) {
        return 0;
    }
    const auto end = text.begin() + static_cast<std::ptrdiff_t>(found);
    return static_cast<std::size_t>(std::count(text.begin(), end, '\n')) + 1;
}

/** @return The values that a setting allows, for messages. */
auto allowedValues(const SettingDefinition &definition) -> std::string
{
    if (std::holds_alternative<std::string Settings::*>(definition.member)) {
        return "text (" + std::string(definition.unit) + ")";
    }
    return "a whole number from " + std::to_string(definition.minimum) + " to "
           + std::to_string(definition.maximum) + " (" + std::string(definition.unit) + ")";
}

/** Assigns a JSON value to a setting; returns false if the value is not allowed. */
auto assign(Settings &settings, const SettingDefinition &definition, const nlohmann::json &value)
    -> bool
{
    if (const auto *text = std::get_if<std::string Settings::*>(&definition.member)) {
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
    settings.*std::get<std::int64_t Settings::*>(definition.member) = number;
    return number >= definition.minimum && number <= definition.maximum;
}

/** @return The default of a setting as JSON. */
auto defaultOf(const SettingDefinition &definition) -> nlohmann::json
{
    if (std::holds_alternative<std::string Settings::*>(definition.member)) {
        return std::string(definition.defaultText);
    }
    return std::stoll(std::string(definition.defaultText));
}

/** Checks the constraints between settings; throws SettingsError. */
auto checkConstraints(const Settings &settings, const std::string &file) -> void
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

auto settingsTable() -> std::span<const SettingDefinition>
{
    return Definitions;
}

auto readSettings(const std::filesystem::path &file) -> Settings
{
    std::ifstream stream(file);
    if (!stream) {
        throw SettingsError(file.string() + ": cannot be read");
    }
    std::ostringstream buffer;
    buffer << stream.rdbuf();
    const auto text = buffer.str();
    nlohmann::json json;
    try {
        json = nlohmann::json::parse(text, nullptr, true, true);
    } catch (const nlohmann::json::exception &error) {
        throw SettingsError(file.string() + ": " + error.what());
    }
    if (!json.is_object()) {
        throw SettingsError(file.string() + ": must be a JSON object of settings");
    }
    Settings settings;
    for (const auto &item : json.items()) {
        const auto &name = item.key();
        const auto &value = item.value();
        const auto definition = std::find_if(Definitions.begin(), Definitions.end(),
                                             [&](const auto &entry) { return entry.name == name; });
        const auto place = file.string() + ":" + std::to_string(lineOf(text, name)) + ": ";
        if (definition == Definitions.end()) {
            throw SettingsError(place + "unknown setting " + name + " = " + value.dump()
                                + "; --print-defaults lists all");
        }
        if (!assign(settings, *definition, value)) {
            throw SettingsError(place + name + " is " + value.dump()
                                + "; allowed: " + allowedValues(*definition));
        }
    }
    for (const auto &definition : Definitions) {
        if (json.contains(definition.name)) {
            continue;
        }
        if (definition.defaultText.empty()) {
            throw SettingsError(file.string() + ": " + std::string(definition.name)
                                + " is required; allowed: " + allowedValues(definition));
        }
        assign(settings, definition, defaultOf(definition));
    }
    checkConstraints(settings, file.string());
    return settings;
}

auto defaultSettingsText() -> std::string
{
    std::ostringstream out;
    out << "{\n";
    for (const auto &definition : Definitions) {
        out << "    // " << definition.help << ". Allowed: " << allowedValues(definition) << ".\n";
        const bool last = &definition == &Definitions.back();
        if (definition.defaultText.empty()) {
            out << "    // \"" << definition.name << "\": required" << (last ? "\n" : ",\n");
        } else {
            out << "    \"" << definition.name << "\": " << defaultOf(definition).dump()
                << (last ? "\n" : ",\n");
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
