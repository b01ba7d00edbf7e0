/** @file config_collect.cpp Merges the files of operators into configuration shards. */
#include "banyanring/adapters/config_codec.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace banyanring {

namespace {

using nlohmann::json;

/** Number of shards of the organisations, and of the keys. */
constexpr std::uint32_t HashedShards = 16;

/** Position of an entry in the source files. */
struct SourceLocation
{
    std::string file;
    std::size_t line = 0;

    auto text() const -> std::string
    {
        return this->file + ":" + std::to_string(this->line);
    }
};

/** @return The line of the first JSON string @p name in @p text; 1 without one. */
auto lineOf(const std::string &text, const std::string &name) -> std::size_t
{
    const auto found = text.find(json(name).dump());
    const auto end = text.begin() + static_cast<std::ptrdiff_t>(std::min(found, text.size()));
    return found == std::string::npos ? 1 : std::size_t(std::count(text.begin(), end, '\n')) + 1;
}

/** @return The name or other key that identifies an entry of a section; empty without one. */
auto entryName(const std::string &section, const json &entry) -> std::string
{
    if (entry.is_string()) {
        return entry.get<std::string>();
    }
    const auto *keyField = section == "routes" ? "path" : section == "keys" ? "digest" : "name";
    return entry.is_object() && entry.contains(keyField) && entry[keyField].is_string()
               ? entry[keyField].get<std::string>()
               : std::string{};
}

/** @return Name of the shard that an entry belongs to. */
auto shardNameOf(const std::string &section, const std::string &name, const json &entry)
    -> std::string
{
    if (section == "servers") {
        return "servers-" + entry.value("service", std::string("unknown"));
    }
    if (section == "organisations" || section == "keys") {
        return section + "-" + std::to_string(hashName(name) % HashedShards);
    }
    return section == "domains_out" ? "domains" : "services";
}

} // namespace

auto collectShards(const std::vector<ConfigSourceFile> &files) -> Shards
{
    std::vector<std::string> errors;
    std::map<std::pair<std::string, std::string>, SourceLocation> locations;
    std::map<std::string, std::map<std::string, std::map<std::string, json>>> entriesByShard;
    for (const auto &file : files) {
        json value;
        try {
            value = json::parse(file.text, nullptr, true, true);
        } catch (const json::exception &error) {
            errors.push_back(file.name + ": " + error.what());
            continue;
        }
        for (const auto &[section, entries] : value.items()) {
            for (const auto &entry : entries) {
                const auto name = entryName(section, entry);
                const SourceLocation location{file.name, lineOf(file.text, name)};
                const auto [existing, inserted] =
                    locations.emplace(std::pair{section, name}, location);
                if (!inserted) {
                    errors.push_back(location.text() + ": " + name + " in " + section
                                     + " is already defined at " + existing->second.text());
                    continue;
                }
                entriesByShard[shardNameOf(section, name, entry)][section][name] = entry;
            }
        }
    }
    Shards shards;
    for (const auto &[shard, sections] : entriesByShard) {
        json value = json::object();
        for (const auto &[section, entries] : sections) {
            for (const auto &[name, entry] : entries) {
                value[section].push_back(entry);
            }
        }
        shards[shard] = value.dump(1);
    }
    try {
        parseConfig(1, shards);
    } catch (const ConfigError &error) {
        for (const auto &validationError : error.errors) {
            auto message = validationError;
            for (const auto &[key, location] : locations) {
                if (!key.second.empty() && validationError.find(key.second) != std::string::npos) {
                    message = location.text() + ": " + validationError;
                    break;
                }
            }
            errors.push_back(message);
        }
    }
    if (!errors.empty()) {
        throw ConfigError(std::move(errors));
    }
    return shards;
}

} // namespace banyanring
