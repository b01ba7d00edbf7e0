/** @file platform_reader.cpp Reads and watches the platform's configuration service and VM list. */
#include "banyanring/adapters/platform_reader.h"

#include "banyanring/adapters/log_func.h"
#include "banyanring/adapters/peer_codec.h"

#include <cpprest/http_client.h>
#include <nlohmann/json.hpp>

namespace banyanring {

namespace {

using nlohmann::json;
using web::http::client::http_client;

constexpr int WatchMs = 5000; ///< Longest time of one waiting watch.
constexpr std::chrono::seconds CallTimeout{8}; ///< Above WatchMs.
constexpr std::chrono::milliseconds RetryPause{500}; ///< After a failed call.
constexpr std::chrono::milliseconds PauseStep{50}; ///< A stop is seen within it.
constexpr std::size_t MaxValueBytes = 1U << 20U; ///< The service holds no larger value.

} // namespace

PlatformReader::PlatformReader(std::string platformAddress, Inbox &inbox,
                               std::function<void(VmListPtr)> onList)
    : platform(std::move(platformAddress)), inbox(inbox), onList(std::move(onList))
{
    this->configThread = std::thread([this] { this->configLoop(); });
    this->listThread = std::thread([this] { this->listLoop(); });
}

PlatformReader::~PlatformReader()
{
    this->stopping = true;
    this->cancelWatches.cancel();
    this->configThread.join();
    this->listThread.join();
}

auto PlatformReader::fetch(const std::string &path) -> std::string
{
    {
        const std::scoped_lock lock(this->mutex);
        ++this->state.reads;
    }
    web::http::client::http_client_config config;
    config.set_timeout(CallTimeout);
    http_client client("http://" + this->platform, config);
    // This thread is the reader's own, not one of the library's pool, so it may wait.
    const auto response =
        client.request(web::http::methods::GET, path, this->cancelWatches.get_token()).get();
    if (response.status_code() != web::http::status_codes::OK) {
        throw std::runtime_error("status " + std::to_string(response.status_code()));
    }
    auto text = response.extract_utf8string(true).get();
    if (text.size() > MaxValueBytes) {
        throw std::runtime_error("value of " + std::to_string(text.size()) + " bytes");
    }
    return text;
}

auto PlatformReader::pause() -> void
{
    for (auto waited = std::chrono::milliseconds(0); waited < RetryPause && !this->stopping;
         waited += PauseStep) {
        std::this_thread::sleep_for(PauseStep);
    }
}

auto PlatformReader::configLoop() -> void
{
    while (!this->stopping) {
        try {
            this->readConfig();
        } catch (const std::exception &error) {
            {
                const std::scoped_lock lock(this->mutex);
                ++this->state.failures;
            }
            logEvent("config_read_failed", {{"error", error.what()}});
            this->pause();
        }
    }
}

auto PlatformReader::listLoop() -> void
{
    while (!this->stopping) {
        try {
            this->readList();
        } catch (const std::exception &error) {
            {
                const std::scoped_lock lock(this->mutex);
                ++this->state.failures;
            }
            logEvent("vm_list_read_failed", {{"error", error.what()}});
            this->pause();
        }
    }
}

auto PlatformReader::readConfig() -> void
{
    const auto before = this->status();
    const auto after = std::max(before.configRevision, before.refusedRevision);
    const auto manifest = json::parse(this->fetch("/v1/config?after=" + std::to_string(after)
                                                  + "&wait_ms=" + std::to_string(WatchMs)));
    const auto revision = manifest.at("revision").get<Revision>();
    if (revision <= after) {
        if (revision < after) {
            this->pause(); // A stale reader of the service does not wait.
        }
        return;
    }
    Shards texts;
    std::map<std::string, Revision> revisions;
    for (const auto &[name, value] : manifest.at("shards").items()) {
        const auto wanted = value.get<Revision>();
        {
            const std::scoped_lock lock(this->mutex);
            const auto known = this->shardRevisions.find(name);
            if (known != this->shardRevisions.end() && known->second == wanted) {
                texts[name] = this->shards.at(name);
                revisions[name] = wanted;
                continue;
            }
        }
        const auto shard = json::parse(this->fetch("/v1/config/" + name));
        if (shard.at("revision").get<Revision>() != wanted) {
            return; // Published anew meanwhile: the next watch brings the newer manifest.
        }
        texts[name] = shard.at("value").dump();
        revisions[name] = wanted;
    }
    this->acceptConfig(revision, texts);
    const std::scoped_lock lock(this->mutex);
    if (this->state.configRevision == revision) {
        this->shardRevisions = std::move(revisions);
    }
}

auto PlatformReader::acceptConfig(Revision revision, const Shards &texts) -> void
{
    try {
        const auto config = parseConfig(revision, texts);
        {
            const std::scoped_lock lock(this->mutex);
            if (revision <= this->state.configRevision) {
                return;
            }
            this->state.configRevision = revision;
            this->shards = texts;
            this->shardRevisions.clear();
        }
        this->inbox.push(Lane::Control, Event(ConfigReceived{config}));
        logEvent("config_accepted", {{"revision", std::to_string(revision)}});
    } catch (const ConfigError &error) {
        logEvent("config_refused",
                 {{"revision", std::to_string(revision)}, {"faults", error.what()}});
        const std::scoped_lock lock(this->mutex);
        this->state.refusedRevision = std::max(this->state.refusedRevision, revision);
        this->state.faults = error.faults;
    }
}

auto PlatformReader::readList() -> void
{
    const auto known = this->status().listRevision;
    const auto text = this->fetch("/v1/vms?after=" + std::to_string(known)
                                  + "&wait_ms=" + std::to_string(WatchMs));
    this->acceptList(text);
    if (parseVmList(text)->revision < known) {
        this->pause(); // A stale reader of the service does not wait.
    }
}

auto PlatformReader::acceptList(const std::string &text) -> void
{
    const auto list = parseVmList(text);
    {
        const std::scoped_lock lock(this->mutex);
        if (list->revision <= this->state.listRevision) {
            return;
        }
        this->state.listRevision = list->revision;
        this->listText = text;
    }
    this->onList(list);
    this->inbox.push(Lane::Control, Event(VmListReceived{list}));
    logEvent("vm_list_accepted", {{"revision", std::to_string(list->revision)}});
}

auto PlatformReader::values() const -> Values
{
    const std::scoped_lock lock(this->mutex);
    return {this->state.configRevision, this->shards, this->listText};
}

auto PlatformReader::takeValues(const Values &values) -> void
{
    if (values.configRevision > this->status().configRevision) {
        this->acceptConfig(values.configRevision, values.shards);
    }
    if (!values.vmList.empty()) {
        try {
            this->acceptList(values.vmList);
        } catch (const ConfigError &error) {
            logEvent("vm_list_refused", {{"faults", error.what()}});
        }
    }
}

auto PlatformReader::status() const -> Status
{
    const std::scoped_lock lock(this->mutex);
    return this->state;
}

} // namespace banyanring
