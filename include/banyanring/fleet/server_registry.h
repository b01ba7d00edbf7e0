/**
 * @file server_registry.h Registered backend servers with their load, health and response times.
 */
#pragma once

#include "banyanring/fleet/fleet_config_type.h"
#include "banyanring/fleet/momentary_slowdown.h"
#include "banyanring/fleet/peer_state_type.h"
#include "banyanring/fleet/request_limit.h"

#include <functional>
#include <memory>
#include <string_view>

namespace banyanring::fleet {

/** Load of a backend server, as far as known. */
struct ServerLoad
{
    std::uint32_t requests = 0; ///< Requests in flight.
    double promptWork = 0; ///< Prompt work of the requests whose first byte has not arrived.
};

/** Linear fit of a time over the work that it took, weighted towards recent samples. */
class DecayingLinearFit
{
public:
    /**
     * Initialises the fit with values measured by another node.
     * @param baseMs Time without work, in milliseconds.
     * @param msPerWork Time per unit of work, in milliseconds.
     */
    auto seed(double baseMs, double msPerWork) -> void;

    /**
     * Adds a sample; the weight of earlier ones decays.
     * @param work Units of work.
     * @param ms Time in milliseconds.
     */
    auto addSample(double work, double ms) -> void;

    /** @return Whether it has a sample or initial values. */
    auto hasSamples() const -> bool
    {
        return this->seeded;
    }
    /** @return Milliseconds per unit of work. */
    auto slope() const -> double;
    /** @return Milliseconds without work. */
    auto intercept() const -> double;

private:
    double meanWork = 0; ///< Moving averages of work, time and their products.
    double meanMs = 0;
    double meanSquaredWork = 0;
    double meanWorkTimesMs = 0;
    bool seeded = false;
};

/** Recent response times and failure rate of a backend server. */
struct ServerStats
{
    DecayingLinearFit firstByteFit; ///< Time to the first byte over the prompt work at the server.
    double outputMsPerToken = 0; ///< Time per output token after the first byte; 0 if unknown.
    double responseMs = 0; ///< Time of a complete response of a plain service; 0 if unknown.
    double failureRate = 0; ///< Fraction of the recent responses that failed, 0 to 1.
    double sampleCount = 0; ///< Decaying number of responses that the failure rate is based on.
};

/** One start of a backend server. */
struct Server
{
    ServerRegistration registration; ///< Its current registration.
    std::uint32_t hash = 0; ///< Hash of id and start time; identifies the server between nodes.
    Instant coldUntil{}; ///< Cold until this time.
    /** Registration gone; still used until then in case only the store lost it. */
    Instant removeAt = Never;
    Instant backoffUntil{}; ///< Connections failed; not used until this time.
    Duration backoff{}; ///< Length of the last backoff; doubles each time, 0 after a response.
    Instant nextProbeAt{}; ///< While it has not responded after a backoff, one request at a time.
    bool wasUnreachable = false; ///< Was unreachable and has not responded since.
    /** Failed too often; until this time it is only used if no other server is left. */
    Instant ejectedUntil{};
    ServerLoad ownLoad; ///< Load from this node.
    /** Load from other nodes, by their gossip or by the slots that this node granted them. */
    ServerLoad peerLoad;
    std::uint32_t reportedOtherRequests = 0; ///< Requests of other nodes, as the server reports.
    Instant reportedAt{}; ///< Time of that report.
    Instant lastDataAt{}; ///< When this node last received data from the server.
    Instant silentSince{}; ///< Start of the last silence that made a request leave the server.
    ServerStats stats; ///< Response times and failure rate.
    MomentarySlowdown slowdown; ///< How long work takes at the moment, as the server states it.
    RequestLimit requestLimit; ///< Limit that the server names, on the requests of all nodes.
    Instant deferredUntil{}; ///< It gets nothing from this node until then.
    std::uint32_t overlongBodies = 0; ///< Bodies that were cut since its last success.
    bool leaving = false; ///< It announced that it is about to stop; holds until it restarts.
    bool coordinatedHere = false; ///< This node coordinates its slots for the whole fleet.
    std::size_t maxIdleConnections = 4; ///< Idle connections that this node may keep open.

    /** @return Number of requests at the server, as far as known. */
    auto occupiedSlots(Instant now) const -> std::uint32_t;
    /** @return Whether the server accepts no requests from this node, but perhaps from others. */
    auto isDeferred(Instant now) const -> bool
    {
        return now < this->deferredUntil;
    }
    /** @return Whether a request after a backoff was just sent, and the server may still be down.
     */
    auto isProbed(Instant now) const -> bool
    {
        return this->backoff > Duration(0) && now < this->nextProbeAt;
    }
    /** @return Whether the server is cold. */
    auto isCold(Instant now) const -> bool
    {
        return now < this->coldUntil;
    }
};

using ServerPtr = std::shared_ptr<Server>; ///< May outlive the registration.

/**
 * Returns what is known about a server's limit, for other nodes.
 * @param server The server.
 * @param now Current time.
 * @return The report.
 */
auto limitReportOf(const Server &server, Instant now) -> RequestLimitReport;

/** Outcome of a request at a server, for the purposes of the server's health. */
enum class AttemptOutcome : std::uint8_t {
    Succeeded, ///< Successful response.
    Failed, ///< The server responded with an error, closed the connection early or stopped sending.
    Neutral, ///< Says nothing about the health of the server.
};

/** Holds the backend servers by id. */
class ServerRegistry
{
public:
    /**
     * Adds or updates a server from its registration.
     * @param registration The registration.
     * @param coldPeriod How long a new server of its service stays cold; zero if the server started
     *                before this node did.
     * @param now Current time.
     * @return Whether the server is new, was restarted or changed how it may be used.
     */
    auto registerServer(const ServerRegistration &registration, Duration coldPeriod, Instant now)
        -> bool;

