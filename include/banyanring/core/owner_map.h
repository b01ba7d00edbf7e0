/** @file holder_map.h Natural holders of rights by rendezvous hashing over the published VM list.
 */
#pragma once

#include "banyanring/core/ids_type.h"

#include <span>
#include <vector>

namespace banyanring {

/**
 * Gives the rendezvous weight of a node for a key.
 * @param key Hash of the right.
 * @param node A node.
 * @return The weight; the node with the greatest one is the holder.
 */
constexpr auto rendezvousWeight(std::uint64_t key, NodeId node) -> std::uint64_t
{
    return mix64(key + 0x9e3779b97f4a7c15ULL * (node + 1ULL));
}

/**
 * Orders nodes by their rendezvous weight for a key.
 * @param key Hash of the right.
 * @param nodes Candidates.
 * @return The candidates, greatest weight first.
 */
auto rendezvousOrder(std::uint64_t key, std::span<const NodeId> nodes) -> std::vector<NodeId>;

/** Keeps the holder of each key while the list of nodes changes a little at a time. */
class OwnerMap
{
public:
    /** One key that changed its holder. */
    struct Change
    {
        std::size_t key = 0; ///< Index of the key.
        NodeId from = 0; ///< Earlier holder; 0 if there was none.
        NodeId to = 0; ///< New holder; 0 if there is none.
    };

    /**
     * Replaces the keys and computes the holders of those that are new.
     * @param newKeys Hashes of the rights.
     */
    auto setKeys(std::vector<std::uint64_t> newKeys) -> void;

    /**
     * Replaces the nodes; costs one hash a key and added node, and a full search for the keys of
     * removed nodes only.
     * @param newNodes Sorted nodes that may hold rights.
     * @return The keys whose holder changed.
     */
    auto setNodes(std::vector<NodeId> newNodes) -> std::vector<Change>;

    /**
     * Gives a key's holder.
     * @param key Index of the key.
     * @return The holder; 0 without nodes.
     */
    auto owner(std::size_t key) const -> NodeId
    {
        return this->entries[key].owner;
    }

private:
    /** Best node of a key. */
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
