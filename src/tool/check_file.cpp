/** @file check_file.cpp Validation of all file formats that the project reads. */
#include "banyanring/adapters/settings_type.h"
#include "commands.h"
#include "settings_file.h"
#include "store_codec.h"

#include <array>
#include <fstream>
#include <set>
#include <sstream>
#include <toml++/toml.h>

namespace banyanring::tool {

namespace {

constexpr std::array<std::string_view, 3> InterfaceNames{"front", "control", "directory"};

/** @return The content of a file; nothing if it cannot be read. */
auto readFile(const std::string &file) -> std::optional<std::string>
{
    std::ifstream stream(file);
    if (!stream) {
        return std::nullopt;
    }
    std::ostringstream buffer;
    buffer << stream.rdbuf();
    return buffer.str();
}

/** Collects the validation errors of one file. */
class ErrorList
{
public:
    explicit ErrorList(std::string file) : file(std::move(file)) {}

    /** Adds an error at a line; 0 for the whole file. */
    auto add(std::uint32_t line, const std::string &text) -> void
    {
        const auto place = line > 0 ? ":" + std::to_string(line) : "";
        this->errors.push_back(this->file + place + ": " + text);
    }

    /** @return All errors; the list is empty afterwards. */
    auto release() -> std::vector<std::string>
    {
        return std::move(this->errors);
    }

private:
    std::string file;
    std::vector<std::string> errors;
};

/** Validates one role of a deploy file. */
auto checkRole(const std::string &name, const toml::table &role, ErrorList &errors) -> void
{
    const auto line = role.source().begin.line;
    for (const auto *required : {"run", "on"}) {
        if (!role[required].is_string()) {
            errors.add(line, "roles." + name + "." + required + ": a string is required");
        }
    }
    if (role.contains("share") == role.contains("count")) {
        errors.add(line, "roles." + name + ": either share or count is required");
    }
    const auto share = role["share"].value<double>();
    if (share && (*share <= 0 || *share > 1)) {
        errors.add(role["share"].node()->source().begin.line,
                   "roles." + name + ".share: allowed are values above 0 up to 1");
    }
    const auto *serves = role["serves"].as_array();
    if (serves == nullptr) {
        return;
    }
    for (const auto &item : *serves) {
        const auto interfaceName = item.value<std::string>().value_or("");
        if (std::find(InterfaceNames.begin(), InterfaceNames.end(), interfaceName)
            == InterfaceNames.end()) {
            errors.add(item.source().begin.line, "roles." + name + ".serves: \"" + interfaceName
                                                     + "\": allowed are front, control, directory");
        }
    }
}

/** Validates a deploy file. */
auto checkDeployFile(const std::string &text, ErrorList &errors) -> void
{
    try {
        const auto deploy = toml::parse(text);
        if (!deploy["build"].is_string()) {
            errors.add(1, "build: a string is required");
        }
        const auto *roles = deploy["roles"].as_table();
        bool servesDirectory = false;
        if (roles == nullptr || roles->empty()) {
            errors.add(1, "roles: at least one role is required");
            return;
        }
        for (const auto &[name, role] : *roles) {
            if (!role.is_table()) {
                errors.add(role.source().begin.line, "roles: each role must be a table");
                continue;
            }
            checkRole(std::string(name.str()), *role.as_table(), errors);
            if (const auto *serves = (*role.as_table())["serves"].as_array()) {
                for (const auto &item : *serves) {
                    servesDirectory |= item.value<std::string>() == "directory";
                }
            }
        }
        if (!servesDirectory) {
            errors.add(1, "roles: at least one role must serve directory");
        }
    } catch (const toml::parse_error &error) {
        errors.add(error.source().begin.line, std::string(error.description()));
    }
}

/** @return The line of the first JSON string @p word in @p text; 0 without one. */
auto lineOf(const std::string &text, const std::string &word) -> std::uint32_t
{
    const auto position = text.find("\"" + word + "\"");
    if (position == std::string::npos) {
        return 0;
    }
    const auto end = text.begin() + static_cast<std::ptrdiff_t>(position);
    return static_cast<std::uint32_t>(1 + std::count(text.begin(), end, '\n'));
}

/** Validates a published configuration. */
auto checkPublishedConfig(const std::string &text, ErrorList &errors) -> void
{
    try {
        const auto config = platform::decodeConfig(text);
        for (const auto &[host, routes] : config->routes) {
            for (const auto &route : routes) {
                const auto line = lineOf(text, route.prefix);
                if (!route.prefix.starts_with('/') || !route.prefix.ends_with('/')) {
                    errors.add(line, "route " + route.name + ": prefix \"" + route.prefix
                                         + "\" must begin and end with a slash");
                }
                for (const auto &target : route.targets) {
                    if (!config->services.contains(target.service)) {
                        errors.add(line, "route " + route.name + ": no service \"" + target.service
                                             + "\"; targets must be defined in services");
                    }
                }
            }
        }
    } catch (const platform::StoreCodecError &error) {
        errors.add(0, error.what());
    }
}

} // namespace

auto checkFile(const std::string &file) -> std::vector<std::string>
{
    ErrorList errors(file);
    const auto text = readFile(file);
    if (!text) {
        errors.add(0, "cannot be read");
    } else if (file.ends_with(".toml")) {
        checkDeployFile(*text, errors);
    } else if (file.ends_with(".conf")) {
        try {
            platform::parseSettings(*text);
        } catch (const platform::SettingsFileError &error) {
            errors.add(0, error.what());
        }
    } else if (text->find("\"routes\"") != std::string::npos) {
        checkPublishedConfig(*text, errors);
    } else {
        try {
            readSettings(file);
        } catch (const SettingsError &error) {
            return {error.what()};
        }
    }
    return errors.release();
}

} // namespace banyanring::tool
