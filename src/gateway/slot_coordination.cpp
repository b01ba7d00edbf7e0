/** @file slot_coordination.cpp Coordinates the slots of backend servers between nodes. */
#include "banyanring/gateway/slot_coordination.h"

#include "banyanring/adapters/log_func.h"
#include "banyanring/gateway/slot_codec.h"
#include "banyanring/ports/clock_func.h"
#include "request_limit_log.h"

namespace banyanring::gateway {

namespace {

using std::chrono::milliseconds;

/** Bounds the load of a coordinator to some hundred slot requests a second. */
constexpr std::size_t ServersPerGroup = 16;
/** A reply takes a few milliseconds; after this the coordinator counts as unreachable. */
constexpr Duration ReplyTimeout = milliseconds(40);
constexpr Duration ResendInterval = milliseconds(150); ///< Between resends of a waiting request.
constexpr Duration ResendTimeout = milliseconds(350); ///< Tolerates two lost resends.
/** Covers the time until membership detects that the coordinator has crashed. */
constexpr Duration CoordinatorBackoff = milliseconds(1000);
constexpr std::uint64_t AssignmentTicks = 2; ///< Ticks between assignments of coordinators.
constexpr std::uint64_t HeldSlotsTicks = 10; ///< Ticks between reports of held slots.
constexpr std::uint64_t FreeSlotsTicks = 2; ///< Ticks between reports of free slots.
constexpr std::uint64_t OccupancyTicks = 10; ///< Each sample visits thousands of servers.
constexpr std::uint64_t OccupancyLogTicks = 20; ///< Ticks between log lines of a full service.
/** A server that is used at all states its limit within this time, so older ones need no repeat. */
constexpr Duration MaxLimitAge = std::chrono::seconds(10);
constexpr Duration FreeSlotsTtl = milliseconds(300); ///< Three report intervals.

/** @return A report that cancels a slot request or releases its slot. */
auto makeCancellation(std::uint64_t incarnation, std::uint64_t requestId) -> fleet::SlotReport
{
    return {incarnation, requestId, fleet::SlotEvent::Neutral, {}, {}, 0, {}, {}};
}

} // namespace

SlotCoordination::SlotCoordination(PeerSocket &socket, NodeState &state, std::string self,
                                   std::uint64_t incarnation, Callbacks callbacks)
    : socket(socket), state(state), self(std::move(self)), incarnation(incarnation),
      callbacks(std::move(callbacks)), allocator(
                                           state.servers,
                                           [this](const fleet::Server &server, Instant now) {
                                               return this->callbacks.isUsable(server, now);
                                           },
                                           incarnation),
      random(incarnation)
{
    this->registerHandlers();
}

auto SlotCoordination::registerHandlers() -> void
{
    this->socket.setDecodedHandler(PeerMessageType::SlotRequest, decodeSlotRequest,
                                   [this](const fleet::SlotRequest &request, const std::string &) {
                                       this->handleRequest(request);
                                   });
    this->socket.setDecodedHandler(PeerMessageType::SlotReply, decodeSlotReply,
                                   [this](const fleet::SlotReply &reply, const std::string &from) {
                                       this->handleReply(reply, from);
                                   });
    this->socket.setDecodedHandler(
        PeerMessageType::SlotReport, decodeSlotReport,
        [this](const fleet::SlotReport &report, const std::string &from) {
            if (report.requestLimit) {
                mergeRequestLimits(this->state.servers, {*report.requestLimit}, from,
                                   bootClockNow());
            }
            this->allocator.handleReport(report, bootClockNow());
            this->grantWaiting();
        });
    this->socket.setDecodedHandler(
        PeerMessageType::HeldSlots, decodeHeldSlots,
        [this](const fleet::HeldSlots &heldSlots, const std::string &from) {
            mergeRequestLimits(this->state.servers, heldSlots.requestLimits, from, bootClockNow());
            this->allocator.reconcileHeldSlots(heldSlots, bootClockNow());
        });
    this->socket.setDecodedHandler(
        PeerMessageType::FreeSlots, decodeFreeSlots,
        [this](const std::vector<fleet::FreeSlotCount> &reports, const std::string &from) {
            this->handleFreeSlots(reports, from);
        });
}

auto SlotCoordination::requestSlot(fleet::SlotRequest request, const std::string &service)
    -> std::optional<fleet::SlotReply>
{
    const auto now = bootClockNow();
    const auto coordinator = this->chooseCoordinator(service, request.excludedServers, now);
    if (coordinator.empty()) {
        return fleet::SlotReply{request.id, fleet::SlotOutcome::NotCoordinator, 0, {}};
    }
    request.incarnation = this->incarnation;
    request.replyAddress = this->self;
    request.service = hashName(service);
    auto &pending = this->pendingRequests[request.id];
    pending = {request, service, coordinator, now, now, false};
    if (coordinator != this->self) {
        this->socket.send(coordinator, PeerMessageType::SlotRequest, encodeSlotRequest(request));
        return std::nullopt;
    }
    const auto reply = this->allocator.handleRequest(request, service, now);
    if (reply.outcome == fleet::SlotOutcome::Queued && this->forward(request, now)) {
        return std::nullopt;
    }
    pending.awaitingReplySince.reset();
    pending.granted = reply.outcome == fleet::SlotOutcome::Granted;
    if (reply.outcome == fleet::SlotOutcome::NotCoordinator) {
        this->pendingRequests.erase(request.id);
    }
    return reply;
}

auto SlotCoordination::forward(fleet::SlotRequest request, Instant now) -> bool
{
    const auto target =
        request.forwarded ? "" : this->coordinatorWithFreeSlots(request.service, now);
    if (target.empty()) {
        return false;
    }
    this->allocator.withdrawRequest(request.incarnation, request.id, now);
    request.forwarded = true;
    this->socket.send(target, PeerMessageType::SlotRequest, encodeSlotRequest(request));
    return true;
}

auto SlotCoordination::handleRequest(const fleet::SlotRequest &request) -> void
{
    const auto now = bootClockNow();
    const auto service = this->serviceNames.find(request.service);
    fleet::SlotReply reply{request.id, fleet::SlotOutcome::NotCoordinator, 0, {}};
    if (service != this->serviceNames.end()) {
        reply = this->allocator.handleRequest(request, service->second, now);
    }
    if (reply.outcome == fleet::SlotOutcome::Queued && this->forward(request, now)) {
        return;
    }
    this->socket.send(request.replyAddress, PeerMessageType::SlotReply, encodeSlotReply(reply));
}

auto SlotCoordination::handleReply(const fleet::SlotReply &reply, const std::string &from) -> void
{
    const auto found = this->pendingRequests.find(reply.requestId);
    if (found == this->pendingRequests.end()) {
        if (reply.outcome != fleet::SlotOutcome::NotCoordinator) {
            this->socket.send(
                from, PeerMessageType::SlotReport,
                encodeSlotReport(makeCancellation(this->incarnation, reply.requestId)));
        }
        return;
    }
    auto &pending = found->second;
    if (pending.granted) {
        return; // Duplicate of an earlier grant.
    }
    pending.coordinator = from;
    pending.awaitingReplySince.reset();
    pending.granted = reply.outcome == fleet::SlotOutcome::Granted;
    if (reply.outcome == fleet::SlotOutcome::NotCoordinator) {
        this->pendingRequests.erase(found);
    }
    this->callbacks.onReply(reply);
}

auto SlotCoordination::handleFreeSlots(const std::vector<fleet::FreeSlotCount> &reports,
                                       const std::string &from) -> void
{
    const auto now = bootClockNow();
    for (const auto &report : reports) {
        this->freeSlotReports[{report.service, from}] = {report.freeSlots, now};
    }
}

auto SlotCoordination::cancelSlotRequest(std::uint64_t requestId) -> void
{
    this->reportSlotEvent(makeCancellation(this->incarnation, requestId));
}

auto SlotCoordination::reportSlotEvent(fleet::SlotReport report) -> void
{
    const auto found = this->pendingRequests.find(report.requestId);
    if (found == this->pendingRequests.end()) {
        return;
    }
    const auto coordinator = found->second.coordinator;
    report.incarnation = this->incarnation;
    if (report.event != fleet::SlotEvent::FirstByte) {
        this->pendingRequests.erase(found);
    }
    if (coordinator != this->self) {
        this->socket.send(coordinator, PeerMessageType::SlotReport, encodeSlotReport(report));
        return;
    }
    this->allocator.handleReport(report, bootClockNow());
    this->grantWaiting();
}

auto SlotCoordination::grantWaiting() -> void
{
    if (this->granting) {
        return; // A grant to this node's own request may call reportSlotEvent(), which re-enters.
    }
    this->granting = true;
    for (const auto &[destination, reply] : this->allocator.grantWaiting(bootClockNow())) {
        if (destination == this->self) {
            this->handleReply(reply, this->self);
        } else {
            this->socket.send(destination, PeerMessageType::SlotReply, encodeSlotReply(reply));
        }
    }
    this->granting = false;
}

auto SlotCoordination::chooseCoordinator(const std::string &service,
                                         std::span<const std::uint32_t> excludedServers,
                                         Instant now) -> std::string
{
    const auto &servers = this->state.servers.serversOf(service);
    if (servers.empty()) {
        return "";
    }
    // Picking a random server weights the groups by their size.
    auto chosen = servers.begin() + static_cast<std::ptrdiff_t>(this->random() % servers.size());
    for (std::size_t skipped = 0;
         skipped < servers.size()
         && std::find(excludedServers.begin(), excludedServers.end(), (*chosen)->hash)
                != excludedServers.end();
         ++skipped) {
        chosen = std::next(chosen) == servers.end() ? servers.begin() : std::next(chosen);
    }
    const auto coordinator = this->coordinators.find((*chosen)->hash);
    if (coordinator == this->coordinators.end()) {
        return "";
    }
    const auto backoff = this->backoffUntil.find(coordinator->second);
    return backoff != this->backoffUntil.end() && now < backoff->second ? "" : coordinator->second;
}

auto SlotCoordination::coordinatorWithFreeSlots(std::uint32_t service, Instant now) -> std::string
{
    std::string best;
    std::uint32_t maxFreeSlots = 0;
    for (auto report = this->freeSlotReports.lower_bound({service, ""});
         report != this->freeSlotReports.end() && report->first.first == service; ++report) {
        if (now - report->second.receivedAt < FreeSlotsTtl
            && report->second.freeSlots > maxFreeSlots) {
            maxFreeSlots = report->second.freeSlots;
            best = report->first.second;
        }
    }
    if (!best.empty()) {
        --this->freeSlotReports[{service, best}].freeSlots;
    }
    return best;
}

auto SlotCoordination::tick(Instant now) -> void
{
    if (this->ticks % AssignmentTicks == 0) {
        this->assignCoordinators(now);
    }
    if (this->ticks % FreeSlotsTicks == 0) {
        this->sendFreeSlots();
    }
    if (this->ticks % HeldSlotsTicks == 0) {
        this->sendHeldSlots(now, false);
        auto aliveNodes = this->state.members.aliveIncarnations(now);
        aliveNodes.insert(this->incarnation);
        this->allocator.expire(aliveNodes, now);
    }
    ++this->ticks;
    this->allocator.setLimitShare(
        fleet::coordinatorLimitShare(this->state.members.reachableFraction(now)));
    this->grantWaiting();
    this->resendRequests(now);
    this->recordOccupancy(now);
}

auto SlotCoordination::recordOccupancy(Instant now) -> void
{
    if (this->ticks % OccupancyTicks != 0) {
        return;
    }
    if (this->ticks % OccupancyLogTicks == 0) {
        for (const auto &[service, occupancy] : this->serviceOccupancy) {
            if (occupancy.meanWaiting() == 0) {
                continue;
            }
            logEvent("service_queue",
                     {{"service", service},
                      {"waiting_part", occupancy.waitingFraction()},
                      {"waiting", occupancy.meanWaiting()},
                      {"waiting_most", static_cast<std::int64_t>(occupancy.maxWaiting())},
                      {"slots_free", occupancy.meanFreeSlots()},
                      {"slots_occupied", occupancy.meanOccupiedSlots()}});
        }
        this->serviceOccupancy.clear();
    }
    for (const auto &[service, sample] : this->allocator.occupancy(now)) {
        this->serviceOccupancy[service].record(sample);
    }
}

auto SlotCoordination::assignCoordinators(Instant now) -> void
{
    const std::pair inputs(this->state.members.generation(now), this->state.servers.generation());
    if (std::exchange(this->assignedFor, inputs) == inputs) {
        return;
    }
    std::map<std::string, std::size_t> serverCounts;
    for (const auto &[id, server] : this->state.servers.all()) {
        ++serverCounts[server->registration.service];
    }
    std::map<std::uint32_t, std::string> coordinatorByGroup;
    std::map<std::uint32_t, std::string> newCoordinators;
    bool changed = false;
    for (const auto &[id, server] : this->state.servers.all()) {
        const auto service = hashName(server->registration.service);
        this->serviceNames[service] = server->registration.service;
        std::size_t groups = 1; // A power of two, so that it changes seldom as servers come and go.
        while (groups * ServersPerGroup < serverCounts[server->registration.service]) {
            groups *= 2;
        }
        const auto group = static_cast<std::uint32_t>(
            mix64((static_cast<std::uint64_t>(service) << 32U) ^ (server->hash % groups)));
        auto &coordinator = coordinatorByGroup[group];
        if (coordinator.empty()) {
            coordinator = this->state.members.coordinators(group, 1, now).front();
        }
        const auto previous = this->coordinators.find(server->hash);
        changed =
            changed || previous == this->coordinators.end() || previous->second != coordinator;
        newCoordinators[server->hash] = coordinator;
        if (server->coordinatedHere != (coordinator == this->self)) {
            server->coordinatedHere = !server->coordinatedHere;
            server->peerLoad = {};
            server->requestLimit.clearAllowance(now);
        }
    }
    this->coordinators = std::move(newCoordinators);
    if (changed) {
        this->sendHeldSlots(now, true);
    }
}

auto SlotCoordination::sendHeldSlots(Instant now, bool reassigned) -> void
{
    std::map<std::string, fleet::HeldSlots> heldByCoordinator;
    for (const auto &slot : this->callbacks.heldSlots()) {
        const auto coordinator = this->coordinators.find(slot.serverHash);
        if (coordinator == this->coordinators.end() || coordinator->second == this->self) {
            continue;
        }
        heldByCoordinator[coordinator->second].slots.push_back(slot);
        // The release is reported to the current coordinator, whichever node granted the slot.
        auto &pending = this->pendingRequests[slot.requestId];
        pending.request.id = slot.requestId;
        pending.coordinator = coordinator->second;
        pending.sentAt = now;
        pending.granted = true;
    }
    for (const auto &[id, server] : this->state.servers.all()) {
        const auto coordinator = this->coordinators.find(server->hash);
        if (server->requestLimit.isNamed() && now - server->requestLimit.statedAt() < MaxLimitAge
            && coordinator != this->coordinators.end() && coordinator->second != this->self
            && (reassigned || heldByCoordinator.contains(coordinator->second))) {
            heldByCoordinator[coordinator->second].requestLimits.push_back(
                fleet::limitReportOf(*server, now));
        }
    }
    for (auto &[coordinator, heldSlots] : heldByCoordinator) {
        heldSlots.incarnation = this->incarnation;
        this->socket.send(coordinator, PeerMessageType::HeldSlots, encodeHeldSlots(heldSlots));
    }
}

auto SlotCoordination::sendFreeSlots() -> void
{
    const auto ownReports = this->allocator.freeSlotCounts(bootClockNow());
    if (ownReports.empty()) {
        return;
    }
    // Report to each coordinator only the services of which it coordinates servers as well.
    std::map<std::string, std::set<std::uint32_t>> servicesByCoordinator;
    for (const auto &[id, server] : this->state.servers.all()) {
        const auto coordinator = this->coordinators.find(server->hash);
        if (coordinator != this->coordinators.end() && coordinator->second != this->self) {
            servicesByCoordinator[coordinator->second].insert(
                hashName(server->registration.service));
        }
    }
    for (const auto &[coordinator, services] : servicesByCoordinator) {
        std::vector<fleet::FreeSlotCount> reports;
        std::copy_if(ownReports.begin(), ownReports.end(), std::back_inserter(reports),
                     [&services = services](const fleet::FreeSlotCount &report) {
                         return services.contains(report.service);
                     });
        if (!reports.empty()) {
            this->socket.send(coordinator, PeerMessageType::FreeSlots, encodeFreeSlots(reports));
        }
    }
}

auto SlotCoordination::resendRequests(Instant now) -> void
{
    std::vector<std::uint64_t> timedOut;
    std::vector<fleet::SlotReply> replies;
    for (auto &[requestId, pending] : this->pendingRequests) {
        if (pending.granted) {
            continue;
        }
        const bool firstSend = pending.awaitingReplySince == pending.sentAt;
        if (pending.awaitingReplySince
            && now - *pending.awaitingReplySince > (firstSend ? ReplyTimeout : ResendTimeout)) {
            timedOut.push_back(requestId);
            continue;
        }
        if (pending.coordinator != this->self && !firstSend
            && now - pending.sentAt > ResendInterval) {
            if (!pending.awaitingReplySince) {
                pending.awaitingReplySince = pending.sentAt;
            }
            pending.sentAt = now;
            pending.request.forwarded = true; // Already queued there: must not be forwarded again.
            this->socket.send(pending.coordinator, PeerMessageType::SlotRequest,
                              encodeSlotRequest(pending.request));
        } else if (pending.coordinator == this->self && !pending.awaitingReplySince) {
            const auto reply = this->allocator.handleRequest(pending.request, pending.service, now);
            if (reply.outcome != fleet::SlotOutcome::NotCoordinator) {
                replies.push_back(reply);
            }
        }
    }
    for (const auto &reply : replies) {
        this->handleReply(reply, this->self);
    }
    for (const auto requestId : timedOut) {
        const auto coordinator = this->pendingRequests.at(requestId).coordinator;
        if (this->backoffUntil[coordinator] < now) {
            logEvent("keeper_silent", {{"keeper", coordinator}});
        }
        this->backoffUntil[coordinator] = now + CoordinatorBackoff;
        this->pendingRequests.erase(requestId);
        this->callbacks.onTimeout(requestId);
    }
}

} // namespace banyanring::gateway
