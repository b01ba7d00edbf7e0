/** @file quota_coordination.h Keeps organisations' accounts for all nodes, and asks those who do.
 */
#pragma once

#include "banyanring/gateway/peer_socket.h"
#include "banyanring/gateway/scheduler.h"

namespace banyanring::gateway {

/**
 * Two nodes keep each organisation's account, chosen by hash among the nodes in contact. The
 * others report to them what they admit, and ask first when a request might pass the limit.
 */
class QuotaCoordination : public AdvicePort
{
public:
    /**
     * @param socket Carries reports and answers; must outlive this object.
     * @param books What the decisions stand on; must outlive this object.
     * @param self Peer address of this node.
     * @param incarnation This start of the process.
     * @param onTold Called with the run of a question that was answered, or never will be.
     */
    QuotaCoordination(PeerSocket &socket, NodeBooks &state, std::string self,
                      std::uint64_t incarnation, std::function<void(std::uint64_t)> onQueryDone);

    auto askSpent(std::uint64_t run, const fleet::OrganisationRule &organisation, double units)
        -> bool override;

    /** Gives up on late answers and reports what is due; to be called some times a second. */
    auto tick(Instant now) -> void;

private:
    /** What this node has told of an organisation. */
    struct ReportState
    {
        Instant reportedAt{}; ///< When it last reported.
        bool hasUnreported = false; ///< Something has changed since.
        double pendingUnits = 0; ///< Units of its questions that await an answer.
        std::vector<std::string> coordinators; ///< To whom.
    };

    /** A question that awaits its answer. */
    struct PendingQuery
    {
        std::uint64_t run = 0; ///< The run that waits.
        std::uint32_t organisationId = 0; ///< nameId of the organisation.
        double units = 0; ///< Units of the request.
        Instant deadline{}; ///< It waits no longer.
    };

    auto sendReport(std::uint32_t organisationId, ReportState &reportState, std::uint64_t queryId,
                    Instant now) -> bool;
    auto finishQuery(std::map<std::uint64_t, PendingQuery>::iterator query) -> void;
    auto handleReport(const fleet::SpendReport &report, const std::string &from) -> void;
    auto handleReply(const fleet::SpendAnswer &answer, const std::string &from) -> void;

    PeerSocket &socket;
    NodeBooks &state;
    std::string self;
    std::uint64_t incarnation;
    std::function<void(std::uint64_t)> onQueryDone;
    std::unordered_map<std::uint32_t, ReportState> reportStates; ///< By nameId of the organisation.
    std::map<std::uint64_t, PendingQuery> pendingQueries; ///< By number, oldest first.
    std::uint64_t lastQueryId = 0;
};

} // namespace banyanring::gateway
