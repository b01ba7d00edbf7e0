/** @file slot_allocator.cpp Allocates the slots of the servers that this node coordinates. */
#include "banyanring/fleet/slot_allocator.h"

#include "banyanring/fleet/admission_policy.h"

#include <algorithm>
#include <cmath>

namespace banyanring::fleet {

namespace {

using std::chrono::milliseconds;

/** A waiting request is repeated several times within this time, unless its node gave it up. */
constexpr Duration RequestLifetime = milliseconds(500);
/** A node's list of held slots may have been sent before the grant arrived there. */
constexpr Duration GrantTransitTime = milliseconds(300);
/** Most servers respond within this time; a free slot should not stay unused for longer. */
constexpr Duration ProbeInterval = milliseconds(300);
/**
 * A node's queue deadline may be earlier than the coordinator's by the transit time of the request,
 * and a reply arrives later than it is sent.
 */
constexpr Duration DeadlineMargin = milliseconds(100);
/**
 * Once this many requests found no server, those behind them rarely find one; limits the work per
 * round.
 */
constexpr int MaxFailuresPerRound = 4;

/** @return Work for the forecast; 0 if the profile of another node is not a valid one. */
auto workOf(const RequestProfile &profile) -> double
{
    const auto work = expectedServiceMs(profile);
    return std::isfinite(work) && work > 0 ? work : 0;
}

} // namespace

SlotAllocator::SlotAllocator(ServerRegistry &servers,
                             std::function<bool(const Server &, Instant)> usable,
                             std::uint64_t self)
    : servers(servers), usable(std::move(usable)), self(self)
{
}

auto SlotAllocator::coordinates(const std::string &service) const -> bool
{
    const auto &all = this->servers.serversOf(service);
    return std::any_of(all.begin(), all.end(),
                       [](const ServerPtr &server) { return server->coordinatedHere; });
}

auto SlotAllocator::handleRequest(const SlotRequest &request, const std::string &service,
                                  Instant now) -> SlotReply
{
    const RequestKey key(request.incarnation, request.id);
    if (const auto found = this->grants.find(key); found != this->grants.end()) {
        return {request.id, SlotOutcome::Granted, found->second.server->hash, {}};
    }
    auto &queue = this->queues[service];
    if (const auto queued = this->queueNumbers.find(key); queued != this->queueNumbers.end()) {
        this->waitingRequests.at(queued->second).receivedAt = now;
        return {request.id, SlotOutcome::Queued, 0, this->expectedWaitOf(queued->second, now)};
    }
    queue.recordProfile(request.profile);
    auto &forecast = this->advanceForecast(service, now);
    forecast.recordTier(request.tier);
    if (const auto server = this->tryGrant(request, service, now)) {
        forecast.recordAccepted(request.tier, request.latencyBudget, workOf(request.profile));
        return {request.id, SlotOutcome::Granted, server->hash, {}};
    }
    if (!this->coordinates(service)) {
        return {request.id, SlotOutcome::NotCoordinator, 0, {}};
    }
    return {request.id, SlotOutcome::Queued, 0, this->enqueue(request, service, now)};
}

auto SlotAllocator::enqueue(const SlotRequest &request, const std::string &service, Instant now)
    -> Duration
{
    auto &queue = this->queues[service];
    auto &forecast = this->forecasts[service];
    const WaitBudget budget{now + request.latencyBudget, now + request.queueTimeout};
    const auto work = workOf(request.profile);
    const auto countedWait =
        queue.expectedWait(queue.waiting.countAhead(request.tier, budget.latencyDeadline, now));
    const auto number = this->nextNumber++;
    queue.waiting.push({number, request.tier, request.organisation, request.cost,
                        budget.latencyDeadline, budget.queueDeadline, work,
                        request.organisationWeight});
    const auto forecastWait = forecast.expectedWait(
        queue.waiting.placeOf(number, LaterArrivals::All, now), LaterArrivals::All);
    const auto wait = forecastWait.value_or(countedWait);
    const bool accepted = !isWaitTooLong(budget, wait, now);
    if (accepted) {
        forecast.recordAccepted(request.tier, request.latencyBudget, work);
    }
    this->queueNumbers[{request.incarnation, request.id}] = number;
    this->waitingRequests[number] = {request, service, now, now, forecastWait, accepted, false};
    return wait;
}

auto SlotAllocator::expectedWaitOf(std::uint64_t number, Instant now) -> Duration
{
    auto &waiting = this->waitingRequests.at(number);
    const auto &queue = this->queues[waiting.service];
    const auto &forecast = this->forecasts[waiting.service];
    const auto waitFor = [&](LaterArrivals later) {
        return forecast.expectedWait(queue.waiting.placeOf(number, later, now), later);
    };
    const auto timeLeft = waiting.arrivedAt + waiting.request.queueTimeout - DeadlineMargin - now;
    const auto forecastWait = waitFor(LaterArrivals::All);
    const auto wait =
        forecastWait.value_or(queue.expectedWait(queue.waiting.countAheadOf(number, now)));
    waiting.evicted = wait > timeLeft;
    if (!forecastWait || !waiting.evicted) {
        return wait;
    }
    // Only more urgent arrivals may evict an accepted request: not later ones of its own or a less
    // urgent tier, and not a lower rate of service than expected.
    waiting.evicted =
        waitFor(LaterArrivals::MoreUrgent) > timeLeft && waitFor(LaterArrivals::None) <= timeLeft;
    return waiting.evicted ? wait : std::max(Duration(0), timeLeft);
}

auto SlotAllocator::advanceForecast(const std::string &service, Instant now) -> WaitForecast &
{
    auto &forecast = this->forecasts[service];
    forecast.advance(this->queues[service].waiting.size() > 0, now);
    return forecast;
}

auto SlotAllocator::tryGrant(const SlotRequest &request, const std::string &service, Instant now)
    -> ServerPtr
{
    // Short requests leave limited servers to long ones, if there are others.
    const bool isLong =
        this->queues[service].isLong(request.profile) || !this->hasUnlimitedServer(service, now);
    const auto isAllowed = [&](const Server &server) {
        return server.coordinatedHere && this->usable(server, now) && !server.isProbed(now)
               && server.requestLimit.permits(this->limitShare, isLong, now)
               && std::find(request.excludedServers.begin(), request.excludedServers.end(),
                            server.hash)
                      == request.excludedServers.end();
    };
    // Only a few nodes may send requests to a cold server; they place these themselves.
    const auto choice = choosePlacement(
        this->servers.serversOf(service), request.profile, isAllowed,
        [](const Server &) { return false; }, now);
    if (!choice.server) {
        return nullptr;
    }
    auto &server = *choice.server;
    server.requestLimit.recordRequest(this->limitShare, now);
    if (server.backoff > Duration(0)) {
        server.nextProbeAt = now + ProbeInterval;
    }
    Grant grant{choice.server, request.profile, 0, 0, now, service};
    grant.promptWork = request.profile.promptWork;
    grant.work = workOf(request.profile);
    grant.workAhead =
        server.ownLoad.promptWork + server.peerLoad.promptWork + request.profile.promptWork;
    if (request.incarnation != this->self) {
        ++server.peerLoad.requests;
        server.peerLoad.promptWork += request.profile.promptWork;
    }
    auto &queue = this->queues[service];
    ++queue.runningCount;
    queue.waiting.recordUsage(request.organisation, request.cost, now, request.organisationWeight);
    this->grants[{request.incarnation, request.id}] = std::move(grant);
    return choice.server;
}

auto SlotAllocator::hasUnlimitedServer(const std::string &service, Instant now) const -> bool
{
    const auto &all = this->servers.serversOf(service);
    return std::any_of(all.begin(), all.end(), [&](const ServerPtr &server) {
        return server->coordinatedHere && !server->requestLimit.isNamed()
               && this->usable(*server, now);
    });
}

auto SlotAllocator::release(std::map<RequestKey, Grant>::iterator found) -> void
{
    auto &[key, grant] = *found;
    auto &peers = grant.server->peerLoad;
    if (key.first != this->self && peers.requests > 0) {
        --peers.requests;
        peers.promptWork = std::max(0.0, peers.promptWork - grant.promptWork);
    }
    auto &running = this->queues[grant.service].runningCount;
    running -= std::min<std::size_t>(1, running);
    this->grants.erase(found);
}

auto SlotAllocator::cancelWaiting(std::uint64_t number) -> void
{
    const auto found = this->waitingRequests.find(number);
    if (found == this->waitingRequests.end()) {
        return;
    }
    const auto &waiting = found->second;
    this->queues[waiting.service].waiting.remove(number);
    this->queueNumbers.erase({waiting.request.incarnation, waiting.request.id});
    this->waitingRequests.erase(found);
}

auto SlotAllocator::recordRejection(const WaitingRequest &waiting) -> void
{
    auto &totalsOfService = this->totals[waiting.service];
    ++(waiting.accepted ? totalsOfService.rejectedLater : totalsOfService.rejectedOnArrival);
}

auto SlotAllocator::withdrawRequest(std::uint64_t incarnation, std::uint64_t requestId, Instant now)
    -> void
{
    const auto found = this->queueNumbers.find({incarnation, requestId});
    if (found != this->queueNumbers.end()) {
        this->advanceForecast(this->waitingRequests.at(found->second).service, now);
        this->cancelWaiting(found->second);
    }
}

auto SlotAllocator::handleReport(const SlotReport &report, Instant now) -> void
{
    const RequestKey key(report.incarnation, report.requestId);
    if (const auto queued = this->queueNumbers.find(key); queued != this->queueNumbers.end()) {
        const auto &waiting = this->waitingRequests.at(queued->second);
        // Other requests are cancelled as their caller has gone or another server is found.
        if (!waiting.accepted || waiting.evicted
            || now + DeadlineMargin >= waiting.arrivedAt + waiting.request.queueTimeout) {
            this->recordRejection(waiting);
        }
        this->withdrawRequest(report.incarnation, report.requestId, now);
        return;
    }
    const auto found = this->grants.find(key);
    if (found == this->grants.end()) {
        return;
    }
    auto &grant = found->second;
    // The responses to this node's own requests have updated the server's state already.
    if (report.slowdown && report.incarnation != this->self) {
        grant.server->slowdown.record(report.slowdown->factor, now - report.slowdown->age);
    }
    if (report.event == SlotEvent::FirstByte) {
        if (report.incarnation != this->self) {
            auto &ahead = grant.server->peerLoad.promptWork;
            ahead = std::max(0.0, ahead - grant.promptWork);
        }
        grant.promptWork = 0;
        ServerRegistry::endBackoff(*grant.server);
        return;
    }
    this->recordEvent(grant, report, now);
    this->release(found);
}

auto SlotAllocator::recordEvent(const Grant &grant, const SlotReport &report, Instant now) -> void
{
    auto &server = *grant.server;
    if (report.event == SlotEvent::Succeeded) {
        this->queues[grant.service].recordResponseTime(report.firstByte + report.rest);
        this->advanceForecast(grant.service, now).recordCompleted(grant.work);
    }
    if (report.incarnation == this->self) {
        return; // Already updated by the responses to its own requests.
    }
    switch (report.event) {
    case SlotEvent::Succeeded:
        recordResponse(server, grant.profile, grant.workAhead, report.firstByte, report.rest,
                       report.outputTokens,
                       report.slowdown ? std::optional(report.slowdown->factor) : std::nullopt);
        this->servers.recordOutcome(server, AttemptOutcome::Succeeded, now);
        ServerRegistry::endBackoff(server);
        break;
    case SlotEvent::Failed:
        this->servers.recordOutcome(server, AttemptOutcome::Failed, now);
        break;
    case SlotEvent::Rejected:
        server.reportedOtherRequests =
            std::max(server.reportedOtherRequests, server.registration.slots);
        server.reportedAt = now;
        break;
    case SlotEvent::Unreachable:
        ServerRegistry::markUnreachable(server, now);
        break;
    case SlotEvent::FirstByte:
    case SlotEvent::Neutral:
        break;
    }
}

auto SlotAllocator::reconcileHeldSlots(const HeldSlots &heldSlots, Instant now) -> void
{
    std::set<std::uint64_t> listed;
    for (const auto &slot : heldSlots.slots) {
        listed.insert(slot.requestId);
        const RequestKey key(heldSlots.incarnation, slot.requestId);
        const auto server = this->servers.findByHash(slot.serverHash);
        if (this->grants.contains(key) || !server || !server->coordinatedHere) {
            continue;
        }
        Grant grant{server, {}, slot.promptWork, 0, now, server->registration.service};
        grant.work = this->queues[grant.service].averageExpectedMs; // The list does not state it.
        ++server->peerLoad.requests;
        server->peerLoad.promptWork += slot.promptWork;
        ++this->queues[grant.service].runningCount;
        this->grants[key] = std::move(grant);
    }
    for (auto found = this->grants.lower_bound({heldSlots.incarnation, 0});
         found != this->grants.end() && found->first.first == heldSlots.incarnation;) {
        const auto next = std::next(found);
        if (!listed.contains(found->first.second)
            && now - found->second.grantedAt > GrantTransitTime) {
            this->release(found);
        }
        found = next;
    }
}

auto SlotAllocator::grantWaiting(Instant now) -> std::vector<AddressedReply>
{
    std::vector<AddressedReply> grants;
    for (auto &[service, queue] : this->queues) {
        this->advanceForecast(service, now);
        for (const auto number : queue.waiting.popExpired(now)) {
            this->recordRejection(this->waitingRequests.at(number));
            this->cancelWaiting(number);
        }
        if (queue.waiting.size() == 0) {
            continue;
        }
        int failures = 0;
        for (const auto &[number, shareRank] : queue.waiting.rankedOrder(now)) {
            const auto waiting = this->waitingRequests.at(number);
            const auto server = this->tryGrant(waiting.request, service, now);
            if (!server) {
                if (++failures >= MaxFailuresPerRound) {
                    break;
                }
                continue;
            }
            this->cancelWaiting(number);
            if (shareRank) {
                auto &counts = this->queuedGrants[service];
                ++(*shareRank == 0 ? counts.withinShare : counts.aboveShare);
            }
            if (waiting.forecast) {
                auto &totalsOfService = this->totals[service];
                ++totalsOfService.granted;
                totalsOfService.forecastSum += *waiting.forecast;
                totalsOfService.waitSum += now - waiting.arrivedAt;
            }
            grants.push_back({waiting.request.replyAddress,
                              {waiting.request.id, SlotOutcome::Granted, server->hash, {}}});
        }
    }
    return grants;
}

auto SlotAllocator::expire(const std::set<std::uint64_t> &aliveIncarnations, Instant now) -> void
{
    for (auto found = this->grants.begin(); found != this->grants.end();) {
        const auto next = std::next(found);
        if (!aliveIncarnations.contains(found->first.first)
            || !found->second.server->coordinatedHere) {
            this->release(found);
        }
        found = next;
    }
    std::vector<std::uint64_t> expired;
    for (const auto &[number, waiting] : this->waitingRequests) {
        if (now - waiting.receivedAt > RequestLifetime) {
            this->advanceForecast(waiting.service, now);
            expired.push_back(number);
        }
    }
    for (const auto number : expired) {
        this->cancelWaiting(number);
    }
}

} // namespace banyanring::fleet
