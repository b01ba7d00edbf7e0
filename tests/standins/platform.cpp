/** @file platform.cpp Fake platform: serves published files, with long polling. */
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

/** Content of DIR/config.json and DIR/vms.json, which tests replace by renaming a new file. */
class Store
{
public:
    explicit Store(std::filesystem::path directory) : directory(std::move(directory)) {}

    /** Reads the files again; a shard keeps its revision while its value stays the same. */
    auto refresh() -> void
    {
        const std::scoped_lock lock(this->mutex);
        const auto config = this->read("config.json");
        if (config.contains("revision") && config["revision"] != this->configRevision) {
            this->configRevision = config["revision"];
            std::map<std::string, std::pair<std::uint64_t, json>> newShards;
            for (const auto &[name, value] : config["shards"].items()) {
                const auto existing = this->shards.find(name);
                const bool unchanged =
                    existing != this->shards.end() && existing->second.second == value;
                newShards[name] = {unchanged ? existing->second.first : this->configRevision,
                                   value};
            }
            this->shards = std::move(newShards);
        }
        const auto newVms = this->read("vms.json");
        if (newVms.contains("revision")) {
            this->vms = newVms;
        }
    }

    /** @return Revision of the configuration and of each shard. */
    auto manifest() -> json
    {
        const std::scoped_lock lock(this->mutex);
        json result{{"revision", this->configRevision}, {"shards", json::object()}};
        for (const auto &[name, shard] : this->shards) {
            result["shards"][name] = shard.first;
        }
        return result;
    }

    /** @return Revision and value of a shard; null for an unknown name. */
    auto shard(const std::string &name) -> json
    {
        const std::scoped_lock lock(this->mutex);
        const auto found = this->shards.find(name);
        return found == this->shards.end()
                   ? json()
                   : json{{"revision", found->second.first}, {"value", found->second.second}};
    }

    /** @return The VM list. */
    auto vmList() -> json
    {
        const std::scoped_lock lock(this->mutex);
        return this->vms;
    }

private:
    auto read(const char *name) const -> json
    {
        std::ifstream stream(this->directory / name);
        auto value = json::parse(stream, nullptr, false);
        return value.is_object() ? value : json::object();
    }

    std::filesystem::path directory;
    std::mutex mutex;
    std::uint64_t configRevision = 0;
    std::map<std::string, std::pair<std::uint64_t, json>> shards; ///< Revision and value by name.
    json vms{{"revision", 0}, {"vms", json::array()}};
};

/** @return The number in query parameter @p name; 0 without one. */
auto queryNumber(const http_request &request, const std::string &name) -> std::uint64_t
{
    const auto query = web::uri::split_query(request.relative_uri().query());
    const auto found = query.find(name);
    return found == query.end() ? 0 : std::stoull(found->second);
}

/**
 * Responds to a long poll, as soon as the revision of the value is above the query parameter
 * "after" or once its "wait_ms" have passed.
 */
auto respondToLongPoll(Store &store, const http_request &request, json (Store::*getValue)()) -> void
{
    const auto after = queryNumber(request, "after");
    const auto deadline = std::chrono::steady_clock::now()
                          + std::chrono::milliseconds(queryNumber(request, "wait_ms"));
    std::thread([&store, request, getValue, after, deadline] {
        auto value = (store.*getValue)();
        while (value["revision"] <= after && std::chrono::steady_clock::now() < deadline) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            value = (store.*getValue)();
        }
        request.reply(200, value.dump(), "application/json");
    }).detach();
}

} // namespace

auto main(int argc, char **argv) -> int
{
    cxxopts::Options options("standin_platform");
    options.add_options()("listen", "host:port", cxxopts::value<std::string>())(
        "dir", "directory of config.json and vms.json", cxxopts::value<std::string>());
    const auto parsed = options.parse(argc, argv);
    Store store(parsed["dir"].as<std::string>());
    store.refresh();
    std::atomic<std::uint64_t> requestCount = 0;
    web::http::experimental::listener::http_listener listener(
        "http://" + parsed["listen"].as<std::string>() + "/");
    listener.support([&](const http_request &request) {
        const auto path = request.relative_uri().path();
        constexpr std::string_view ShardPath = "/v1/config/";
        if (path == "/stats") {
            request.reply(200, json{{"calls", requestCount.load()}}.dump(), "application/json");
            return;
        }
        ++requestCount;
        if (request.method() != "GET") {
            request.reply(405);
        } else if (path == "/v1/config") {
            respondToLongPoll(store, request, &Store::manifest);
        } else if (path == "/v1/vms") {
            respondToLongPoll(store, request, &Store::vmList);
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
