/** @file slot_pool_base.h Slots of backend servers: ownership, takeover and loans. */
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

/** A slot chosen for a dispatch. */
struct SlotChoice
{
    SlotRef slot;
    std::uint64_t loanId = 0; ///< Loan of a borrowed slot; 0 for an own slot.
    Instant validUntil{}; ///< The dispatch must start before this.
};

/** The slots that this node owns, lends and borrows. Each slot runs one request at a time. */
class SlotPool
{
public:
    /** Scores a free slot; lower is better; nothing if the slot is not usable now. */
    using ScoreFunction = std::function<std::optional<double>(SlotRef)>;

    /**
     * @param nodeSettings Tunable values; must outlive this object.
     * @param self This node.
     * @param loanIdPrefix Random number of this incarnation; the upper half of its loan ids.
     */
    SlotPool(const NodeSettings &nodeSettings, NodeId self, std::uint32_t loanIdPrefix);

    /**
     * Applies a configuration: slots are added and removed.
     * @param config The configuration.
     * @param vmListRevision Revision of the VM list in force; 0 without one.
     */
    auto applyConfig(const ConfigPtr &config, Revision vmListRevision) -> void;

    /**
     * Applies the nodes of a new VM list.
     * @param nodes Sorted active nodes.
     * @param vmListRevision Its revision.
     * @param resetAll Whether to take over every slot again, as a revision was skipped.
     * @param queryPreviousOwners Whether replies of the previous owners may free slots.
     */
    auto applyNodes(const std::vector<NodeId> &nodes, Revision vmListRevision, bool resetAll,
                    bool queryPreviousOwners) -> void;

    /**
     * Advances slots whose waiting time has ended.
     * @param membership Provides the takeover revision.
     * @param now Current time.
     */
    auto tick(const Membership &membership, Instant now) -> void;

    /**
     * Chooses a free slot of a service: the best of a limited number of usable ones.
     * @param service The service.
     * @param score Scores each candidate.
     * @param membership Provides the lease revision.
     * @param now Current time.
     * @return The choice; nothing if no slot is usable.
     */
    auto chooseSlot(ServiceId service, const ScoreFunction &score, const Membership &membership,
                    Instant now) const -> std::optional<SlotChoice>;

    /**
     * Marks a slot as running a dispatch.
     * @param choice A free slot.
     * @param dispatch Id of the dispatch.
     */
    auto beginDispatch(const SlotChoice &choice, DispatchId dispatch) -> void;

    /**
     * Marks the dispatch on a slot as ended.
     * @param choice Its slot.
     * @param now Current time.
     * @return Lender and message if the slot was borrowed and its loan has expired.
     */
    auto endDispatch(const SlotChoice &choice, Instant now)
        -> std::optional<std::pair<NodeId, SlotReturn>>;

    /**
     * Frees quarantined slots that are idle according to a load report.
     * @param report The report.
     * @param now Current time.
     */
    auto applyReport(const LoadReport &report, Instant now) -> void;

    /**
     * Creates queries to previous owners and borrowers for slots counted as still in use by them.
     * @param vmListRevision Revision of the VM list in force.
     * @param now Current time.
     * @return Messages by node.
     */
    auto makeQueries(Revision vmListRevision, Instant now)
        -> std::vector<std::pair<NodeId, SlotQuery>>;

    /**
     * Replies to such a query.
     * @param query The query.
     * @param vmListRevision Revision of the VM list in force at this node.
     * @param now Current time.
     * @return The reply.
     */
    auto answerQuery(const SlotQuery &query, Revision vmListRevision, Instant now) const
        -> SlotQueryReply;

    /**
     * Frees the slots that a previous owner or borrower no longer uses.
     * @param from The peer.
     * @param reply Its message.
     */
    auto handleQueryReply(NodeId from, const SlotQueryReply &reply) -> void;

    /**
     * Creates a loan request and records it.
     * @param service The service.
     * @param count Maximum number of slots.
     * @param tier Most urgent waiting tier.
     * @param now Current time.
     * @return The message.
     */
    auto makeLoanRequest(ServiceId service, std::uint16_t count, Tier tier, Instant now)
        -> SlotLoanRequest;

    /**
     * Lends free slots.
     * @param from The borrower.
     * @param request Its request.
     * @param reserve Number of free slots that are not lent.
     * @param score Scores candidates as for chooseSlot(); only usable ones are lent.
     * @param membership Provides the lease revision.
     * @param now Current time.
     * @return The loan; without slots it is a rejection.
     */
    auto lend(NodeId from, const SlotLoanRequest &request, std::size_t reserve,
              const ScoreFunction &score, const Membership &membership, Instant now)
        -> SlotLoanReply;

