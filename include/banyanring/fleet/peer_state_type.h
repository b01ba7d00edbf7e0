/**
 * @file peer_state_type.h Messages that nodes exchange about themselves, servers and organisations.
 */
#pragma once

#include "banyanring/core/ids_type.h"

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
struct NodeStatement
{
    std::string peerAddress; ///< "IP:port" for messages between nodes; identifies the node.
    std::string entryAddress; ///< "IP:port" for callers.
    std::string domain; ///< Failure domain.
    std::uint64_t incarnation = 0; ///< Random number of this start of the process.
    std::uint64_t sequence = 0; ///< Increases with each status of an incarnation.
    NodePhase phase = NodePhase::Starting; ///< Life-cycle phase.
    std::uint64_t configVersion = 0; ///< Version of the configuration in force.
    std::uint64_t storeRevision = 0; ///< Store revision that its mirror has reached.
    bool storeTried = false; ///< The node watches the store or tries to.
    bool storeReached = false; ///< The node watches the store and reached it recently.
    Duration age{}; ///< Time since it was issued, summed over the hops.
};

/** A node's own load on a backend server. */
struct LoadStatement
{
    std::uint32_t server = 0; ///< Hash of the server.
    std::uint32_t requests = 0; ///< Requests in flight.
    std::uint32_t promptWork = 0; ///< Prompt work of the requests without a first byte.
};

/** Response times of a backend server as measured by a node. */
struct PaceStatement
{
    std::uint32_t server = 0; ///< Hash of the server.
    float firstByteMs = 0; ///< Time to the first byte of a request without a prompt.
    float promptMsPerToken = 0; ///< Additional time per unit of prompt work; 0 if unknown.
    float outputMsPerToken = 0; ///< Time per output token; 0 if unknown.
};

/** Units of an organisation that a node has admitted. */
struct SpendStatement
{
    std::uint32_t organisation = 0; ///< hashName of the organisation.
    double units = 0; ///< Since the start of the incarnation.
    double window = 0; ///< In the last quota window.
    double fleetRecent =
        0; ///< In the last quota window by all nodes; 0 if the node started less than a window ago.
    double askedPerSecond = 0; ///< Recent demand at the node, admitted or not.
    double pending = 0; ///< Units of requests that wait for a total and are not admitted yet.
};

/** Units of an organisation that other nodes have admitted, summed by a coordinator. */
struct SpendTotal
{
    std::uint32_t organisation = 0; ///< hashName of the organisation.
    double window = 0; ///< In the last quota window.
    double recent = 0; ///< In the newer half of the window.
    double askedPerSecond = 0; ///< Recent demand, admitted or not.
    bool complete = false; ///< The coordinator has counted for a whole window.
};

/** A node's report to a coordinator of an organisation's quota. */
struct SpendReport
{
    std::uint64_t incarnation = 0; ///< Incarnation of the reporting node.
    std::uint64_t question = 0; ///< Number of a query that waits for the total; 0 for none.
    SpendStatement spend; ///< What the node has admitted.
};

/** Reply to the query of a report. */
struct SpendAnswer
{
    std::uint64_t question = 0; ///< Number of the query.
    SpendTotal total; ///< Admitted by all nodes except the one that asks.
};

/** A request that was running at backend servers when they crashed. */
struct SuspectStatement
{
    std::uint64_t fingerprint = 0; ///< Hash of path, caller and body.
    std::vector<std::uint32_t> servers; ///< Hashes of the servers.
};

/** One gossip message. */
struct GossipMessage
{
    NodeStatement sender; ///< Status of the sender; its age is zero.
    std::vector<NodeStatement>
        others; ///< Sample of the statuses of other nodes; not in every message.
    bool workTold = false; ///< The loads are complete; otherwise they are left out of this message.
    std::vector<LoadStatement> loads; ///< Load that the sender puts on servers.
    std::vector<PaceStatement>
        paces; ///< Response times that the sender measured; not in every message.
    std::vector<SpendStatement> spends; ///< The sender's own admissions.
    std::vector<SuspectStatement> suspects; ///< Recent suspects, found by any node.
    bool replyWanted = false; ///< The sender has just started and requests an immediate reply.
};

} // namespace banyanring::fleet
