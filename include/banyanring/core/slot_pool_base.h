/** @file slot_rights_base.h The slots of backend servers: natural holders, hand-over and loans. */
#pragma once

#include "banyanring/core/event_type.h"
#include "banyanring/core/membership_base.h"
#include "banyanring/core/owner_map.h"
#include "banyanring/core/server_health_base.h"

#include <functional>
#include <map>
#include <set>
#include <variant>

namespace banyanring {

/** A slot that was chosen for a dispatch. */
struct SlotChoice
{
    SlotRef slot;
    std::uint64_t loanId = 0; ///< Loan under which it is borrowed; 0 for an own slot.
    Instant validUntil{}; ///< The dispatch must have begun by then.
};

/** Keeps the slots that this node holds, lends and borrows. Each slot runs one request at a time.
 */
class SlotPool
{
public:
    /** Rates a free slot's server; smaller is better; nothing for "not now". */
    using ScoreFunction = std::function<std::optional<double>(SlotRef)>;

    /**
     * @param nodeSettings Tunable values; must outlive this object.
     * @param self This node.
     * @param loanBase Random number of this incarnation; the upper half of its loans' numbers.
     */
    SlotPool(const NodeSettings &nodeSettings, NodeId self, std::uint32_t loanIdPrefix);

    /**
     * Takes a configuration: slots are added and removed.
     * @param config The configuration.
     * @param list Revision of the VM list in force; 0 without one.
     */
    auto applyConfig(const ConfigPtr &config, Revision vmListRevision) -> void;

    /**
     * Takes the nodes of a new VM list.
     * @param nodes Sorted live nodes.
     * @param list Its revision.
     * @param allMoved Whether every slot must be begun anew (a revision was missed).
     * @param askEarlier Whether the earlier holders' word may free slots.
     */
    auto applyNodes(const std::vector<NodeId> &nodes, Revision vmListRevision, bool resetAll, bool queryPreviousOwners)
        -> void;

    /**
     * Advances slots whose waiting time is over.
     * @param members Says which rights have settled.
     * @param now The present.
     */
    auto tick(const Membership &membership, Instant now) -> void;

    /**
     * Chooses a free slot of a service: the best of a bounded number of usable ones.
     * @param service The service.
     * @param score Rates each candidate.
     * @param members Says which rights may be used.
     * @param now The present.
     * @return The choice; nothing if there is none.
     */
    auto chooseSlot(ServiceId service, const ScoreFunction &score, const Membership &membership, Instant now) const
        -> std::optional<SlotChoice>;

    /**
     * Begins a dispatch.
     * @param choice A free slot.
     * @param dispatch The dispatch.
     */
    auto beginDispatch(const SlotChoice &choice, DispatchId dispatch) -> void;

    /**
     * Ends a dispatch.
     * @param choice Its slot.
     * @return Lender and message if the slot was borrowed and its loan is used up.
     * @param now The present.
     */
    auto endDispatch(const SlotChoice &choice, Instant now) -> std::optional<std::pair<NodeId, SlotReturn>>;

    /**
     * Frees quarantined slots that a load report shows idle.
     * @param report The report.
     * @param now The present.
     */
    auto applyReport(const LoadReport &report, Instant now) -> void;

    /**
     * Asks earlier holders and borrowers for slots that are still counted as theirs.
     * @param list Revision of the VM list in force.
     * @param now The present.
     * @return Messages by node.
     */
    auto makeQueries(Revision vmListRevision, Instant now) -> std::vector<std::pair<NodeId, SlotQuery>>;

    /**
     * Answers such a question.
     * @param query The question.
     * @param list Revision of the VM list in force here.
     * @param now The present.
     * @return The reply.
     */
    auto answerQuery(const SlotQuery &query, Revision vmListRevision, Instant now) const -> SlotQueryReply;

    /**
     * Takes the reply of an earlier holder or borrower.
     * @param from The peer.
     * @param reply Its message.
     */
    auto handleQueryReply(NodeId from, const SlotQueryReply &reply) -> void;

    /**
     * Prepares a request for a loan.
     * @param service The service.
     * @param count Slots wanted.
     * @param tier Most urgent tier that waits.
     * @param now The present.
     * @return The message.
     */
    auto makeLoanRequest(ServiceId service, std::uint16_t count, Tier tier, Instant now) -> SlotLoanRequest;

    /**
     * Lends free slots.
     * @param from The borrower.
     * @param ask Its message.
     * @param keep Free slots to keep back.
     * @param score Rates candidates as for choose().
     * @param members Says which rights may be used.
     * @param now The present.
     * @return The loan; no slots is a refusal.
     */
    auto lend(NodeId from, const SlotLoanRequest &request, std::size_t reserve, const ScoreFunction &score,
              const Membership &membership, Instant now) -> SlotLoanReply;

    /**
     * Takes a loan.
     * @param from The lender.
     * @param loan Its message.
     * @param now The present.
     * @return A return of the slots if the loan comes too late or was not asked for.
     */
    auto acceptLoan(NodeId from, const SlotLoanReply &loan, Instant now) -> std::optional<SlotReturn>;

