/** @file main.cpp Entry point of banyanringctl. */
#include "commands.h"

#include <iostream>

namespace {

using namespace banyanring::tool;

/** Prints usage and description of all commands. */
auto printHelp(std::ostream &out) -> void
{
    out << "banyanringctl COMMAND [ARGUMENT]... [--json]\n\n";
    for (const auto &command : commandTable()) {
        out << "  " << command.usage << "\n      " << command.help << "\n";
    }
    out << "\nExit status: 0 success, 1 failed check, unknown or unsuccessful request, 2 invalid\n"
           "command line, 3 no response from a node.\n";
}

} // namespace

auto main(int argc, char **argv) -> int
{
    std::vector<std::string> words(argv + 1, argv + argc);
    Arguments arguments;
    for (auto &word : words) {
        if (word == "--json") {
            arguments.json = true;
        } else {
            arguments.positional.push_back(std::move(word));
        }
    }
    if (arguments.positional.empty() || arguments.positional.front() == "--help"
        || arguments.positional.front() == "help") {
        printHelp(std::cout);
        return arguments.positional.empty() ? ExitUsage : ExitSuccess;
    }
    const auto name = arguments.positional.front();
    arguments.positional.erase(arguments.positional.begin());
    for (const auto &command : commandTable()) {
        if (command.name != name) {
            continue;
        }
        try {
            return command.run(arguments);
        } catch (const UsageError &error) {
            std::cerr << "banyanringctl: " << error.what() << "\nusage: " << command.usage << "\n";
            return ExitUsage;
        } catch (const std::exception &error) {
            std::cerr << "banyanringctl: " << error.what() << "\n";
            return ExitNoResponse;
        }
    }
    std::cerr << "banyanringctl: unknown command " << name << "; see banyanringctl help\n";
    return ExitUsage;
}
