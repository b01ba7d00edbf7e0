/** @file store_mirror_sync.cpp Synchronises the store mirror with the store or with peers. */
#include "banyanring/gateway/store_mirror_sync.h"

#include "banyanring/adapters/log_func.h"
#include "banyanring/gateway/gossip_codec.h"
#include "banyanring/ports/clock_func.h"

namespace banyanring::gateway {

namespace {

using std::chrono::milliseconds;

/** Nodes that a watching node sends a change to. */
constexpr std::size_t OriginFanOut = 8;
/**
 * Nodes that a receiver relays a change to. With 4, one node in fifty misses it and catches up
 * later; more only add duplicates.
 */
constexpr std::size_t RelayFanOut = 4;
/** Nodes that a watching node sends a change to in each domain that has no watching node. */
constexpr std::size_t UnwatchedDomainFanOut = 2;
/** An unreachable peer delays catching up by this, and an evacuation must arrive within seconds. */
constexpr Duration InitialFetchTimeout = milliseconds(600);
/** After failures: the largest configurations take a second on the slowest links. */
constexpr Duration MaxFetchTimeout = milliseconds(2400);
/**
 * Server entries take some hundred bytes. Larger items, such as long configurations, are left out
 * of batches.
 */
constexpr std::size_t MaxBatchItemBytes = 8192;
constexpr int OkStatus = 200;

} // namespace

StoreMirrorSync::StoreMirrorSync(boost::asio::io_context &context,
                                 const fleet::ProcessSettings &settings, NodeState &state,
                                 PeerSocket &socket, std::function<void()> onChanged)
    : state(state), socket(socket), domain(settings.domain), onChanged(std::move(onChanged)),
      updateApplier(this->mirror, state),
      storeReader(context, settings.store.text(), this->mirror, this->storeCallbacks()),
      watchElection(settings, bootClockNow()), catchUp(std::random_device{}()), peerClient(context),
      random(std::random_device{}())
{
    socket.setHandler(PeerMessageType::StoreChanges,
                      [this](std::string_view body, const std::string &from) {
                          return this->handleBatch(body, from);
                      });
}

auto StoreMirrorSync::storeCallbacks() -> platform::StoreReader::Callbacks
{
    platform::StoreReader::Callbacks callbacks;
    callbacks.onChanged = [this](const std::vector<std::string> &keys) {
        this->handleStoreChanges(keys);
    };
    callbacks.onReachabilityChanged = [this](bool reachable, const std::string &reason) {
        logEvent(reachable ? "store_regained" : "store_lost",
                 {{"why", reason},
                  {"store_era", static_cast<std::int64_t>(this->mirror.era())},
                  {"store_revision", static_cast<std::int64_t>(this->mirror.revision())}});
        this->updateStoreContact(bootClockNow());
    };
    callbacks.onAnswerOverdue = [this] {
        logEvent("store_silent",
                 {{"store_era", static_cast<std::int64_t>(this->mirror.era())},
                  {"store_revision", static_cast<std::int64_t>(this->mirror.revision())}});
        this->updateStoreContact(bootClockNow());
    };
    return callbacks;
}

auto StoreMirrorSync::tick(Instant now) -> void
{
    const bool shouldWatch =
        this->watchElection.update(this->state.members, this->mirror.era(), now);
    if (shouldWatch != this->watching) {
        this->watching = shouldWatch;
        const auto members = this->state.members.aliveMembers(now).size();
        logEvent("store_watch",
                 {{"watching", shouldWatch}, {"members", static_cast<std::int64_t>(members)}});
    }
    this->updateStoreContact(now);
    this->updateApplier.tick(now);
    this->catchUpFromPeers(now);
    const bool shouldRead = shouldWatch || this->catchUp.shouldReadStore(this->progress(), now);
    if (shouldRead && !this->storeReader.running()) {
        this->storeReader.start();
    } else if (!shouldRead && this->storeReader.running()) {
        this->storeReader.stop();
    }
}

auto StoreMirrorSync::progress() const -> fleet::MirrorCatchUp::Progress
{
    const auto &config = this->state.config.current();
    return {this->mirror.position(), config ? config->version : 0, this->loaded()};
}

auto StoreMirrorSync::updateStoreContact(Instant now) -> void
{
    const fleet::StoreAccess own{this->storeReader.reachable(), this->storeReader.failing()};
    const auto contact = fleet::findStoreContact(own, this->state.members, now);
    if (contact == this->storeContact) {
        return;
    }
    this->storeContact = contact;
    this->updateApplier.setStoreContact(contact, now);
    logEvent("store_contact",
             {{"contact", std::string(fleet::storeContactName(contact))}, {"own", own.reachable}});
}

auto StoreMirrorSync::beginNewEra(std::string_view source, Instant now) -> bool
{
    const auto change = this->mirror.takeEraChange();
    if (!change) {
        return false;
    }
    this->updateApplier.beginEra(now);
    logEvent("store_era_changed",
             {{"from", static_cast<std::int64_t>(change->from.era)},
              {"to", static_cast<std::int64_t>(change->to.era)},
              {"source", std::string(source)},
              {"revision_before", static_cast<std::int64_t>(change->from.revision)},
              {"revision", static_cast<std::int64_t>(change->to.revision)},
              {"gained", static_cast<std::int64_t>(change->gainedItems)},
              {"changed", static_cast<std::int64_t>(change->changedItems)},
              {"lost", static_cast<std::int64_t>(change->lostItems)}});
    return true;
}

auto StoreMirrorSync::handleStoreChanges(const std::vector<std::string> &keys) -> void
{
    const auto now = bootClockNow();
    const bool isNewEra = this->beginNewEra("store", now);
    this->updateApplier.applyChanges(keys, now);
    if (keys.empty() && !isNewEra) {
        return;
    }
    const auto from = std::exchange(this->broadcastPosition, this->mirror.position());
    const auto bytes =
        from.revision > 0 ? encodeChangeBatch(this->mirror.makeBatch(keys, from, MaxBatchItemBytes))
                          : "";
    if (!bytes.empty() && bytes.size() <= PeerSocket::MaxBodyBytes) {
        this->sendToSample(bytes, OriginFanOut);
        this->sendToUnwatchedDomains(bytes);
    } // Otherwise peers detect the newer position in gossip and catch up.
    this->onChanged();
}

auto StoreMirrorSync::handleBatch(std::string_view body, const std::string &from) -> bool
{
    const auto batch = decodeChangeBatch(body);
    if (!batch) {
        return false;
    }
    const auto now = bootClockNow();
    const auto previousPosition = this->mirror.position();
    const auto keys = this->mirror.applyBatch(*batch);
    if (!keys.empty()) {
        this->updateApplier.applyChanges(keys, now);
        this->onChanged();
    }
    this->broadcastPosition = std::max(this->broadcastPosition, this->mirror.position());
    const bool isUnreachable = !batch->complete || batch->era > this->mirror.era();
    const bool announcesEra = isUnreachable
                              && this->catchUp.noteUnreachable(
                                  this->progress(), batch->toPosition(), this->state.members, now);
    const bool isNews = this->mirror.position() > previousPosition || !keys.empty() || announcesEra;
    if (isNews && this->relaysFrom(from, now)) {
        this->sendToSample(body, RelayFanOut);
    }
    return true;
}

auto StoreMirrorSync::relaysFrom(const std::string &sender, Instant now) const -> bool
{
    const auto &members = this->state.members;
    const auto found = members.all().find(sender);
    return found == members.all().end() || found->second.status.domain == this->domain
           || this->watching || members.unwatchedDomains(now).contains(this->domain);
}

auto StoreMirrorSync::sendToSample(std::string_view bytes, std::size_t fanOut) -> void
{
    for (const auto *member :
         this->state.members.sampleNearby(fanOut, 0, this->random, bootClockNow())) {
        this->socket.send(member->status.peerAddress, PeerMessageType::StoreChanges, bytes);
    }
}

auto StoreMirrorSync::sendToUnwatchedDomains(std::string_view bytes) -> void
{
    const auto now = bootClockNow();
    const auto unwatched = this->state.members.unwatchedDomains(now);
    std::map<std::string_view, std::size_t> sentByDomain;
    for (const auto *member : this->state.members.sampleAlive(
             unwatched.empty() ? 0 : this->state.members.all().size(), this->random, now)) {
        const auto &domain = member->status.domain;
        if (domain == this->domain || !unwatched.contains(domain)
            || sentByDomain[domain]++ >= UnwatchedDomainFanOut) {
            continue;
        }
        this->socket.send(member->status.peerAddress, PeerMessageType::StoreChanges, bytes);
    }
}

auto StoreMirrorSync::catchUpFromPeers(Instant now) -> void
{
    const auto own = this->progress();
    this->catchUp.update(own, this->state.members, now);
    if (this->peerClient.isBusy()) {
        return;
    }
    if (const auto peer = this->catchUp.choosePeer(own, this->state.members, now)) {
        this->fetchMirror(*peer);
    }
}

auto StoreMirrorSync::fetchMirror(const std::string &peer) -> void
{
    const auto timeout =
        std::min(MaxFetchTimeout, (1 + this->catchUp.consecutiveFailures()) * InitialFetchTimeout);
    this->peerClient.get(peer, MirrorPath, timeout, [this, peer](const HttpResult &result) {
        this->handleMirrorResponse(peer, result);
    });
}

auto StoreMirrorSync::handleMirrorResponse(const std::string &peer, const HttpResult &result)
    -> void
{
    auto peerMirror = result.status == OkStatus ? decodeMirror(result.body) : std::nullopt;
    if (!peerMirror) {
        logEvent(
            "peer_fetch_failed",
            {{"peer", peer}, {"status", std::int64_t{result.status}}, {"why", result.failure}});
        this->catchUp.onFetchFailed(peer);
        return;
    }
    this->catchUp.onFetched();
    const auto now = bootClockNow();
    const auto before = this->mirror.position();
    const auto changed =
        this->mirror.replaceAll(std::move(peerMirror->items), peerMirror->position);
    logEvent("mirror_from_peer",
             {{"peer", peer},
              {"era_before", static_cast<std::int64_t>(before.era)},
              {"revision_before", static_cast<std::int64_t>(before.revision)},
              {"era", static_cast<std::int64_t>(peerMirror->position.era)},
              {"revision", static_cast<std::int64_t>(peerMirror->position.revision)},
              {"changed", static_cast<std::int64_t>(changed.size())}});
    this->broadcastPosition = this->mirror.position();
    this->beginNewEra(peer, now);
    const auto &configText = peerMirror->configText;
    if (!configText.empty() && configText != this->updateApplier.configText()) {
        this->updateApplier.adoptConfig(configText, now);
    }
    this->updateApplier.applyChanges(changed, now);
    this->onChanged();
}

auto StoreMirrorSync::encodedMirror() const -> std::string
{
    return encodeMirror(this->mirror, this->updateApplier.configText());
}

auto StoreMirrorSync::fillStatus(fleet::NodeStatus &status) const -> void
{
    status.storeEra = this->mirror.era();
    status.storeRevision = this->mirror.revision();
    status.storeReachable = this->watching && this->storeReader.reachable();
    status.watchesStore = this->watching;
    status.storeUntried =
        this->watching && !this->storeReader.reachable() && !this->storeReader.failing();
}

} // namespace banyanring::gateway
