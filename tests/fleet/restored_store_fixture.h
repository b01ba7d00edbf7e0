/** @file restored_store_fixture.h A node whose store is restored from copies. */
#pragma once

#include "store_update_applier.h"

#include <cppunit/extensions/HelperMacros.h>

namespace banyanring::test {

/** A node that applies changes of a store, which can be restored from a copy. */
class RestoredStoreFixture : public CppUnit::TestFixture
{
public:
    using Contents = std::map<std::string, std::string>; ///< Values by key.

    auto setUp() -> void override
    {
        this->state = std::make_unique<gateway::NodeState>(this->settings, this->now);
        this->applier = std::make_unique<platform::StoreUpdateApplier>(this->mirror, *this->state);
        this->applier->setStoreContact(fleet::StoreContact::Reached, this->now);
    }

protected:
    /** @return Value of a server's entry. */
    static auto entry(const std::string &state, const std::string &fields) -> std::string
    {
        return R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,"state":")" + state
               + "\"," + fields + "}";
    }

    /** Writes a server's entry. */
    auto writeServer(const std::string &id, int sequence, const std::string &state,
                     int startedAtMs = 1000) -> void
    {
        this->put("servers/" + id, entry(state, "\"seq\":" + std::to_string(sequence)
                                                    + ",\"born\":" + std::to_string(startedAtMs)));
    }

    /** Writes an item. */
    auto put(const std::string &key, const std::string &value) -> void
    {
        this->contents[key] = value;
        this->applyChange({key, value, ++this->position.revision, false});
    }

    /** Removes an item. */
    auto remove(const std::string &key) -> void
    {
        this->contents.erase(key);
        this->applyChange({key, "", ++this->position.revision, true});
    }

    /** Lets the node see a change. */
    auto applyChange(const fleet::StoreChange &change) -> void
    {
        const auto changed = this->mirror.apply({change}, this->position);
        this->applier->applyChanges(changed, this->now);
    }

    /** Replaces the contents of the store. */
    auto restore(const Contents &copy) -> void
    {
        fleet::StoreMirror::Items items;
        this->position = {this->position.era + 1, this->position.revision / 2 + 1};
        for (const auto &[key, value] : copy) {
            items[key] = {value, this->position};
        }
        this->contents = copy;
        const auto changed = this->replaceMirror(std::move(items));
        this->applier->beginEra(this->now);
        this->applier->applyChanges(changed, this->now);
    }

    /** @return Keys of the items that differ. */
    auto replaceMirror(fleet::StoreMirror::Items items) -> std::vector<std::string>
    {
        return this->mirror.replaceAll(std::move(items), this->position);
    }

    /** Advances the time in steps, as the node does. */
    auto advance(Duration time) -> void
    {
        constexpr auto Step = std::chrono::milliseconds(100);
        for (const auto until = this->now + time; this->now < until;) {
            this->now += Step;
            this->applier->tick(this->now);
            this->state->servers.removeExpired(this->now);
        }
    }

    /** @return Whether requests may be sent to a server. */
    auto isUsable(const std::string &id) const -> bool
    {
        const auto server = this->state->servers.find(id);
        return server && !server->registration.draining && this->now < server->removeAt;
    }

    fleet::ProcessSettings settings;
    fleet::StoreMirror mirror;
    std::unique_ptr<gateway::NodeState> state;
    std::unique_ptr<platform::StoreUpdateApplier> applier;
    Contents contents; ///< Of the store.
    fleet::StorePosition position; ///< Of the store.
    Instant now = std::chrono::seconds(100);
};

} // namespace banyanring::test
