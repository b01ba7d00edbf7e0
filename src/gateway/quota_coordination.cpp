/** @file quota_coordination.cpp Coordinates organisations' quotas between nodes. */
#include "banyanring/gateway/quota_coordination.h"

#include "banyanring/gateway/gossip_codec.h"
#include "banyanring/ports/clock_func.h"

namespace banyanring::gateway {

namespace {

using std::chrono::milliseconds;

/** If one coordinator crashes, the other still has the usage. */
constexpr std::size_t CoordinatorCount = 2;
/** Minimum time between reports of an organisation whose usage is far from its limit. */
constexpr Duration ReportInterval = milliseconds(200);
/** A reply takes a few milliseconds; after this the coordinators count as unreachable. */
constexpr Duration ReplyTimeout = milliseconds(30);
constexpr Duration IdlePeriod = std::chrono::seconds(60); ///< Longer than the window of any limit.

} // namespace

QuotaCoordination::QuotaCoordination(PeerSocket &socket, NodeState &state, std::string self,
                                     std::uint64_t incarnation,
                                     std::function<void(std::uint64_t)> onQueryDone)
    : socket(socket), state(state), self(std::move(self)), incarnation(incarnation),
      onQueryDone(std::move(onQueryDone))
{
    socket.setDecodedHandler(PeerMessageType::UsageReport, decodeUsageReport,
                             [this](const fleet::UsageReport &report, const std::string &from) {
                                 this->handleReport(report, from);
                             });
    socket.setDecodedHandler(PeerMessageType::UsageReply, decodeUsageReply,
                             [this](const fleet::UsageReply &reply, const std::string &from) {
                                 this->handleReply(reply, from);
                             });
}

auto QuotaCoordination::queryUsage(std::uint64_t requestNumber,
                                   const fleet::OrganisationConfig &organisation, double units)
    -> bool
{
    const auto now = bootClockNow();
    const auto organisationId = hashName(organisation.name);
    auto &reportState = this->reportStates[organisationId];
    const auto reachableFraction = this->state.members.reachableFraction(now);
    if (!this->state.quotas.nearLimit(organisation, units, reachableFraction, now)) {
        reportState.hasUnreported = true;
        if (now - reportState.reportedAt >= ReportInterval) {
            this->sendReport(organisationId, reportState, 0, now);
        }
        return false;
    }
    const auto queryId = ++this->lastQueryId;
    reportState.pendingUnits += units;
    if (!this->sendReport(organisationId, reportState, queryId, now)) {
        reportState.pendingUnits -= units;
        return false;
    }
    this->pendingQueries[queryId] = {requestNumber, organisationId, units, now + ReplyTimeout};
    reportState.hasUnreported = true;
    return true;
}

auto QuotaCoordination::finishQuery(std::map<std::uint64_t, PendingQuery>::iterator query) -> void
{
    const auto finished = query->second;
    this->pendingQueries.erase(query);
    this->reportStates[finished.organisationId].pendingUnits -= finished.units;
    this->onQueryDone(finished.requestNumber);
}

auto QuotaCoordination::sendReport(std::uint32_t organisationId, ReportState &reportState,
                                   std::uint64_t queryId, Instant now) -> bool
{
    reportState.coordinators =
        this->state.members.coordinators(organisationId, CoordinatorCount, now);
    reportState.reportedAt = now;
    reportState.hasUnreported = false;
    const auto bytes = encodeUsageReport(
        {this->incarnation, queryId,
         this->state.quotas.ownUsage(organisationId, reportState.pendingUnits, now)});
    bool sent = false;
    for (const auto &coordinator : reportState.coordinators) {
        if (coordinator != this->self) {
            this->socket.send(coordinator, PeerMessageType::UsageReport, bytes);
            sent = true;
        }
    }
    return sent;
}

auto QuotaCoordination::tick(Instant now) -> void
{
    while (!this->pendingQueries.empty() && this->pendingQueries.begin()->second.deadline <= now) {
        this->finishQuery(this->pendingQueries.begin());
    }
    const auto generation = this->state.members.generation(now);
    for (auto &[organisationId, reportState] : this->reportStates) {
        if (now - reportState.reportedAt < ReportInterval) {
            continue;
        }
        if (reportState.hasUnreported
            || (std::exchange(reportState.checkedGeneration, generation) != generation
                && reportState.coordinators
                       != this->state.members.coordinators(organisationId, CoordinatorCount,
                                                           now))) {
            this->sendReport(organisationId, reportState, 0, now);
        }
    }
    std::erase_if(this->reportStates,
                  [now](const auto &item) { return now - item.second.reportedAt > IdlePeriod; });
}

auto QuotaCoordination::handleReport(const fleet::UsageReport &report, const std::string &from)
    -> void
{
    const auto now = bootClockNow();
    auto &quotas = this->state.quotas;
    quotas.mergePeerUsage(report.incarnation, {report.usage}, now);
    if (report.queryId != 0) {
        const auto reachableFraction = this->state.members.reachableFraction(now);
        const auto total = quotas.totalExcept(report.usage.organisation, report.incarnation,
                                              reachableFraction, now);
        this->socket.send(from, PeerMessageType::UsageReply,
                          encodeUsageReply({report.queryId, total}));
    }
}

auto QuotaCoordination::handleReply(const fleet::UsageReply &reply, const std::string &from) -> void
{
    this->state.quotas.setTotal(hashName(from), reply.total, bootClockNow());
    const auto found = this->pendingQueries.find(reply.queryId);
    if (found != this->pendingQueries.end()) {
        this->finishQuery(found);
    }
}

} // namespace banyanring::gateway
