/** @file config_codec.cpp Parsing and validation of the configuration and the VM list. */
#include "banyanring/adapters/config_codec.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <openssl/sha.h>
#include <set>

namespace banyanring {

namespace {

using nlohmann::json;

/** @return All messages in one text. */
auto joinMessages(const std::vector<std::string> &errors) -> std::string
{
    std::string text;
    for (const auto &error : errors) {
        text += (text.empty() ? "" : "; ") + error;
    }
    return text;
}

/** Reads typed fields of one JSON object and collects validation errors. */
class ObjectReader
{
public:
    /**
     * @param value The object.
     * @param place Its position in the document, for error messages.
     * @param errors List to which errors are appended.
     */
    ObjectReader(const json &value, std::string place, std::vector<std::string> &errors)
        : value(value), place(std::move(place)), errors(errors)
    {
    }

    /** @return The non-empty string field @p name; empty, with an error added, if it is not one. */
    auto text(const char *name) -> std::string
    {
        const auto *field = this->field(name);
        if (field == nullptr || !field->is_string() || field->get<std::string>().empty()) {
            this->addError(std::string(name) + " must be a non-empty string");
            return {};
        }
        return field->get<std::string>();
    }

    /**
     * Reads a number.
     * @param name Name of the field.
     * @param minimum Minimum.
     * @param maximum Maximum.
     * @param defaultValue Value if the field is missing; a required field has none.
     * @return The number; the minimum, with an error added, if it is missing or out of range.
     */
    auto number(const char *name, double minimum, double maximum,
                std::optional<double> defaultValue = {}) -> double
    {
        const auto *field = this->field(name);
        if (field == nullptr && defaultValue) {
            return *defaultValue;
        }
        if (field == nullptr || !field->is_number() || field->get<double>() < minimum
            || field->get<double>() > maximum) {
            this->addError(std::string(name) + " must be a number from " + json(minimum).dump()
                           + " to " + json(maximum).dump());
            return minimum;
        }
        return field->get<double>();
    }

    /** @return The boolean field @p name; false if it is missing, or not a boolean and an error. */
    auto flag(const char *name) -> bool
    {
        const auto *field = this->field(name);
        if (field != nullptr && !field->is_boolean()) {
            this->addError(std::string(name) + " must be true or false");
        }
        return field != nullptr && field->is_boolean() && field->get<bool>();
    }

    /** Adds an error with the position of the object. */
    auto addError(const std::string &what) -> void
    {
        this->errors.push_back(this->place + ": " + what);
    }

    /** Adds an error for each field of the object that was not read. */
    auto rejectUnknownFields() -> void
    {
        for (const auto &[name, field] : this->value.items()) {
            if (!this->readFields.contains(name)) {
                this->addError("unknown field " + name);
            }
        }
    }

private:
    auto field(const char *name) -> const json *
    {
        this->readFields.insert(name);
        const auto found = this->value.find(name);
        return found == this->value.end() ? nullptr : &*found;
    }

    const json &value;
    std::string place;
    std::vector<std::string> &errors;
    std::set<std::string> readFields;
};

/** Builds a configuration from its shards and collects every validation error. */
class ConfigBuilder
{
public:
    explicit ConfigBuilder(Revision revision)
    {
        this->config->revision = revision;
    }

    /** Adds the entries of a shard. */
    auto addShard(const std::string &name, const std::string &text) -> void
    {
        json value;
        try {
            value = json::parse(text);
        } catch (const json::exception &error) {
            this->errors.push_back(name + ": " + error.what());
            return;
        }
        if (!value.is_object()) {
            this->errors.push_back(name + ": must be an object with sections");
            return;
        }
        for (const auto &[section, entries] : value.items()) {
            if (!entries.is_array()) {
                this->errors.push_back(name + "." + section + ": must be an array");
                continue;
            }
            for (std::size_t index = 0; index < entries.size(); ++index) {
                const auto place = name + "." + section + "[" + std::to_string(index) + "]";
                this->addEntry(section, entries[index], place);
            }
        }
    }

