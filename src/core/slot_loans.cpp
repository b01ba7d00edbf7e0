/** @file slot_loans.cpp Slots of backend servers: questions to earlier holders, loans and returns.
 */
#include "banyanring/core/slot_rights_base.h"

#include <algorithm>

namespace banyanring {

namespace {

constexpr std::size_t MaxQuerySlots = 128; ///< Slots named in one question.
constexpr Duration IdleLimit =
    std::chrono::seconds(1); ///< A borrowed slot idle this long goes back.
constexpr std::uint64_t QueryWindow = 10000; ///< Open questions remembered.

} // namespace

auto SlotRights::queries(Revision list, Instant now) -> std::vector<std::pair<NodeId, SlotQuery>>
{
    std::map<NodeId, SlotQuery> byNode;
    for (const auto &[ref, slot] : this->slots) {
        NodeId node = 0;
        CountedSlot counted{ref, 0, slot.heldSince};
        if (const auto *lent = std::get_if<Lent>(&slot.state)) {
            node = now >= lent->until ? lent->borrower : 0;
            counted.loan = lent->loan;
        } else if (std::holds_alternative<Awaiting>(slot.state)
                   || std::holds_alternative<Quarantined>(slot.state)) {
            node = slot.earlierHolder;
        }
        if (node == 0 || node == this->self) {
            continue;
        }
        auto &wanted = byNode[node].slots;
        if (wanted.size() < MaxQuerySlots) {
            wanted.push_back(counted);
        }
    }
    std::vector<std::pair<NodeId, SlotQuery>> result;
    for (auto &[node, query] : byNode) {
        query.token = this->nextQuery++;
        query.listRevision = list;
        this->openQueries[query.token] = node;
        result.emplace_back(node, std::move(query));
    }
    while (this->openQueries.size() > QueryWindow) {
        this->openQueries.erase(this->openQueries.begin());
    }
    return result;
}

auto SlotRights::released(const CountedSlot &counted, Instant now) const -> bool
{
    const auto used = this->borrowed.find(counted.slot);
    if (counted.loan == 0) {
        const auto cleared = this->cleared.find(counted.slot);
        return cleared != this->cleared.end() && cleared->second == counted.since
               && !this->slots.contains(counted.slot) && used == this->borrowed.end();
    }
    if (counted.loan >> 32U != this->loanBase) {
        return false; // An earlier incarnation borrowed it, and its request may still run.
    }
    const auto ask = this->asks.find(counted.loan);
    const bool mayArrive =
        ask != this->asks.end() && now - ask->second.sentAt < this->settings.slotLoan;
    const bool inUse = used != this->borrowed.end() && used->second.loan == counted.loan;
    return !mayArrive && !inUse;
}

auto SlotRights::answer(const SlotQuery &query, Revision list, Instant now) const -> SlotQueryReply
{
    SlotQueryReply reply{query.token, list, {}};
    if (list < query.listRevision) {
        return reply;
    }
    for (const auto &counted : query.slots) {
        if (this->released(counted, now)) {
            reply.released.push_back(counted.slot);
        }
    }
    return reply;
}

auto SlotRights::takeReply(NodeId from, const SlotQueryReply &reply) -> void
{
    const auto open = this->openQueries.find(reply.token);
    if (open == this->openQueries.end() || open->second != from) {
        return;
    }
    this->openQueries.erase(open);
    for (const auto ref : reply.released) {
        const auto found = this->slots.find(ref);
        if (found == this->slots.end() || reply.token < found->second.stateQuery) {
            continue;
        }
        auto &slot = found->second;
        if (const auto *lent = std::get_if<Lent>(&slot.state)) {
            if (lent->borrower == from) {
                this->clear(ref, slot);
            }
            continue;
        }
        const bool waits = std::holds_alternative<Awaiting>(slot.state)
                           || std::holds_alternative<Quarantined>(slot.state);
        if (waits && slot.earlierHolder == from && reply.listRevision >= slot.heldSince) {
            this->changeState(ref, slot, Free{});
        }
    }
}

auto SlotRights::ask(ServiceId service, std::uint16_t count, Tier tier, Instant now) -> SlotLoanAsk
{
    const auto loan = std::uint64_t{this->loanBase} << 32U | ++this->loanCount;
    this->asks[loan] = {now, false};
    return {loan, service, count, tier};
}

auto SlotRights::lend(NodeId from, const SlotLoanAsk &ask, std::size_t keep, const Score &score,
                      const Membership &members, Instant now) -> SlotLoan
{
    SlotLoan loan{ask.loan, ask.service, this->settings.slotLoan, {}};
    const auto held = this->byService.find(ask.service);
    const auto anchor = members.anchor(now);
    if (held == this->byService.end() || !anchor) {
        return loan;
    }
    std::vector<SlotRef> free;
    for (const auto ref : held->second) {
        const auto &slot = this->slots.at(ref);
        const auto *lent = std::get_if<Lent>(&slot.state);
        if (lent != nullptr && lent->borrower == from && lent->loan == ask.loan) {
            loan.slots.push_back(ref); // The ask is a repeat.
        }
        if (std::holds_alternative<Free>(slot.state) && *anchor >= slot.heldSince && score(ref)) {
            free.push_back(ref);
        }
    }
    if (!loan.slots.empty() || free.size() <= keep) {
        return loan;
    }
    const auto count = std::min<std::size_t>(ask.count, free.size() - keep);
    // The lender counts the loan for longer than the borrower may use it, for unlike clock rates.
    const auto until = now + this->settings.slotLoan * 21 / 20;
    for (std::size_t index = 0; index < count; ++index) {
        auto &slot = this->slots.at(free[index]);
        const auto forgetAt = until + this->longestRun(slot.service) * 21 / 20;
        this->changeState(free[index], slot, Lent{from, ask.loan, until, forgetAt});
        loan.slots.push_back(free[index]);
    }
    return loan;
}

auto SlotRights::takeLoan(NodeId from, const SlotLoan &loan, Instant now)
    -> std::optional<SlotReturn>
{
    const auto ask = this->asks.find(loan.loan);
    const bool late = ask == this->asks.end() || now - ask->second.sentAt >= loan.length;
    if (!late && ask->second.answered) {
        return std::nullopt;
    }
    if (!late) {
        ask->second.answered = true;
    }
    SlotReturn unused{loan.loan, {}};
    for (const auto ref : loan.slots) {
        const auto old = this->borrowed.find(ref);
        if (old != this->borrowed.end() && old->second.loan == loan.loan) {
            continue; // A repeat of a loan in use.
        }
        if (late || old != this->borrowed.end() || this->slots.contains(ref)) {
            unused.slots.push_back(ref);
            continue;
        }
        this->cleared.erase(ref);
        this->borrowed[ref] = {from, loan.loan,   loan.service, ask->second.sentAt + loan.length,
                               now,  std::nullopt};
    }
    return unused.slots.empty() ? std::nullopt : std::optional(unused);
}

auto SlotRights::takeReturn(NodeId from, const SlotReturn &message) -> void
{
    for (const auto ref : message.slots) {
        const auto slot = this->slots.find(ref);
        if (slot == this->slots.end()) {
            continue;
        }
        const auto *lent = std::get_if<Lent>(&slot->second.state);
        if (lent != nullptr && lent->borrower == from && lent->loan == message.loan) {
            this->clear(ref, slot->second);
        }
    }
}

auto SlotRights::idleReturns(Instant now) -> std::vector<std::pair<NodeId, SlotReturn>>
{
    std::map<std::pair<NodeId, std::uint64_t>, SlotReturn> returns;
    for (auto slot = this->borrowed.begin(); slot != this->borrowed.end();) {
        const auto &state = slot->second;
        const bool over = now >= state.until || now - state.idleSince >= IdleLimit;
        if (state.dispatch || !over) {
            ++slot;
            continue;
        }
        auto &message = returns[{state.lender, state.loan}];
        message.loan = state.loan;
        message.slots.push_back(slot->first);
        slot = this->borrowed.erase(slot);
    }
    std::vector<std::pair<NodeId, SlotReturn>> result;
    result.reserve(returns.size());
    for (auto &[key, message] : returns) {
        result.emplace_back(key.first, std::move(message));
    }
    return result;
}

} // namespace banyanring
