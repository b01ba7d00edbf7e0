/** @file quota_coordination.h Coordinates organisations' quotas between nodes. */
#pragma once

#include "banyanring/gateway/peer_socket.h"
#include "banyanring/gateway/scheduler.h"

namespace banyanring::gateway {

/**
 * Exchanges quota usage with the coordinators of each organisation and acts as a coordinator
 * itself. Two nodes coordinate an organisation's quota, chosen by rendezvous hashing among the
 * alive nodes. The other nodes report the usage that they admit to them, and query the fleet's
 * usage before a request that might exceed the limit.
 */
class QuotaCoordination : public QuotaPort
{
public:
    /**
     * @param socket Sends and receives reports and replies; must outlive this object.
     * @param state Members and quotas of this node; must outlive this object.
     * @param self Peer address of this node.
     * @param incarnation Random number of this process start.
     * @param onQueryDone Called with a request's number when its query is answered or times out.
     */
    QuotaCoordination(PeerSocket &socket, NodeState &state, std::string self,
                      std::uint64_t incarnation, std::function<void(std::uint64_t)> onQueryDone);

    auto queryUsage(std::uint64_t requestNumber, const fleet::OrganisationConfig &organisation,
                    double units) -> bool override;

    /** Times out queries and sends due reports; to be called several times a second. */
    auto tick(Instant now) -> void;

private:
    /** Reporting of one organisation's usage to its coordinators. */
    struct ReportState
    {
        Instant reportedAt{}; ///< Time of the last report.
        bool hasUnreported = false; ///< Usage has changed since the last report.
        double pendingUnits = 0; ///< Units of the queries that await a reply.
        std::vector<std::string> coordinators; ///< Peer addresses of the nodes last reported to.
        std::uint64_t checkedGeneration = 0; ///< Generation of the members they were checked for.
    };

    /** A usage query that awaits its reply. */
    struct PendingQuery
    {
        std::uint64_t requestNumber = 0; ///< Number of the request that waits.
        std::uint32_t organisationId = 0; ///< Hash of the organisation's name.
        double units = 0; ///< Units of the request.
        Instant deadline{}; ///< The query times out then.
    };

    auto sendReport(std::uint32_t organisationId, ReportState &reportState, std::uint64_t queryId,
                    Instant now) -> bool;
    auto finishQuery(std::map<std::uint64_t, PendingQuery>::iterator query) -> void;
    auto handleReport(const fleet::UsageReport &report, const std::string &from) -> void;
    auto handleReply(const fleet::UsageReply &reply, const std::string &from) -> void;

    PeerSocket &socket;
    NodeState &state;
    std::string self;
    std::uint64_t incarnation;
    std::function<void(std::uint64_t)> onQueryDone;
    /** By hash of the organisation's name. */
    std::unordered_map<std::uint32_t, ReportState> reportStates;
    std::map<std::uint64_t, PendingQuery> pendingQueries; ///< By query id, oldest first.
    std::uint64_t lastQueryId = 0;
};

} // namespace banyanring::gateway
