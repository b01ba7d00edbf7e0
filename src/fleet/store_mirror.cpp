/** @file store_mirror.cpp Mirror of the store, exchanged between nodes. */
#include "banyanring/fleet/store_mirror.h"

#include <algorithm>

namespace banyanring::fleet {

auto StoreMirror::apply(const std::vector<StoreChange> &changes, StorePosition reached)
    -> std::vector<std::string>
{
    auto changed = this->applyChanges(changes, reached.era);
    if (this->revision() == 0 || reached.era == this->era()) {
        this->currentPosition = std::max(this->currentPosition, reached);
    }
    this->takeEarlyKeys(changed);
    return changed;
}

auto StoreMirror::applyChanges(const std::vector<StoreChange> &changes, std::uint64_t era)
    -> std::vector<std::string>
{
    std::vector<std::string> changed;
    for (const auto &change : changes) {
        const StorePosition position{era, change.revision};
        const auto found = this->items.find(change.key);
        if (position <= this->currentPosition) {
            continue;
        }
        if (found != this->items.end() && found->second.position >= position) {
            continue;
        }
        if (change.removed) {
            if (found == this->items.end()) {
                continue;
            }
            this->items.erase(found);
        } else {
            this->items[change.key] = {change.value, position};
        }
        changed.push_back(change.key);
    }
    return changed;
}

auto StoreMirror::replaceAll(Items newItems, StorePosition snapshot) -> std::vector<std::string>
{
    std::vector<std::string> changed;
    if (snapshot < this->currentPosition) {
        return changed;
    }
    for (const auto &[key, item] : this->items) {
        const auto replacement = newItems.find(key);
        if (item.position > snapshot
            && (replacement == newItems.end() || replacement->second.position < item.position)) {
            newItems.insert_or_assign(key, item); // Newer than the snapshot: received in a batch.
        } else if (replacement == newItems.end()) {
            changed.push_back(key);
        }
    }
    for (const auto &[key, item] : newItems) {
        const auto *current = this->find(key);
        // Every item has another position in a new era.
        if (current == nullptr || current->value != item.value
            || (current->position != item.position && current->position.era == item.position.era)) {
            changed.push_back(key);
        }
    }
    if (snapshot.era > this->era() && this->revision() > 0) {
        this->recordEraChange(newItems, snapshot);
    }
    this->items = std::move(newItems);
    this->currentPosition = snapshot;
    this->takeEarlyKeys(changed);
    return changed;
}

auto StoreMirror::takeEarlyKeys(std::vector<std::string> &changed) -> void
{
    for (auto early = this->earlyKeys.begin(); early != this->earlyKeys.end();) {
        if (early->second > this->currentPosition) {
            ++early;
            continue;
        }
        if (std::find(changed.begin(), changed.end(), early->first) == changed.end()) {
            changed.push_back(early->first);
        }
        early = this->earlyKeys.erase(early);
    }
}

auto StoreMirror::recordEraChange(const Items &newItems, StorePosition snapshot) -> void
{
    StoreEraChange change{this->currentPosition, snapshot, 0, 0, 0};
    for (const auto &[key, item] : newItems) {
        const auto *current = this->find(key);
        change.gainedItems += current == nullptr ? 1 : 0;
        change.changedItems += current != nullptr && current->value != item.value ? 1 : 0;
    }
    change.lostItems = this->items.size() + change.gainedItems - newItems.size();
    this->latestEraChange = change;
}

auto StoreMirror::makeBatch(const std::vector<std::string> &keys, StorePosition from,
                            std::size_t maxItemBytes) const -> StoreChangeBatch
{
    StoreChangeBatch batch{from.revision, this->revision(), true, {}, this->era()};
    if (from.era != this->era()) {
        batch.fromRevision = this->revision();
        batch.complete = false;
        return batch;
    }
    for (const auto &key : keys) {
        const auto *item = this->find(key);
        if (item == nullptr) {
            batch.changes.push_back({key, "", this->revision(), true});
        } else if (item->value.size() > maxItemBytes || item->position.era != this->era()) {
            batch.complete = false;
        } else {
            batch.changes.push_back({key, item->value, item->position.revision, false});
        }
    }
    return batch;
}

auto StoreMirror::applyBatch(const StoreChangeBatch &batch) -> std::vector<std::string>
{
    if (this->revision() == 0 || batch.toPosition() <= this->currentPosition) {
        return {};
    }
    // After a gap, the changes of the batch are valid, but earlier changes are missing.
    const bool gapless =
        batch.complete && batch.era == this->era() && batch.fromRevision <= this->revision();
    auto changed = this->applyChanges(batch.changes, batch.era);
    if (gapless) {
        this->currentPosition = batch.toPosition();
        return changed;
    }
    for (const auto &key : changed) {
        this->earlyKeys[key] = batch.toPosition();
    }
    return changed;
}

auto StoreMirror::find(std::string_view key) const -> const StoreItem *
{
    const auto found = this->items.find(key);
    return found == this->items.end() ? nullptr : &found->second;
}

} // namespace banyanring::fleet
