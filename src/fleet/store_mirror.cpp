/** @file store_mirror.cpp Mirror of the store, exchanged between nodes. */
#include "banyanring/fleet/store_mirror.h"

namespace banyanring::fleet {

auto PublishedBook::apply(const std::vector<PublishedChange> &changes, std::uint64_t asOf)
    -> std::vector<std::string>
{
    std::vector<std::string> changed;
    for (const auto &change : changes) {
        const auto found = this->items.find(change.key);
        if (change.revision <= this->reached) {
            continue;
        }
        if (found != this->items.end() && found->second.revision >= change.revision) {
            continue;
        }
        if (change.removed) {
            if (found == this->items.end()) {
                continue;
            }
            this->items.erase(found);
        } else {
            this->items[change.key] = {change.value, change.revision};
        }
        changed.push_back(change.key);
    }
    this->reached = std::max(this->reached, asOf);
    return changed;
}

auto PublishedBook::replace(Items newItems, std::uint64_t asOf) -> std::vector<std::string>
{
    std::vector<std::string> changed;
    if (asOf < this->reached) {
        return changed;
    }
    for (const auto &[key, item] : this->items) {
        const auto theirs = newItems.find(key);
        if (item.revision > asOf
            && (theirs == newItems.end() || theirs->second.revision < item.revision)) {
            newItems.insert_or_assign(key, item); // Newer than the snapshot: received in a batch.
        } else if (theirs == newItems.end()) {
            changed.push_back(key);
        }
    }
    for (const auto &[key, item] : newItems) {
        const auto *known = this->find(key);
        if (known == nullptr || known->revision != item.revision) {
            changed.push_back(key);
        }
    }
    this->items = std::move(newItems);
    this->reached = asOf;
    return changed;
}

auto PublishedBook::batchOf(const std::vector<std::string> &keys, std::uint64_t since,
                            std::size_t longestItem) const -> PublishedBatch
{
    PublishedBatch batch{since, this->reached, true, {}};
    for (const auto &key : keys) {
        const auto *item = this->find(key);
        if (item != nullptr && item->value.size() > longestItem) {
            batch.whole = false;
        } else if (item == nullptr) {
            batch.changes.push_back({key, "", this->reached, true});
        } else {
            batch.changes.push_back({key, item->value, item->revision, false});
        }
    }
    return batch;
}

auto PublishedBook::applyBatch(const PublishedBatch &batch) -> std::vector<std::string>
{
    if (this->reached == 0 || batch.until <= this->reached) {
        return {};
    }
    // After a gap, the changes of the batch are valid, but earlier changes are missing.
    const bool follows = batch.whole && batch.since <= this->reached;
    return this->apply(batch.changes, follows ? batch.until : 0);
}

auto PublishedBook::find(std::string_view key) const -> const PublishedItem *
{
    const auto found = this->items.find(key);
    return found == this->items.end() ? nullptr : &found->second;
}

} // namespace banyanring::fleet
