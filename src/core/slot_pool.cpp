/** @file slot_pool.cpp Slots of backend servers: ownership, states and dispatches. */
#include "banyanring/core/invariant_func.h"
#include "banyanring/core/slot_pool_base.h"

#include <algorithm>
#include <utility>

namespace banyanring {

namespace {

/** Separates these hash keys from those of tokens. */
constexpr std::uint64_t SlotKeySpace = 0x736c6f74ULL;
constexpr std::size_t MaxCandidates = 16; ///< Usable slots scored for one dispatch.
/** Time in which a dispatch reaches its server. */
constexpr Duration DispatchMargin = std::chrono::seconds(1);

/** @return The rendezvous key of the block of slots that starts at slot @p first. */
auto blockKey(ServerId server, std::uint16_t first) -> std::uint64_t
{
    return mix64((std::uint64_t{server} << 16U | first) ^ SlotKeySpace);
}

} // namespace

SlotPool::SlotPool(const NodeSettings &nodeSettings, NodeId self, std::uint32_t loanIdPrefix)
    : settings(nodeSettings), self(self), loanIdPrefix(loanIdPrefix)
{
}

auto SlotPool::maxRunTime(ServiceId service) const -> Duration
{
    const auto found = this->config->services.find(service);
    return found == this->config->services.end() ? std::chrono::hours(1) : found->second.maxRunTime;
}

auto SlotPool::changeState(SlotRef ref, Slot &slot, SlotState state) -> void
{
    this->removeFromFreeList(slot);
    slot.state = state;
    slot.firstValidQueryId = this->nextQueryId;
    if (std::holds_alternative<Free>(state)) {
        auto &freeSlots = this->freeSlotsByService[slot.service];
        slot.freeListIndex = freeSlots.size();
        freeSlots.push_back(ref);
    }
}

auto SlotPool::removeFromFreeList(const Slot &slot) -> void
{
    if (!std::holds_alternative<Free>(slot.state)) {
        return;
    }
    auto &freeSlots = this->freeSlotsByService.at(slot.service);
    const auto last = freeSlots.back();
    freeSlots[slot.freeListIndex] = last;
    this->slots.at(last).freeListIndex = slot.freeListIndex;
    freeSlots.pop_back();
}

auto SlotPool::gainOwnership(SlotRef ref, Revision vmListRevision, NodeId from) -> void
{
    this->vacatedSlots.erase(ref);
    auto &slot = this->slots[ref];
    this->removeFromFreeList(slot);
    if (std::holds_alternative<Free>(slot.state)) {
        slot.state = AwaitingTakeover{};
    }
    slot.service = this->config->servers.at(ref.server).service;
    slot.ownedSince = vmListRevision;
    slot.previousOwner = from;
    slot.owned = true;
    if (!std::holds_alternative<Running>(slot.state) && !std::holds_alternative<Lent>(slot.state)) {
        this->changeState(ref, slot, AwaitingTakeover{});
    } else {
        slot.needsTakeover = true;
    }
}

auto SlotPool::loseOwnership(SlotRef ref, Revision vmListRevision) -> void
{
    const auto slot = this->slots.find(ref);
    if (slot == this->slots.end()) {
        return;
    }
    slot->second.owned = false;
    slot->second.lostAtRevision = vmListRevision;
    const auto &state = slot->second.state;
    if (std::holds_alternative<Running>(state) || std::holds_alternative<Lent>(state)) {
        return;
    }
    if (std::holds_alternative<Free>(state)) {
        this->removeFromFreeList(slot->second);
        this->vacatedSlots[ref] = vmListRevision;
    }
    this->slots.erase(slot);
}

auto SlotPool::vacate(SlotRef ref, Slot &slot) -> void
{
    if (!slot.owned) {
        if (!slot.needsTakeover) {
            this->vacatedSlots[ref] = slot.lostAtRevision;
        }
        this->slots.erase(ref);
        return;
    }
    if (std::exchange(slot.needsTakeover, false)) {
        // Another node owned it in between and may have used it.
        this->changeState(ref, slot, AwaitingTakeover{});
        return;
    }
    this->changeState(ref, slot, Free{});
}

auto SlotPool::rebuildIndex() -> void
{
    this->ownedByService.clear();
    for (const auto &[ref, slot] : this->slots) {
        if (slot.owned) {
            this->ownedByService[slot.service].push_back(ref);
        }
    }
    std::set<std::pair<ServiceId, NodeId>> owners;
    for (std::size_t index = 0; index < this->blocks.size(); ++index) {
        const auto node = this->ownerMap.owner(index);
        if (node != this->self && node != 0) {
            owners.emplace(this->blocks[index].service, node);
        }
    }
    this->otherOwnersByService.clear();
    for (const auto &[service, node] : owners) {
        this->otherOwnersByService[service].push_back(node);
    }
}

auto SlotPool::makeBlocks(const Config &newConfig) const -> std::vector<Block>
{
    std::vector<ServerId> serverIds;
    for (const auto &[id, server] : newConfig.servers) {
        serverIds.push_back(id);
    }
    std::sort(serverIds.begin(), serverIds.end());
    std::vector<Block> result;
    for (const auto id : serverIds) {
        const std::uint32_t count = newConfig.servers.at(id).slots;
        for (std::uint32_t first = 0; first < count; first += this->settings.slotBlockSize) {
            const auto end = std::min(count, first + this->settings.slotBlockSize);
            result.push_back({id, static_cast<std::uint16_t>(first),
                              static_cast<std::uint16_t>(end), newConfig.servers.at(id).service});
        }
    }
    return result;
}

auto SlotPool::applyConfig(const ConfigPtr &newConfig, Revision vmListRevision) -> void
{
    this->config = newConfig;
    auto newBlocks = this->makeBlocks(*newConfig);
    if (newBlocks == this->blocks) {
        return;
    }
    this->blocks = std::move(newBlocks);
    std::vector<std::uint64_t> keys;
    keys.reserve(this->blocks.size());
    for (const auto &block : this->blocks) {
        keys.push_back(blockKey(block.server, block.firstSlot));
    }
    this->ownerMap.setKeys(std::move(keys));
    std::set<SlotRef> ownedSlots;
    for (std::size_t index = 0; index < this->blocks.size(); ++index) {
        const auto &block = this->blocks[index];
        for (auto slot = block.firstSlot;
             slot < block.endSlot && this->ownerMap.owner(index) == this->self; ++slot) {
            ownedSlots.insert({block.server, slot});
        }
    }
    std::vector<SlotRef> lost;
    for (const auto &[ref, slot] : this->slots) {
        const bool remains =
            ownedSlots.contains(ref) && slot.service == newConfig->servers.at(ref.server).service;
        if (slot.owned && !remains) {
            lost.push_back(ref);
        }
    }
    for (const auto ref : lost) {
        this->loseOwnership(ref, vmListRevision);
    }
    for (const auto ref : ownedSlots) {
        const auto slot = this->slots.find(ref);
        if (slot == this->slots.end() || !slot->second.owned) {
            this->gainOwnership(ref, vmListRevision, 0);
        }
    }
    this->rebuildIndex();
}

auto SlotPool::applyNodes(const std::vector<NodeId> &nodes, Revision vmListRevision, bool resetAll,
                          bool queryPreviousOwners) -> void
{
    for (const auto &change : this->ownerMap.setNodes(nodes)) {
        const auto &block = this->blocks[change.key];
        for (auto slot = block.firstSlot; slot < block.endSlot; ++slot) {
            if (change.to == this->self) {
                this->gainOwnership({block.server, slot}, vmListRevision,
                                    queryPreviousOwners ? change.from : NodeId{0});
            } else if (change.from == this->self) {
                this->loseOwnership({block.server, slot}, vmListRevision);
            }
        }
    }
    if (resetAll) {
        for (auto &[ref, slot] : this->slots) {
            if (slot.owned) {
                this->gainOwnership(ref, vmListRevision, 0);
            }
        }
    }
    this->rebuildIndex();
}

auto SlotPool::tick(const Membership &membership, Instant now) -> void
{
    const auto takeoverRevision = membership.takeoverRevision(now);
    std::vector<SlotRef> reclaimed;
    for (auto &[ref, slot] : this->slots) {
        if (std::holds_alternative<AwaitingTakeover>(slot.state)
            && takeoverRevision >= slot.ownedSince && takeoverRevision != 0) {
            const auto quarantineTime =
                this->settings.slotLoanDuration + this->maxRunTime(slot.service);
            this->changeState(ref, slot, Quarantined{now, now + quarantineTime});
        } else if (const auto *quarantined = std::get_if<Quarantined>(&slot.state)) {
            if (now >= quarantined->until) {
                this->changeState(ref, slot, Free{});
            }
        } else if (const auto *lent = std::get_if<Lent>(&slot.state)) {
            if (now >= lent->reclaimAt) {
                reclaimed.push_back(ref);
            }
        }
    }
    for (const auto ref : reclaimed) {
        this->vacate(ref, this->slots.at(ref));
    }
    std::erase_if(this->openLoanRequests, [&](const auto &request) {
        return now - request.second.sentAt > 2 * this->settings.slotLoanDuration;
    });
}

auto SlotPool::chooseSlot(ServiceId service, const ScoreFunction &score,
                          const Membership &membership, Instant now) const
    -> std::optional<SlotChoice>
{
    std::optional<SlotChoice> best;
    double bestScore = 0;
    std::size_t considered = 0;
    const auto consider = [&](const SlotChoice &choice) {
        const auto slotScore = score(choice.slot);
        considered += slotScore ? 1 : 0;
        if (slotScore && (!best || *slotScore < bestScore)) {
            best = choice;
            bestScore = *slotScore;
        }
    };
    for (const auto &[ref, slot] : this->borrowedSlots) {
        if (slot.service == service && !slot.dispatch && now < slot.validUntil) {
            consider({ref, slot.loanId, slot.validUntil});
        }
    }
    const auto leaseRevision = membership.leaseRevision(now);
    const auto free = this->freeSlotsByService.find(service);
    if (!leaseRevision || free == this->freeSlotsByService.end()) {
        return best;
    }
    const auto count = free->second.size();
    const auto start = count == 0 ? 0 : mix64(static_cast<std::uint64_t>(now.count())) % count;
    for (std::size_t step = 0; step < count && considered < MaxCandidates; ++step) {
        const auto ref = free->second[(start + step) % count];
        if (*leaseRevision >= this->slots.at(ref).ownedSince) {
            consider({ref, 0, membership.leaseExpiry()});
        }
    }
    return best;
}

auto SlotPool::beginDispatch(const SlotChoice &choice, DispatchId dispatch) -> void
{
    if (choice.loanId != 0) {
        auto &slot = this->borrowedSlots.at(choice.slot);
        ensure(!slot.dispatch, "one request a slot");
        slot.dispatch = dispatch;
        return;
    }
    auto &slot = this->slots.at(choice.slot);
    ensure(slot.owned && std::holds_alternative<Free>(slot.state), "one request a slot");
    this->changeState(choice.slot, slot, Running{dispatch});
}

auto SlotPool::endDispatch(const SlotChoice &choice, Instant now)
    -> std::optional<std::pair<NodeId, SlotReturn>>
{
    if (choice.loanId == 0) {
        const auto slot = this->slots.find(choice.slot);
        if (slot != this->slots.end() && std::holds_alternative<Running>(slot->second.state)) {
            this->vacate(choice.slot, slot->second);
        }
        return std::nullopt;
    }
    const auto slot = this->borrowedSlots.find(choice.slot);
    if (slot == this->borrowedSlots.end() || slot->second.loanId != choice.loanId) {
        return std::nullopt;
    }
    slot->second.dispatch.reset();
    slot->second.idleSince = now;
    if (now < slot->second.validUntil) {
        return std::nullopt;
    }
    const auto lender = slot->second.lender;
    this->borrowedSlots.erase(slot);
    return std::pair{lender, SlotReturn{choice.loanId, {choice.slot}}};
}

auto SlotPool::applyReport(const LoadReport &report, Instant now) -> void
{
    if (report.startedAt == 0) {
        return;
    }
    const auto sampledAt = now - report.age;
    const auto first = this->slots.lower_bound({report.server, 0});
    for (auto slot = first; slot != this->slots.end() && slot->first.server == report.server;
         ++slot) {
        const auto *quarantined = std::get_if<Quarantined>(&slot->second.state);
        if (quarantined == nullptr
            || sampledAt <= quarantined->since + this->settings.slotLoanDuration + DispatchMargin) {
            continue;
        }
        const auto suffix = ".s" + std::to_string(slot->first.index);
        const bool listed = report.runningIds
                            && std::any_of(report.runningIds->begin(), report.runningIds->end(),
                                           [&](const auto &id) { return id.ends_with(suffix); });
        if (report.running == 0 || (report.runningIds && !listed)) {
            this->changeState(slot->first, slot->second, Free{});
        }
    }
}

auto SlotPool::slotCount(ServiceId service) const -> std::size_t
{
    const auto owned = this->ownedByService.find(service);
    auto count = owned == this->ownedByService.end() ? 0 : owned->second.size();
    for (const auto &[ref, slot] : this->borrowedSlots) {
        count += slot.service == service ? 1 : 0;
    }
    return count;
}

auto SlotPool::otherOwners(ServiceId service) const -> const std::vector<NodeId> &
{
    static const std::vector<NodeId> None;
    const auto found = this->otherOwnersByService.find(service);
    return found == this->otherOwnersByService.end() ? None : found->second;
}

auto SlotPool::servers() const -> std::set<ServerId>
{
    std::set<ServerId> result;
    for (const auto &[ref, slot] : this->slots) {
        result.insert(ref.server);
    }
    for (const auto &[ref, slot] : this->borrowedSlots) {
        result.insert(ref.server);
    }
    return result;
}

auto SlotPool::counts() const -> Counts
{
    Counts counts;
    for (const auto &[ref, slot] : this->slots) {
        counts.awaiting += std::holds_alternative<AwaitingTakeover>(slot.state) ? 1 : 0;
        counts.quarantined += std::holds_alternative<Quarantined>(slot.state) ? 1 : 0;
        counts.free += std::holds_alternative<Free>(slot.state) ? 1 : 0;
        counts.running += std::holds_alternative<Running>(slot.state) ? 1 : 0;
        counts.lent += std::holds_alternative<Lent>(slot.state) ? 1 : 0;
    }
    counts.borrowed = this->borrowedSlots.size();
    return counts;
}

} // namespace banyanring
