/** @file slot_loans.cpp Slots of backend servers: release queries, loans and returns. */
#include "banyanring/core/slot_pool_base.h"

#include <algorithm>

namespace banyanring {

namespace {

constexpr std::size_t MaxQuerySlots = 128; ///< Maximum slots in one query.
/** A borrowed slot that is idle for this long is returned. */
constexpr Duration IdleTimeout = std::chrono::seconds(1);
constexpr std::uint64_t MaxOpenQueries = 10000; ///< Maximum number of open queries stored.

} // namespace

auto SlotPool::makeQueries(Revision vmListRevision, Instant now)
    -> std::vector<std::pair<NodeId, SlotQuery>>
{
    std::map<NodeId, SlotQuery> byNode;
    for (const auto &[ref, slot] : this->slots) {
        NodeId node = 0;
        UnreleasedSlot unreleased{ref, 0, slot.ownedSince};
        if (const auto *lent = std::get_if<Lent>(&slot.state)) {
            node = now >= lent->dispatchableUntil ? lent->borrower : 0;
            unreleased.loanId = lent->loanId;
        } else if (std::holds_alternative<AwaitingTakeover>(slot.state)
                   || std::holds_alternative<Quarantined>(slot.state)) {
            node = slot.previousOwner;
        }
        if (node == 0 || node == this->self) {
            continue;
        }
        auto &queriedSlots = byNode[node].slots;
        if (queriedSlots.size() < MaxQuerySlots) {
            queriedSlots.push_back(unreleased);
        }
    }
    std::vector<std::pair<NodeId, SlotQuery>> result;
    for (auto &[node, query] : byNode) {
        query.queryId = this->nextQueryId++;
        query.vmListRevision = vmListRevision;
        this->openQueries[query.queryId] = node;
        result.emplace_back(node, std::move(query));
    }
    while (this->openQueries.size() > MaxOpenQueries) {
        this->openQueries.erase(this->openQueries.begin());
    }
    return result;
}

auto SlotPool::isReleased(const UnreleasedSlot &unreleased, Instant now) const -> bool
{
    const auto borrowed = this->borrowedSlots.find(unreleased.slot);
    if (unreleased.loanId == 0) {
        const auto vacated = this->vacatedSlots.find(unreleased.slot);
        return vacated != this->vacatedSlots.end() && vacated->second == unreleased.transferRevision
               && !this->slots.contains(unreleased.slot) && borrowed == this->borrowedSlots.end();
    }
    if (unreleased.loanId >> 32U != this->loanIdPrefix) {
        return false; // Borrowed by an earlier incarnation, whose request may still run.
    }
    const auto request = this->openLoanRequests.find(unreleased.loanId);
    const bool mayStillArrive = request != this->openLoanRequests.end()
                                && now - request->second.sentAt < this->settings.slotLoanDuration;
    const bool inUse =
        borrowed != this->borrowedSlots.end() && borrowed->second.loanId == unreleased.loanId;
    return !mayStillArrive && !inUse;
}

auto SlotPool::answerQuery(const SlotQuery &query, Revision vmListRevision, Instant now) const
    -> SlotQueryReply
{
    SlotQueryReply reply{query.queryId, vmListRevision, {}};
    if (vmListRevision < query.vmListRevision) {
        return reply;
    }
    for (const auto &unreleased : query.slots) {
        if (this->isReleased(unreleased, now)) {
            reply.released.push_back(unreleased.slot);
        }
    }
    return reply;
}

auto SlotPool::handleQueryReply(NodeId from, const SlotQueryReply &reply) -> void
{
    const auto openQuery = this->openQueries.find(reply.queryId);
    if (openQuery == this->openQueries.end() || openQuery->second != from) {
        return;
    }
    this->openQueries.erase(openQuery);
    for (const auto ref : reply.released) {
        const auto found = this->slots.find(ref);
        if (found == this->slots.end() || reply.queryId < found->second.firstValidQueryId) {
            continue;
        }
        auto &slot = found->second;
        if (const auto *lent = std::get_if<Lent>(&slot.state)) {
            if (lent->borrower == from) {
                this->vacate(ref, slot);
            }
            continue;
        }
        const bool notTakenOver = std::holds_alternative<AwaitingTakeover>(slot.state)
                                  || std::holds_alternative<Quarantined>(slot.state);
        if (notTakenOver && slot.previousOwner == from && reply.vmListRevision >= slot.ownedSince) {
            this->changeState(ref, slot, Free{});
        }
    }
}

auto SlotPool::makeLoanRequest(ServiceId service, std::uint16_t count, Tier tier, Instant now)
    -> SlotLoanRequest
{
    const auto loanId = std::uint64_t{this->loanIdPrefix} << 32U | ++this->lastLoanNumber;
    this->openLoanRequests[loanId] = {now, false};
    return {loanId, service, count, tier};
}

auto SlotPool::lend(NodeId from, const SlotLoanRequest &request, std::size_t reserve,
                    const ScoreFunction &score, const Membership &membership, Instant now)
    -> SlotLoanReply
{
    SlotLoanReply reply{request.loanId, request.service, this->settings.slotLoanDuration, {}};
    const auto owned = this->ownedByService.find(request.service);
    const auto leaseRevision = membership.leaseRevision(now);
    if (owned == this->ownedByService.end() || !leaseRevision) {
        return reply;
    }
    std::vector<SlotRef> free;
    for (const auto ref : owned->second) {
        const auto &slot = this->slots.at(ref);
        const auto *lent = std::get_if<Lent>(&slot.state);
        if (lent != nullptr && lent->borrower == from && lent->loanId == request.loanId) {
            reply.slots.push_back(ref); // The request is a duplicate.
        }
        if (std::holds_alternative<Free>(slot.state) && *leaseRevision >= slot.ownedSince
            && score(ref)) {
            free.push_back(ref);
        }
    }
    if (!reply.slots.empty() || free.size() <= reserve) {
        return reply;
    }
    const auto count = std::min<std::size_t>(request.count, free.size() - reserve);
    // The lender's expiry is 5 % later than the borrower's, as clock rates of nodes differ.
    const auto dispatchableUntil = now + this->settings.slotLoanDuration * 21 / 20;
    for (std::size_t index = 0; index < count; ++index) {
        auto &slot = this->slots.at(free[index]);
        const auto reclaimAt = dispatchableUntil + this->maxRunTime(slot.service) * 21 / 20;
        this->changeState(free[index], slot,
                          Lent{from, request.loanId, dispatchableUntil, reclaimAt});
        reply.slots.push_back(free[index]);
    }
    return reply;
}

auto SlotPool::acceptLoan(NodeId from, const SlotLoanReply &loan, Instant now)
    -> std::optional<SlotReturn>
{
    const auto request = this->openLoanRequests.find(loan.loanId);
    const bool late =
        request == this->openLoanRequests.end() || now - request->second.sentAt >= loan.duration;
    if (!late && request->second.replied) {
        return std::nullopt;
    }
    if (!late) {
        request->second.replied = true;
    }
    SlotReturn rejected{loan.loanId, {}};
    for (const auto ref : loan.slots) {
        const auto existing = this->borrowedSlots.find(ref);
        if (existing != this->borrowedSlots.end() && existing->second.loanId == loan.loanId) {
            continue; // A duplicate reply for a loan that is in use.
        }
        if (late || existing != this->borrowedSlots.end() || this->slots.contains(ref)) {
            rejected.slots.push_back(ref);
            continue;
        }
        this->vacatedSlots.erase(ref);
        this->borrowedSlots[ref] = {from,         loan.loanId,
                                    loan.service, request->second.sentAt + loan.duration,
                                    now,          std::nullopt};
    }
    return rejected.slots.empty() ? std::nullopt : std::optional(rejected);
}

auto SlotPool::handleReturn(NodeId from, const SlotReturn &message) -> void
{
    for (const auto ref : message.slots) {
        const auto slot = this->slots.find(ref);
        if (slot == this->slots.end()) {
            continue;
        }
        const auto *lent = std::get_if<Lent>(&slot->second.state);
        if (lent != nullptr && lent->borrower == from && lent->loanId == message.loanId) {
            this->vacate(ref, slot->second);
        }
    }
}

auto SlotPool::returnIdleSlots(Instant now) -> std::vector<std::pair<NodeId, SlotReturn>>
{
    std::map<std::pair<NodeId, std::uint64_t>, SlotReturn> returns;
    for (auto slot = this->borrowedSlots.begin(); slot != this->borrowedSlots.end();) {
        const auto &state = slot->second;
        const bool expired = now >= state.validUntil || now - state.idleSince >= IdleTimeout;
        if (state.dispatch || !expired) {
            ++slot;
            continue;
        }
        auto &message = returns[{state.lender, state.loanId}];
        message.loanId = state.loanId;
        message.slots.push_back(slot->first);
        slot = this->borrowedSlots.erase(slot);
    }
    std::vector<std::pair<NodeId, SlotReturn>> result;
    result.reserve(returns.size());
    for (auto &[key, message] : returns) {
        result.emplace_back(key.first, std::move(message));
    }
    return result;
}

} // namespace banyanring
