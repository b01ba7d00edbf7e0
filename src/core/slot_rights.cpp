/** @file slot_rights.cpp Slots of backend servers: natural holders, states and dispatches. */
#include "banyanring/core/invariant_func.h"
#include "banyanring/core/slot_rights_base.h"

#include <algorithm>
#include <utility>

namespace banyanring {

namespace {

constexpr std::uint64_t SlotKeySpace = 0x736c6f74ULL; ///< Keeps keys apart from tokens' keys.
constexpr std::size_t MaxCandidates = 16; ///< Usable slots rated for one dispatch.
constexpr Duration ReportMargin = std::chrono::seconds(1); ///< A dispatch reaches its server in it.

/** @return The rendezvous key of the block of slots that begins with @p first. */
auto blockKey(ServerId server, std::uint16_t first) -> std::uint64_t
{
    return mix64((std::uint64_t{server} << 16U | first) ^ SlotKeySpace);
}

} // namespace

SlotRights::SlotRights(const NodeSettings &nodeSettings, NodeId self, std::uint32_t loanBase)
    : settings(nodeSettings), self(self), loanBase(loanBase)
{
}

auto SlotRights::longestRun(ServiceId service) const -> Duration
{
    const auto found = this->config->services.find(service);
    return found == this->config->services.end() ? std::chrono::hours(1) : found->second.longestRun;
}

auto SlotRights::changeState(SlotRef ref, Slot &slot, SlotState state) -> void
{
    this->dropFree(slot);
    slot.state = state;
    slot.stateQuery = this->nextQuery;
    if (std::holds_alternative<Free>(state)) {
        auto &list = this->freeByService[slot.service];
        slot.freeIndex = list.size();
        list.push_back(ref);
    }
}

auto SlotRights::dropFree(const Slot &slot) -> void
{
    if (!std::holds_alternative<Free>(slot.state)) {
        return;
    }
    auto &list = this->freeByService.at(slot.service);
    const auto last = list.back();
    list[slot.freeIndex] = last;
    this->slots.at(last).freeIndex = slot.freeIndex;
    list.pop_back();
}

auto SlotRights::acquire(SlotRef ref, Revision list, NodeId from) -> void
{
    this->cleared.erase(ref);
    auto &slot = this->slots[ref];
    this->dropFree(slot);
    if (std::holds_alternative<Free>(slot.state)) {
        slot.state = Awaiting{};
    }
    slot.service = this->config->servers.at(ref.server).service;
    slot.heldSince = list;
    slot.earlierHolder = from;
    slot.held = true;
    if (!std::holds_alternative<Running>(slot.state) && !std::holds_alternative<Lent>(slot.state)) {
        this->changeState(ref, slot, Awaiting{});
    } else {
        slot.awaitsAfter = true;
    }
}

auto SlotRights::lose(SlotRef ref, Revision list) -> void
{
    const auto slot = this->slots.find(ref);
    if (slot == this->slots.end()) {
        return;
    }
    slot->second.held = false;
    slot->second.lostWith = list;
    const auto &state = slot->second.state;
    if (std::holds_alternative<Running>(state) || std::holds_alternative<Lent>(state)) {
        return;
    }
    if (std::holds_alternative<Free>(state)) {
        this->dropFree(slot->second);
        this->cleared[ref] = list;
    }
    this->slots.erase(slot);
}

auto SlotRights::clear(SlotRef ref, Slot &slot) -> void
{
    if (!slot.held) {
        if (!slot.awaitsAfter) {
            this->cleared[ref] = slot.lostWith;
        }
        this->slots.erase(ref);
        return;
    }
    if (std::exchange(slot.awaitsAfter, false)) {
        // It was another node's meanwhile, which may have used it.
        this->changeState(ref, slot, Awaiting{});
        return;
    }
    this->changeState(ref, slot, Free{});
}

auto SlotRights::rebuildIndex() -> void
{
    this->byService.clear();
    for (const auto &[ref, slot] : this->slots) {
        if (slot.held) {
            this->byService[slot.service].push_back(ref);
        }
    }
    std::set<std::pair<ServiceId, NodeId>> holders;
    for (std::size_t index = 0; index < this->blocks.size(); ++index) {
        const auto node = this->holderMap.holder(index);
        if (node != this->self && node != 0) {
            holders.emplace(this->blocks[index].service, node);
        }
    }
    this->lendersByService.clear();
    for (const auto &[service, node] : holders) {
        this->lendersByService[service].push_back(node);
    }
}

auto SlotRights::blocksOf(const Config &all) const -> std::vector<Block>
{
    std::vector<ServerId> order;
    for (const auto &[id, server] : all.servers) {
        order.push_back(id);
    }
    std::sort(order.begin(), order.end());
    std::vector<Block> result;
    for (const auto id : order) {
        const std::uint32_t count = all.servers.at(id).slots;
        for (std::uint32_t first = 0; first < count; first += this->settings.slotBlock) {
            const auto end = std::min(count, first + this->settings.slotBlock);
            result.push_back({id, static_cast<std::uint16_t>(first),
                              static_cast<std::uint16_t>(end), all.servers.at(id).service});
        }
    }
    return result;
}

auto SlotRights::takeConfig(const ConfigPtr &newConfig, Revision list) -> void
{
    this->config = newConfig;
    auto newBlocks = this->blocksOf(*newConfig);
    if (newBlocks == this->blocks) {
        return;
    }
    this->blocks = std::move(newBlocks);
    std::vector<std::uint64_t> keys;
    keys.reserve(this->blocks.size());
    for (const auto &block : this->blocks) {
        keys.push_back(blockKey(block.server, block.first));
    }
    this->holderMap.setKeys(std::move(keys));
    std::set<SlotRef> own;
    for (std::size_t index = 0; index < this->blocks.size(); ++index) {
        const auto &block = this->blocks[index];
        for (auto slot = block.first;
             slot < block.end && this->holderMap.holder(index) == this->self; ++slot) {
            own.insert({block.server, slot});
        }
    }
    std::vector<SlotRef> lost;
    for (const auto &[ref, slot] : this->slots) {
        const bool stays =
            own.contains(ref) && slot.service == newConfig->servers.at(ref.server).service;
        if (slot.held && !stays) {
            lost.push_back(ref);
        }
    }
    for (const auto ref : lost) {
        this->lose(ref, list);
    }
    for (const auto ref : own) {
        const auto slot = this->slots.find(ref);
        if (slot == this->slots.end() || !slot->second.held) {
            this->acquire(ref, list, 0);
        }
    }
    this->rebuildIndex();
}

auto SlotRights::takeNodes(const std::vector<NodeId> &nodes, Revision list, bool allMoved,
                           bool askEarlier) -> void
{
    for (const auto &change : this->holderMap.setNodes(nodes)) {
        const auto &block = this->blocks[change.key];
        for (auto slot = block.first; slot < block.end; ++slot) {
            if (change.to == this->self) {
                this->acquire({block.server, slot}, list, askEarlier ? change.from : NodeId{0});
            } else if (change.from == this->self) {
                this->lose({block.server, slot}, list);
            }
        }
    }
    if (allMoved) {
        for (auto &[ref, slot] : this->slots) {
            if (slot.held) {
                this->acquire(ref, list, 0);
            }
        }
    }
    this->rebuildIndex();
}

auto SlotRights::tick(const Membership &members, Instant now) -> void
{
    const auto settled = members.settledRevision(now);
    std::vector<SlotRef> ended;
    for (auto &[ref, slot] : this->slots) {
        if (std::holds_alternative<Awaiting>(slot.state) && settled >= slot.heldSince
            && settled != 0) {
            const auto longest = this->settings.slotLoan + this->longestRun(slot.service);
            this->changeState(ref, slot, Quarantined{now, now + longest});
        } else if (const auto *quarantine = std::get_if<Quarantined>(&slot.state)) {
            if (now >= quarantine->until) {
                this->changeState(ref, slot, Free{});
            }
        } else if (const auto *lent = std::get_if<Lent>(&slot.state)) {
            if (now >= lent->forgetAt) {
                ended.push_back(ref);
            }
        }
    }
    for (const auto ref : ended) {
        this->clear(ref, this->slots.at(ref));
    }
    std::erase_if(this->asks, [&](const auto &ask) {
        return now - ask.second.sentAt > 2 * this->settings.slotLoan;
    });
}

auto SlotRights::choose(ServiceId service, const Score &score, const Membership &members,
                        Instant now) const -> std::optional<SlotChoice>
{
    std::optional<SlotChoice> best;
    double bestScore = 0;
    std::size_t considered = 0;
    const auto consider = [&](const SlotChoice &choice) {
        const auto rated = score(choice.slot);
        considered += rated ? 1 : 0;
        if (rated && (!best || *rated < bestScore)) {
            best = choice;
            bestScore = *rated;
        }
    };
    for (const auto &[ref, slot] : this->borrowed) {
        if (slot.service == service && !slot.dispatch && now < slot.until) {
            consider({ref, slot.loan, slot.until});
        }
    }
    const auto anchor = members.anchor(now);
    const auto free = this->freeByService.find(service);
    if (!anchor || free == this->freeByService.end()) {
        return best;
    }
    const auto count = free->second.size();
    const auto start = count == 0 ? 0 : mix64(static_cast<std::uint64_t>(now.count())) % count;
    for (std::size_t step = 0; step < count && considered < MaxCandidates; ++step) {
        const auto ref = free->second[(start + step) % count];
        if (*anchor >= this->slots.at(ref).heldSince) {
            consider({ref, 0, members.anchorUntil()});
        }
    }
    return best;
}

auto SlotRights::start(const SlotChoice &choice, DispatchId dispatch) -> void
{
    if (choice.loan != 0) {
        auto &slot = this->borrowed.at(choice.slot);
        ensure(!slot.dispatch, "one request a slot");
        slot.dispatch = dispatch;
        return;
    }
    auto &slot = this->slots.at(choice.slot);
    ensure(slot.held && std::holds_alternative<Free>(slot.state), "one request a slot");
    this->changeState(choice.slot, slot, Running{dispatch});
}

auto SlotRights::end(const SlotChoice &choice, Instant now)
    -> std::optional<std::pair<NodeId, SlotReturn>>
{
    if (choice.loan == 0) {
        const auto slot = this->slots.find(choice.slot);
        if (slot != this->slots.end() && std::holds_alternative<Running>(slot->second.state)) {
            this->clear(choice.slot, slot->second);
        }
        return std::nullopt;
    }
    const auto slot = this->borrowed.find(choice.slot);
    if (slot == this->borrowed.end() || slot->second.loan != choice.loan) {
        return std::nullopt;
    }
    slot->second.dispatch.reset();
    slot->second.idleSince = now;
    if (now < slot->second.until) {
        return std::nullopt;
    }
    const auto lender = slot->second.lender;
    this->borrowed.erase(slot);
    return std::pair{lender, SlotReturn{choice.loan, {choice.slot}}};
}

auto SlotRights::takeReport(const BackendReport &report, Instant now) -> void
{
    if (report.startedAt == 0) {
        return;
    }
    const auto sampledAt = now - report.age;
    const auto first = this->slots.lower_bound({report.server, 0});
    for (auto slot = first; slot != this->slots.end() && slot->first.server == report.server;
         ++slot) {
        const auto *quarantine = std::get_if<Quarantined>(&slot->second.state);
        if (quarantine == nullptr
            || sampledAt <= quarantine->since + this->settings.slotLoan + ReportMargin) {
            continue;
        }
        const auto suffix = ".s" + std::to_string(slot->first.index);
        const bool named = report.runningIds
                           && std::any_of(report.runningIds->begin(), report.runningIds->end(),
                                          [&](const auto &id) { return id.ends_with(suffix); });
        if (report.running == 0 || (report.runningIds && !named)) {
            this->changeState(slot->first, slot->second, Free{});
        }
    }
}

auto SlotRights::totalCount(ServiceId service) const -> std::size_t
{
    const auto held = this->byService.find(service);
    auto count = held == this->byService.end() ? 0 : held->second.size();
    for (const auto &[ref, slot] : this->borrowed) {
        count += slot.service == service ? 1 : 0;
    }
    return count;
}

auto SlotRights::lenders(ServiceId service) const -> const std::vector<NodeId> &
{
    static const std::vector<NodeId> None;
    const auto found = this->lendersByService.find(service);
    return found == this->lendersByService.end() ? None : found->second;
}

auto SlotRights::servers() const -> std::set<ServerId>
{
    std::set<ServerId> result;
    for (const auto &[ref, slot] : this->slots) {
        result.insert(ref.server);
    }
    for (const auto &[ref, slot] : this->borrowed) {
        result.insert(ref.server);
    }
    return result;
}

auto SlotRights::counts() const -> Counts
{
    Counts counts;
    for (const auto &[ref, slot] : this->slots) {
        counts.awaiting += std::holds_alternative<Awaiting>(slot.state) ? 1 : 0;
        counts.quarantined += std::holds_alternative<Quarantined>(slot.state) ? 1 : 0;
        counts.free += std::holds_alternative<Free>(slot.state) ? 1 : 0;
        counts.running += std::holds_alternative<Running>(slot.state) ? 1 : 0;
        counts.lent += std::holds_alternative<Lent>(slot.state) ? 1 : 0;
    }
    counts.borrowed = this->borrowed.size();
    return counts;
}

} // namespace banyanring
