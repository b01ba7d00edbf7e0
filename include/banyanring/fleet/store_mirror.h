/** @file store_mirror.h Mirror of the store, exchanged between nodes. */
#pragma once

#include "banyanring/fleet/store_position_type.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace banyanring::fleet {

/** An item of the store. */
struct StoreItem
{
    std::string value; ///< Bytes as published.
    StorePosition position; ///< Of the last change.
};

/** A change of an item. The value of a removed item is empty. */
struct StoreChange
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool removed = false;
};

/** Changes between two revisions of an era, as one node sends them to another. */
struct StoreChangeBatch
{
    std::uint64_t fromRevision = 0; ///< Gapless for a mirror that has reached this revision.
    std::uint64_t toRevision = 0; ///< Revision that the batch leads to.
    bool complete = true; ///< No change was left out, for its length or since the era is new.
    std::vector<StoreChange> changes; ///< Latest state of each changed item.
    std::uint64_t era = 0; ///< Era of all revisions in the batch.

    /** @return Position that the batch leads to. */
    auto toPosition() const -> StorePosition
    {
        return {this->era, this->toRevision};
    }
};

/** Transition of a mirror to the contents of a restored store. */
struct StoreEraChange
{
    StorePosition from; ///< Position of the mirror before.
    StorePosition to; ///< First position in the new era.
    std::size_t gainedItems = 0; ///< Items that the mirror lacked.
    std::size_t changedItems = 0; ///< Items whose value differs.
    std::size_t lostItems = 0; ///< Items that the restored store lacks.
};

/** Mirrors the items of a store, ordered by era and revision. */
class StoreMirror
{
public:
    using Items = std::map<std::string, StoreItem, std::less<>>;

    /**
     * Applies changes from a watch. Changes older than the mirror are ignored. A filled mirror does
     * not advance by changes of another era.
     * @param changes Changes in the order of their revisions.
     * @param reached Position that the watch has reached.
     * @return Keys of the items that changed.
     */
    auto apply(const std::vector<StoreChange> &changes, StorePosition reached)
        -> std::vector<std::string>;

    /**
     * Replaces all items, unless the given ones are older than the mirror.
     * @param newItems All items.
     * @param snapshot Position that they are at least as new as.
     * @return Keys of the items that were changed, added or removed.
     */
    auto replaceAll(Items newItems, StorePosition snapshot) -> std::vector<std::string>;

    /**
     * Collects the current state of changed items for other nodes. After a change of era, no items
     * are sent: the batch only tells the receivers that they have to fetch the contents.
     * @param keys Keys of all items that changed after @p from.
     * @param from Position of this mirror before the changes.
     * @param maxItemBytes Longer items are left out; in bytes.
     * @return The batch.
     */
    auto makeBatch(const std::vector<std::string> &keys, StorePosition from,
                   std::size_t maxItemBytes) const -> StoreChangeBatch;

    /**
     * Applies another node's batch. A mirror that was never filled ignores it. If the mirror lacks
     * earlier changes or the beginning of the batch's era, it applies the changes of the batch but
     * does not advance its position.
     * @param batch The batch.
     * @return Keys of the items that changed.
     */
    auto applyBatch(const StoreChangeBatch &batch) -> std::vector<std::string>;

    /**
     * Finds an item.
     * @param key Key of the item.
     * @return The item, or null.
     */
    auto find(std::string_view key) const -> const StoreItem *;

    /** @return All items by key. */
    auto all() const -> const Items &
    {
        return this->items;
    }

    /** @return Era of the store that the mirror has reached. */
    auto era() const -> std::uint64_t
    {
        return this->currentPosition.era;
    }

    /** @return Store revision that the mirror has reached; 0 if it was never filled. */
    auto revision() const -> std::uint64_t
    {
        return this->currentPosition.revision;
    }

    /** @return Position that the mirror has reached; its revision is 0 if it was never filled. */
    auto position() const -> StorePosition
    {
        return this->currentPosition;
    }

    /** @return The latest change of era since the previous call, if there was one. */
    auto takeEraChange() -> std::optional<StoreEraChange>
    {
        return std::exchange(this->latestEraChange, std::nullopt);
    }

private:
    auto applyChanges(const std::vector<StoreChange> &changes, std::uint64_t era)
        -> std::vector<std::string>;
    auto takeEarlyKeys(std::vector<std::string> &changed) -> void;
    auto recordEraChange(const Items &newItems, StorePosition snapshot) -> void;

    Items items;
    StorePosition currentPosition;
    /** Keys changed by batches that did not advance the mirror, which other nodes may lack. */
    std::map<std::string, StorePosition, std::less<>> earlyKeys;
    std::optional<StoreEraChange> latestEraChange;
};

} // namespace banyanring::fleet
