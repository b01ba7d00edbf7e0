/** @file backend.cpp Fake backend server with a ledger of the requests that it ran. */
#include <cpprest/http_listener.h>
#include <cpprest/producerconsumerstream.h>
#include <cxxopts.hpp>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

namespace {

using nlohmann::json;
using web::http::http_request;

constexpr std::chrono::milliseconds SleepStep{5}; ///< Granularity of the simulated processing time.

/** @return Wall clock time, in milliseconds since the epoch. */
auto wallMs() -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/** Record of all requests that the server ran, and of the highest concurrency. */
class Ledger
{
public:
    /** Records the start of a request; returns its id. */
    auto begin(const http_request &request) -> std::string
    {
        const auto header = [&](const std::string &name) {
            const auto found = request.headers().find(name);
            return found == request.headers().end() ? std::string{} : found->second;
        };
        const auto id = header("X-Banyan-Request-Id");
        const bool hasKey = !header("X-Banyan-Key").empty() || !header("Authorization").empty();
        const std::scoped_lock lock(this->mutex);
        this->running.insert(id);
        this->peak = std::max(this->peak, this->running.size());
        this->entries.push_back({{"id", id},
                                 {"organisation", header("X-Banyan-Organisation")},
                                 {"start_ms", wallMs()},
                                 {"key_seen", hasKey}});
        return id;
    }

    /** Records the end of a request, and whether its response was complete. */
    auto end(const std::string &id, bool complete) -> void
    {
        const std::scoped_lock lock(this->mutex);
        this->running.erase(this->running.find(id));
        this->entries.push_back({{"id", id}, {"end_ms", wallMs()}, {"whole", complete}});
    }

    /** @return The content of /ledger. */
    auto dump() -> json
    {
        const std::scoped_lock lock(this->mutex);
        return {{"peak", this->peak}, {"entries", this->entries}};
    }

    /** @return Ids of the running requests. */
    auto ids() -> json
    {
        const std::scoped_lock lock(this->mutex);
        return json(this->running);
    }

private:
    std::mutex mutex;
    std::multiset<std::string> running;
    std::size_t peak = 0; ///< Highest number of concurrent requests.
    json entries = json::array();
};

/** Simulated behaviour of the server. */
struct Behaviour
{
    bool engine = false;
    /** Time per token of an engine, or per request of a plain service. */
    std::chrono::milliseconds tokenTime{20};
    std::int64_t startedAt = wallMs(); ///< Milliseconds since the epoch.
    std::int64_t coldMs = 0; ///< Duration of the cold start.
    std::int64_t lagMs = 0; ///< Age that load reports state.
};

/** Responds with a stream of tokens as server-sent events, until the client disconnects. */
auto runEngine(const http_request &request, const json &body, const Behaviour &behaviour,
               Ledger &ledger, const std::string &id) -> void
{
    const auto tokens = body.is_object() ? body.value("max_tokens", 8) : 8;
    concurrency::streams::producer_consumer_buffer<std::uint8_t> stream;
    web::http::http_response response(200);
    response.set_body(stream.create_istream(), "text/event-stream");
    const auto disconnected = std::make_shared<std::atomic<bool>>(false);
    request.reply(response).then([disconnected](const pplx::task<void> &task) {
        try {
            task.get();
        } catch (const std::exception &) {
            *disconnected = true;
        }
    });
    for (int token = 0; token < tokens && !*disconnected; ++token) {
        std::this_thread::sleep_for(behaviour.tokenTime);
        const auto event = "data: {\"token\":" + std::to_string(token) + "}\n\n";
        stream.putn_nocopy(reinterpret_cast<const std::uint8_t *>(event.data()), event.size());
        stream.sync();
    }
    const std::string endEvent = "data: [DONE]\n\n";
    stream.putn_nocopy(reinterpret_cast<const std::uint8_t *>(endEvent.data()), endEvent.size());
    ledger.end(id, !*disconnected);
    stream.close(std::ios_base::out);
}

/** Responds at once after the simulated processing time. */
auto runPlain(const http_request &request, const std::string &body, const Behaviour &behaviour,
              Ledger &ledger, const std::string &id) -> void
{
    for (auto elapsed = std::chrono::milliseconds(0); elapsed < behaviour.tokenTime;
         elapsed += SleepStep) {
        std::this_thread::sleep_for(SleepStep);
    }
    ledger.end(id, true);
    request.reply(200, json{{"echo", body}, {"run_id", id}}.dump(), "application/json");
}

} // namespace

auto main(int argc, char **argv) -> int
{
    cxxopts::Options options("standin_backend");
    options.add_options()("listen", "host:port", cxxopts::value<std::string>())(
        "kind", "engine or plain", cxxopts::value<std::string>())(
        "token-ms", "time per token or response", cxxopts::value<int>()->default_value("20"))(
        "cold-ms", "duration of the cold start", cxxopts::value<int>()->default_value("0"))(
        "lag-ms", "age of the load report", cxxopts::value<int>()->default_value("0"));
    const auto parsed = options.parse(argc, argv);
    Behaviour behaviour;
    behaviour.engine = parsed["kind"].as<std::string>() == "engine";
    behaviour.tokenTime = std::chrono::milliseconds(parsed["token-ms"].as<int>());
    behaviour.coldMs = parsed["cold-ms"].as<int>();
    behaviour.lagMs = parsed["lag-ms"].as<int>();
    Ledger ledger;
    web::http::experimental::listener::http_listener listener(
        "http://" + parsed["listen"].as<std::string>() + "/");
    listener.support([&](const http_request &request) {
        const auto path = request.relative_uri().path();
        if (path == "/load") {
            const auto ids = ledger.ids();
            const bool cold = wallMs() - behaviour.startedAt < behaviour.coldMs;
            request.reply(200,
                          json{{"started_at", behaviour.startedAt},
                               {"running", ids.size()},
                               {"running_ids", ids},
                               {"cold", cold},
                               {"age_ms", behaviour.lagMs}}
                              .dump(),
                          "application/json");
            return;
        }
        if (path == "/ledger") {
            request.reply(200, ledger.dump().dump(), "application/json");
            return;
        }
        std::thread([request = http_request(request), &behaviour, &ledger]() mutable {
            const auto id = ledger.begin(request);
            const auto text = request.extract_utf8string(true).get();
            // Lets tests crash the process with a request.
            if (text.find("crash-me") != std::string::npos) {
                std::_Exit(1);
            }
            if (behaviour.engine) {
                runEngine(request, json::parse(text, nullptr, false), behaviour, ledger, id);
            } else {
                runPlain(request, text, behaviour, ledger, id);
            }
        }).detach();
    });
    listener.open().wait();
    while (true) {
        std::this_thread::sleep_for(std::chrono::seconds(1));
    }
}