    /**
     * Schedules the removal of a server whose registration is gone.
     * @param id Id of the server.
     * @param useUntil It is still used until this time.
     */
    auto markUnregistered(std::string_view id, Instant useUntil) -> void;

    /**
     * Keeps a server whose removal was scheduled.
     * @param id Id of the server.
     */
    auto cancelRemoval(std::string_view id) -> void;

    /**
     * Removes servers whose grace period is over.
     * @param now Current time.
     * @return Ids of the removed servers.
     */
    auto removeExpired(Instant now) -> std::vector<std::string>;

    /**
     * Starts or extends the backoff of a server after a connection to it failed.
     * @param server The server.
     * @param now Current time.
     * @return Whether a new backoff period began.
     */
    static auto markUnreachable(Server &server, Instant now) -> bool;

    /** Ends the backoff of a server that responded to this or another node. */
    static auto endBackoff(Server &server) -> void;

    /**
     * Ends the backoff of a server that responded. One that was unreachable may have restarted and
     * counts as cold again.
     * @param server The server.
     * @param coldPeriod How long a server of its service stays cold after a start.
     * @param now Current time.
     * @return Whether the server was unreachable before.
     */
    static auto markReachable(Server &server, Duration coldPeriod, Instant now) -> bool;

    /**
     * Records that a server announced that it is about to stop.
     * @param server The server.
     * @return Whether this was not known.
     */
    static auto markLeaving(Server &server) -> bool;

    /**
     * Records that a server's body was cut because of its length. One may be due to its request; a
     * server that goes on like that gets nothing for a while, twice as long each time.
     * @param server The server.
     * @param now Current time.
     * @return Time for which it gets nothing from this node; zero if it goes on.
     */
    static auto deferAfterOverlongBody(Server &server, Instant now) -> Duration;

    /**
     * Records that a request left a server that sent it nothing. A healthy server may be silent for
     * a moment, so only a longer silence counts as a failure.
     * @param server The server.
     * @param since Start of the silence.
     * @param now Current time.
     * @return Whether the server has been silent for too long, to all requests of this node.
     */
    static auto recordSilence(Server &server, Instant since, Instant now) -> bool;

    /**
     * Records the outcome of a request and ejects a server that fails far more often than the other
     * servers of its service (outlier ejection).
     * @param server The server.
     * @param outcome Outcome of the request.
     * @param now Current time.
     * @return Whether the server was ejected now.
     */
    auto recordOutcome(Server &server, AttemptOutcome outcome, Instant now) -> bool;

    /**
     * Replaces the load from other nodes, except at servers whose slots this node coordinates.
     * @param loads Loads by hash of the server.
     */
    auto setPeerLoads(const std::unordered_map<std::uint32_t, ServerLoad> &loads) -> void;

    /**
     * Adopts a peer's response times for servers that this node has not measured itself.
     * @param reports Response times that the peer reported.
     */
    auto adoptPeerLatencies(const std::vector<ServerLatencyReport> &reports) -> void;

    /**
     * Records the limits that servers named to other nodes.
     * @param reports Limits that a peer reported.
     * @param now Current time.
     * @return Servers whose limit changed.
     */
    auto mergeRequestLimits(const std::vector<RequestLimitReport> &reports, Instant now)
        -> std::vector<ServerPtr>;

    /**
     * Lists the latest changes of limits, at most as many as one gossip message may hold.
     * @param now Current time.
     * @return Changes that peers may not know yet, the latest first.
     */
    auto requestLimitNews(Instant now) const -> std::vector<RequestLimitReport>;

    static constexpr std::size_t MaxLimitReports = 8; ///< Limits the size of a gossip message.

    /**
     * Lists the servers of a service.
     * @param service Name of the service.
     * @return The servers, in the order of their ids.
     */
    auto serversOf(std::string_view service) const -> const std::vector<ServerPtr> &;

    /**
     * Finds a server by id.
     * @param id Id of the server.
     * @return The server, or null.
     */
    auto find(std::string_view id) const -> ServerPtr;

    /**
     * Finds a server by its hash.
     * @param hash Hash of the server.
     * @return The server, or null.
     */
    auto findByHash(std::uint32_t hash) const -> ServerPtr;

    /** @return Another number whenever a server was added, restarted or removed. */
    auto generation() const -> std::uint64_t
    {
        return this->generationNumber;
    }

    /** @return All servers by id. */
    auto all() const -> const std::map<std::string, ServerPtr, std::less<>> &
    {
        return this->servers;
    }

private:
    /** A server without a registration, which may be registered again. */
    struct RemovedServer
    {
        ServerPtr server;
        Instant removedAt{};
    };

    auto takeRemoved(const ServerRegistration &registration) -> ServerPtr;
    auto rebuildIndex() -> void;

    std::map<std::string, ServerPtr, std::less<>> servers;
    std::map<std::string, RemovedServer, std::less<>> removedServers; ///< For a limited time.
    std::map<std::string, std::vector<ServerPtr>, std::less<>> byService;
    std::unordered_map<std::uint32_t, ServerPtr> byHash;
    std::uint64_t generationNumber = 0;
};

} // namespace banyanring::fleet
