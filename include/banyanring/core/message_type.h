/** @file message_type.h Idempotent messages between nodes; they may be lost or duplicated. */
#pragma once

#include "banyanring/core/ids_type.h"

#include <variant>
#include <vector>

namespace banyanring {

/** Load shedding state of a node for one service; sent only if it differs from the default. */
struct ShedThresholds
{
    ServiceId service = 0;
    Tier requested = TierCount; ///< The node requests that all nodes shed tiers >= this.
    Tier enforced = TierCount; ///< The node itself sheds tiers >= this.
};

/** Status of a node, sent by itself and relayed by others. */
struct Heartbeat
{
    NodeId node = 0;
    Incarnation incarnation = 0;
    std::uint64_t sequence = 0; ///< Increases within an incarnation.
    Revision configRevision = 0; ///< Revision of the configuration in force at the node.
    Revision vmListRevision = 0; ///< Newest VM list at the node; 0 while it may not vote.
    Duration age{}; ///< Age of this heartbeat when the message is sent.
    bool draining = false; ///< The node is shutting down.
    std::vector<ShedThresholds> shedThresholds; ///< Only services that differ from the default.
};

/** A backend server crashed while it ran a request with this fingerprint. */
struct CrashNotice
{
    std::uint64_t noticeId = 0; ///< Chosen by the sender and echoed in the acknowledgement.
    std::uint64_t fingerprint = 0; ///< Hash of organisation, path and body.
    ServerId server = 0;
    std::uint64_t crashId = 0; ///< Unique id of the crash, assigned by the node that observed it.
};

/** Requests heartbeats from a peer. */
struct GossipPull
{
    std::uint64_t pullId = 0; ///< Echoed in the reply, which bounds the reply's age.
    bool starting = false; ///< The sender may not vote yet and needs all crash notices.
};

/** Reply to a GossipPull. */
struct GossipReply
{
    std::uint64_t pullId = 0;
    std::vector<Heartbeat> heartbeats;
    std::vector<CrashNotice> crashNotices; ///< Recent ones, or all for a starting node.
};

/** Identifies a slot of a backend server. */
struct SlotRef
{
    ServerId server = 0;
    std::uint16_t index = 0;
    auto operator<=>(const SlotRef &) const = default;
};

/** A slot that its owner still counts as in use by another node. */
struct UnreleasedSlot
{
    SlotRef slot;
    std::uint64_t loanId = 0; ///< Loan of the other node; 0 if that node is the previous owner.
    Revision transferRevision = 0; ///< VM list revision that transferred the slot.
};

/** Queries a previous owner or a borrower for the slots that it no longer uses. */
struct SlotQuery
{
    std::uint64_t queryId = 0; ///< Echoed in the reply.
    Revision vmListRevision = 0; ///< A receiver with an older VM list releases nothing.
    std::vector<UnreleasedSlot> slots;
};

/** Reply to a SlotQuery; slots that are not listed are in use or unknown to the sender. */
struct SlotQueryReply
{
    std::uint64_t queryId = 0;
    Revision vmListRevision = 0;
    std::vector<SlotRef> released;
};

/** Requests a loan (a time-limited lease) of free slots. */
struct SlotLoanRequest
{
    std::uint64_t loanId = 0; ///< Chosen by the borrower; a duplicate request gets the same reply.
    ServiceId service = 0;
    std::uint16_t count = 0; ///< Maximum number of slots.
    Tier tier = 0; ///< Most urgent tier waiting at the borrower.
};

/** Reply to a SlotLoanRequest; without slots it is a rejection. */
struct SlotLoanReply
{
    std::uint64_t loanId = 0;
    ServiceId service = 0;
    Duration duration{}; ///< Dispatches may start for this long after the request was sent.
    std::vector<SlotRef> slots;
};

/** Returns slots of a loan that the borrower does not use and will not use under that loan. */
struct SlotReturn
{
    std::uint64_t loanId = 0;
    std::vector<SlotRef> slots;
};

/** Requests a loan (a time-limited lease) of tokens. */
struct TokenLoanRequest
{
    std::uint64_t loanId = 0; ///< Chosen by the borrower; a duplicate request gets the same reply.
    OrganisationId organisation = 0;
    double amount = 0; ///< Tokens that the borrower's request still needs.
};

/** Reply to a TokenLoanRequest; an amount of zero is a rejection. */
struct TokenLoanReply
{
    std::uint64_t loanId = 0;
    OrganisationId organisation = 0;
    double amount = 0;
    Duration duration{}; ///< The tokens may be spent for this long after the request was sent.
};

/** Acknowledges a CrashNotice. */
struct CrashNoticeAck
{
    std::uint64_t noticeId = 0;
};

/** All messages; the index is the kind of the message on the wire. */
using PeerMessage =
    std::variant<GossipPull, GossipReply, SlotQuery, SlotQueryReply, SlotLoanRequest, SlotLoanReply,
                 SlotReturn, TokenLoanRequest, TokenLoanReply, CrashNotice, CrashNoticeAck>;

} // namespace banyanring