    /**
     * Takes lent slots back.
     * @param from The borrower.
     * @param message Its message.
     */
    auto handleReturn(NodeId from, const SlotReturn &message) -> void;

    /**
     * Gives back borrowed slots that are idle.
     * @param now The present.
     * @return Messages by lender.
     */
    auto returnIdleSlots(Instant now) -> std::vector<std::pair<NodeId, SlotReturn>>;

    /**
     * Counts slots of a service, own and borrowed.
     * @param service The service.
     * @return The count.
     */
    auto slotCount(ServiceId service) const -> std::size_t;

    /**
     * Lists the other nodes that are natural holders of a service's slots.
     * @param service The service.
     * @return The nodes.
     */
    auto otherOwners(ServiceId service) const -> const std::vector<NodeId> &;

    /** @return Servers of which this node holds or borrows a slot. */
    auto servers() const -> std::set<ServerId>;

    /** Numbers of own slots by state, for the dump. */
    struct Counts
    {
        std::size_t awaiting = 0;
        std::size_t quarantined = 0;
        std::size_t free = 0;
        std::size_t running = 0;
        std::size_t lent = 0;
        std::size_t borrowed = 0;
    };

    /** @return Numbers of slots by state. */
    auto counts() const -> Counts;

private:
    /** Waits until the rule of membership lets this node begin. */
    struct AwaitingTakeover
    {
    };
    /** An earlier holder's request may still run there. */
    struct Quarantined
    {
        Instant since{};
        Instant until{};
    };
    /** May be used. */
    struct Free
    {
    };
    /** Runs a request. */
    struct Running
    {
        DispatchId dispatch = 0;
    };
    /** A peer may use it. */
    struct Lent
    {
        NodeId borrower = 0;
        std::uint64_t loanId = 0;
        Instant dispatchableUntil{}; ///< The borrower dispatches nothing later.
        Instant reclaimAt{}; ///< A request of the borrower has ended by then.
    };
    using SlotState = std::variant<AwaitingTakeover, Quarantined, Free, Running, Lent>;

    /** A slot held here, or one that moved away with a request or loan on it. */
    struct Slot
    {
        ServiceId service = 0;
        Revision ownedSince = 0;
        NodeId previousOwner = 0;
        Revision lostAtRevision = 0; ///< List that moved it away.
        bool owned = true; ///< False once it moved away.
        SlotState state = AwaitingTakeover{};
        bool needsTakeover = false; ///< It moved away and back under its request or loan.
        std::size_t freeListIndex = 0; ///< Place in the list of free slots, while free.
        std::uint64_t firstValidQueryId = 0; ///< Queries with a smaller token say nothing of this state.
    };

    /** Adjoining slots of a server that have the same natural holder. */
    struct Block
    {
        ServerId server = 0;
        std::uint16_t firstSlot = 0; ///< Least index.
        std::uint16_t endSlot = 0; ///< Above the greatest index.
        ServiceId service = 0;
        auto operator==(const Block &) const -> bool = default;
    };

    /** A slot that a peer lent to this node. */
    struct BorrowedSlot
    {
        NodeId lender = 0;
        std::uint64_t loanId = 0;
        ServiceId service = 0;
        Instant validUntil{};
        Instant idleSince{};
        std::optional<DispatchId> dispatch;
    };

    /** An open request for a loan. */
    struct OpenLoanRequest
    {
        Instant sentAt{};
        bool answered = false;
    };

    auto isReleased(const UnreleasedSlot &unreleased, Instant now) const -> bool;
    auto changeState(SlotRef ref, Slot &slot, SlotState state) -> void;
    auto removeFromFreeList(const Slot &slot) -> void;
    auto gainOwnership(SlotRef ref, Revision vmListRevision, NodeId from) -> void;
    auto loseOwnership(SlotRef ref, Revision vmListRevision) -> void;
    auto vacate(SlotRef ref, Slot &slot) -> void;
    auto maxRunTime(ServiceId service) const -> Duration;
    auto makeBlocks(const Config &newConfig) const -> std::vector<Block>;
    auto rebuildIndex() -> void;

    const NodeSettings &settings;
    NodeId self;
    std::uint32_t loanIdPrefix;
    std::uint32_t lastLoanNumber = 0;
    ConfigPtr config;
    std::vector<Block> blocks; ///< All blocks of the fleet, by key index.
    OwnerMap ownerMap;
    std::map<SlotRef, Slot> slots;
    std::unordered_map<ServiceId, std::vector<SlotRef>> freeSlotsByService;
    std::unordered_map<ServiceId, std::vector<NodeId>> otherOwnersByService;
    std::map<SlotRef, BorrowedSlot> borrowedSlots;
    std::unordered_map<ServiceId, std::vector<SlotRef>> ownedByService; ///< Held slots.
    /** Slots that moved away, free of this node's requests and those before, by the list. */
    std::map<SlotRef, Revision> vacatedSlots;
    std::map<std::uint64_t, OpenLoanRequest> openLoanRequests;
    std::map<std::uint64_t, NodeId> openQueries;
    std::uint64_t nextQueryId = 1;
};

} // namespace banyanring