    /**
     * Checks the references between entries and completes the configuration.
     * @return The configuration.
     * @throws ConfigError if there was any error.
     */
    auto finish() -> ConfigPtr
    {
        this->checkReferences();
        if (!this->errors.empty()) {
            throw ConfigError(std::move(this->errors));
        }
        return this->config;
    }

private:
    auto addEntry(const std::string &section, const json &entry, const std::string &place) -> void
    {
        if (section == "domains_out") {
            if (!entry.is_string()) {
                this->errors.push_back(place + ": must be the name of a failure domain");
                return;
            }
            const auto name = entry.get<std::string>();
            this->config->outOfServiceDomains.push_back(hashName(name));
            this->outOfServiceDomainNames.emplace_back(place, name);
            return;
        }
        if (!entry.is_object()) {
            this->errors.push_back(place + ": must be an object");
            return;
        }
        ObjectReader reader(entry, place, this->errors);
        if (section == "services") {
            this->addService(reader);
        } else if (section == "routes") {
            this->addRoute(reader);
        } else if (section == "organisations") {
            this->addOrganisation(reader);
        } else if (section == "keys") {
            this->addKey(reader);
        } else if (section == "servers") {
            this->addServer(reader);
        } else {
            reader.addError("unknown section");
            return;
        }
        reader.rejectUnknownFields();
    }

    /** Registers a name; adds an error if it or its hash is already registered. Returns the id. */
    auto registerName(ObjectReader &reader, const std::string &kind, const std::string &name)
        -> std::uint32_t
    {
        const auto id = hashName(name);
        const auto [existing, inserted] = this->names[kind].emplace(id, name);
        if (!inserted) {
            reader.addError(existing->second == name
                                ? kind + " " + name + " is defined twice"
                                : kind + " " + name + " and " + existing->second
                                      + " have the same hash; rename one");
        }
        return id;
    }

    auto addService(ObjectReader &reader) -> void
    {
        Service service;
        service.name = reader.text("name");
        service.id = this->registerName(reader, "service", service.name);
        const auto kind = reader.text("kind");
        if (kind != "engine" && kind != "plain") {
            reader.addError("kind must be engine or plain");
        }
        service.kind = kind == "engine" ? BackendKind::Engine : BackendKind::Plain;
        service.maxRunTime =
            std::chrono::milliseconds(std::int64_t(reader.number("longest_run_ms", 10, 3600e3)));
        service.longRequestTokens = std::uint32_t(reader.number("long_tokens", 1, 1e9, 1e9));
        this->config->services[service.id] = service;
    }

    auto addRoute(ObjectReader &reader) -> void
    {
        Route route;
        route.path = reader.text("path");
        if (!route.path.starts_with('/') || route.path.starts_with("/v1/")) {
            reader.addError("path must begin with / and not with /v1/");
        }
        this->registerName(reader, "route", route.path);
        const auto service = reader.text("service");
        route.service = hashName(service);
        this->references.emplace_back("route " + route.path, "service", service);
        route.tier = Tier(reader.number("tier", 0, TierCount - 1));
        route.idempotent = reader.flag("idempotent");
        route.anonymous = reader.flag("open");
        route.deadline =
            std::chrono::milliseconds(std::int64_t(reader.number("deadline_ms", 10, 3600e3)));
        this->config->routes[route.path] = route;
    }

    auto addOrganisation(ObjectReader &reader) -> void
    {
        Organisation organisation;
        organisation.name = reader.text("name");
        organisation.id = this->registerName(reader, "organisation", organisation.name);
        organisation.rate = reader.number("rate", 0.001, 1e9);
        organisation.burst = reader.number("burst", 1, 1e12);
        organisation.weight = reader.number("weight", 0.01, 1000, 1);
        this->config->organisations[organisation.id] = organisation;
    }

