/** @file scheduler.cpp The decisions of one node: admits, queues and places requests. */
#include "banyanring/gateway/scheduler.h"

#include "banyanring/gateway/request_run.h"

namespace banyanring::gateway {

namespace {

/** Requests behind one that no server can take are rarely better off; bounds the work. */
constexpr int FailuresPerRound = 3;
constexpr std::size_t RememberedRequests = 1000; ///< Some tens of seconds of a busy node.
constexpr double OutputWeight = 0.1; ///< Weight of one answer in a route's usual output.
/** Part of the declared most that an answer takes, until the route has shown better. */
constexpr double UsualOutputPart = 0.1;

} // namespace

NodeBooks::NodeBooks(const fleet::ProcessSettings &environment, Instant now)
    : members(environment.peers.text(), environment.seeds, now), quotas(environment.bounds, now),
      retries(environment.bounds), colds(environment.bounds)
{
}

Scheduler::Scheduler(NodeBooks &books, ServerPort &serverPort, std::function<Instant()> clock,
                     std::uint64_t seed)
    : books(books), serverPort(serverPort), clock(std::move(clock)), random(seed),
      nodeHash(static_cast<std::uint32_t>(mix64(seed)))
{
}

Scheduler::~Scheduler() = default;

auto Scheduler::accept(CallerPortPtr caller, CallerRequest request) -> std::uint64_t
{
    this->reap();
    const auto number = this->nextRun++;
    auto run = std::make_unique<RequestRun>(*this, number, std::move(caller), std::move(request));
    auto &started = *this->runs.emplace(number, std::move(run)).first->second;
    started.begin();
    this->settle();
    return number;
}

auto Scheduler::advised(std::uint64_t number) -> void
{
    const auto found = this->runs.find(number);
    if (found != this->runs.end()) {
        found->second->advised();
        this->settle();
    }
}

auto Scheduler::runOfAsk(std::uint64_t ask) -> RequestRun *
{
    const auto found = this->runs.find(RequestRun::runOfAsk(ask));
    return found == this->runs.end() ? nullptr : found->second.get();
}

auto Scheduler::slotAnswered(const fleet::SlotReply &reply) -> void
{
    auto *run = this->runOfAsk(reply.requestId);
    if (run != nullptr && run->awaitsSlot(reply.requestId)) {
        run->slotAnswered(reply);
        this->settle();
    } else if (reply.outcome == fleet::SlotOutcome::Granted) {
        this->slotPort->withdraw(reply.requestId);
    }
}

auto Scheduler::slotSilent(std::uint64_t ask) -> void
{
    auto *run = this->runOfAsk(ask);
    if (run != nullptr && run->awaitsSlot(ask)) {
        run->slotSilent();
        this->settle();
    }
}

auto Scheduler::holdings() const -> std::vector<fleet::HeldSlot>
{
    std::vector<fleet::HeldSlot> slots;
    for (const auto &[number, run] : this->runs) {
        if (const auto slot = run->holding()) {
            slots.push_back(*slot);
        }
    }
    return slots;
}

auto Scheduler::callerGone(std::uint64_t number) -> void
{
    const auto found = this->runs.find(number);
    if (found != this->runs.end()) {
        found->second->callerGone();
        this->settle();
    }
}

auto Scheduler::tick() -> void
{
    const auto now = this->clock();
    for (auto &[name, queue] : this->queues) {
        for (const auto number : queue.waiting.popExpired(now)) {
            this->runs.at(number)->refuseWaiting();
        }
    }
    for (auto &[number, run] : this->runs) {
        if (!run->done()) {
            run->checkTimeouts(now);
        }
    }
    this->placeAll();
    this->reap();
}

auto Scheduler::placeAll() -> void
{
    for (const auto &[name, queue] : this->queues) {
        if (queue.waiting.size() > 0) {
            this->dirty.insert(name);
        }
    }
    this->settle();
}

auto Scheduler::settle() -> void
{
    if (this->settling) {
        return;
    }
    this->settling = true;
    while (!this->dirty.empty()) {
        const auto service = this->dirty.extract(this->dirty.begin()).value();
        this->place(service);
    }
    this->settling = false;
}

auto Scheduler::remember(RequestRecord record) -> void
{
    this->records.push_back(std::move(record));
    if (this->records.size() > RememberedRequests) {
        this->records.pop_front();
    }
}

auto Scheduler::explain(std::string_view id) const -> std::vector<const RequestRecord *>
{
    std::vector<const RequestRecord *> found;
    for (const auto &record : this->records) {
        if (record.id == id) {
            found.push_back(&record);
        }
    }
    return found;
}

auto Scheduler::noteOutput(const std::string &prefix, double tokens) -> void
{
    auto &usual = this->outputs[prefix];
    usual = usual > 0 ? usual + OutputWeight * (tokens - usual) : tokens;
}

auto Scheduler::usualOutput(const std::string &prefix, double most) const -> double
{
    const auto found = this->outputs.find(prefix);
    return found == this->outputs.end() ? most * UsualOutputPart : std::min(most, found->second);
}

auto Scheduler::place(const std::string &service) -> void
{
    auto &queue = this->queues[service];
    if (queue.waiting.size() == 0) {
        return;
    }
    int failures = 0;
    for (const auto number : queue.waiting.dispatchOrder(this->clock())) {
        if (this->runs.at(number)->awaitsSlot()) {
            continue; // Its keeper orders it among those of all nodes.
        }
        if (!this->runs.at(number)->tryPlace() && ++failures >= FailuresPerRound) {
            return;
        }
    }
}

auto Scheduler::waitingRuns() const -> std::size_t
{
    std::size_t number = 0;
    for (const auto &[name, queue] : this->queues) {
        number += queue.waiting.size();
    }
    return number;
}

auto Scheduler::usable(const fleet::Server &server, Instant now) const -> bool
{
    return !server.registration.draining && now >= server.backoffUntil && now < server.removeAt
           && !this->books.config.isDomainOutOfService(server.registration.domain);
}

auto Scheduler::expectedWait(const std::string &service, std::uint32_t tier) -> Duration
{
    const auto &queue = this->queues[service];
    return queue.expectedWait(queue.waiting.countAhead(tier, this->clock()));
}

auto Scheduler::reap() -> void
{
    for (const auto number : this->finished) {
        this->runs.erase(number);
    }
    this->finished.clear();
    this->retired.clear();
}

} // namespace banyanring::gateway
