/**
 * @file watch_tests.cpp Tests of the election of store watchers and of the changes that they send.
 */
#include "banyanring/fleet/store_mirror.h"
#include "banyanring/fleet/store_watch_election.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace banyanring;
using namespace banyanring::fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** A fleet in which each node receives the status of every other one in each round. */
class StoreWatchDutyFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreWatchDutyFixture);
    CPPUNIT_TEST(fleet_starts_hasOneWatcherADomain);
    CPPUNIT_TEST(fleet_ofTwoDomains_hasTwoWatchersInEach);
    CPPUNIT_TEST(watchers_allDie_othersStepInWithinThreeSeconds);
    CPPUNIT_TEST(watchers_refusedByTheStore_othersStepIn);
    CPPUNIT_TEST(store_down_fewTryAndOneADomainRemains);
    CPPUNIT_TEST(node_alone_watches);
    CPPUNIT_TEST_SUITE_END();

public:
    auto start(int count, int domains) -> void
    {
        for (int number = 0; number < count; ++number) {
            Environment environment;
            environment.ip = "10.0." + std::to_string(number / 100) + "." + std::to_string(number);
            environment.peers = {environment.ip, 7600};
            environment.domain = "zone-" + std::to_string(number % domains);
            this->nodes.push_back(std::make_unique<Node>(environment, this->now));
        }
    }

    auto run(Duration time) -> void
    {
        constexpr Duration Round = milliseconds(100);
        for (const auto until = this->now + time; this->now < until; this->now += Round) {
            for (const auto &from : this->nodes) {
                NodeStatement statement;
                statement.peerAddress = from->address;
                statement.domain = from->domain;
                statement.incarnation = 1;
                statement.sequence = ++this->sequence;
                statement.phase = NodePhase::Ready;
                statement.storeTried = from->watching;
                statement.storeReached = from->watching && this->storeUp && !from->refused;
                for (const auto &to : this->nodes) {
                    to->members.take(statement, this->now);
                }
            }
            for (const auto &node : this->nodes) {
                node->watching = node->duty.update(node->members, this->now);
            }
        }
    }

    auto watchers() const -> std::size_t
    {
        return static_cast<std::size_t>(std::count_if(
            this->nodes.begin(), this->nodes.end(), [](const auto &one) { return one->watching; }));
    }

    auto domainsWatched() const -> std::size_t
    {
        std::set<std::string> domains;
        for (const auto &node : this->nodes) {
            if (node->watching && !node->refused) {
                domains.insert(node->domain);
            }
        }
        return domains.size();
    }

    auto fleet_starts_hasOneWatcherADomain() -> void
    {
        this->start(87, 4);
        this->run(seconds(5));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, this->watchers());
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, this->domainsWatched());
    }

    auto fleet_ofTwoDomains_hasTwoWatchersInEach() -> void
    {
        this->start(20, 2);
        this->run(seconds(5));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, this->watchers());
    }

    auto watchers_allDie_othersStepInWithinThreeSeconds() -> void
    {
        this->start(87, 4);
        this->run(seconds(5));
        std::erase_if(this->nodes, [](const auto &node) { return node->watching; });
        this->run(seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, this->domainsWatched());
        this->run(seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, this->watchers());
    }

    auto watchers_refusedByTheStore_othersStepIn() -> void
    {
        this->start(87, 4);
        this->run(seconds(5));
        for (const auto &node : this->nodes) {
            node->refused = node->watching;
        }
        this->run(seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, this->domainsWatched());
    }

    auto store_down_fewTryAndOneADomainRemains() -> void
    {
        this->start(87, 4);
        this->run(seconds(5));
        this->storeUp = false;
        this->run(seconds(6));
        const std::size_t aQuarter = 87 / 4;
        CPPUNIT_ASSERT(this->watchers() <= aQuarter);
        this->storeUp = true;
        this->run(seconds(4));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, this->watchers());
    }

    auto node_alone_watches() -> void
    {
        this->start(1, 1);
        this->run(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->watchers());
    }

