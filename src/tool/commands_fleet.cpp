/** @file commands_fleet.cpp The commands that send requests to nodes. */
#include "commands.h"

#include "banyanring/adapters/http_client.h"

#include <array>
#include <cpprest/base_uri.h>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>

namespace banyanring::tool {

namespace {

using nlohmann::json;
using nlohmann::ordered_json;
namespace http = boost::beast::http;

constexpr std::chrono::seconds RequestTimeout{60};
constexpr std::size_t MaxBodyBytes = 64U << 20U; ///< Of a body that is not printed as it arrives.

/** Sends a request and waits for the response. */
auto sendRequest(const std::string &address, const HttpClient::Request &request) -> HttpReply
{
    HttpClient client;
    HttpReply reply;
    reply.header =
        client.fetch(address, request, RequestTimeout, collectBody(reply.body, MaxBodyBytes));
    return reply;
}

/** @return A request with an API key, unless that is empty. */
auto makeRequest(http::verb method, const std::string &path, const std::string &key)
    -> HttpClient::Request
{
    HttpClient::Request request;
    request.method(method);
    request.target(path);
    if (!key.empty()) {
        request.set(http::field::authorization, "Bearer " + key);
    }
    return request;
}

/** Gives a request a JSON body. */
auto setJsonBody(HttpClient::Request &request, std::string body) -> void
{
    request.set(http::field::content_type, "application/json");
    request.body() = std::move(body);
}

/** Prints the row of one node in the status table. */
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

/** Prints the status line of a node that runs on the platform. */
auto printPlatformRow(const std::string &address, const ordered_json &state) -> void
{
    static constexpr std::array<std::string_view, 3> Phases{"starting", "ready", "draining"};
    std::size_t aliveCount = 0;
    for (const auto &member : state["members"]) {
        aliveCount += member["alive"].get<bool>() ? 1 : 0;
    }
    std::cout << std::left << std::setw(22) << address << " " << state["node"].get<std::string>()
              << "  " << Phases.at(state["phase"].get<std::size_t>()) << "  config "
              << state["config"].get<std::uint64_t>() << "  store "
              << (state["store_reached"].get<bool>() ? "reached" : "lost") << " at era "
              << state.value("store_era", std::uint64_t{0}) << " revision "
              << state["store_revision"].get<std::uint64_t>() << "  members " << aliveCount << "/"
              << state["members"].size() << "  servers " << state["servers"].size() << "  open "
              << state["open_requests"].get<int>() << "  waiting " << state["waiting"].get<int>()
              << "\n";
}

/**
 * Sends a request to the addresses in turn until one responds. Without a ticket there is no retry
 * after a failure, as the request may have run.
 */
auto sendWithFailover(const std::vector<std::string> &addresses, const HttpClient::Request &request,
                      bool hasTicket, const HttpBodyHandler &onBody) -> gateway::ResponseHeader
{
    bool bodyBegun = false;
    const auto handler = [&](std::string_view bytes) {
        bodyBegun = true;
        onBody(bytes);
    };
    for (std::size_t index = 0;; ++index) {
        try {
            HttpClient client;
            return client.fetch(addresses.at(index), request, RequestTimeout, handler);
        } catch (const std::exception &error) {
            if (!hasTicket || bodyBegun || index + 1 >= addresses.size()) {
                throw;
            }
            std::cerr << addresses.at(index) << ": " << error.what()
                      << "; trying the next address\n";
        }
    }
}

/** Sends a request and prints its response, as it arrives unless JSON is requested. */
auto printResponse(const Arguments &arguments, const std::vector<std::string> &addresses,
                   const HttpClient::Request &request, bool hasTicket) -> int
{
    HttpReply reply;
    const auto print = [](std::string_view bytes) { std::cout << bytes << std::flush; };
    reply.header = sendWithFailover(addresses, request, hasTicket,
                                    arguments.json ? collectBody(reply.body, MaxBodyBytes)
                                                   : HttpBodyHandler(print));
    const auto requestId = reply.header["X-Banyan-Request-Id"].to_string();
    if (arguments.json) {
        std::cout << ordered_json{{"status", reply.header.result_int()},
                                  {"request_id", requestId},
                                  {"body", reply.body}}
                         .dump(2)
                  << "\n";
    } else {
        std::cout << std::endl;
        std::cerr << "status " << reply.header.result_int() << ", request " << requestId << "\n";
    }
    return reply.header.result() == http::status::ok ? ExitSuccess : ExitNegative;
}

} // namespace

auto httpGet(const std::string &address, const std::string &path) -> std::string
{
    const auto response = sendRequest(address, makeRequest(http::verb::get, path, {}));
    if (response.header.result() != http::status::ok) {
        throw std::runtime_error(address + path + ": status "
                                 + std::to_string(response.header.result_int()));
    }
    return response.body;
}

auto runStatus(const Arguments &arguments) -> int
{
    if (arguments.positional.empty()) {
        throw UsageError("at least one operator address is required");
    }
    auto states = ordered_json::object();
    if (!arguments.json) {
        std::cout << "OPERATOR ADDRESS       NODE  READY  CONFIG  LIST  PEERS WAITING RUNNING  FREE"
                     "  LENT BORROWED  ANSWERED  FAILED\n";
    }
    int result = ExitSuccess;
    for (const auto &node : arguments.positional) {
        try {
            const auto state = ordered_json::parse(httpGet(node, "/debug/state"));
            states[node] = state;
            if (!arguments.json) {
                state.contains("phase") ? printPlatformRow(node, state) : printRow(node, state);
            }
        } catch (const std::exception &error) {
            result = ExitNoResponse;
            states[node] = {{"error", error.what()}};
            if (!arguments.json) {
                std::cout << std::left << std::setw(22) << node << " no response: " << error.what()
                          << "\n";
            }
        }
    }
    if (arguments.json) {
        std::cout << states.dump(2) << "\n";
    }
    return result;
}

auto runDump(const Arguments &arguments) -> int
{
    if (arguments.positional.size() != 1) {
        throw UsageError("exactly one operator address is required");
    }
    std::cout << httpGet(arguments.positional.front(), "/debug/state");
    return ExitSuccess;
}

auto runExplain(const Arguments &arguments) -> int
{
    if (arguments.positional.size() < 2) {
        throw UsageError("a request id and operator addresses or log files are required");
    }
    if (isLogSource(arguments.positional[1])) {
        return explainFromLogs(arguments);
    }
    const auto &id = arguments.positional.front();
    auto stepsByNode = ordered_json::object();
    for (std::size_t index = 1; index < arguments.positional.size(); ++index) {
        const auto &node = arguments.positional[index];
        const auto path = "/debug/explain?id=" + web::uri::encode_data_string(id);
        const auto steps = ordered_json::parse(httpGet(node, path));
        if (steps.empty()) {
            continue;
        }
        stepsByNode[node] = steps;
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
        std::cout << stepsByNode.dump(2) << "\n";
    } else if (stepsByNode.empty()) {
        std::cout << "no node has decisions on " << id << "\n";
    }
    return stepsByNode.empty() ? ExitNegative : ExitSuccess;
}

auto runSend(const Arguments &arguments) -> int
{
    auto words = arguments.positional;
    const bool useTicket = std::erase(words, "--ticket") > 0;
    if (words.size() != 4) {
        throw UsageError("an entry address, a path, a key and a body are required");
    }
    const auto &key = words[2];
    const auto addressResponse =
        json::parse(sendRequest(words[0], makeRequest(http::verb::get, "/v1/address", key)).body);
    if (!addressResponse.contains("addresses")) {
        std::cout << addressResponse.dump() << "\n";
        return ExitNegative;
    }
    const auto addresses = addressResponse["addresses"].get<std::vector<std::string>>();
    auto request = makeRequest(http::verb::post, words[1], key);
    setJsonBody(request, words[3]);
    if (useTicket) {
        auto ticketRequest = makeRequest(http::verb::post, "/v1/tickets", key);
        setJsonBody(ticketRequest, json{{"path", words[1]}}.dump());
        const auto ticketResponse = json::parse(sendRequest(addresses.front(), ticketRequest).body);
        if (!ticketResponse.contains("ticket")) {
            std::cout << ticketResponse.dump() << "\n";
            return ExitNegative;
        }
        request.set("X-Banyan-Ticket", ticketResponse["ticket"].get<std::string>());
    }
    return printResponse(arguments, addresses, request, useTicket);
}

} // namespace banyanring::tool
