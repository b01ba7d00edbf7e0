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
/** Without an answer of the store by then, a node that is behind asks its peers. */
constexpr Duration CatchUpPatience = milliseconds(400);
constexpr Duration FollowInterval = milliseconds(700); ///< Between fetches from peers.
/** A peer that is out of reach costs as much, while an evacuation must be known within seconds. */
constexpr Duration FirstFetchTimeout = milliseconds(600);
/** After failures: the longest configurations take a second on the slowest links. */
constexpr Duration LongestFetchTimeout = milliseconds(2400);
/** Of an item in a batch; entries of servers have some hundred bytes, configurations may be long.
 */
constexpr std::size_t LongestItem = 8192;
constexpr int Ok = 200;

} // namespace

MirrorSharing::MirrorSharing(boost::asio::io_context &context,
                             const fleet::Environment &environment, NodeBooks &books,
                             PeerSocket &socket, std::function<void()> onChanged)
    : books(books), socket(socket), onChanged(std::move(onChanged)), published(this->mirror, books),
      store(context, environment.store.text(), this->mirror, this->storeCallbacks()),
      duty(environment, bootClockNow()), peerFetch(context), random(std::random_device{}())
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
        this->noteReach(bootClockNow());
    };
    return callbacks;
}

auto MirrorSharing::tick(Instant now) -> void
{
    const bool watch = this->duty.update(this->books.members, now);
    if (watch != this->watching) {
        this->watching = watch;
        const auto members = this->books.members.live(now).size();
        logEvent("store_watch",
                 {{"watching", watch}, {"members", static_cast<std::int64_t>(members)}});
    }
    this->noteReach(now);
    this->followPeers(now);
    const bool read = watch || this->behind(now);
    if (read && !this->store.active()) {
        this->store.start();
    } else if (!read && this->store.active()) {
        this->store.stop();
    }
}

auto MirrorSharing::behind(Instant now) const -> bool
{
    return this->loaded() && this->awaitedSince != Instant(0)
           && now - this->awaitedSince >= BehindPatience;
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
    this->published.take(keys, bootClockNow());
    if (keys.empty()) {
        return;
    }
    const auto since = std::exchange(this->told, this->mirror.revision());
    const auto bytes = since > 0 ? encodeBatch(this->mirror.batchOf(keys, since, LongestItem)) : "";
    if (!bytes.empty() && bytes.size() <= PeerSocket::MostBytes) {
        this->spread(bytes, FirstFanOut);
    } // Else the others see it by the revision and catch up.
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
        this->published.take(keys, bootClockNow());
        this->onChanged();
    }
    this->told = std::max(this->told, this->mirror.revision());
    if (this->mirror.revision() > before || !keys.empty()) {
        this->spread(body, NextFanOut);
    }
    if (!batch->whole && this->loaded() && batch->until > this->mirror.revision()) {
        // What was left out is known to be there: no use in waiting for it.
        this->awaited = std::max(this->awaited, batch->until);
        this->awaitedSince = bootClockNow() - BehindPatience;
    }
    return true;
}

auto MirrorSharing::spread(std::string_view bytes, std::size_t fanOut) -> void
{
    for (const auto *member : this->books.members.sample(fanOut, this->random, bootClockNow())) {
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
    const bool late =
        !this->loaded() || now - this->awaitedSince > BehindPatience + CatchUpPatience;
    if (!late || now < this->nextFollowAt || this->peerFetch.busy()) {
        return;
    }
    std::erase_if(newer, [this](const fleet::Member *member) {
        return member->statement.storeRevision < this->awaited;
    });
    if (newer.empty()) {
        return;
    }
    auto untried = newer;
    std::erase_if(untried, [this](const fleet::Member *member) {
        return this->failedPeers.contains(member->statement.peerAddress);
    });
    if (untried.empty()) {
        this->failedPeers.clear();
    } else {
        newer = std::move(untried);
    }
    this->fetchWhole(newer.at(this->random() % newer.size())->statement.peerAddress);
}

auto MirrorSharing::fetchWhole(const std::string &peer) -> void
{
    this->nextFollowAt = bootClockNow() + FollowInterval;
    const auto timeout =
        std::min(LongestFetchTimeout, (1 + this->failedFetches) * FirstFetchTimeout);
    this->peerFetch.get(peer, Path, timeout,
                        [this, peer](const FetchResult &result) { this->takeWhole(peer, result); });
}

auto MirrorSharing::takeWhole(const std::string &peer, const FetchResult &result) -> void
{
    auto theirs = result.status == Ok ? decodeMirror(result.body) : std::nullopt;
    if (!theirs) {
        logEvent(
            "peer_fetch_failed",
            {{"peer", peer}, {"status", std::int64_t{result.status}}, {"why", result.failure}});
        ++this->failedFetches;
        this->failedPeers.insert(peer);
        this->nextFollowAt = Instant(0); // Another peer is tried at once.
        return;
    }
    this->failedFetches = 0;
    this->failedPeers.clear();
    const auto before = this->mirror.revision();
    const auto changed = this->mirror.replace(std::move(theirs->items), theirs->revision);
    logEvent("mirror_from_peer", {{"peer", peer},
                                  {"revision_before", static_cast<std::int64_t>(before)},
                                  {"revision", static_cast<std::int64_t>(theirs->revision)},
                                  {"changed", static_cast<std::int64_t>(changed.size())}});
    this->told = this->mirror.revision();
    this->published.take(changed, bootClockNow());
    this->onChanged();
}

auto MirrorSharing::encoded() const -> std::string
{
    return encodeMirror(this->mirror);
}

auto MirrorSharing::describe(fleet::NodeStatement &statement) const -> void
{
    statement.storeRevision = this->mirror.revision();
    statement.storeReached = this->watching && this->store.reached();
    statement.storeTried = this->watching;
}

} // namespace banyanring::gateway
