/** @file server_book.h What this node knows and believes of each backend server. */
#pragma once

#include "banyanring/fleet/fleet_config_type.h"
#include "banyanring/fleet/peer_state_type.h"

#include <functional>
#include <memory>
#include <string_view>

namespace banyanring::fleet {

/** Work that a backend server is believed to hold. */
struct ServerLoad
{
    std::uint32_t requests = 0; ///< Requests sent and not ended.
    double promptWork = 0; ///< Work of reading the prompts whose first byte has not come.
};

/** A line through the recent samples of a time over the work that it took. */
class FadingLine
{
public:
    /**
     * Begins with a line that others have seen.
     * @param baseMs Time without work.
     * @param msPerWork Time per unit of work.
     */
    auto adopt(double baseMs, double msPerWork) -> void;

    /**
     * Takes a sample; earlier ones fade.
     * @param work The work.
     * @param ms The time.
     */
    auto learn(double work, double ms) -> void;

    /** @return Whether it stands on anything. */
    auto known() const -> bool
    {
        return this->isKnown;
    }
    /** @return Milliseconds per unit of work. */
    auto slope() const -> double;
    /** @return Milliseconds without work. */
    auto base() const -> double;

private:
    double work = 0; ///< Averages of work, time and their products.
    double ms = 0;
    double workWork = 0;
    double workMs = 0;
    bool isKnown = false;
};

/** What a backend server showed of late. */
struct ServerPace
{
    FadingLine firstByte; ///< Time to the first byte over the prompt work ahead.
    double outputMsPerToken = 0; ///< Time per output token after that; 0 unknown.
    double answerMs = 0; ///< Time to a whole plain answer; 0 unknown.
    double failures = 0; ///< Part of the recent answers that failed, 0 to 1.
    double samples = 0; ///< Answers that the failure part stands on, fading.
};

/** One start of a backend server. */
struct Server
{
    ServerEntry entry; ///< What it registered.
    std::uint32_t number = 0; ///< Hash of id and start, used between nodes.
    Instant coldUntil{}; ///< Cold until then.
    Instant removeAt = Never; ///< Its entry went; used until then in case the store lost it only.
    Instant avoidUntil{}; ///< Connections failed; not used until then.
    Duration avoidFor{}; ///< Length of the last avoidance, which doubles.
    bool wasUnreachable = false; ///< Went out of reach and has not answered since.
    Instant ejectedUntil{}; ///< Failed too often; only used if nothing else is left.
    ServerLoad own; ///< Work from this node.
    ServerLoad peers; ///< Work from other nodes, by their gossip.
    std::uint32_t reportedOthers = 0; ///< Requests beside this node's that it reported.
    Instant reportedAt{}; ///< When it reported that.
    Instant heardAt{}; ///< When this node last got data from it.
    ServerPace pace; ///< What it showed.
    bool kept = false; ///< This node gives out its slots for the whole fleet.
    std::size_t keptConnections = 4; ///< Idle connections that this node may keep to it.

    /** @return Requests that it is believed to hold. */
    auto occupied(Instant now) const -> std::uint32_t;
    /** @return Whether it is in cold start. */
    auto cold(Instant now) const -> bool
    {
        return now < this->coldUntil;
    }
};

using ServerPtr = std::shared_ptr<Server>; ///< Outlives its entry while requests run on it.

/** How a request ended at a server, as far as the server's health is concerned. */
enum class ServerVerdict : std::uint8_t {
    Good, ///< Answered as it should.
    Failed, ///< Answered with an error, broke off or fell silent.
    Neutral, ///< Says nothing about the server.
};

/** Keeps the backend servers by id. */
class ServerBook
{
public:
    /**
     * Takes what a server registered.
     * @param entry The entry.
     * @param coldFor How long a new server of its service stays cold; zero if it started before
     *                this node did.
     * @param now The present.
     * @return Whether the server is new, restarted or changed how it may be used.
     */
    auto takeEntry(const ServerEntry &entry, Duration coldFor, Instant now) -> bool;

    /**
     * Notes that a server's entry is gone.
     * @param id Its id.
     * @param useUntil It is still used until then.
     */
    auto loseEntry(std::string_view id, Instant useUntil) -> void;

    /**
     * Drops servers whose time of grace is over.
     * @param now The present.
     * @return Ids of the dropped ones.
     */
    auto expire(Instant now) -> std::vector<std::string>;

    /**
     * Notes that a connection to a server could not be opened or broke.
     * @param server The server.
     * @param now The present.
     * @return Whether it is avoided from now on and was not before.
     */
    static auto noteUnreachable(Server &server, Instant now) -> bool;

    /**
     * Notes that a server answered. One that was out of reach may have restarted.
     * @param server The server.
     * @param coldFor How long a server of its service stays cold after a start.
     * @param now The present.
     * @return Whether it was out of reach before.
     */
    static auto noteReachable(Server &server, Duration coldFor, Instant now) -> bool;

    /**
     * Learns from the end of a request and sets a server aside that fails far more often than the
     * other servers of its service.
     * @param server The server.
     * @param verdict How the request ended.
     * @param now The present.
     * @return Whether the server was set aside now.
     */
    auto judge(Server &server, ServerVerdict verdict, Instant now) -> bool;

    /**
     * Replaces what other nodes have sent to the servers that this node does not keep.
     * @param loads By server number.
     */
    auto takePeerLoads(const std::unordered_map<std::uint32_t, ServerLoad> &loads) -> void;

    /**
     * Takes paces that a peer saw, of servers that this node does not know the pace of.
     * @param paces What the peer stated.
     */
    auto adoptPaces(const std::vector<PaceStatement> &paces) -> void;

    /**
     * Lists the servers of a service.
     * @param service Its name.
     * @return The servers, in the order of their ids.
     */
    auto ofService(std::string_view service) const -> const std::vector<ServerPtr> &;

    /**
     * Finds a server.
     * @param id Its id.
     * @return The server, or null.
     */
    auto find(std::string_view id) const -> ServerPtr;

    /**
     * Finds a server.
     * @param number Its number.
     * @return The server, or null.
     */
    auto findNumber(std::uint32_t number) const -> ServerPtr;

    /** @return All servers by id. */
    auto all() const -> const std::map<std::string, ServerPtr, std::less<>> &
    {
        return this->servers;
    }

private:
    auto rebuildIndex() -> void;

    std::map<std::string, ServerPtr, std::less<>> servers;
    std::map<std::string, std::vector<ServerPtr>, std::less<>> byService;
    std::unordered_map<std::uint32_t, ServerPtr> byNumber;
};

} // namespace banyanring::fleet
