/** @file restored_store_simulation_tests.cpp Simulation of servers across restores of the store. */
#include "restored_store_fixture.h"
#include "store_codec.h"

#include <deque>
#include <random>

namespace {

using namespace banyanring;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration Step = milliseconds(100);
constexpr Duration SyncInterval = milliseconds(500); ///< Between two looks at the store.
constexpr Duration RewriteTime = seconds(2); ///< Running servers have written again by then.
constexpr Duration EntryLifetime = milliseconds(3600); ///< Without a write by its server.
constexpr Duration MaxCopyAge = seconds(12);
constexpr Duration Grace = milliseconds(2200); ///< Servers stay usable without an entry.
constexpr Duration MaxUnusedTime = seconds(1); ///< Of a ready server that the node knew.

/** Actual state of a server, as opposed to that in the store and at the node. */
struct ActualServer
{
    int startedAtMs = 0;
    int sequence = 0;
    std::string state; ///< Empty if it has left.
    Instant leavesAt = Never; ///< End of its draining.
    Instant writesAt{}; ///< Next write to the store.
    Duration unusedFor{}; ///< Time for which the node has not used it though it is ready.
};

/** Servers register, drain, leave and restart while the store is restored from earlier copies. */
class RestoredStoreSimulationFixture : public test::RestoredStoreFixture
{
    CPPUNIT_TEST_SUITE(RestoredStoreSimulationFixture);
    CPPUNIT_TEST(servers_randomRestores_usedExactlyWhileReady);
    CPPUNIT_TEST_SUITE_END();

public:
    auto servers_randomRestores_usedExactlyWhileReady() -> void
    {
        constexpr unsigned Seeds = 40;
        constexpr Duration Length = seconds(180);
        for (unsigned seed = 1; seed <= Seeds; ++seed) {
            this->reset(seed);
            for (const auto until = this->now + Length; this->now < until;) {
                this->step();
            }
        }
    }

private:
    auto reset(unsigned newSeed) -> void
    {
        this->seed = newSeed;
        this->random.seed(newSeed);
        this->mirror = {};
        this->contents.clear();
        this->servers.clear();
        this->copies.clear();
        this->left.clear();
        this->lastWrite.clear();
        this->knownStart.clear();
        this->setUp();
        for (int index = 0; index < 12; ++index) {
            this->start("i-" + std::to_string(index));
        }
    }

    auto step() -> void
    {
        this->now += Step;
        this->changeServers();
        if (this->now >= this->downUntil) {
            this->writeServers();
            this->expireEntries();
            this->copies.push_back(this->contents);
            if (this->copies.size() > static_cast<std::size_t>(MaxCopyAge / Step)) {
                this->copies.pop_front();
            }
            if (this->chance(0.008)) {
                this->restoreCopy();
            } else if (this->now >= this->nextSyncAt) {
                this->synchronise();
            }
        }
        this->applier->tick(this->now);
        this->state->servers.removeExpired(this->now);
        this->check();
    }

    auto start(const std::string &id) -> void
    {
        this->servers[id] = {++this->lastStart, 0, "ready", Never, this->now, {}};
    }

    auto changeServers() -> void
    {
        for (auto &[id, server] : this->servers) {
            if (server.state == "ready" && this->chance(0.004)) {
                server.state = "draining";
                server.writesAt = this->now;
                server.leavesAt = this->now + seconds(1) + this->upTo(seconds(6));
            } else if (!server.state.empty() && this->now >= server.leavesAt) {
                server.state.clear();
            } else if (server.state.empty() && this->chance(0.01)) {
                this->start(id);
            }
        }
    }

    /** Writes the servers' entries; only a change of more than the sequence is a change. */
    auto writeServers() -> void
    {
        for (auto &[id, server] : this->servers) {
            const auto key = "servers/" + id;
            if (server.state.empty()) {
                if (server.leavesAt != Never) {
                    this->contents.erase(key);
                    server.leavesAt = Never;
                }
                continue;
            }
            if (this->now < server.writesAt) {
                continue;
            }
            ++server.sequence;
            server.writesAt = this->now + milliseconds(1200);
            this->lastWrite[id] = this->now;
            const auto found = this->contents.find(key);
            const auto current = found == this->contents.end()
                                     ? std::nullopt
                                     : std::optional(platform::decodeServer(id, found->second));
            if (!current || current->draining != (server.state == "draining")
                || current->startedAtMs != static_cast<std::uint64_t>(server.startedAtMs)) {
                this->contents[key] =
                    entry(server.state, "\"seq\":" + std::to_string(server.sequence)
                                            + ",\"born\":" + std::to_string(server.startedAtMs));
            }
        }
    }

