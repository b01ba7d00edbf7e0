/** @file slot_rights_base.h The slots of backend servers: natural holders, hand-over and loans. */
#pragma once

#include "banyanring/core/event_type.h"
#include "banyanring/core/holder_map.h"
#include "banyanring/core/membership_base.h"
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
    std::uint64_t loan = 0; ///< Loan under which it is borrowed; 0 for an own slot.
    Instant until{}; ///< The dispatch must have begun by then.
};

/** Keeps the slots that this node holds, lends and borrows. Each slot runs one request at a time.
 */
class SlotRights
{
public:
    /** Rates a free slot's server; smaller is better; nothing for "not now". */
    using Score = std::function<std::optional<double>(SlotRef)>;

    /**
     * @param nodeSettings Tunable values; must outlive this object.
     * @param self This node.
     * @param loanBase Random number of this incarnation; the upper half of its loans' numbers.
     */
    SlotRights(const NodeSettings &nodeSettings, NodeId self, std::uint32_t loanBase);

    /**
     * Takes a configuration: slots are added and removed.
     * @param config The configuration.
     * @param list Revision of the VM list in force; 0 without one.
     */
    auto takeConfig(const ConfigPtr &config, Revision list) -> void;

    /**
     * Takes the nodes of a new VM list.
     * @param nodes Sorted live nodes.
     * @param list Its revision.
     * @param allMoved Whether every slot must be begun anew (a revision was missed).
     * @param askEarlier Whether the earlier holders' word may free slots.
     */
    auto takeNodes(const std::vector<NodeId> &nodes, Revision list, bool allMoved, bool askEarlier)
        -> void;

    /**
     * Advances slots whose waiting time is over.
     * @param members Says which rights have settled.
     * @param now The present.
     */
    auto tick(const Membership &members, Instant now) -> void;

    /**
     * Chooses a free slot of a service: the best of a bounded number of usable ones.
     * @param service The service.
     * @param score Rates each candidate.
     * @param members Says which rights may be used.
     * @param now The present.
     * @return The choice; nothing if there is none.
     */
    auto choose(ServiceId service, const Score &score, const Membership &members, Instant now) const
        -> std::optional<SlotChoice>;

    /**
     * Begins a dispatch.
     * @param choice A free slot.
     * @param dispatch The dispatch.
     */
    auto start(const SlotChoice &choice, DispatchId dispatch) -> void;

    /**
     * Ends a dispatch.
     * @param choice Its slot.
     * @return Lender and message if the slot was borrowed and its loan is used up.
     * @param now The present.
     */
    auto end(const SlotChoice &choice, Instant now) -> std::optional<std::pair<NodeId, SlotReturn>>;

    /**
     * Frees quarantined slots that a load report shows idle.
     * @param report The report.
     * @param now The present.
     */
    auto takeReport(const BackendReport &report, Instant now) -> void;

    /**
     * Asks earlier holders and borrowers for slots that are still counted as theirs.
     * @param list Revision of the VM list in force.
     * @param now The present.
     * @return Messages by node.
     */
    auto queries(Revision list, Instant now) -> std::vector<std::pair<NodeId, SlotQuery>>;

    /**
     * Answers such a question.
     * @param query The question.
     * @param list Revision of the VM list in force here.
     * @param now The present.
     * @return The reply.
     */
    auto answer(const SlotQuery &query, Revision list, Instant now) const -> SlotQueryReply;

    /**
     * Takes the reply of an earlier holder or borrower.
     * @param from The peer.
     * @param reply Its message.
     */
    auto takeReply(NodeId from, const SlotQueryReply &reply) -> void;

    /**
     * Prepares a request for a loan.
     * @param service The service.
     * @param count Slots wanted.
     * @param tier Most urgent tier that waits.
     * @param now The present.
     * @return The message.
     */
    auto ask(ServiceId service, std::uint16_t count, Tier tier, Instant now) -> SlotLoanAsk;

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
    auto lend(NodeId from, const SlotLoanAsk &ask, std::size_t keep, const Score &score,
              const Membership &members, Instant now) -> SlotLoan;

