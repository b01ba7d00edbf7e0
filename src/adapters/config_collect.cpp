/** @file config_collect.cpp Collects operators' short files into the published shards. */
#include "banyanring/adapters/config_codec.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace banyanring {

namespace {

using nlohmann::json;

constexpr std::uint32_t HashedShards = 16; ///< Shards of the organisations and of the keys.

/** Where a name was declared. */
struct Place
{
    std::string file;
    std::size_t line = 0;

    auto text() const -> std::string
    {
        return this->file + ":" + std::to_string(this->line);
    }
};

/** @return The line of the first mention of @p name as a JSON text in @p text; 1 if none. */
auto lineOf(const std::string &text, const std::string &name) -> std::size_t
{
    const auto found = text.find(json(name).dump());
    const auto end = text.begin() + static_cast<std::ptrdiff_t>(std::min(found, text.size()));
    return found == std::string::npos ? 1 : std::size_t(std::count(text.begin(), end, '\n')) + 1;
}

/** @return The text that identifies an entry of a section. */
auto entryName(const std::string &section, const json &entry) -> std::string
{
    if (entry.is_string()) {
        return entry.get<std::string>();
    }
    const auto *field = section == "routes" ? "path" : section == "keys" ? "digest" : "name";
    return entry.is_object() && entry.contains(field) && entry[field].is_string()
               ? entry[field].get<std::string>()
               : std::string{};
}

/** @return The shard that an entry belongs to. */
auto shardOf(const std::string &section, const std::string &name, const json &entry) -> std::string
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

auto collectShards(const std::vector<SourceFile> &files) -> Shards
{
    std::vector<std::string> faults;
    std::map<std::pair<std::string, std::string>, Place> declared;
    std::map<std::string, std::map<std::string, std::map<std::string, json>>> sorted;
    for (const auto &file : files) {
        json value;
        try {
            value = json::parse(file.text, nullptr, true, true);
        } catch (const json::exception &error) {
            faults.push_back(file.name + ": " + error.what());
            continue;
        }
        for (const auto &[section, entries] : value.items()) {
            for (const auto &entry : entries) {
                const auto name = entryName(section, entry);
                const Place place{file.name, lineOf(file.text, name)};
                const auto [other, fresh] = declared.emplace(std::pair{section, name}, place);
                if (!fresh) {
                    faults.push_back(place.text() + ": " + name + " in " + section
                                     + " is there already at " + other->second.text());
                    continue;
                }
                sorted[shardOf(section, name, entry)][section][name] = entry;
            }
        }
    }
    Shards shards;
    for (const auto &[shard, sections] : sorted) {
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
        for (const auto &fault : error.faults) {
            auto located = fault;
            for (const auto &[key, place] : declared) {
                if (!key.second.empty() && fault.find(key.second) != std::string::npos) {
                    located = place.text() + ": " + fault;
                    break;
                }
            }
            faults.push_back(located);
        }
    }
    if (!faults.empty()) {
        throw ConfigError(std::move(faults));
    }
    return shards;
}

} // namespace banyanring