    /**
     * Accepts a loan.
     * @param from The lender.
     * @param loan Its message.
     * @param now Current time.
     * @return A return of the slots that are not used: the loan came too late, was not requested,
     *         or the slot is already owned or borrowed.
     */
    auto acceptLoan(NodeId from, const SlotLoanReply &loan, Instant now)
        -> std::optional<SlotReturn>;

    /**
     * Frees lent slots that the borrower has returned.
     * @param from The borrower.
     * @param message Its message.
     */
    auto handleReturn(NodeId from, const SlotReturn &message) -> void;

    /**
     * Returns idle borrowed slots to their lenders.
     * @param now Current time.
     * @return Messages by lender.
     */
    auto returnIdleSlots(Instant now) -> std::vector<std::pair<NodeId, SlotReturn>>;

    /**
     * Counts the own and borrowed slots of a service.
     * @param service The service.
     * @return The count.
     */
    auto slotCount(ServiceId service) const -> std::size_t;

    /**
     * Returns the other nodes that own slots of a service.
     * @param service The service.
     * @return The nodes.
     */
    auto otherOwners(ServiceId service) const -> const std::vector<NodeId> &;

    /** @return Servers of which this node owns or borrows a slot. */
    auto servers() const -> std::set<ServerId>;

    /** Numbers of slots by state, for the state dump. */
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
    /** Owned under a new VM list or configuration; not yet taken over. */
    struct AwaitingTakeover
    {
    };
    /** Taken over, but a request of a previous owner may still run there. */
    struct Quarantined
    {
        Instant since{};
        Instant until{};
    };
    /** Usable. */
    struct Free
    {
    };
    /** Runs a request. */
    struct Running
    {
        DispatchId dispatch = 0;
    };
    /** On loan to a peer. */
    struct Lent
    {
        NodeId borrower = 0;
        std::uint64_t loanId = 0;
        Instant dispatchableUntil{}; ///< The borrower starts no dispatch after this.
        Instant reclaimAt{}; ///< Any request of the borrower has ended by then.
    };
    using SlotState = std::variant<AwaitingTakeover, Quarantined, Free, Running, Lent>;

    /** A slot that this node owns, or one that it lost while a request or loan was on it. */
    struct Slot
    {
        ServiceId service = 0;
        Revision ownedSince = 0; ///< VM list revision that transferred it to this node.
        NodeId previousOwner = 0; ///< Node to query for its release; 0 for none.
        Revision lostAtRevision = 0; ///< VM list revision that transferred it to another node.
        bool owned = true; ///< False once it was transferred to another node.
        SlotState state = AwaitingTakeover{};
        bool needsTakeover = false; ///< Was transferred away and back during its request or loan.
        std::size_t freeListIndex = 0; ///< Index in the list of free slots, while free.
        std::uint64_t firstValidQueryId = 0; ///< Replies to earlier queries are outdated.
    };

    /** Adjacent slots of a server that have the same owner. */
    struct Block
    {
        ServerId server = 0;
        std::uint16_t firstSlot = 0; ///< Lowest index.
        std::uint16_t endSlot = 0; ///< One past the highest index.
        ServiceId service = 0;
        auto operator==(const Block &) const -> bool = default;
    };

    /** A slot on loan from a peer. */
    struct BorrowedSlot
    {
        NodeId lender = 0;
        std::uint64_t loanId = 0;
        ServiceId service = 0;
        Instant validUntil{};
        Instant idleSince{};
        std::optional<DispatchId> dispatch;
    };

    /** A loan request that was sent recently. */
    struct OpenLoanRequest
    {
        Instant sentAt{};
        bool replied = false;
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
    std::vector<Block> blocks; ///< All blocks of the fleet, in the key order of ownerMap.
    OwnerMap ownerMap;
    std::map<SlotRef, Slot> slots;
    std::unordered_map<ServiceId, std::vector<SlotRef>> freeSlotsByService;
    std::unordered_map<ServiceId, std::vector<NodeId>> otherOwnersByService;
    std::map<SlotRef, BorrowedSlot> borrowedSlots;
    std::unordered_map<ServiceId, std::vector<SlotRef>> ownedByService;
    /** Slots transferred to another node that are free of requests of this node and of owners
     * before it, with the VM list revision that transferred them. */
    std::map<SlotRef, Revision> vacatedSlots;
    std::map<std::uint64_t, OpenLoanRequest> openLoanRequests;
    std::map<std::uint64_t, NodeId> openQueries;
    std::uint64_t nextQueryId = 1;
};

} // namespace banyanring
