/** @file commands_fleet.cpp Commands that ask nodes. */
#include "commands.h"

#include <array>
#include <cpprest/http_client.h>
#include <cpprest/interopstream.h>
#include <cpprest/rawptrstream.h>
#include <cpprest/streams.h>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>

namespace banyanring::tool {

namespace {

using nlohmann::json;
using nlohmann::ordered_json;
using web::http::http_request;
using web::http::http_response;

constexpr std::chrono::seconds Timeout{60};

/** Makes a call and waits for the answer. */
auto call(const std::string &address, const http_request &request) -> http_response
{
    web::http::client::http_client_config config;
    config.set_timeout(Timeout);
    return web::http::client::http_client("http://" + address, config).request(request).get();
}

/** @return A request with a key. */
auto keyedRequest(const web::http::method &method, const std::string &path, const std::string &key)
    -> http_request
{
    http_request request(method);
    request.set_request_uri(path);
    if (!key.empty()) {
        request.headers().add("Authorization", "Bearer " + key);
    }
    return request;
}

/** Prints one row of the status table. */
auto printRow(const std::string &node, const ordered_json &state) -> void
{
    const auto &slots = state["slots"];
    const auto &counters = state["counters"];
    std::cout << std::left << std::setw(22) << node << std::right << std::setw(5)
              << state["node"].get<int>() << std::setw(7)
              << (state["stopping"].get<bool>() ? "stops"
                  : state["ready"].get<bool>()  ? "yes"
                                                : "no")
              << std::setw(8) << state["config_revision"].get<std::uint64_t>() << std::setw(6)
              << state["vm_list_revision"].get<std::uint64_t>() << std::setw(7)
              << state["contacts"].size() << std::setw(8) << state["waiting"].get<int>()
              << std::setw(8) << state["running"].get<int>() << std::setw(6)
              << slots["free"].get<int>() << std::setw(6) << slots["lent"].get<int>()
              << std::setw(9) << slots["borrowed"].get<int>() << std::setw(10)
              << counters["answered"].get<int>() << std::setw(8) << counters["failed"].get<int>()
              << "\n";
}

/** Prints one line on a node that runs on the platform. */
auto printPlatformRow(const std::string &address, const ordered_json &state) -> void
{
    static constexpr std::array<std::string_view, 3> Phases{"starting", "ready", "draining"};
    std::size_t live = 0;
    for (const auto &member : state["members"]) {
        live += member["alive"].get<bool>() ? 1 : 0;
    }
    std::cout << std::left << std::setw(22) << address << " " << state["node"].get<std::string>()
              << "  " << Phases.at(state["phase"].get<std::size_t>()) << "  config "
              << state["config"].get<std::uint64_t>() << "  store "
              << (state["store_reached"].get<bool>() ? "reached" : "lost") << " at "
              << state["store_revision"].get<std::uint64_t>() << "  members " << live << "/"
              << state["members"].size() << "  servers " << state["servers"].size() << "  open "
              << state["open_requests"].get<int>() << "  waiting " << state["waiting"].get<int>()
              << "\n";
}

/** Prints the answer, as it arrives unless JSON is wanted, and gives the exit status. */
auto printAnswer(const Arguments &arguments, const http_response &response) -> int
{
    const auto id = response.headers().find("X-Banyan-Request-Id");
    const auto requestId = id == response.headers().end() ? std::string{} : id->second;
    if (arguments.json) {
        std::cout << ordered_json{{"status", response.status_code()},
                                  {"request_id", requestId},
                                  {"body", response.extract_utf8string(true).get()}}
                         .dump(2)
                  << "\n";
    } else {
        const concurrency::streams::stdio_ostream<std::uint8_t> out(std::cout);
        response.body().read_to_end(out.streambuf()).get();
        std::cout << std::endl;
        std::cerr << "status " << response.status_code() << ", request " << requestId << "\n";
    }
    return response.status_code() == web::http::status_codes::OK ? ExitDone : ExitNot;
}

/** Sends to the addresses in turn until one answers; only a ticket allows that after a failure. */
auto sendInTurn(const std::vector<std::string> &addresses,
                const std::function<http_request()> &makeRequest, bool hasTicket) -> http_response
{
    for (std::size_t index = 0;; ++index) {
        try {
            return call(addresses.at(index), makeRequest());
        } catch (const std::exception &error) {
            if (!hasTicket || index + 1 >= addresses.size()) {
                throw;
            }
            std::cerr << addresses.at(index) << ": " << error.what() << "; next address\n";
        }
    }
}

} // namespace

auto httpGet(const std::string &address, const std::string &path) -> std::string
{
    const auto response = call(address, keyedRequest(web::http::methods::GET, path, {}));
    auto text = response.extract_utf8string(true).get();
    if (response.status_code() != web::http::status_codes::OK) {
        throw std::runtime_error(address + path + ": status "
                                 + std::to_string(response.status_code()));
    }
    return text;
}

auto runStatus(const Arguments &arguments) -> int
{
    if (arguments.words.empty()) {
        throw UsageError("operator addresses of nodes are needed");
    }
    auto all = ordered_json::object();
    if (!arguments.json) {
        std::cout << "OPERATOR ADDRESS       NODE  READY  CONFIG  LIST  PEERS WAITING RUNNING  FREE"
                     "  LENT BORROWED  ANSWERED  FAILED\n";
    }
    int result = ExitDone;
    for (const auto &node : arguments.words) {
        try {
            const auto state = ordered_json::parse(httpGet(node, "/debug/state"));
            all[node] = state;
            if (!arguments.json) {
                state.contains("phase") ? printPlatformRow(node, state) : printRow(node, state);
            }
        } catch (const std::exception &error) {
            result = ExitNoAnswer;
            all[node] = {{"error", error.what()}};
            if (!arguments.json) {
                std::cout << std::left << std::setw(22) << node << " no answer: " << error.what()
                          << "\n";
            }
        }
    }
    if (arguments.json) {
        std::cout << all.dump(2) << "\n";
    }
    return result;
}

auto runDump(const Arguments &arguments) -> int
{
    if (arguments.words.size() != 1) {
        throw UsageError("one operator address is needed");
    }
    std::cout << httpGet(arguments.words.front(), "/debug/state");
    return ExitDone;
}

auto runExplain(const Arguments &arguments) -> int
{
    if (arguments.words.size() < 2) {
        throw UsageError("a request id and operator addresses or log files are needed");
    }
    if (namesLogs(arguments.words[1])) {
        return explainFromLogs(arguments);
    }
    const auto &id = arguments.words.front();
    auto all = ordered_json::object();
    for (std::size_t index = 1; index < arguments.words.size(); ++index) {
        const auto &node = arguments.words[index];
        const auto path = "/debug/explain?id=" + web::uri::encode_data_string(id);
        const auto steps = ordered_json::parse(httpGet(node, path));
        if (steps.empty()) {
            continue;
        }
        all[node] = steps;
        if (arguments.json) {
            continue;
        }
        std::cout << "node " << node << ":\n";
        for (const auto &step : steps) {
            std::cout << "  +" << std::fixed << std::setprecision(1)
                      << step["after_ms"].get<double>() << " ms  "
                      << step["step"].get<std::string>() << "  "
                      << step["detail"].get<std::string>() << "\n";
        }
    }
    if (arguments.json) {
        std::cout << all.dump(2) << "\n";
    } else if (all.empty()) {
        std::cout << "no node remembers " << id << "\n";
    }
    return all.empty() ? ExitNot : ExitDone;
}

auto runSend(const Arguments &arguments) -> int
{
    auto words = arguments.words;
    const bool wantsTicket = std::erase(words, "--ticket") > 0;
    if (words.size() != 4) {
        throw UsageError("an entry address, a path, a key and a body are needed");
    }
    const auto &key = words[2];
    const auto where =
        json::parse(call(words[0], keyedRequest(web::http::methods::GET, "/v1/address", key))
                        .extract_utf8string(true)
                        .get());
    if (!where.contains("addresses")) {
        std::cout << where.dump() << "\n";
        return ExitNot;
    }
    const auto addresses = where["addresses"].get<std::vector<std::string>>();
    std::string ticket;
    if (wantsTicket) {
        auto ask = keyedRequest(web::http::methods::POST, "/v1/tickets", key);
        ask.set_body(json{{"path", words[1]}}.dump(), "application/json");
        const auto given = json::parse(call(addresses.front(), ask).extract_utf8string(true).get());
        if (!given.contains("ticket")) {
            std::cout << given.dump() << "\n";
            return ExitNot;
        }
        ticket = given["ticket"].get<std::string>();
    }
    const auto makeRequest = [&] {
        auto request = keyedRequest(web::http::methods::POST, words[1], key);
        request.set_body(words[3], "application/json");
        if (!ticket.empty()) {
            request.headers().add("X-Banyan-Ticket", ticket);
        }
        return request;
    };
    return printAnswer(arguments, sendInTurn(addresses, makeRequest, wantsTicket));
}

} // namespace banyanring::tool
