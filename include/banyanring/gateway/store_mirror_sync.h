/** @file store_mirror_sync.h Keeps this node's mirror of the store, by itself or after others. */
#pragma once

#include "banyanring/fleet/store_watch_duty.h"
#include "banyanring/gateway/http_client.h"
#include "banyanring/gateway/peer_socket.h"
#include "store_reader.h"
#include "store_update_applier.h"

namespace banyanring::gateway {

/**
 * Keeps the mirror of the store. The nodes whose duty it is watch the store and tell changes to a
 * few others, each of which tells a few more. A node that missed something sees it by the others'
 * revisions and reads the store itself until it has caught up, or fetches a peer's whole mirror.
 */
class StoreMirrorSync
{
public:
    /**
     * @param context Runs all its work.
     * @param environment Addresses.
     * @param books Get what is published; must outlive this object.
     * @param socket Carries changes; must outlive this object.
     * @param onChanged Told after the books have changed.
     */
    StoreMirrorSync(boost::asio::io_context &context, const fleet::Environment &environment,
                    NodeBooks &state, PeerSocket &socket, std::function<void()> onChanged);

    /** Does what is due; to be called some times a second. */
    auto tick(Instant now) -> void;

    /** @param address The store's address after the settings have changed. */
    auto setStoreAddress(const std::string &address) -> void
    {
        this->storeReader.setAddress(address);
    }

    /** @return Whether the mirror was filled once. */
    auto loaded() const -> bool
    {
        return this->updateApplier.loaded();
    }

    /** @return The mirror's bytes for a peer. */
    auto encodedMirror() const -> std::string;

    /** Fills in what this node states of its mirror. */
    auto fillStatus(fleet::NodeStatement &statement) const -> void;

    /** @return Calls made to the store. */
    auto storeCalls() const -> std::uint64_t
    {
        return this->storeReader.requestCount();
    }

    static constexpr auto MirrorPath = "/mirror"; ///< Peers fetch the mirror here.

private:
    auto storeCallbacks() -> platform::StoreReader::Callbacks;
    auto handleStoreChanges(const std::vector<std::string> &keys) -> void;
    auto handleBatch(std::string_view body) -> bool;
    auto sendToSample(std::string_view bytes, std::size_t fanOut) -> void;
    auto isStale(Instant now) const -> bool;
    auto updateReachability(Instant now) -> void;
    auto catchUpFromPeers(Instant now) -> void;
    auto fetchMirror(const std::string &peer) -> void;
    auto handleMirrorResponse(const std::string &peer, const HttpResult &result) -> void;

    NodeBooks &state;
    PeerSocket &socket;
    std::function<void()> onChanged;
    fleet::PublishedBook mirror;
    platform::StoreUpdateApplier updateApplier;
    platform::StoreReader storeReader;
    fleet::StoreWatchDuty watchElection;
    HttpClient peerClient;
    std::mt19937_64 random;
    std::uint64_t broadcastRevision = 0; ///< Revision up to which changes were spread.
    bool watching = false; ///< It is this node's duty to watch the store.
    bool storeReachableByFleet = false; ///< This node or one in contact reaches the store.
    std::uint64_t targetRevision = 0; ///< Revision that peers had at that moment.
    Instant staleSince{}; ///< Since when it is awaited; zero if nothing is.
    Instant nextFetchAt{};
    std::set<std::string> failedPeers; ///< Not asked again before all others.
    int consecutiveFetchFailures = 0; ///< Fetches from peers that failed in a row.
};

} // namespace banyanring::gateway
