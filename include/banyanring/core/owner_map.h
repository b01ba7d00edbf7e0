/** @file owner_map.h Owners of slots and partitions by rendezvous hashing. */
#pragma once

#include "banyanring/core/ids_type.h"

#include <span>
#include <vector>

namespace banyanring {

/**
 * Computes the rendezvous weight of a node for a key.
 * @param key Hash of the owned item.
 * @param node The node.
 * @return The weight; the node with the highest weight is the owner.
 */
constexpr auto rendezvousWeight(std::uint64_t key, NodeId node) -> std::uint64_t
{
    return mix64(key + 0x9e3779b97f4a7c15ULL * (node + 1ULL));
}

/**
 * Orders nodes by their rendezvous weight for a key.
 * @param key Hash of the owned item.
 * @param nodes Candidates.
 * @return The candidates, highest weight first.
 */
auto rendezvousOrder(std::uint64_t key, std::span<const NodeId> nodes) -> std::vector<NodeId>;

/** Maps each key to its owner and updates the map incrementally when nodes change. */
class OwnerMap
{
public:
    /** A key whose owner changed. */
    struct Change
    {
        std::size_t key = 0; ///< Index of the key.
        NodeId from = 0; ///< Previous owner; 0 if there was none.
        NodeId to = 0; ///< New owner; 0 if there is none.
    };

    /**
     * Replaces the keys and computes the owners of new ones.
     * @param newKeys Hashes of the owned items.
     */
    auto setKeys(std::vector<std::uint64_t> newKeys) -> void;

    /**
     * Replaces the nodes. This costs one hash per key and added node, and a full search only for
     * the keys of removed nodes.
     * @param newNodes Sorted nodes that may be owners.
     * @return The keys whose owner changed.
     */
    auto setNodes(std::vector<NodeId> newNodes) -> std::vector<Change>;

    /**
     * Returns the owner of a key.
     * @param key Index of the key.
     * @return The owner; 0 if there are no nodes.
     */
    auto owner(std::size_t key) const -> NodeId
    {
        return this->entries[key].owner;
    }

private:
    /** Owner of a key and its rendezvous weight. */
    struct Entry
    {
        std::uint64_t weight = 0;
        NodeId owner = 0;
    };

    auto findOwner(std::uint64_t key) const -> Entry;

    std::vector<std::uint64_t> keys;
    std::vector<Entry> entries;
    std::vector<NodeId> nodes;
};

} // namespace banyanring