    /**
     * Takes a loan.
     * @param from The lender.
     * @param loan Its message.
     * @param now The present.
     * @return A return of the slots if the loan comes too late or was not asked for.
     */
    auto takeLoan(NodeId from, const SlotLoan &loan, Instant now) -> std::optional<SlotReturn>;

    /**
     * Takes lent slots back.
     * @param from The borrower.
     * @param message Its message.
     */
    auto takeReturn(NodeId from, const SlotReturn &message) -> void;

    /**
     * Gives back borrowed slots that are idle.
     * @param now The present.
     * @return Messages by lender.
     */
    auto idleReturns(Instant now) -> std::vector<std::pair<NodeId, SlotReturn>>;

    /**
     * Counts slots of a service, own and borrowed.
     * @param service The service.
     * @return The count.
     */
    auto totalCount(ServiceId service) const -> std::size_t;

    /**
     * Lists the other nodes that are natural holders of a service's slots.
     * @param service The service.
     * @return The nodes.
     */
    auto lenders(ServiceId service) const -> const std::vector<NodeId> &;

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
    struct Awaiting
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
        std::uint64_t loan = 0;
        Instant until{}; ///< The borrower dispatches nothing later.
        Instant forgetAt{}; ///< A request of the borrower has ended by then.
    };
    using SlotState = std::variant<Awaiting, Quarantined, Free, Running, Lent>;

    /** A slot held here, or one that moved away with a request or loan on it. */
    struct Slot
    {
        ServiceId service = 0;
        Revision heldSince = 0;
        NodeId earlierHolder = 0;
        Revision lostWith = 0; ///< List that moved it away.
        bool held = true; ///< False once it moved away.
        SlotState state = Awaiting{};
        bool awaitsAfter = false; ///< It moved away and back under its request or loan.
        std::size_t freeIndex = 0; ///< Place in the list of free slots, while free.
        std::uint64_t stateQuery = 0; ///< Queries with a smaller token say nothing of this state.
    };

    /** Adjoining slots of a server that have the same natural holder. */
    struct Block
    {
        ServerId server = 0;
        std::uint16_t first = 0; ///< Least index.
        std::uint16_t end = 0; ///< Above the greatest index.
        ServiceId service = 0;
        auto operator==(const Block &) const -> bool = default;
    };

    /** A slot that a peer lent to this node. */
    struct Borrowed
    {
        NodeId lender = 0;
        std::uint64_t loan = 0;
        ServiceId service = 0;
        Instant until{};
        Instant idleSince{};
        std::optional<DispatchId> dispatch;
    };

    /** An open request for a loan. */
    struct OpenAsk
    {
        Instant sentAt{};
        bool answered = false;
    };

    auto released(const CountedSlot &counted, Instant now) const -> bool;
    auto changeState(SlotRef ref, Slot &slot, SlotState state) -> void;
    auto dropFree(const Slot &slot) -> void;
    auto acquire(SlotRef ref, Revision list, NodeId from) -> void;
    auto lose(SlotRef ref, Revision list) -> void;
    auto clear(SlotRef ref, Slot &slot) -> void;
    auto longestRun(ServiceId service) const -> Duration;
    auto blocksOf(const Config &all) const -> std::vector<Block>;
    auto rebuildIndex() -> void;

    const NodeSettings &settings;
    NodeId self;
    std::uint32_t loanBase;
    std::uint32_t loanCount = 0;
    ConfigPtr config;
    std::vector<Block> blocks; ///< All blocks of the fleet, by key index.
    HolderMap holderMap;
    std::map<SlotRef, Slot> slots;
    std::unordered_map<ServiceId, std::vector<SlotRef>> freeByService;
    std::unordered_map<ServiceId, std::vector<NodeId>> lendersByService;
    std::map<SlotRef, Borrowed> borrowed;
    std::unordered_map<ServiceId, std::vector<SlotRef>> byService; ///< Held slots.
    /** Slots that moved away, free of this node's requests and those before, by the list. */
    std::map<SlotRef, Revision> cleared;
    std::map<std::uint64_t, OpenAsk> asks;
    std::map<std::uint64_t, NodeId> openQueries;
    std::uint64_t nextQuery = 1;
};

} // namespace banyanring
