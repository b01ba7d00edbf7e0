/**
 * @file peer_state_type.h Messages that nodes exchange about themselves, servers and organisations.
 */
#pragma once

#include "banyanring/core/ids_type.h"
#include "banyanring/fleet/store_position_type.h"

#include <optional>
#include <string>
#include <vector>

namespace banyanring::fleet {

/** Life-cycle phase of a node. */
enum class NodePhase : std::uint8_t {
    Starting, ///< Has no configuration yet.
    Ready, ///< Serves callers.
    Draining, ///< Is about to stop.
};

/** Status that a node issues about itself; other nodes relay it with its age. */
struct NodeStatus
{
    std::string peerAddress; ///< "IP:port" for messages between nodes; identifies the node.
    std::string entryAddress; ///< "IP:port" for callers.
    std::string domain; ///< Failure domain.
    std::uint64_t incarnation = 0; ///< Random number of this start of the process.
    std::uint64_t sequence = 0; ///< Increases with each status of an incarnation.
    NodePhase phase = NodePhase::Starting; ///< Life-cycle phase.
    std::uint64_t configVersion = 0; ///< Version of the configuration in force.
    std::uint64_t storeRevision = 0; ///< Store revision that its mirror has reached.
    bool watchesStore = false; ///< The node watches the store or tries to.
    /** The node watches the store, its last request succeeded, and no answer is overdue. */
    bool storeReachable = false;
    Duration age{}; ///< Time since it was issued, summed over the hops.
    std::uint64_t storeEra = 0; ///< Era of storeRevision.
    /**
     * Its access to the store is unknown: no request has succeeded or failed since it began to
     * watch, or the answer to the open one is overdue.
     */
    bool storeUntried = false;

    /** @return Position of the store that the node's mirror has reached. */
    auto storePosition() const -> StorePosition
    {
        return {this->storeEra, this->storeRevision};
    }

    /** @return Whether the node watches the store and its last request failed. */
    auto failsToReachStore() const -> bool
    {
        return this->watchesStore && !this->storeReachable && !this->storeUntried;
    }
};

/**
 * Sign of life of a node that another one relays; much shorter than a status, which it repeats
 * except for the store revision and the configuration's version.
 */
struct MemberHeartbeat
{
    std::uint32_t addressHash = 0; ///< hashName of the node's peer address.
    std::uint16_t stamp = 0; ///< statusStamp() of its status.
    std::uint16_t sequence = 0; ///< Lowest bits of the status's sequence.
    Duration age{}; ///< Time since the status was issued, summed over the hops.
};

/**
 * Hashes what a heartbeat repeats of a status.
 * @param status The status.
 * @return Another value, with high probability, if its incarnation, phase or access to the store
 *         differs.
 */
auto statusStamp(const NodeStatus &status) -> std::uint16_t;

/** A node's own load on a backend server. */
struct ServerLoadReport
{
    std::uint32_t serverHash = 0; ///< Hash of the server.
    std::uint32_t requests = 0; ///< Requests in flight.
    std::uint32_t promptWork = 0; ///< Prompt work of the requests without a first byte.
};

/** Response times of a backend server as measured by a node. */
struct ServerLatencyReport
{
    std::uint32_t serverHash = 0; ///< Hash of the server.
    float firstByteMs = 0; ///< Time to the first byte of a request without a prompt.
    float promptMsPerToken = 0; ///< Additional time per unit of prompt work; 0 if unknown.
    float outputMsPerToken = 0; ///< Time per output token; 0 if unknown.
};

/** Limit on the requests of all nodes that a backend server named in a response. */
struct RequestLimitReport
{
    std::uint32_t serverHash = 0; ///< Hash of the server.
    double perSecond = 0; ///< Requests per second, or NoRequestLimit.
    Duration age{}; ///< Time since the response.
};

/** Units of an organisation that a node has admitted. */
struct OrganisationUsage
{
    std::uint32_t organisation = 0; ///< hashName of the organisation.
    double totalUnits = 0; ///< Since the start of the incarnation.
    double windowUnits = 0; ///< In the last quota window.
    double fleetWindowUnits = 0; ///< The same of all nodes; 0 if it started less than a window ago.
    double demandPerSecond = 0; ///< Recent demand at the node, admitted or not.
    double pendingUnits = 0; ///< Units of requests that wait for a total and are not admitted yet.
    double newerHalfUnits = 0; ///< Part of windowUnits in its newer half; 0 if unknown.
};

/** Units of an organisation that other nodes have admitted, summed by a coordinator. */
struct UsageTotal
{
    std::uint32_t organisation = 0; ///< hashName of the organisation.
    double windowUnits = 0; ///< In the last quota window.
    double newerHalfUnits = 0; ///< In the newer half of the window.
    double demandPerSecond = 0; ///< Recent demand, admitted or not.
    bool complete = false; ///< The coordinator has counted for a whole window.
};

/** A node's report to a coordinator of an organisation's quota. */
struct UsageReport
{
    std::uint64_t incarnation = 0; ///< Incarnation of the reporting node.
    std::uint64_t queryId = 0; ///< Number of a query that waits for the total; 0 for none.
    OrganisationUsage usage; ///< What the node has admitted.
};

/** Reply to the query of a report. */
struct UsageReply
{
    std::uint64_t queryId = 0; ///< Number of the query.
    UsageTotal total; ///< Admitted by all nodes except the querying one.
};

/** Crash of a backend server while it ran a suspect. */
struct CrashReport
{
    std::uint32_t serverHash = 0; ///< Hash of the server.
    Duration age{}; ///< Time since the crash.
    Duration runTime{}; ///< Time before the crash in which its cause may have begun.
};

/** A request or prompt part that was running at backend servers when they crashed. */
struct CrashSuspectReport
{
    std::uint64_t suspect = 0; ///< Hash of the request or of the prompt part.
    std::optional<Duration> answerAge; ///< Time since it was last answered, if recently.
    std::vector<CrashReport> crashes; ///< Crashes after that answer.
};

/** One gossip message. */
struct GossipMessage
{
    NodeStatus sender; ///< Status of the sender; its age is zero.
    std::vector<NodeStatus> relayedStatuses; ///< Sample of other nodes; not always sent.
    std::vector<MemberHeartbeat> heartbeats; ///< Sample of other nodes; not always sent.
    /** The sender relays heartbeats; nodes of earlier releases rely on relayed statuses. */
    bool relaysHeartbeats = false;
    bool hasLoads = false; ///< The loads are complete; otherwise they are left out of this message.
    std::vector<ServerLoadReport> loads; ///< Load that the sender puts on servers.
    std::vector<ServerLatencyReport> latencies; ///< As measured by the sender; not always sent.
    std::vector<OrganisationUsage> usages; ///< The sender's own admissions.
    std::vector<CrashSuspectReport> crashSuspects; ///< Recent suspects, found by any node.
    std::vector<RequestLimitReport> requestLimits; ///< Recent changes, found by any node.
    bool replyRequested = false; ///< The sender has just started and requests an immediate reply.
};

} // namespace banyanring::fleet
