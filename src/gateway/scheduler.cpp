/** @file scheduler.cpp Admits, queues and places the requests of one node. */
#include "banyanring/gateway/scheduler.h"

#include "banyanring/gateway/active_request.h"

#include <algorithm>

namespace banyanring::gateway {

namespace {

/** Bounds the work of a round: if no server can take a request, later ones rarely fit either. */
constexpr int MaxFailuresPerRound = 3;
constexpr std::size_t MaxTraces = 1000; ///< Some tens of seconds of a busy node's requests.
constexpr double OutputAverageWeight = 0.1; ///< Weight of one response in a route's moving average.
/** Assumed fraction of the declared maximum output, until the route has an average. */
constexpr double DefaultOutputFraction = 0.1;

} // namespace

NodeState::NodeState(const fleet::ProcessSettings &settings, Instant now)
    : members(settings.peers.text(), settings.seeds, now, settings.domain),
      quotas(settings.bounds, now), retryBudget(settings.bounds), coldLimiter(settings.bounds)
{
}

Scheduler::Scheduler(NodeState &state, ServerPort &serverPort, std::function<Instant()> clock,
                     std::uint64_t seed)
    : state(state), serverPort(serverPort), clock(std::move(clock)), random(seed),
      nodeHash(static_cast<std::uint32_t>(mix64(seed))),
      maxBufferedBytes(ResponseBuffer::DefaultTotalBytes)
{
}

Scheduler::~Scheduler() = default;

auto Scheduler::submit(CallerPortPtr caller, CallerRequest request) -> std::uint64_t
{
    this->destroyFinished();
    const auto number = this->nextNumber++;
    auto activeRequest =
        std::make_unique<ActiveRequest>(*this, number, std::move(caller), std::move(request));
    auto &started = *this->requests.emplace(number, std::move(activeRequest)).first->second;
    started.start();
    this->placeDirtyServices();
    return number;
}

auto Scheduler::onUsageQueryDone(std::uint64_t number) -> void
{
    const auto found = this->requests.find(number);
    if (found != this->requests.end()) {
        found->second->onUsageQueryDone();
        this->placeDirtyServices();
    }
}

auto Scheduler::findBySlotRequest(std::uint64_t slotRequestId) -> ActiveRequest *
{
    const auto found = this->requests.find(ActiveRequest::numberOfSlotRequest(slotRequestId));
    return found == this->requests.end() ? nullptr : found->second.get();
}

auto Scheduler::onSlotReply(const fleet::SlotReply &reply) -> void
{
    auto *request = this->findBySlotRequest(reply.requestId);
    if (request != nullptr && request->isSlotPending(reply.requestId)) {
        request->onSlotReply(reply);
        this->placeDirtyServices();
    } else if (reply.outcome == fleet::SlotOutcome::Granted) {
        this->slotPort->cancelSlotRequest(reply.requestId);
    }
}

auto Scheduler::onSlotTimeout(std::uint64_t slotRequestId) -> void
{
    auto *request = this->findBySlotRequest(slotRequestId);
    if (request != nullptr && request->isSlotPending(slotRequestId)) {
        request->onSlotTimeout(slotRequestId);
        this->placeDirtyServices();
    }
}

auto Scheduler::heldSlots() const -> std::vector<fleet::HeldSlot>
{
    std::vector<fleet::HeldSlot> slots;
    for (const auto &[number, request] : this->requests) {
        request->appendHeldSlots(slots);
    }
    return slots;
}

auto Scheduler::onCallerDisconnected(std::uint64_t number) -> void
{
    const auto found = this->requests.find(number);
    if (found != this->requests.end()) {
        found->second->onCallerDisconnected();
        this->placeDirtyServices();
    }
}

auto Scheduler::endAllRequests() -> void
{
    this->rejectNewRequests();
    for (auto &[number, request] : this->requests) {
        request->onProcessStopping();
    }
    this->destroyFinished();
}

auto Scheduler::tick() -> void
{
    const auto now = this->clock();
    for (auto &[name, queue] : this->queues) {
        for (const auto number : queue.waiting.popExpired(now)) {
            this->requests.at(number)->onQueueTimeout();
        }
    }
    for (auto &[number, request] : this->requests) {
        if (!request->hasEnded()) {
            request->checkTimeouts(now);
        }
    }
    this->placeQueued();
    this->destroyFinished();
}

auto Scheduler::placeQueued() -> void
{
    for (const auto &[name, queue] : this->queues) {
        if (queue.waiting.size() > 0) {
            this->dirtyServices.insert(name);
        }
    }
    this->placeDirtyServices();
}

auto Scheduler::placeDirtyServices() -> void
{
    if (this->placing) {
        return;
    }
    this->placing = true;
    while (!this->dirtyServices.empty()) {
        const auto service = this->dirtyServices.extract(this->dirtyServices.begin()).value();
        this->placeService(service);
    }
    this->placing = false;
}

auto Scheduler::addTrace(RequestTrace trace) -> void
{
    this->traces.push_back(std::move(trace));
    if (this->traces.size() > MaxTraces) {
        this->traces.pop_front();
    }
}

auto Scheduler::findTraces(std::string_view id) const -> std::vector<const RequestTrace *>
{
    std::vector<const RequestTrace *> found;
    for (const auto &trace : this->traces) {
        if (trace.id == id) {
            found.push_back(&trace);
        }
    }
    return found;
}

auto Scheduler::recordOutputTokens(const std::string &prefix, double tokens) -> void
{
    auto &average = this->outputTokenAverages[prefix];
    average = average > 0 ? average + OutputAverageWeight * (tokens - average) : tokens;
}

auto Scheduler::averageOutputTokens(const std::string &prefix, double maxTokens) const -> double
{
    const auto found = this->outputTokenAverages.find(prefix);
    return found == this->outputTokenAverages.end() ? maxTokens * DefaultOutputFraction
                                                    : std::min(maxTokens, found->second);
}

auto Scheduler::placeService(const std::string &service) -> void
{
    auto &queue = this->queues[service];
    if (queue.waiting.size() == 0) {
        return;
    }
    int failures = 0;
    for (const auto number : queue.waiting.dispatchOrder(this->clock())) {
        if (this->requests.at(number)->isSlotPending()) {
            continue; // The slot coordinator orders it among the requests of all nodes.
        }
        if (!this->requests.at(number)->tryPlace() && ++failures >= MaxFailuresPerRound) {
            return;
        }
    }
}

auto Scheduler::queuedRequests() const -> std::size_t
{
    std::size_t count = 0;
    for (const auto &[name, queue] : this->queues) {
        count += queue.waiting.size();
    }
    return count;
}

auto Scheduler::isUsable(const fleet::Server &server, Instant now) const -> bool
{
    return !server.registration.draining && !server.leaving && now >= server.backoffUntil
           && now < server.removeAt
           && !this->state.config.isDomainOutOfService(server.registration.domain);
}

auto Scheduler::maySend(const fleet::Server &server, Instant now) const -> bool
{
    return this->isUsable(server, now) && !server.isDeferred(now);
}

auto Scheduler::deferralTime(const std::string &service) const -> Duration
{
    const auto now = this->clock();
    auto earliest = Never;
    for (const auto &server : this->state.servers.serversOf(service)) {
        if (this->maySend(*server, now)) {
            return Duration(0);
        }
        if (this->isUsable(*server, now)) {
            earliest = std::min(earliest, server->deferredUntil);
        }
    }
    return earliest == Never ? Duration(0) : earliest - now;
}

auto Scheduler::limitShare(const fleet::Server &server, Instant now) const -> double
{
    const auto &members = this->state.members;
    if (server.coordinatedHere) {
        return fleet::coordinatorLimitShare(members.reachableFraction(now));
    }
    return members.isDesignatedSender(server.hash, fleet::MaxUncoordinatedSenders, now)
               ? fleet::UncoordinatedLimitShare
               : 0;
}

auto Scheduler::allowedByLimit(const fleet::Server &server, Instant now) const -> bool
{
    return !server.requestLimit.isNamed()
           || server.requestLimit.permits(this->limitShare(server, now), true, now);
}

auto Scheduler::expectedWait(const std::string &service, std::uint32_t tier,
                             Instant latencyDeadline) -> Duration
{
    const auto &queue = this->queues[service];
    const auto ahead = queue.waiting.countAhead(tier, latencyDeadline, this->clock());
    return std::max(queue.expectedWait(ahead), this->deferralTime(service));
}

auto Scheduler::setNodeMemory(std::size_t bytes) -> void
{
    this->maxBufferedBytes =
        bytes > 0 ? bytes / ResponseBuffer::MemoryFraction : ResponseBuffer::DefaultTotalBytes;
}

auto Scheduler::limitBufferedBytes() -> void
{
    if (this->bufferedBytes <= this->maxBufferedBytes) {
        return;
    }
    const auto longest = std::max_element(
        this->requests.begin(), this->requests.end(), [](const auto &first, const auto &second) {
            return first.second->bufferedBytes() < second.second->bufferedBytes();
        });
    longest->second->onResponseTooLong();
}

auto Scheduler::destroyFinished() -> void
{
    for (const auto number : this->finishedRequests) {
        this->requests.erase(number);
    }
    this->finishedRequests.clear();
    this->finishedExchanges.clear();
}

} // namespace banyanring::gateway