    auto addKey(ObjectReader &reader) -> void
    {
        const auto digest = reader.text("digest");
        const bool hex = digest.size() == 2 * SHA256_DIGEST_LENGTH
                         && digest.find_first_not_of("0123456789abcdef") == std::string::npos;
        if (!hex) {
            reader.addError("digest must be 64 lower-case hexadecimal digits");
        }
        const auto organisation = reader.text("organisation");
        this->references.emplace_back("key " + digest.substr(0, 8), "organisation", organisation);
        if (!this->config->organisationByKey.emplace(digest, hashName(organisation)).second) {
            reader.addError("key digest is defined twice");
        }
    }

    auto addServer(ObjectReader &reader) -> void
    {
        BackendServer server;
        server.name = reader.text("name");
        server.id = this->registerName(reader, "server", server.name);
        const auto service = reader.text("service");
        server.service = hashName(service);
        this->references.emplace_back("server " + server.name, "service", service);
        server.address = reader.text("address");
        const auto domain = reader.text("domain");
        server.domain = hashName(domain);
        this->config->domains[server.domain] = domain;
        server.slots = std::uint16_t(reader.number("slots", 1, 4096));
        server.coldSlots = std::uint16_t(reader.number("cold_slots", 1, server.slots));
        server.draining = reader.flag("leaving");
        this->config->servers[server.id] = server;
    }

    auto checkReferences() -> void
    {
        for (const auto &[user, kind, name] : this->references) {
            if (!name.empty() && !this->names[kind].contains(hashName(name))) {
                this->errors.push_back(user + ": no " + kind + " is named " + name);
            }
        }
        for (const auto &[place, name] : this->outOfServiceDomainNames) {
            if (!this->config->domains.contains(hashName(name))) {
                this->errors.push_back(place + ": no server is in failure domain " + name);
            }
        }
    }

    std::shared_ptr<Config> config = std::make_shared<Config>();
    std::vector<std::string> errors;
    std::map<std::string, std::map<std::uint32_t, std::string>> names; ///< Names by kind and hash.
    /** Referring entry, kind and name; checked once all shards have been added. */
    std::vector<std::tuple<std::string, std::string, std::string>> references;
    /** Position and name. */
    std::vector<std::pair<std::string, std::string>> outOfServiceDomainNames;
};

} // namespace

ConfigError::ConfigError(std::vector<std::string> errorList)
    : std::runtime_error(joinMessages(errorList)), errors(std::move(errorList))
{
}

auto parseConfig(Revision revision, const Shards &shards) -> ConfigPtr
{
    ConfigBuilder builder(revision);
    for (const auto &[name, text] : shards) {
        builder.addShard(name, text);
    }
    return builder.finish();
}

auto parseVmList(std::string_view text) -> VmListPtr
{
    std::vector<std::string> errors;
    auto list = std::make_shared<VmList>();
    try {
        const auto value = json::parse(text);
        list->revision = value.at("revision").get<Revision>();
        for (const auto &entry : value.at("vms")) {
            ObjectReader reader(entry, "vms", errors);
            Vm vm;
            vm.id = NodeId(reader.number("id", 1, 65535));
            vm.entryAddress = reader.text("entry");
            vm.peerAddress = reader.text("peer");
            vm.domain = reader.text("domain");
            vm.draining = reader.text("state") == "leaving";
            const bool duplicate = std::any_of(list->vms.begin(), list->vms.end(),
                                               [&](const Vm &other) { return other.id == vm.id; });
            if (duplicate) {
                reader.addError("id " + std::to_string(vm.id) + " is defined twice");
            }
            list->vms.push_back(vm);
        }
    } catch (const json::exception &error) {
        errors.emplace_back(error.what());
    }
    if (!errors.empty()) {
        throw ConfigError(std::move(errors));
    }
    return list;
}

auto keyDigest(std::string_view key) -> std::string
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.data());
    std::string text;
    constexpr std::string_view HexDigits = "0123456789abcdef";
    for (const auto byte : digest) {
        text += HexDigits[byte >> 4U];
        text += HexDigits[byte & 15U];
    }
    return text;
}

} // namespace banyanring
