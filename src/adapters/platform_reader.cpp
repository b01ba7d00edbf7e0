/** @file platform_reader.cpp Watches the configuration service and VM list of the platform. */
#include "banyanring/adapters/platform_reader.h"

#include "banyanring/adapters/log_func.h"
#include "banyanring/adapters/peer_codec.h"

#include <nlohmann/json.hpp>

namespace banyanring {

namespace {

using nlohmann::json;
namespace http = boost::beast::http;

constexpr int LongPollMs = 5000; ///< Maximum time that the service holds one long poll.
constexpr std::chrono::seconds RequestTimeout{8}; ///< Above LongPollMs.
constexpr std::chrono::milliseconds RetryDelay{500}; ///< Delay after a failed request.
/** Interval of stop checks during a delay. */
constexpr std::chrono::milliseconds StopCheckInterval{50};
constexpr std::size_t MaxValueBytes = 1U << 20U; ///< The service has no larger values.

} // namespace

PlatformReader::PlatformReader(std::string platformAddress, Inbox &inbox,
                               std::function<void(VmListPtr)> onVmList)
    : platform(std::move(platformAddress)), inbox(inbox), onVmList(std::move(onVmList))
{
    this->configThread = std::thread([this] { this->configLoop(); });
    this->vmListThread = std::thread([this] { this->vmListLoop(); });
}

PlatformReader::~PlatformReader()
{
    this->stopping = true;
    this->httpClient.cancelAll();
    this->configThread.join();
    this->vmListThread.join();
}

auto PlatformReader::fetch(const std::string &path) -> std::string
{
    {
        const std::scoped_lock lock(this->mutex);
        ++this->currentStatus.requests;
    }
    HttpClient::Request request;
    request.method(http::verb::get);
    request.target(path);
    std::string text;
    const auto header = this->httpClient.fetch(this->platform, std::move(request), RequestTimeout,
                                               collectBody(text, MaxValueBytes));
    if (header.result() != http::status::ok) {
        throw std::runtime_error("status " + std::to_string(header.result_int()));
    }
    return text;
}

auto PlatformReader::waitBeforeRetry() -> void
{
    for (auto waited = std::chrono::milliseconds(0); waited < RetryDelay && !this->stopping;
         waited += StopCheckInterval) {
        std::this_thread::sleep_for(StopCheckInterval);
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
                ++this->currentStatus.failedRequests;
            }
            logEvent("config_read_failed", {{"error", error.what()}});
            this->waitBeforeRetry();
        }
    }
}

auto PlatformReader::vmListLoop() -> void
{
    while (!this->stopping) {
        try {
            this->readVmList();
        } catch (const std::exception &error) {
            {
                const std::scoped_lock lock(this->mutex);
                ++this->currentStatus.failedRequests;
            }
            logEvent("vm_list_read_failed", {{"error", error.what()}});
            this->waitBeforeRetry();
        }
    }
}

auto PlatformReader::readConfig() -> void
{
    const auto currentState = this->status();
    const auto after = std::max(currentState.configRevision, currentState.rejectedRevision);
    const auto manifest = json::parse(this->fetch("/v1/config?after=" + std::to_string(after)
                                                  + "&wait_ms=" + std::to_string(LongPollMs)));
    const auto revision = manifest.at("revision").get<Revision>();
    if (revision <= after) {
        if (revision < after) {
            this->waitBeforeRetry(); // A stale replica returns an older revision without waiting.
        }
        return;
    }
    Shards newShards;
    std::map<std::string, Revision> newRevisions;
    for (const auto &[name, value] : manifest.at("shards").items()) {
        const auto shardRevision = value.get<Revision>();
        {
            const std::scoped_lock lock(this->mutex);
            const auto inForce = this->shardRevisions.find(name);
            if (inForce != this->shardRevisions.end() && inForce->second == shardRevision) {
                newShards[name] = this->shards.at(name);
                newRevisions[name] = shardRevision;
                continue;
            }
        }
        const auto shard = json::parse(this->fetch("/v1/config/" + name));
        if (shard.at("revision").get<Revision>() != shardRevision) {
            return; // A newer revision was published meanwhile; the next long poll returns it.
        }
        newShards[name] = shard.at("value").dump();
        newRevisions[name] = shardRevision;
    }
    this->acceptConfig(revision, newShards);
    const std::scoped_lock lock(this->mutex);
    if (this->currentStatus.configRevision == revision) {
        this->shardRevisions = std::move(newRevisions);
    }
}

auto PlatformReader::acceptConfig(Revision revision, const Shards &newShards) -> void
{
    try {
        const auto config = parseConfig(revision, newShards);
        {
            const std::scoped_lock lock(this->mutex);
            if (revision <= this->currentStatus.configRevision) {
                return;
            }
            this->currentStatus.configRevision = revision;
            this->shards = newShards;
            this->shardRevisions.clear();
        }
        this->inbox.tryPush(Lane::Control, Event(ConfigReceived{config}));
        logEvent("config_accepted", {{"revision", std::to_string(revision)}});
    } catch (const ConfigError &error) {
        logEvent("config_refused",
                 {{"revision", std::to_string(revision)}, {"faults", error.what()}});
        const std::scoped_lock lock(this->mutex);
        this->currentStatus.rejectedRevision =
            std::max(this->currentStatus.rejectedRevision, revision);
        this->currentStatus.rejectionErrors = error.errors;
    }
}

auto PlatformReader::readVmList() -> void
{
    const auto currentRevision = this->status().vmListRevision;
    const auto text = this->fetch("/v1/vms?after=" + std::to_string(currentRevision)
                                  + "&wait_ms=" + std::to_string(LongPollMs));
    this->acceptVmList(text);
    if (parseVmList(text)->revision < currentRevision) {
        this->waitBeforeRetry(); // A stale replica returns an older revision without waiting.
    }
}

auto PlatformReader::acceptVmList(const std::string &text) -> void
{
    const auto list = parseVmList(text);
    {
        const std::scoped_lock lock(this->mutex);
        if (list->revision <= this->currentStatus.vmListRevision) {
            return;
        }
        this->currentStatus.vmListRevision = list->revision;
        this->vmListText = text;
    }
    this->onVmList(list);
    this->inbox.tryPush(Lane::Control, Event(VmListReceived{list}));
    logEvent("vm_list_accepted", {{"revision", std::to_string(list->revision)}});
}

auto PlatformReader::snapshot() const -> PlatformSnapshot
{
    const std::scoped_lock lock(this->mutex);
    return {this->currentStatus.configRevision, this->shards, this->vmListText};
}

auto PlatformReader::applySnapshot(const PlatformSnapshot &snapshot) -> void
{
    if (snapshot.configRevision > this->status().configRevision) {
        this->acceptConfig(snapshot.configRevision, snapshot.shards);
    }
    if (!snapshot.vmList.empty()) {
        try {
            this->acceptVmList(snapshot.vmList);
        } catch (const ConfigError &error) {
            logEvent("vm_list_refused", {{"faults", error.what()}});
        }
    }
}

auto PlatformReader::status() const -> Status
{
    const std::scoped_lock lock(this->mutex);
    return this->currentStatus;
}

} // namespace banyanring
