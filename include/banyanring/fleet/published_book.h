/** @file published_book.h A mirror of what the store publishes, exchanged between nodes. */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace banyanring::fleet {

/** One published item. */
struct PublishedItem
{
    std::string value; ///< Bytes as published.
    std::uint64_t revision = 0; ///< Store revision of its last change.
};

/** A change to an item; an absent value is a removal. */
struct PublishedChange
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool removed = false;
};

/** What changed between two revisions, as one node tells it to another. */
struct PublishedBatch
{
    std::uint64_t since = 0; ///< Complete for a mirror that has reached this revision.
    std::uint64_t until = 0; ///< Revision that it leads to.
    bool whole = true; ///< No item was too long to be told.
    std::vector<PublishedChange> changes; ///< The last state of each changed item.
};

/** Mirrors the published items of a store whose revisions only grow. */
class PublishedBook
{
public:
    using Items = std::map<std::string, PublishedItem, std::less<>>;

    /**
     * Takes changes from a watch. Changes older than the mirror are ignored.
     * @param changes Changes in the order of their revisions.
     * @param asOf Revision that the watch has reached.
     * @return Keys whose item changed.
     */
    auto apply(const std::vector<PublishedChange> &changes, std::uint64_t asOf)
        -> std::vector<std::string>;

    /**
     * Replaces all items, unless the given ones are older than the mirror.
     * @param newItems All items.
     * @param asOf Revision that they are at least as new as.
     * @return Keys whose item changed, appeared or went.
     */
    auto replace(Items newItems, std::uint64_t asOf) -> std::vector<std::string>;

    /**
     * Collects the present state of items for other nodes.
     * @param keys Keys of all items that changed since then.
     * @param since Revision of this mirror before.
     * @param longestItem Longer items are left out.
     * @return The batch.
     */
    auto batchOf(const std::vector<std::string> &keys, std::uint64_t since,
                 std::size_t longestItem) const -> PublishedBatch;

    /**
     * Takes another node's batch. A mirror that was never filled takes none; one that lacks what
     * came before the batch takes its changes, but does not count as having reached its end.
     * @param batch The batch.
     * @return Keys whose item changed.
     */
    auto applyBatch(const PublishedBatch &batch) -> std::vector<std::string>;

    /**
     * Finds an item.
     * @param key Its key.
     * @return The item, or null.
     */
    auto find(std::string_view key) const -> const PublishedItem *;

    /** @return All items by key. */
    auto all() const -> const Items &
    {
        return this->items;
    }

    /** @return Store revision that the mirror has reached; 0 if it never had one. */
    auto revision() const -> std::uint64_t
    {
        return this->reached;
    }

private:
    Items items;
    std::uint64_t reached = 0;
};

} // namespace banyanring::fleet
