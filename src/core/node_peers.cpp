/** @file node_peers.cpp The decision core: messages from peers. */
#include "banyanring/core/node_base.h"

namespace banyanring {

namespace {

constexpr int CrashGossipTimeouts = 3; ///< A crash is gossiped for this many peer timeouts.

} // namespace

auto Node::send(NodeId to, PeerMessage message) -> void
{
    this->emit(SendPeerMessage{to, std::move(message)});
}

auto Node::on(const PeerMessageReceived &event) -> void
{
    if (event.from == this->self || event.from == 0) {
        return;
    }
    std::visit([&](const auto &concreteMessage) { this->on(event.from, concreteMessage); },
               event.message);
}

auto Node::on(NodeId from, const GossipPull &message) -> void
{
    auto reply = this->membership.answerPull(from, message, this->random, this->now);
    reply.crashNotices = this->crashSuspects.notices(
        message.starting ? Instant{}
                         : this->now - this->settings.peerTimeout * CrashGossipTimeouts);
    this->send(from, std::move(reply));
}

auto Node::on(NodeId, const GossipReply &message) -> void
{
    this->membership.handleReply(message, this->now);
    for (const auto &notice : message.crashNotices) {
        this->recordCrash(notice);
    }
}

auto Node::on(NodeId from, const SlotQuery &message) -> void
{
    const auto revision = this->membership.vmList() ? this->membership.vmList()->revision : 0;
    this->send(from, this->slotPool.answerQuery(message, revision, this->now));
}

auto Node::on(NodeId from, const SlotQueryReply &message) -> void
{
    this->slotPool.handleQueryReply(from, message);
}

auto Node::on(NodeId from, const SlotReturn &message) -> void
{
    this->slotPool.handleReturn(from, message);
}

auto Node::on(NodeId from, const TokenLoanRequest &message) -> void
{
    this->send(from, this->tokenPool.lend(from, message, this->membership, this->now));
}

auto Node::on(NodeId, const TokenLoanReply &message) -> void
{
    const auto request = this->callsByTokenLoan.find(message.loanId);
    if (request == this->callsByTokenLoan.end()) {
        return; // Too late or a duplicate; at the lender the loan expires by itself.
    }
    auto &call = this->calls.at(request->second);
    this->callsByTokenLoan.erase(request);
    const auto requestedAt = std::get<BorrowingTokens>(call.state).requestedAt;
    if (message.amount > 0 && this->now < requestedAt + message.duration) {
        call.reservation.portions.push_back(
            {0, message.loanId, message.amount, requestedAt + message.duration});
    }
    if (call.reservation.total() >= this->tokenCost(call) - 1e-6) {
        this->logDecision(call.request.requestId, Step::TokensHeld, "borrowed");
        this->enqueue(call);
        return;
    }
    this->requestNextTokenLoan(call);
}

} // namespace banyanring
