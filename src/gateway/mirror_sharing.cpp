/** @file mirror_sharing.cpp Keeps this node's mirror of the store. */
#include "banyanring/gateway/mirror_sharing.h"

#include "banyanring/adapters/log_func.h"
#include "banyanring/gateway/gossip_codec.h"
#include "banyanring/ports/clock_func.h"

namespace banyanring::gateway {

namespace {

using std::chrono::milliseconds;

/** Nodes that a change is told to first, and by each that hears of it first. */
constexpr std::size_t FirstFanOut = 8;
/** Four leave one node in fifty out, which then fetches; more only repeat. */
constexpr std::size_t NextFanOut = 4;
constexpr Duration BehindPatience = milliseconds(300); ///< Changes usually spread sooner.
constexpr Duration FollowInterval = milliseconds(700); ///< Between fetches from peers.
constexpr Duration PeerFetchTimeout = milliseconds(1000); ///< Peers answer within milliseconds.
constexpr int Ok = 200;

} // namespace

MirrorSharing::MirrorSharing(boost::asio::io_context &context,
                             const fleet::Environment &environment, NodeBooks &books,
                             PeerSocket &socket, std::function<void()> onChanged)
    : books(books), socket(socket), onChanged(std::move(onChanged)), published(this->mirror, books),
      store(context, environment.store.text(), this->mirror, this->storeCallbacks()),
      duty(environment, bootNow()), peerFetch(context), random(std::random_device{}())
{
    socket.handle(PeerMessage::Batch, [this](std::string_view body, const std::string &) {
        return this->takeBatch(body);
    });
}

auto MirrorSharing::storeCallbacks() -> platform::StoreReader::Callbacks
{
    platform::StoreReader::Callbacks callbacks;
    callbacks.onChanged = [this](const std::vector<std::string> &keys) { this->takeOwn(keys); };
    callbacks.onReached = [this](bool reached, const std::string &why) {
        logEvent(
            reached ? "store_regained" : "store_lost",
            {{"why", why}, {"store_revision", static_cast<std::int64_t>(this->mirror.revision())}});
        this->noteReach(bootNow());
    };
    return callbacks;
}

auto MirrorSharing::tick(Instant now) -> void
{
    const bool watch = this->duty.update(this->books.members, now);
    if (watch != this->store.active()) {
        logEvent("store_watch",
                 {{"watching", watch},
                  {"members", static_cast<std::int64_t>(this->books.members.live(now).size())}});
        if (watch) {
            this->store.start();
        } else {
            this->store.stop();
        }
    }
    this->noteReach(now);
    this->followPeers(now);
}

auto MirrorSharing::noteReach(Instant now) -> void
{
    bool reaches = this->store.reached();
    for (const auto *member : this->books.members.live(now)) {
        reaches = reaches || member->statement.storeReached;
    }
    if (reaches != this->fleetReaches) {
        this->fleetReaches = reaches;
        this->published.noteStore(reaches, now);
        logEvent("store_in_contact", {{"in_contact", reaches}, {"own", this->store.reached()}});
    }
}

auto MirrorSharing::takeOwn(const std::vector<std::string> &keys) -> void
{
    this->published.take(keys, bootNow());
    if (keys.empty()) {
        return;
    }
    const auto since = std::exchange(this->told, this->mirror.revision());
    const auto bytes = since > 0 ? encodeBatch(this->mirror.batchOf(keys, since)) : "";
    if (!bytes.empty() && bytes.size() <= PeerSocket::MostBytes) {
        this->spread(bytes, FirstFanOut);
    } // Else the peers fetch the whole mirror.
    this->onChanged();
}

auto MirrorSharing::takeBatch(std::string_view body) -> bool
{
    const auto batch = decodeBatch(body);
    if (!batch) {
        return false;
    }
    const auto before = this->mirror.revision();
    const auto keys = this->mirror.applyBatch(*batch);
    if (!keys.empty()) {
        this->published.take(keys, bootNow());
        this->onChanged();
    }
    if (this->mirror.revision() > before) {
        this->told = this->mirror.revision();
        this->spread(body, NextFanOut);
    }
    return true;
}

auto MirrorSharing::spread(std::string_view bytes, std::size_t fanOut) -> void
{
    auto known = this->books.members.live(bootNow());
    std::shuffle(known.begin(), known.end(), this->random);
    known.resize(std::min(known.size(), fanOut));
    for (const auto *member : known) {
        this->socket.send(member->statement.peerAddress, PeerMessage::Batch, bytes);
    }
}

auto MirrorSharing::followPeers(Instant now) -> void
{
    std::vector<const fleet::Member *> newer;
    std::uint64_t newest = 0;
    for (const auto *member : this->books.members.live(now)) {
        if (member->statement.storeRevision > this->mirror.revision()) {
            newer.push_back(member);
            newest = std::max(newest, member->statement.storeRevision);
        }
    }
    if (this->awaitedSince != Instant(0) && this->mirror.revision() >= this->awaited) {
        this->awaitedSince = Instant(0);
    }
    if (newer.empty()) {
        return;
    }
    if (this->awaitedSince == Instant(0)) {
        this->awaited = newest;
        this->awaitedSince = now;
    }
    const bool late = !this->loaded() || now - this->awaitedSince > BehindPatience;
    if (!late || now < this->nextFollowAt || this->peerFetch.busy()) {
        return;
    }
    std::erase_if(newer, [this](const fleet::Member *member) {
        return member->statement.storeRevision < this->awaited;
    });
    if (newer.empty()) {
        return;
    }
    this->nextFollowAt = now + FollowInterval;
    const auto peer = newer.at(this->random() % newer.size())->statement.peerAddress;
    this->peerFetch.get(peer, Path, PeerFetchTimeout,
                        [this, peer](const FetchResult &result) { this->takeWhole(peer, result); });
}

auto MirrorSharing::takeWhole(const std::string &peer, const FetchResult &result) -> void
{
    auto theirs = result.status == Ok ? decodeMirror(result.body) : std::nullopt;
    if (!theirs) {
        logEvent(
            "peer_fetch_failed",
            {{"peer", peer}, {"status", std::int64_t{result.status}}, {"why", result.failure}});
        return;
    }
    const auto before = this->mirror.revision();
    const auto changed = this->mirror.replace(std::move(theirs->items), theirs->revision);
    logEvent("mirror_from_peer", {{"peer", peer},
                                  {"revision_before", static_cast<std::int64_t>(before)},
                                  {"revision", static_cast<std::int64_t>(theirs->revision)},
                                  {"changed", static_cast<std::int64_t>(changed.size())}});
    this->told = this->mirror.revision();
    this->published.take(changed, bootNow());
    this->onChanged();
}

auto MirrorSharing::encoded() const -> std::string
{
    return encodeMirror(this->mirror);
}

auto MirrorSharing::describe(fleet::NodeStatement &statement) const -> void
{
    statement.storeRevision = this->mirror.revision();
    statement.storeReached = this->store.reached();
    statement.storeTried = this->store.active();
}

} // namespace banyanring::gateway
