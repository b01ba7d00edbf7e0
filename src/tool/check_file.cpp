/** @file check_file.cpp Checks files of each kind that the project reads. */
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

constexpr std::array<std::string_view, 3> Interfaces{"front", "control", "directory"};

/** @return The content of a file, or nothing if it cannot be read. */
auto contentOf(const std::string &file) -> std::optional<std::string>
{
    std::ifstream stream(file);
    if (!stream) {
        return std::nullopt;
    }
    std::ostringstream content;
    content << stream.rdbuf();
    return content.str();
}

/** Collects the faults of one file. */
class Faults
{
public:
    explicit Faults(std::string file) : file(std::move(file)) {}

    /** Adds a fault at a line; 0 if it has none. */
    auto add(std::uint32_t line, const std::string &text) -> void
    {
        const auto place = line > 0 ? ":" + std::to_string(line) : "";
        this->faults.push_back(this->file + place + ": " + text);
    }

    auto take() -> std::vector<std::string>
    {
        return std::move(this->faults);
    }

private:
    std::string file;
    std::vector<std::string> faults;
};

/** Checks one role of a deploy file. */
auto checkRole(const std::string &name, const toml::table &role, Faults &faults) -> void
{
    const auto line = role.source().begin.line;
    for (const auto *needed : {"run", "on"}) {
        if (!role[needed].is_string()) {
            faults.add(line, "roles." + name + "." + needed + ": a text is needed");
        }
    }
    if (role.contains("share") == role.contains("count")) {
        faults.add(line, "roles." + name + ": either share or count is needed");
    }
    const auto share = role["share"].value<double>();
    if (share && (*share <= 0 || *share > 1)) {
        faults.add(role["share"].node()->source().begin.line,
                   "roles." + name + ".share: allowed are values above 0 up to 1");
    }
    const auto *serves = role["serves"].as_array();
    if (serves == nullptr) {
        return;
    }
    for (const auto &one : *serves) {
        const auto word = one.value<std::string>().value_or("");
        if (std::find(Interfaces.begin(), Interfaces.end(), word) == Interfaces.end()) {
            faults.add(one.source().begin.line, "roles." + name + ".serves: \"" + word
                                                    + "\": allowed are front, control, directory");
        }
    }
}

/** Checks a deploy file. */
auto checkDeploy(const std::string &text, Faults &faults) -> void
{
    try {
        const auto deploy = toml::parse(text);
        if (!deploy["build"].is_string()) {
            faults.add(1, "build: a text is needed");
        }
        const auto *roles = deploy["roles"].as_table();
        bool directory = false;
        if (roles == nullptr || roles->empty()) {
            faults.add(1, "roles: at least one role is needed");
            return;
        }
        for (const auto &[name, role] : *roles) {
            if (!role.is_table()) {
                faults.add(role.source().begin.line, "roles: a table is needed for each role");
                continue;
            }
            checkRole(std::string(name.str()), *role.as_table(), faults);
            if (const auto *serves = (*role.as_table())["serves"].as_array()) {
                for (const auto &one : *serves) {
                    directory |= one.value<std::string>() == "directory";
                }
            }
        }
        if (!directory) {
            faults.add(1, "roles: one role must serve directory");
        }
    } catch (const toml::parse_error &error) {
        faults.add(error.source().begin.line, std::string(error.description()));
    }
}

/** Gives the line in which a text stands first; 0 if nowhere. */
auto lineOf(const std::string &text, const std::string &word) -> std::uint32_t
{
    const auto at = text.find("\"" + word + "\"");
    if (at == std::string::npos) {
        return 0;
    }
    const auto end = text.begin() + static_cast<std::ptrdiff_t>(at);
    return static_cast<std::uint32_t>(1 + std::count(text.begin(), end, '\n'));
}

/** Checks a published configuration. */
auto checkPublished(const std::string &text, Faults &faults) -> void
{
    try {
        const auto config = platform::decodeConfig(text);
        for (const auto &[host, routes] : config->routes) {
            for (const auto &route : routes) {
                const auto line = lineOf(text, route.prefix);
                if (!route.prefix.starts_with('/') || !route.prefix.ends_with('/')) {
                    faults.add(line, "route " + route.name + ": prefix \"" + route.prefix
                                         + "\" must begin and end with a slash");
                }
                for (const auto &target : route.targets) {
                    if (!config->services.contains(target.service)) {
                        faults.add(line, "route " + route.name + ": no service \"" + target.service
                                             + "\"; each target must be one of the services");
                    }
                }
            }
        }
    } catch (const platform::StoreCodecError &error) {
        faults.add(0, error.what());
    }
}

} // namespace

auto checkFile(const std::string &file) -> std::vector<std::string>
{
    Faults faults(file);
    const auto text = contentOf(file);
    if (!text) {
        faults.add(0, "cannot be read");
    } else if (file.ends_with(".toml")) {
        checkDeploy(*text, faults);
    } else if (file.ends_with(".conf")) {
        try {
            platform::parseSettings(*text);
        } catch (const platform::SettingsFileError &error) {
            faults.add(0, error.what());
        }
    } else if (text->find("\"routes\"") != std::string::npos) {
        checkPublished(*text, faults);
    } else {
        try {
            readSettings(file);
        } catch (const SettingsError &error) {
            return {error.what()};
        }
    }
    return faults.take();
}

} // namespace banyanring::tool