private:
    /** A node of the fleet. */
    struct Node
    {
        Node(const Environment &environment, Instant now)
            : address(environment.peers.text()), domain(environment.domain),
              members(address, {}, now), duty(environment, now)
        {
        }

        std::string address;
        std::string domain;
        FleetMembers members;
        StoreWatchDuty duty;
        bool watching = false;
        bool refused = false; ///< The store rejects its calls.
    };

    std::vector<std::unique_ptr<Node>> nodes;
    Instant now = seconds(100);
    std::uint64_t sequence = 0;
    bool storeUp = true;
};

/** Batches of changes that watchers send to other nodes. */
class PublishedBatchFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PublishedBatchFixture);
    CPPUNIT_TEST(batch_next_isTaken);
    CPPUNIT_TEST(batch_afterAGap_tellsButDoesNotAdvance);
    CPPUNIT_TEST(batch_toAnEmptyMirror_isNotTaken);
    CPPUNIT_TEST(batch_longItem_isLeftOutAndTheRestTold);
    CPPUNIT_TEST(watch_laterThanABatch_bringsNothingBack);
    CPPUNIT_TEST(replace_olderThanABatchAfterAGap_keepsWhatItTold);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        this->watcher.apply({{"a", "1", 4, false}, {"b", "1", 5, false}}, 5);
        this->follower.replace(this->watcher.all(), 5);
    }

    auto change(const std::vector<PublishedChange> &changes, std::uint64_t asOf) -> PublishedBatch
    {
        const auto since = this->watcher.revision();
        return this->watcher.batchOf(this->watcher.apply(changes, asOf), since, 100);
    }

    auto batch_next_isTaken() -> void
    {
        const auto batch = this->change({{"a", "", 6, true}, {"c", "1", 7, false}}, 8);
        CPPUNIT_ASSERT(this->follower.applyBatch(batch) == (std::vector<std::string>{"a", "c"}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, this->follower.revision());
        CPPUNIT_ASSERT(this->follower.find("a") == nullptr);
        CPPUNIT_ASSERT(this->follower.applyBatch(batch).empty());
    }

    auto batch_afterAGap_tellsButDoesNotAdvance() -> void
    {
        this->change({{"a", "2", 6, false}}, 6);
        const auto second = this->change({{"b", "2", 7, false}}, 7);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->follower.applyBatch(second).size());
        CPPUNIT_ASSERT_EQUAL(std::string("2"), this->follower.find("b")->value);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, this->follower.revision());
    }

    auto batch_toAnEmptyMirror_isNotTaken() -> void
    {
        PublishedBook empty;
        CPPUNIT_ASSERT(empty.applyBatch(this->change({{"a", "2", 6, false}}, 6)).empty());
        CPPUNIT_ASSERT(empty.all().empty());
    }

    auto batch_longItem_isLeftOutAndTheRestTold() -> void
    {
        const auto batch =
            this->change({{"a", std::string(200, 'x'), 6, false}, {"b", "2", 7, false}}, 7);
        CPPUNIT_ASSERT(!batch.whole);
        CPPUNIT_ASSERT(this->follower.applyBatch(batch) == std::vector<std::string>{"b"});
        CPPUNIT_ASSERT_EQUAL(std::string("1"), this->follower.find("a")->value);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, this->follower.revision());
    }

    auto watch_laterThanABatch_bringsNothingBack() -> void
    {
        const std::vector<PublishedChange> added{{"c", "1", 6, false}};
        this->change(added, 6);
        const auto removal = this->change({{"c", "", 7, true}}, 7);
        this->follower.applyBatch({5, 7, true, removal.changes});
        CPPUNIT_ASSERT(this->follower.apply(added, 6).empty());
        CPPUNIT_ASSERT(this->follower.find("c") == nullptr);
    }

    auto replace_olderThanABatchAfterAGap_keepsWhatItTold() -> void
    {
        this->change({{"a", "2", 6, false}}, 6);
        const auto between = this->watcher.all();
        this->follower.applyBatch(this->change({{"b", "2", 7, false}}, 7));
        const auto changed = this->follower.replace(between, 6);
        CPPUNIT_ASSERT(changed == std::vector<std::string>{"a"});
        CPPUNIT_ASSERT_EQUAL(std::string("2"), this->follower.find("b")->value);
    }

private:
    PublishedBook watcher;
    PublishedBook follower;
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(StoreWatchDutyFixture);
CPPUNIT_TEST_SUITE_REGISTRATION(PublishedBatchFixture);
