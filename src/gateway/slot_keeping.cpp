/** @file slot_keeping.cpp Asks the keepers of servers for slots, and is one of them. */
#include "banyanring/gateway/slot_keeping.h"

#include "banyanring/adapters/log_func.h"
#include "banyanring/gateway/slot_codec.h"
#include "banyanring/ports/clock_func.h"

namespace banyanring::gateway {

namespace {

using std::chrono::milliseconds;

/** A keeper of so many servers answers some hundred asks a second at most. */
constexpr std::size_t GroupSize = 16;
/** An answer takes a few milliseconds; longer means that the keeper is lost. */
constexpr Duration AnswerPatience = milliseconds(40);
constexpr Duration RepeatInterval = milliseconds(150); ///< Of asks that wait.
constexpr Duration RepeatPatience = milliseconds(350); ///< Two repeats may be lost.
/** A keeper that did not answer is avoided until membership has noticed its death. */
constexpr Duration AvoidFor = milliseconds(1000);
constexpr std::uint64_t AssignTicks = 2; ///< Ticks between choices of the keepers.
constexpr std::uint64_t HoldingTicks = 10; ///< Ticks between lists of holdings.
constexpr std::uint64_t RoomTicks = 2; ///< Ticks between tellings of room.
constexpr Duration RoomLifetime = milliseconds(300); ///< Three tellings.

/** @return A report that an ask, or the slot that it got, is not needed. */
auto withdrawalOf(std::uint64_t node, std::uint64_t ask) -> fleet::SlotReport
{
    return {node, ask, fleet::SlotEvent::Neutral, {}, {}, 0};
}

} // namespace

SlotKeeping::SlotKeeping(PeerSocket &socket, NodeBooks &books, std::string self,
                         std::uint64_t incarnation, Callbacks callbacks)
    : socket(socket), books(books), self(std::move(self)), incarnation(incarnation),
      callbacks(std::move(callbacks)), desk(
                                           books.servers,
                                           [this](const fleet::Server &server, Instant now) {
                                               return this->callbacks.usable(server, now);
                                           },
                                           incarnation),
      random(incarnation)
{
    this->handleMessages();
}

auto SlotKeeping::handleMessages() -> void
{
    this->socket.handleDecoded(
        PeerMessage::SlotAsk, decodeSlotAsk,
        [this](const fleet::SlotAsk &ask, const std::string &) { this->takeAsk(ask); });
    this->socket.handleDecoded(PeerMessage::SlotReply, decodeSlotReply,
                               [this](const fleet::SlotReply &reply, const std::string &from) {
                                   this->takeReply(reply, from);
                               });
    this->socket.handleDecoded(PeerMessage::SlotReport, decodeSlotReport,
                               [this](const fleet::SlotReport &report, const std::string &) {
                                   this->desk.report(report, bootClockNow());
                                   this->giveOut();
                               });
    this->socket.handleDecoded(PeerMessage::SlotHoldings, decodeSlotHoldings,
                               [this](const fleet::SlotHoldings &holdings, const std::string &) {
                                   this->desk.takeHoldings(holdings, bootClockNow());
                               });
    this->socket.handleDecoded(PeerMessage::SlotRooms, decodeSlotRooms,
                               [this](const std::vector<fleet::SlotRoom> &told,
                                      const std::string &from) { this->takeRooms(told, from); });
}

auto SlotKeeping::ask(fleet::SlotAsk ask, const std::string &service)
    -> std::optional<fleet::SlotReply>
{
    const auto now = bootClockNow();
    const auto keeper = this->chooseKeeper(service, now);
    if (keeper.empty()) {
        return fleet::SlotReply{ask.ask, fleet::SlotOutcome::Unkept, 0, {}};
    }
    ask.node = this->incarnation;
    ask.origin = this->self;
    ask.service = nameId(service);
    auto &pending = this->pending[ask.ask];
    pending = {ask, service, keeper, now, now, false};
    if (keeper != this->self) {
        this->socket.send(keeper, PeerMessage::SlotAsk, encodeSlotAsk(ask));
        return std::nullopt;
    }
    const auto reply = this->desk.take(ask, service, now);
    if (reply.outcome == fleet::SlotOutcome::Queued && this->handOn(ask, now)) {
        return std::nullopt;
    }
    pending.silentSince.reset();
    pending.granted = reply.outcome == fleet::SlotOutcome::Granted;
    if (reply.outcome == fleet::SlotOutcome::Unkept) {
        this->pending.erase(ask.ask);
    }
    return reply;
}

auto SlotKeeping::handOn(fleet::SlotAsk ask, Instant now) -> bool
{
    const auto other = ask.forwarded ? "" : this->roomyKeeper(ask.service, now);
    if (other.empty()) {
        return false;
    }
    this->desk.report(withdrawalOf(ask.node, ask.ask), now);
    ask.forwarded = true;
    this->socket.send(other, PeerMessage::SlotAsk, encodeSlotAsk(ask));
    return true;
}

auto SlotKeeping::takeAsk(const fleet::SlotAsk &ask) -> void
{
    const auto now = bootClockNow();
    const auto service = this->serviceNames.find(ask.service);
    fleet::SlotReply reply{ask.ask, fleet::SlotOutcome::Unkept, 0, {}};
    if (service != this->serviceNames.end()) {
        reply = this->desk.take(ask, service->second, now);
    }
    if (reply.outcome == fleet::SlotOutcome::Queued && this->handOn(ask, now)) {
        return;
    }
    this->socket.send(ask.origin, PeerMessage::SlotReply, encodeSlotReply(reply));
}

auto SlotKeeping::takeReply(const fleet::SlotReply &reply, const std::string &from) -> void
{
    const auto found = this->pending.find(reply.ask);
    if (found == this->pending.end()) {
        if (reply.outcome != fleet::SlotOutcome::Unkept) {
            this->socket.send(from, PeerMessage::SlotReport,
                              encodeSlotReport(withdrawalOf(this->incarnation, reply.ask)));
        }
        return;
    }
    auto &pending = found->second;
    if (pending.granted) {
        return; // Said twice.
    }
    pending.keeper = from;
    pending.silentSince.reset();
    pending.granted = reply.outcome == fleet::SlotOutcome::Granted;
    if (reply.outcome == fleet::SlotOutcome::Unkept) {
        this->pending.erase(found);
    }
    this->callbacks.onReply(reply);
}

auto SlotKeeping::takeRooms(const std::vector<fleet::SlotRoom> &told, const std::string &from)
    -> void
{
    const auto now = bootClockNow();
    for (const auto &room : told) {
        this->rooms[{room.service, from}] = {room.freeSlots, now};
    }
}

auto SlotKeeping::withdraw(std::uint64_t ask) -> void
{
    this->report(withdrawalOf(this->incarnation, ask));
}

auto SlotKeeping::report(fleet::SlotReport report) -> void
{
    const auto found = this->pending.find(report.ask);
    if (found == this->pending.end()) {
        return;
    }
    const auto keeper = found->second.keeper;
    report.node = this->incarnation;
    if (report.event != fleet::SlotEvent::FirstByte) {
        this->pending.erase(found);
    }
    if (keeper != this->self) {
        this->socket.send(keeper, PeerMessage::SlotReport, encodeSlotReport(report));
        return;
    }
    this->desk.report(report, bootClockNow());
    this->giveOut();
}

auto SlotKeeping::giveOut() -> void
{
    if (this->givingOut) {
        return; // A grant to an own request may end in another report.
    }
    this->givingOut = true;
    for (const auto &[origin, reply] : this->desk.placeWaiting(bootClockNow())) {
        if (origin == this->self) {
            this->takeReply(reply, this->self);
        } else {
            this->socket.send(origin, PeerMessage::SlotReply, encodeSlotReply(reply));
        }
    }
    this->givingOut = false;
}

auto SlotKeeping::chooseKeeper(const std::string &service, Instant now) -> std::string
{
    const auto &servers = this->books.servers.ofService(service);
    if (servers.empty()) {
        return "";
    }
    // A random server's keeper: groups get asks by their size.
    const auto &chosen = servers.at(this->random() % servers.size());
    const auto keeper = this->keepers.find(chosen->number);
    if (keeper == this->keepers.end()) {
        return "";
    }
    const auto until = this->avoided.find(keeper->second);
    return until != this->avoided.end() && now < until->second ? "" : keeper->second;
}

auto SlotKeeping::roomyKeeper(std::uint32_t service, Instant now) -> std::string
{
    std::string best;
    std::uint32_t most = 0;
    for (auto room = this->rooms.lower_bound({service, ""});
         room != this->rooms.end() && room->first.first == service; ++room) {
        if (now - room->second.at < RoomLifetime && room->second.freeSlots > most) {
            most = room->second.freeSlots;
            best = room->first.second;
        }
    }
    if (!best.empty()) {
        --this->rooms[{service, best}].freeSlots;
    }
    return best;
}

auto SlotKeeping::tick(Instant now) -> void
{
    if (this->ticks % AssignTicks == 0) {
        this->assignKeepers(now);
    }
    if (this->ticks % RoomTicks == 0) {
        this->tellRooms();
    }
    if (this->ticks % HoldingTicks == 0) {
        this->tellHoldings(now);
        auto nodes = this->books.members.incarnations(now);
        nodes.insert(this->incarnation);
        this->desk.expire(nodes, now);
    }
    ++this->ticks;
    this->giveOut();
    this->repeatAsks(now);
}

auto SlotKeeping::assignKeepers(Instant now) -> void
{
    std::map<std::string, std::size_t> sizes;
    for (const auto &[id, server] : this->books.servers.all()) {
        ++sizes[server->entry.service];
    }
    std::map<std::uint32_t, std::string> keeperOfGroup;
    std::map<std::uint32_t, std::string> assigned;
    bool changed = false;
    for (const auto &[id, server] : this->books.servers.all()) {
        const auto service = nameId(server->entry.service);
        this->serviceNames[service] = server->entry.service;
        std::size_t groups = 1; // A power of two: it changes seldom as servers come and go.
        while (groups * GroupSize < sizes[server->entry.service]) {
            groups *= 2;
        }
        const auto group = static_cast<std::uint32_t>(
            mix64((static_cast<std::uint64_t>(service) << 32U) ^ (server->number % groups)));
        auto &keeper = keeperOfGroup[group];
        if (keeper.empty()) {
            keeper = this->books.members.keepers(group, 1, now).front();
        }
        const auto before = this->keepers.find(server->number);
        changed = changed || before == this->keepers.end() || before->second != keeper;
        assigned[server->number] = keeper;
        if (server->kept != (keeper == this->self)) {
            server->kept = !server->kept;
            server->peers = {};
        }
    }
    this->keepers = std::move(assigned);
    if (changed) {
        this->tellHoldings(now);
    }
}

auto SlotKeeping::tellHoldings(Instant now) -> void
{
    std::map<std::string, fleet::SlotHoldings> byKeeper;
    for (const auto &slot : this->callbacks.holdings()) {
        const auto keeper = this->keepers.find(slot.server);
        if (keeper == this->keepers.end() || keeper->second == this->self) {
            continue;
        }
        byKeeper[keeper->second].slots.push_back(slot);
        // Its end is to be reported there, whoever granted it.
        auto &pending = this->pending[slot.ask];
        pending.ask.ask = slot.ask;
        pending.keeper = keeper->second;
        pending.sentAt = now;
        pending.granted = true;
    }
    for (auto &[keeper, holdings] : byKeeper) {
        holdings.node = this->incarnation;
        this->socket.send(keeper, PeerMessage::SlotHoldings, encodeSlotHoldings(holdings));
    }
}

auto SlotKeeping::tellRooms() -> void
{
    const auto own = this->desk.room(bootClockNow());
    if (own.empty()) {
        return;
    }
    // Each keeper hears of the services that it keeps servers of as well.
    std::map<std::string, std::set<std::uint32_t>> servicesOf;
    for (const auto &[id, server] : this->books.servers.all()) {
        const auto keeper = this->keepers.find(server->number);
        if (keeper != this->keepers.end() && keeper->second != this->self) {
            servicesOf[keeper->second].insert(nameId(server->entry.service));
        }
    }
    for (const auto &[keeper, services] : servicesOf) {
        std::vector<fleet::SlotRoom> told;
        std::copy_if(own.begin(), own.end(), std::back_inserter(told),
                     [&services = services](const fleet::SlotRoom &room) {
                         return services.contains(room.service);
                     });
        if (!told.empty()) {
            this->socket.send(keeper, PeerMessage::SlotRooms, encodeSlotRooms(told));
        }
    }
}

auto SlotKeeping::repeatAsks(Instant now) -> void
{
    std::vector<std::uint64_t> silent;
    std::vector<fleet::SlotReply> replies;
    for (auto &[number, pending] : this->pending) {
        if (pending.granted) {
            continue;
        }
        const bool first = pending.silentSince == pending.sentAt;
        if (pending.silentSince
            && now - *pending.silentSince > (first ? AnswerPatience : RepeatPatience)) {
            silent.push_back(number);
            continue;
        }
        if (pending.keeper != this->self && !first && now - pending.sentAt > RepeatInterval) {
            if (!pending.silentSince) {
                pending.silentSince = pending.sentAt;
            }
            pending.sentAt = now;
            pending.ask.forwarded = true; // It waits where it is.
            this->socket.send(pending.keeper, PeerMessage::SlotAsk, encodeSlotAsk(pending.ask));
        } else if (pending.keeper == this->self && !pending.silentSince) {
            const auto reply = this->desk.take(pending.ask, pending.service, now);
            if (reply.outcome != fleet::SlotOutcome::Unkept) {
                replies.push_back(reply);
            }
        }
    }
    for (const auto &reply : replies) {
        this->takeReply(reply, this->self);
    }
    for (const auto number : silent) {
        const auto keeper = this->pending.at(number).keeper;
        if (this->avoided[keeper] < now) {
            logEvent("keeper_silent", {{"keeper", keeper}});
        }
        this->avoided[keeper] = now + AvoidFor;
        this->pending.erase(number);
        this->callbacks.onSilent(number);
    }
}

} // namespace banyanring::gateway