    auto expireEntries() -> void
    {
        std::erase_if(this->contents, [this](const auto &item) {
            return this->now - this->lastWrite[item.first.substr(std::string("servers/").size())]
                   > EntryLifetime;
        });
    }

    auto restoreCopy() -> void
    {
        this->downUntil = this->now + this->upTo(seconds(2));
        this->contents = this->copies.at(this->random() % this->copies.size());
        this->restorePending = true;
        this->applier->setStoreContact(fleet::StoreContact::Lost, this->now);
        for (auto &[id, server] : this->servers) {
            this->lastWrite[id] = this->downUntil;
            server.writesAt = this->downUntil + this->upTo(RewriteTime);
            server.leavesAt = server.state.empty() ? Never : server.leavesAt;
        }
        this->nextSyncAt = this->downUntil + this->upTo(SyncInterval);
    }

    /** Lets the node see the contents of the store. */
    auto synchronise() -> void
    {
        this->nextSyncAt = this->now + SyncInterval;
        fleet::StoreMirror::Items items;
        this->position =
            this->restorePending
                ? fleet::StorePosition{this->position.era + 1, this->position.revision / 2 + 1}
                : fleet::StorePosition{this->position.era, this->position.revision + 1};
        for (const auto &[key, value] : this->contents) {
            const auto *current = this->mirror.find(key);
            const bool isUnchanged = current != nullptr && current->value == value
                                     && current->position.era == this->position.era;
            items[key] = isUnchanged ? *current : fleet::StoreItem{value, this->position};
        }
        const auto changed = this->replaceMirror(std::move(items));
        if (std::exchange(this->restorePending, false)) {
            this->applier->setStoreContact(fleet::StoreContact::Reached, this->now);
            this->applier->beginEra(this->now);
            this->eraBegunAt = this->now;
        }
        this->applier->applyChanges(changed, this->now);
        for (const auto &[id, server] : this->servers) {
            this->noteLeaving(id);
        }
    }

    /** Records which starts of a server the node knows to be draining or gone. */
    auto noteLeaving(const std::string &id) -> void
    {
        const auto found = this->contents.find("servers/" + id);
        if (found == this->contents.end()) {
            const auto known = this->state->servers.find(id);
            if (known && this->now >= this->eraBegunAt + Grace) {
                this->left[id] = std::max(this->left[id], known->registration.startedAtMs);
            }
            return;
        }
        const auto registration = platform::decodeServer(id, found->second);
        if (registration.draining) {
            this->left[id] = std::max(this->left[id], registration.startedAtMs);
        }
    }

    auto check() -> void
    {
        for (auto &[id, server] : this->servers) {
            const auto known = this->state->servers.find(id);
            const auto place = "seed " + std::to_string(this->seed) + ", " + id + ", "
                               + std::to_string(this->now.count() / 1000) + " ms";
            if (this->isUsable(id)) {
                CPPUNIT_ASSERT_MESSAGE("used after leaving: " + place,
                                       known->registration.startedAtMs > this->left[id]);
            }
            const auto startedAtMs = static_cast<std::uint64_t>(server.startedAtMs);
            if (known && known->registration.startedAtMs == startedAtMs) {
                this->knownStart[id] = startedAtMs;
            }
            const bool shouldBeUsed = server.state == "ready" && this->knownStart[id] == startedAtMs
                                      && !this->isUsable(id);
            server.unusedFor = shouldBeUsed ? server.unusedFor + Step : Duration(0);
            CPPUNIT_ASSERT_MESSAGE("ready and not used: " + place,
                                   server.unusedFor <= MaxUnusedTime);
        }
    }

    auto chance(double probability) -> bool
    {
        return std::uniform_real_distribution<>(0, 1)(this->random) < probability;
    }

    auto upTo(Duration time) -> Duration
    {
        return Duration(static_cast<std::int64_t>(this->random()
                                                  % static_cast<std::uint64_t>(time.count() + 1)));
    }

    unsigned seed = 0;
    std::mt19937_64 random;
    std::map<std::string, ActualServer> servers;
    std::deque<Contents> copies;
    std::map<std::string, std::uint64_t> left; ///< Latest start that the node knows to have left.
    std::map<std::string, std::uint64_t> knownStart; ///< Latest start that the node has used.
    std::map<std::string, Instant> lastWrite;
    Instant downUntil{};
    Instant nextSyncAt{};
    Instant eraBegunAt{};
    bool restorePending = false;
    int lastStart = 0;
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(RestoredStoreSimulationFixture);
