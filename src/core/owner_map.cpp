/** @file owner_map.cpp Owners of keys by rendezvous hashing. */
#include "banyanring/core/owner_map.h"

#include <algorithm>
#include <iterator>
#include <unordered_map>

namespace banyanring {

auto rendezvousOrder(std::uint64_t key, std::span<const NodeId> nodes) -> std::vector<NodeId>
{
    std::vector<NodeId> order(nodes.begin(), nodes.end());
    std::sort(order.begin(), order.end(), [key](NodeId left, NodeId right) {
        return rendezvousWeight(key, left) > rendezvousWeight(key, right);
    });
    return order;
}

auto OwnerMap::findOwner(std::uint64_t key) const -> Entry
{
    Entry best;
    for (const auto node : this->nodes) {
        const auto weight = rendezvousWeight(key, node);
        if (best.owner == 0 || weight > best.weight) {
            best = {weight, node};
        }
    }
    return best;
}

auto OwnerMap::setKeys(std::vector<std::uint64_t> newKeys) -> void
{
    std::unordered_map<std::uint64_t, Entry> previous;
    for (std::size_t index = 0; index < this->keys.size(); ++index) {
        previous.emplace(this->keys[index], this->entries[index]);
    }
    this->keys = std::move(newKeys);
    this->entries.clear();
    this->entries.reserve(this->keys.size());
    for (const auto key : this->keys) {
        const auto existing = previous.find(key);
        this->entries.push_back(existing == previous.end() ? this->findOwner(key)
                                                           : existing->second);
    }
}

auto OwnerMap::setNodes(std::vector<NodeId> newNodes) -> std::vector<Change>
{
    std::vector<NodeId> added;
    std::set_difference(newNodes.begin(), newNodes.end(), this->nodes.begin(), this->nodes.end(),
                        std::back_inserter(added));
    this->nodes = std::move(newNodes);
    std::vector<Change> changes;
    for (std::size_t index = 0; index < this->keys.size(); ++index) {
        auto &entry = this->entries[index];
        const auto previousOwner = entry.owner;
        if (!std::binary_search(this->nodes.begin(), this->nodes.end(), previousOwner)) {
            entry = this->findOwner(this->keys[index]);
        }
        for (const auto node : added) {
            const auto weight = rendezvousWeight(this->keys[index], node);
            if (entry.owner == 0 || weight > entry.weight) {
                entry = {weight, node};
            }
        }
        if (entry.owner != previousOwner) {
            changes.push_back({index, previousOwner, entry.owner});
        }
    }
    return changes;
}

} // namespace banyanring
