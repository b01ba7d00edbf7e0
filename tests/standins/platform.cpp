/** @file platform.cpp Stand-in for the platform: serves published files, read-only, with watches.
 */
#include <cpprest/http_listener.h>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

namespace {

using nlohmann::json;
using web::http::http_request;

/** Values read from DIR/config.json and DIR/vms.json, which publishers replace by renaming. */
class Store
{
public:
    explicit Store(std::filesystem::path folder) : folder(std::move(folder)) {}

    auto refresh() -> void
    {
        const std::scoped_lock lock(this->mutex);
        const auto config = this->read("config.json");
        if (config.contains("revision") && config["revision"] != this->configRevision) {
            this->configRevision = config["revision"];
            std::map<std::string, std::pair<std::uint64_t, json>> next;
            for (const auto &[name, value] : config["shards"].items()) {
                const auto old = this->shards.find(name);
                const bool same = old != this->shards.end() && old->second.second == value;
                next[name] = {same ? old->second.first : this->configRevision, value};
            }
            this->shards = std::move(next);
        }
        const auto list = this->read("vms.json");
        if (list.contains("revision")) {
            this->vms = list;
        }
    }

    auto manifest() -> json
    {
        const std::scoped_lock lock(this->mutex);
        json result{{"revision", this->configRevision}, {"shards", json::object()}};
        for (const auto &[name, shard] : this->shards) {
            result["shards"][name] = shard.first;
        }
        return result;
    }

    auto shard(const std::string &name) -> json
    {
        const std::scoped_lock lock(this->mutex);
        const auto found = this->shards.find(name);
        return found == this->shards.end()
                   ? json()
                   : json{{"revision", found->second.first}, {"value", found->second.second}};
    }

    auto list() -> json
    {
        const std::scoped_lock lock(this->mutex);
        return this->vms;
    }

private:
    auto read(const char *name) const -> json
    {
        std::ifstream stream(this->folder / name);
        auto value = json::parse(stream, nullptr, false);
        return value.is_object() ? value : json::object();
    }

    std::filesystem::path folder;
    std::mutex mutex;
    std::uint64_t configRevision = 0;
    std::map<std::string, std::pair<std::uint64_t, json>> shards;
    json vms{{"revision", 0}, {"vms", json::array()}};
};

/** @return The number in query field @p name, or 0. */
auto queryNumber(const http_request &request, const std::string &name) -> std::uint64_t
{
    const auto query = web::uri::split_query(request.relative_uri().query());
    const auto found = query.find(name);
    return found == query.end() ? 0 : std::stoull(found->second);
}

/** Answers once the value's revision is above the query's, or after its wait_ms. */
auto watch(Store &store, const http_request &request, json (Store::*get)()) -> void
{
    const auto after = queryNumber(request, "after");
    const auto until = std::chrono::steady_clock::now()
                       + std::chrono::milliseconds(queryNumber(request, "wait_ms"));
    std::thread([&store, request, get, after, until] {
        auto value = (store.*get)();
        while (value["revision"] <= after && std::chrono::steady_clock::now() < until) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            value = (store.*get)();
        }
        request.reply(200, value.dump(), "application/json");
    }).detach();
}

} // namespace

auto main(int argc, char **argv) -> int
{
    cxxopts::Options options("standin_platform");
    options.add_options()("listen", "host:port", cxxopts::value<std::string>())(
        "dir", "folder of config.json and vms.json", cxxopts::value<std::string>());
    const auto given = options.parse(argc, argv);
    Store store(given["dir"].as<std::string>());
    store.refresh();
    std::atomic<std::uint64_t> calls = 0;
    web::http::experimental::listener::http_listener listener(
        "http://" + given["listen"].as<std::string>() + "/");
    listener.support([&](const http_request &request) {
        const auto path = request.relative_uri().path();
        constexpr std::string_view ShardPath = "/v1/config/";
        if (path == "/stats") {
            request.reply(200, json{{"calls", calls.load()}}.dump(), "application/json");
            return;
        }
        ++calls;
        if (request.method() != "GET") {
            request.reply(405);
        } else if (path == "/v1/config") {
            watch(store, request, &Store::manifest);
        } else if (path == "/v1/vms") {
            watch(store, request, &Store::list);
        } else if (path.starts_with(ShardPath)) {
            request.reply(200, store.shard(path.substr(ShardPath.size())).dump(),
                          "application/json");
        } else {
            request.reply(404);
        }
    });
    listener.open().wait();
    while (true) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        store.refresh();
    }
}
