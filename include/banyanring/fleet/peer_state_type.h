/** @file peer_state_type.h What the nodes tell each other. */
#pragma once

#include "banyanring/core/ids_type.h"

#include <string>
#include <vector>

namespace banyanring::fleet {

/** How far a node is in its life. */
enum class NodePhase : std::uint8_t {
    Starting, ///< Has no configuration yet.
    Ready, ///< Serves callers.
    Draining, ///< Is stopping.
};

/** What a node states of itself; relayed by others with its age. */
struct NodeStatement
{
    std::string peerAddress; ///< "IP:port" between nodes; names the node.
    std::string entryAddress; ///< "IP:port" for callers.
    std::string domain; ///< Failure domain.
    std::uint64_t incarnation = 0; ///< Random; one start of the process.
    std::uint64_t sequence = 0; ///< Grows with each statement of an incarnation.
    NodePhase phase = NodePhase::Starting; ///< Life.
    std::uint64_t configVersion = 0; ///< Configuration in force there.
    std::uint64_t storeRevision = 0; ///< Revision that its mirror of the store has reached.
    bool storeTried = false; ///< It watches the store, or tries to.
    bool storeReached = false; ///< It watches the store and reached it lately.
    Duration age{}; ///< Time since it was stated, added up over the hops.
};

/** A node's own work at a backend server. */
struct LoadStatement
{
    std::uint32_t server = 0; ///< Number of the server.
    std::uint32_t requests = 0; ///< Requests sent and not ended.
    std::uint32_t promptWork = 0; ///< Work of reading the prompts without a first byte.
};

/** A backend server's pace as a node saw it. */
struct PaceStatement
{
    std::uint32_t server = 0; ///< Number of the server.
    float firstByteMs = 0; ///< Time to the first byte without a prompt.
    float promptMsPerToken = 0; ///< Further time per prompt work; 0 unknown.
    float outputMsPerToken = 0; ///< Time per output token; 0 unknown.
};

/** What a node has admitted of an organisation since its start. */
struct SpendStatement
{
    std::uint32_t organisation = 0; ///< hashName of the organisation.
    double units = 0; ///< Units, since the incarnation began.
    double window = 0; ///< Units of the last window.
    double fleetRecent = 0; ///< Units of the last window by all nodes; 0 if the node is too young.
    double askedPerSecond = 0; ///< Units asked for there of late, admitted or not.
    double pending = 0; ///< Units of requests that are asked about and not yet admitted.
};

/** What others have admitted of an organisation, as a node that keeps its account knows it. */
struct SpendTotal
{
    std::uint32_t organisation = 0; ///< hashName of the organisation.
    double window = 0; ///< Units of the last window.
    double recent = 0; ///< Units of its newer half.
    double askedPerSecond = 0; ///< Units asked for of late, admitted or not.
    bool complete = false; ///< The node has kept account for a whole window.
};

/** A node's report to another that keeps an organisation's account. */
struct SpendReport
{
    std::uint64_t incarnation = 0; ///< Of the reporting node.
    std::uint64_t question = 0; ///< Number of a question that awaits the total; 0 for none.
    SpendStatement spend; ///< What it has admitted.
};

/** The answer to a question in a report. */
struct SpendAnswer
{
    std::uint64_t question = 0; ///< Its number.
    SpendTotal total; ///< What all but the asker have admitted.
};

/** A request that was running when backend servers crashed. */
struct SuspectStatement
{
    std::uint64_t fingerprint = 0; ///< Hash of path, caller and body.
    std::vector<std::uint32_t> servers; ///< Numbers of the servers.
};

/** One gossip message. */
struct GossipMessage
{
    NodeStatement sender; ///< The sender itself; its age is zero.
    std::vector<NodeStatement> others; ///< A sample of what it knows of others; now and then.
    bool workTold = false; ///< The loads are all of its work, not left out.
    std::vector<LoadStatement> loads; ///< The sender's own work.
    std::vector<PaceStatement> paces; ///< What it saw of servers; now and then.
    std::vector<SpendStatement> spends; ///< The sender's own admissions.
    std::vector<SuspectStatement> suspects; ///< Fresh ones, from anywhere.
    bool replyWanted = false; ///< The sender is new and asks for an answer at once.
};

} // namespace banyanring::fleet
