/** @file published_book.cpp A mirror of what the store publishes. */
#include "banyanring/fleet/published_book.h"

namespace banyanring::fleet {

auto PublishedBook::apply(const std::vector<PublishedChange> &changes, std::uint64_t asOf)
    -> std::vector<std::string>
{
    std::vector<std::string> changed;
    for (const auto &change : changes) {
        const auto found = this->items.find(change.key);
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
        if (!newItems.contains(key)) {
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

auto PublishedBook::find(std::string_view key) const -> const PublishedItem *
{
    const auto found = this->items.find(key);
    return found == this->items.end() ? nullptr : &found->second;
}

} // namespace banyanring::fleet
