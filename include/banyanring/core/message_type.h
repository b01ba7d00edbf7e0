/** @file message_type.h Messages between nodes. Each is idempotent and may be lost or repeated. */
#pragma once

#include "banyanring/core/ids_type.h"

#include <variant>
#include <vector>

namespace banyanring {

/** How one node stands for one service; sent only when it differs from the default. */
struct ShedThresholds
{
    ServiceId service = 0;
    Tier requested = TierCount; ///< Tiers at or above this number should be shed everywhere.
    Tier enforced = TierCount; ///< Tiers at or above this number are shed at the node.
};

/** What a node states of itself, passed on by others. */
struct Heartbeat
{
    NodeId node = 0;
    Incarnation incarnation = 0;
    std::uint64_t sequence = 0; ///< Grows within an incarnation.
    Revision configRevision = 0; ///< Newest configuration in force there.
    Revision vmListRevision = 0; ///< Newest VM list there; 0 while it states nothing.
    Duration age{}; ///< Age at the sending of the message.
    bool draining = false; ///< The node is stopping.
    std::vector<ShedThresholds> shedThresholds; ///< Only services that differ from the default.
};

/** A backend server died while it ran a request with this fingerprint. */
struct CrashNotice
{
    std::uint64_t noticeId = 0; ///< Chosen by the sender, given back in the acknowledgement.
    std::uint64_t fingerprint = 0; ///< Hash of organisation, path and body.
    ServerId server = 0;
    std::uint64_t crashId = 0; ///< Unique number of the death, by the node that saw it.
};

/** Asks a peer for heartbeats. */
struct GossipPull
{
    std::uint64_t pullId = 0; ///< Given back in the reply, which bounds the reply's age.
    bool starting = false; ///< The asker has just started and knows nothing yet.
};

/** Answers a GossipPull. */
struct GossipReply
{
    std::uint64_t pullId = 0;
    std::vector<Heartbeat> heartbeats;
    std::vector<CrashNotice> crashNotices; ///< All known ones, if the asker is young.
};

/** Names one slot of a backend server. */
struct SlotRef
{
    ServerId server = 0;
    std::uint16_t index = 0;
    auto operator<=>(const SlotRef &) const = default;
};

/** A slot that its holder still counts as another node's. */
struct UnreleasedSlot
{
    SlotRef slot;
    std::uint64_t loanId = 0; ///< Loan under which the other node has it; 0 for an earlier holder.
    Revision transferRevision = 0; ///< List that moved it from an earlier holder.
};

/** A natural holder asks another node which slots are free of that node's requests. */
struct SlotQuery
{
    std::uint64_t queryId = 0; ///< Given back in the reply.
    Revision vmListRevision = 0; ///< The asked node must know this list or a newer one.
    std::vector<UnreleasedSlot> slots;
};

/** Answers a SlotQuery; slots that are not named are still in use or not known. */
struct SlotQueryReply
{
    std::uint64_t queryId = 0;
    Revision vmListRevision = 0;
    std::vector<SlotRef> released;
};

/** Asks for a loan of free slots. */
struct SlotLoanRequest
{
    std::uint64_t loanId = 0; ///< Chosen by the borrower; a repeat is answered alike.
    ServiceId service = 0;
    std::uint16_t count = 0; ///< Most slots wanted.
    Tier tier = 0; ///< Most urgent tier that waits at the borrower.
};

/** Answers a SlotLoanAsk; no slots is a refusal. */
struct SlotLoanReply
{
    std::uint64_t loanId = 0;
    ServiceId service = 0;
    Duration duration{}; ///< Dispatches may start this long after the ask was sent.
    std::vector<SlotRef> slots;
};

/** Gives lent slots back, none of which the borrower uses or will use under that loan. */
struct SlotReturn
{
    std::uint64_t loanId = 0;
    std::vector<SlotRef> slots;
};

/** Asks for a loan of tokens. */
struct TokenLoanRequest
{
    std::uint64_t loanId = 0; ///< Chosen by the borrower; a repeat is answered alike.
    OrganisationId organisation = 0;
    double amount = 0; ///< Tokens that the request needs.
};

/** Answers a TokenLoanAsk; an amount of zero is a refusal. */
struct TokenLoanReply
{
    std::uint64_t loanId = 0;
    OrganisationId organisation = 0;
    double amount = 0;
    Duration duration{}; ///< May be spent this long after the ask was sent.
};

/** Acknowledges a CrashNotice. */
struct CrashNoticeAck
{
    std::uint64_t noticeId = 0;
};

using PeerMessage = std::variant<GossipPull, GossipReply, SlotQuery, SlotQueryReply, SlotLoanRequest,
                                 SlotLoanReply, SlotReturn, TokenLoanRequest, TokenLoanReply, CrashNotice,
                                 CrashNoticeAck>; ///< All messages; the index is the wire number.

} // namespace banyanring
