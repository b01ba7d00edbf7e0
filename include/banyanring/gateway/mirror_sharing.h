/** @file mirror_sharing.h Keeps this node's mirror of the store, by itself or after others. */
#pragma once

#include "banyanring/fleet/store_watch_duty.h"
#include "banyanring/gateway/http_fetch.h"
#include "banyanring/gateway/peer_socket.h"
#include "published_state.h"
#include "store_reader.h"

namespace banyanring::gateway {

/**
 * Keeps the mirror of the store. The nodes whose duty it is watch the store and tell changes to a
 * few others, each of which tells a few more. A node that missed something sees it by the others'
 * revisions and reads the store itself until it has caught up, or fetches a peer's whole mirror.
 */
class MirrorSharing
{
public:
    /**
     * @param context Runs all its work.
     * @param environment Addresses.
     * @param books Get what is published; must outlive this object.
     * @param socket Carries changes; must outlive this object.
     * @param onChanged Told after the books have changed.
     */
    MirrorSharing(boost::asio::io_context &context, const fleet::Environment &environment,
                  NodeState &books, PeerSocket &socket, std::function<void()> onChanged);

    /** Does what is due; to be called some times a second. */
    auto tick(Instant now) -> void;

    /** @param address The store's address after the settings have changed. */
    auto setStoreAddress(const std::string &address) -> void
    {
        this->store.setAddress(address);
    }

    /** @return Whether the mirror was filled once. */
    auto loaded() const -> bool
    {
        return this->published.loaded();
    }

    /** @return The mirror's bytes for a peer. */
    auto encoded() const -> std::string;

    /** Fills in what this node states of its mirror. */
    auto describe(fleet::NodeStatement &statement) const -> void;

    /** @return Calls made to the store. */
    auto storeCalls() const -> std::uint64_t
    {
        return this->store.calls();
    }

    static constexpr auto Path = "/mirror"; ///< Peers fetch the mirror here.

private:
    auto storeCallbacks() -> platform::StoreReader::Callbacks;
    auto takeOwn(const std::vector<std::string> &keys) -> void;
    auto takeBatch(std::string_view body) -> bool;
    auto spread(std::string_view bytes, std::size_t fanOut) -> void;
    auto behind(Instant now) const -> bool;
    auto noteReach(Instant now) -> void;
    auto followPeers(Instant now) -> void;
    auto fetchWhole(const std::string &peer) -> void;
    auto takeWhole(const std::string &peer, const FetchResult &result) -> void;

    NodeState &books;
    PeerSocket &socket;
    std::function<void()> onChanged;
    fleet::PublishedBook mirror;
    platform::PublishedState published;
    platform::StoreReader store;
    fleet::StoreWatchDuty duty;
    HttpFetch peerFetch;
    std::mt19937_64 random;
    std::uint64_t told = 0; ///< Revision up to which changes were spread.
    bool watching = false; ///< It is this node's duty to watch the store.
    bool fleetReaches = false; ///< This node or one in contact reaches the store.
    std::uint64_t awaited = 0; ///< Revision that peers had at that moment.
    Instant awaitedSince{}; ///< Since when it is awaited; zero if nothing is.
    Instant nextFollowAt{};
    std::set<std::string> failedPeers; ///< Not asked again before all others.
    int failedFetches = 0; ///< Fetches from peers that failed in a row.
};

} // namespace banyanring::gateway
