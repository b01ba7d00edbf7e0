/** @file store_mirror_sync.h Synchronises the store mirror with the store or with peers. */
#pragma once

#include "banyanring/fleet/mirror_catch_up.h"
#include "banyanring/fleet/store_contact.h"
#include "banyanring/fleet/store_watch_election.h"
#include "banyanring/gateway/http_client.h"
#include "banyanring/gateway/peer_socket.h"
#include "store_reader.h"
#include "store_update_applier.h"

namespace banyanring::gateway {

/**
 * Keeps the mirror of the store up to date. Elected nodes watch the store and send changes to a few
 * others, each of which relays them to a few more. A node that missed changes detects it by its
 * peers' positions and reads the store itself until it has caught up. If the store does not
 * respond, or has been restored, it fetches the complete mirror of a peer.
 */
class StoreMirrorSync
{
public:
    /**
     * @param context Runs the asynchronous operations.
     * @param settings Addresses and failure domain of this node, address of the store.
     * @param state Updated with the store's items; must outlive this object.
     * @param socket Sends and receives changes; must outlive this object.
     * @param onChanged Called after the state has changed.
     */
    StoreMirrorSync(boost::asio::io_context &context, const fleet::ProcessSettings &settings,
                    NodeState &state, PeerSocket &socket, std::function<void()> onChanged);

    /** Starts or stops reading the store and catches up; to be called several times a second. */
    auto tick(Instant now) -> void;

    /** @param address New "IP:port" of the store, used from the next request on. */
    auto setStoreAddress(const std::string &address) -> void
    {
        this->storeReader.setAddress(address);
    }

    /** @return Whether the mirror has been filled. */
    auto loaded() const -> bool
    {
        return this->updateApplier.loaded();
    }

    /** @return The encoded mirror, as the response to a peer. */
    auto encodedMirror() const -> std::string;

    /** Sets the store's position and reachability in this node's status. */
    auto fillStatus(fleet::NodeStatus &status) const -> void;

    /** @return Requests sent to the store. */
    auto storeCalls() const -> std::uint64_t
    {
        return this->storeReader.requestCount();
    }

    static constexpr auto MirrorPath = "/mirror"; ///< HTTP path at which peers fetch the mirror.

private:
    auto storeCallbacks() -> platform::StoreReader::Callbacks;
    auto handleStoreChanges(const std::vector<std::string> &keys) -> void;
    auto handleBatch(std::string_view body, const std::string &from) -> bool;
    auto relaysFrom(const std::string &sender, Instant now) const -> bool;
    auto sendToSample(std::string_view bytes, std::size_t fanOut) -> void;
    auto sendToUnwatchedDomains(std::string_view bytes) -> void;
    auto beginNewEra(std::string_view source, Instant now) -> bool;
    auto progress() const -> fleet::MirrorCatchUp::Progress;
    auto updateStoreContact(Instant now) -> void;
    auto catchUpFromPeers(Instant now) -> void;
    auto fetchMirror(const std::string &peer) -> void;
    auto handleMirrorResponse(const std::string &peer, const HttpResult &result) -> void;

    NodeState &state;
    PeerSocket &socket;
    std::string domain; ///< Failure domain of this node.
    std::function<void()> onChanged;
    fleet::StoreMirror mirror;
    platform::StoreUpdateApplier updateApplier;
    platform::StoreReader storeReader;
    fleet::StoreWatchElection watchElection;
    fleet::MirrorCatchUp catchUp;
    HttpClient peerClient;
    std::mt19937_64 random;
    fleet::StorePosition broadcastPosition; ///< Up to which changes have been sent to peers.
    bool watching = false; ///< This node is elected to watch the store.
    fleet::StoreContact storeContact = fleet::StoreContact::Unwatched;
};

} // namespace banyanring::gateway
