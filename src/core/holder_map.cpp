/** @file holder_map.cpp Natural holders of rights by rendezvous hashing. */
#include "banyanring/core/holder_map.h"

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

auto HolderMap::search(std::uint64_t key) const -> Entry
{
    Entry best;
    for (const auto node : this->nodes) {
        const auto weight = rendezvousWeight(key, node);
        if (best.holder == 0 || weight > best.weight) {
            best = {weight, node};
        }
    }
    return best;
}

auto HolderMap::setKeys(std::vector<std::uint64_t> newKeys) -> void
{
    std::unordered_map<std::uint64_t, Entry> old;
    for (std::size_t index = 0; index < this->keys.size(); ++index) {
        old.emplace(this->keys[index], this->entries[index]);
    }
    this->keys = std::move(newKeys);
    this->entries.clear();
    this->entries.reserve(this->keys.size());
    for (const auto key : this->keys) {
        const auto known = old.find(key);
        this->entries.push_back(known == old.end() ? this->search(key) : known->second);
    }
}

auto HolderMap::setNodes(std::vector<NodeId> newNodes) -> std::vector<Change>
{
    std::vector<NodeId> added;
    std::set_difference(newNodes.begin(), newNodes.end(), this->nodes.begin(), this->nodes.end(),
                        std::back_inserter(added));
    this->nodes = std::move(newNodes);
    std::vector<Change> changes;
    for (std::size_t index = 0; index < this->keys.size(); ++index) {
        auto &entry = this->entries[index];
        const auto before = entry.holder;
        if (!std::binary_search(this->nodes.begin(), this->nodes.end(), before)) {
            entry = this->search(this->keys[index]);
        }
        for (const auto node : added) {
            const auto weight = rendezvousWeight(this->keys[index], node);
            if (entry.holder == 0 || weight > entry.weight) {
                entry = {weight, node};
            }
        }
        if (entry.holder != before) {
            changes.push_back({index, before, entry.holder});
        }
    }
    return changes;
}

} // namespace banyanring
