/** @file slot_desk.cpp Gives out the slots of the servers that this node keeps. */
#include "banyanring/fleet/slot_desk.h"

#include <algorithm>

namespace banyanring::fleet {

namespace {

using std::chrono::milliseconds;

/** An ask that waits is sent again several times within it; else its node has given it up. */
constexpr Duration AskLifetime = milliseconds(500);
/** A holder's list may have been composed before the grant reached it. */
constexpr Duration GrantOnTheWay = milliseconds(300);
/** Asks behind some that no server can take are rarely better off; bounds the work. */
constexpr int FailuresPerRound = 4;

} // namespace

SlotDesk::SlotDesk(ServerBook &servers, std::function<bool(const Server &, Instant)> usable,
                   std::uint64_t self)
    : servers(servers), usable(std::move(usable)), self(self)
{
}

auto SlotDesk::keeps(const std::string &service) const -> bool
{
    const auto &all = this->servers.ofService(service);
    return std::any_of(all.begin(), all.end(),
                       [](const ServerPtr &server) { return server->kept; });
}

auto SlotDesk::take(const SlotAsk &ask, const std::string &service, Instant now) -> SlotReply
{
    const Key key(ask.node, ask.ask);
    if (const auto held = this->holdings.find(key); held != this->holdings.end()) {
        return {ask.ask, SlotOutcome::Granted, held->second.server->number, {}};
    }
    auto &queue = this->queues[service];
    if (const auto known = this->runs.find(key); known != this->runs.end()) {
        this->asks.at(known->second).seenAt = now;
        const auto ahead = queue.waiting.aheadOf(known->second, now);
        return {ask.ask, SlotOutcome::Queued, 0, queue.expectedWait(ahead)};
    }
    if (const auto server = this->grant(ask, service, now)) {
        return {ask.ask, SlotOutcome::Granted, server->number, {}};
    }
    if (!this->keeps(service)) {
        return {ask.ask, SlotOutcome::Unkept, 0, {}};
    }
    const auto wait = queue.expectedWait(queue.waiting.ahead(ask.tier, now));
    const auto run = this->nextRun++;
    this->runs[key] = run;
    this->asks[run] = {ask, service, now};
    queue.waiting.push(
        {run, ask.tier, ask.organisation, ask.cost, now + ask.dueIn, now + ask.refuseIn});
    return {ask.ask, SlotOutcome::Queued, 0, wait};
}

auto SlotDesk::grant(const SlotAsk &ask, const std::string &service, Instant now) -> ServerPtr
{
    const auto mayUse = [&](const Server &server) {
        return server.kept && this->usable(server, now)
               && std::find(ask.tried.begin(), ask.tried.end(), server.number) == ask.tried.end();
    };
    // Cold servers are left to the few nodes that may send to them.
    const auto choice = choosePlacement(
        this->servers.ofService(service), ask.shape, mayUse, [](const Server &) { return false; },
        now);
    if (!choice.server) {
        return nullptr;
    }
    auto &server = *choice.server;
    Holding holding{choice.server, ask.shape, 0, 0, now, service};
    holding.promptWork = ask.shape.promptWork;
    holding.workAhead = server.own.promptWork + server.peers.promptWork + ask.shape.promptWork;
    if (ask.node != this->self) {
        ++server.peers.requests;
        server.peers.promptWork += ask.shape.promptWork;
    }
    auto &queue = this->queues[service];
    ++queue.running;
    queue.waiting.noteServed(ask.organisation, ask.cost, now);
    this->holdings[{ask.node, ask.ask}] = std::move(holding);
    return choice.server;
}

auto SlotDesk::release(std::map<Key, Holding>::iterator held) -> void
{
    auto &[key, holding] = *held;
    auto &peers = holding.server->peers;
    if (key.first != this->self && peers.requests > 0) {
        --peers.requests;
        peers.promptWork = std::max(0.0, peers.promptWork - holding.promptWork);
    }
    auto &running = this->queues[holding.service].running;
    running -= std::min<std::size_t>(1, running);
    this->holdings.erase(held);
}

auto SlotDesk::withdraw(std::uint64_t run) -> void
{
    const auto found = this->asks.find(run);
    if (found == this->asks.end()) {
        return;
    }
    const auto &waiting = found->second;
    this->queues[waiting.service].waiting.remove(run);
    this->runs.erase({waiting.ask.node, waiting.ask.ask});
    this->asks.erase(found);
}

auto SlotDesk::report(const SlotReport &report, Instant now) -> void
{
    const Key key(report.node, report.ask);
    if (const auto waiting = this->runs.find(key); waiting != this->runs.end()) {
        this->withdraw(waiting->second);
        return;
    }
    const auto held = this->holdings.find(key);
    if (held == this->holdings.end()) {
        return;
    }
    auto &holding = held->second;
    if (report.event == SlotEvent::FirstByte) {
        if (report.node != this->self) {
            auto &ahead = holding.server->peers.promptWork;
            ahead = std::max(0.0, ahead - holding.promptWork);
        }
        holding.promptWork = 0;
        return;
    }
    this->learn(holding, report, now);
    this->release(held);
}

auto SlotDesk::learn(const Holding &holding, const SlotReport &report, Instant now) -> void
{
    auto &server = *holding.server;
    if (report.event == SlotEvent::Good) {
        this->queues[holding.service].noteAnswer(report.firstByte + report.rest);
    }
    if (report.node == this->self) {
        return; // It has learnt from its own answers already.
    }
    switch (report.event) {
    case SlotEvent::Good:
        learnPace(server, holding.shape, holding.workAhead, report.firstByte, report.rest,
                  report.outputTokens);
        this->servers.judge(server, ServerVerdict::Good, now);
        server.avoidUntil = Instant(0);
        server.avoidFor = Duration(0);
        break;
    case SlotEvent::Failed:
        this->servers.judge(server, ServerVerdict::Failed, now);
        break;
    case SlotEvent::Rejected:
        server.reportedOthers = std::max(server.reportedOthers, server.entry.slots);
        server.reportedAt = now;
        break;
    case SlotEvent::Unreachable:
        ServerBook::noteUnreachable(server, now);
        break;
    case SlotEvent::FirstByte:
    case SlotEvent::Neutral:
        break;
    }
}

auto SlotDesk::takeHoldings(const SlotHoldings &told, Instant now) -> void
{
    std::set<std::uint64_t> named;
    for (const auto &slot : told.slots) {
        named.insert(slot.ask);
        const Key key(told.node, slot.ask);
        const auto server = this->servers.findNumber(slot.server);
        if (this->holdings.contains(key) || !server || !server->kept) {
            continue;
        }
        Holding holding{server, {}, slot.promptWork, 0, now, server->entry.service};
        ++server->peers.requests;
        server->peers.promptWork += slot.promptWork;
        ++this->queues[holding.service].running;
        this->holdings[key] = std::move(holding);
    }
    for (auto held = this->holdings.lower_bound({told.node, 0});
         held != this->holdings.end() && held->first.first == told.node;) {
        const auto next = std::next(held);
        if (!named.contains(held->first.second) && now - held->second.grantedAt > GrantOnTheWay) {
            this->release(held);
        }
        held = next;
    }
}

auto SlotDesk::placeWaiting(Instant now) -> std::vector<AddressedReply>
{
    std::vector<AddressedReply> grants;
    for (auto &[service, queue] : this->queues) {
        for (const auto run : queue.waiting.takeExpired(now)) {
            this->withdraw(run);
        }
        if (queue.waiting.size() == 0) {
            continue;
        }
        int failures = 0;
        for (const auto run : queue.waiting.order(now)) {
            const auto waiting = this->asks.at(run);
            const auto server = this->grant(waiting.ask, service, now);
            if (!server) {
                if (++failures >= FailuresPerRound) {
                    break;
                }
                continue;
            }
            this->withdraw(run);
            grants.push_back(
                {waiting.ask.origin, {waiting.ask.ask, SlotOutcome::Granted, server->number, {}}});
        }
    }
    return grants;
}

auto SlotDesk::expire(const std::set<std::uint64_t> &nodes, Instant now) -> void
{
    for (auto held = this->holdings.begin(); held != this->holdings.end();) {
        const auto next = std::next(held);
        if (!nodes.contains(held->first.first) || !held->second.server->kept) {
            this->release(held);
        }
        held = next;
    }
    std::vector<std::uint64_t> lost;
    for (const auto &[run, waiting] : this->asks) {
        if (now - waiting.seenAt > AskLifetime) {
            lost.push_back(run);
        }
    }
    for (const auto run : lost) {
        this->withdraw(run);
    }
}

auto SlotDesk::room(Instant now) const -> std::vector<SlotRoom>
{
    std::map<std::uint32_t, std::uint32_t> sums;
    for (const auto &[id, server] : this->servers.all()) {
        if (!server->kept) {
            continue;
        }
        auto &sum = sums[hashName(server->entry.service)];
        const auto occupied = server->occupied(now);
        if (this->usable(*server, now) && !server->cold(now) && now >= server->ejectedUntil
            && occupied < server->entry.slots) {
            sum += server->entry.slots - occupied;
        }
    }
    std::vector<SlotRoom> rooms;
    rooms.reserve(sums.size());
    for (const auto &[service, sum] : sums) {
        rooms.push_back({service, sum});
    }
    return rooms;
}

} // namespace banyanring::fleet
