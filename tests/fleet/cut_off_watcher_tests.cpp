/** @file cut_off_watcher_tests.cpp Simulated fleets whose watchers get no answers of the store. */
#include "banyanring/fleet/store_watch_election.h"
#include "banyanring/gateway/peer_gossip.h"
#include "store_reader.h"

#include <cppunit/extensions/HelperMacros.h>
#include <deque>

namespace {

using namespace banyanring;
using namespace banyanring::fleet;
using platform::StoreReader;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration Step = milliseconds(50); ///< Interval of a node's ticks.

/** The requests of a node's reader to a store that answers, is slow, or leaves them unanswered. */
class SimulatedReader
{
public:
    /** @param nextLatency Time that the answer to the first request takes beyond its wait. */
    auto start(Instant now, Duration nextLatency) -> void
    {
        *this = {};
        this->isRunning = true;
        this->latency = nextLatency;
        this->send(now, StoreReader::AnswerInterval);
    }

    /**
     * @param answers Whether the store answers this node.
     * @param hasChange Whether the answer contains changes.
     * @param nextLatency Time that the answer to the next request takes beyond its wait.
     */
    auto update(Instant now, bool answers, bool hasChange, Duration nextLatency) -> void
    {
        if (now < this->sentAt) {
            return; // Pauses between two requests.
        }
        const auto waited = now - this->sentAt;
        if (answers && waited >= this->latency + (hasChange ? Duration(0) : this->wait)) {
            this->reachable = true;
            this->failures = 0;
            this->isOverdue = false;
            this->readAt = now;
            this->latency = nextLatency;
            const auto pause = hasChange ? StoreReader::WatchPause : Duration(0);
            this->send(now + pause, StoreReader::AnswerInterval - pause);
        } else if (waited >= this->wait + StoreReader::RequestTimeout) {
            this->reachable = false;
            this->isOverdue = false;
            ++this->failures;
            this->send(now + std::min(milliseconds(600), milliseconds(150) * this->failures),
                       milliseconds(1));
        } else if (waited >= this->wait + StoreReader::AnswerTolerance && this->failures == 0) {
            this->isOverdue = true;
        }
    }

    auto fillStatus(NodeStatus &status) const -> void
    {
        status.watchesStore = this->isRunning;
        status.storeReachable = this->isRunning && this->reachable && !this->isOverdue;
        status.storeUntried = this->isRunning && !status.storeReachable && this->failures == 0;
    }

    bool isRunning = false;
    Instant readAt{}; ///< When the store answered last.

private:
    auto send(Instant at, Duration newWait) -> void
    {
        this->sentAt = at;
        this->wait = newWait;
    }

    Instant sentAt{};
    Duration wait{};
    Duration latency{};
    bool reachable = false;
    bool isOverdue = false;
    int failures = 0;
};

/** A fleet whose nodes gossip in rounds of their own phase and read a simulated store. */
class CutOffWatcherFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CutOffWatcherFixture);
    CPPUNIT_TEST(watchers_allCutOff_changeIsInForceInTime);
    CPPUNIT_TEST(watchers_allCutOffInAMediumFleet_changeIsInForceInTime);
    CPPUNIT_TEST(watchers_allCutOffInALargeFleet_changeIsInForceInTime);
    CPPUNIT_TEST(store_leavesRequestsUnanswered_fewNodesTryIt);
    CPPUNIT_TEST(largeFleet_withoutFaults_watchersStay);
    CPPUNIT_TEST(store_slow_watchersTakeOverAgain);
    CPPUNIT_TEST(higherRanked_firstRequestsOpen_nextOneTakesOverSoon);
    CPPUNIT_TEST_SUITE_END();

    /** A node of the fleet. */
    struct Node
    {
        Node(const ProcessSettings &settings, Instant now)
            : address(settings.peers.text()), domain(settings.domain),
              members(address, {}, now, domain), election(settings, now)
        {
        }

        std::string address;
        std::string domain;
        FleetMembers members;
        StoreWatchElection election;
        SimulatedReader reader;
        std::deque<NodeStatus> statuses; ///< Issued within GossipDelay, the newest one last.
        int gossipPhase = 0;
        bool isCutOff = false;
    };

public:
    auto start(int count, int domains, std::uint64_t seed) -> void
    {
        this->nodes.clear();
        this->random.seed(seed);
        this->storeAnswers = true;
        for (int number = 0; number < count; ++number) {
            ProcessSettings settings;
            settings.ip = "10." + std::to_string(seed % 200) + "." + std::to_string(number / 100)
                          + "." + std::to_string(number);
            settings.peers = {settings.ip, 7600};
            settings.domain = "zone-" + std::to_string(number % domains);
            this->nodes.push_back(std::make_unique<Node>(settings, this->now));
            this->nodes.back()->gossipPhase = this->draw(4);
        }
        this->run(seconds(8));
        CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(domains), this->watchers().size());
    }

    auto draw(int values) -> int
    {
        return std::uniform_int_distribution<int>(0, values - 1)(this->random);
    }

    auto run(Duration time) -> void
    {
        const int stepsPerRound =
            static_cast<int>(gateway::PeerGossip::RoundInterval / Step) * (this->isLarge() ? 2 : 1);
        for (const auto until = this->now + time; this->now < until; this->now += Step) {
            ++this->steps;
            for (const auto &node : this->nodes) {
                if ((this->steps + node->gossipPhase) % stepsPerRound == 0) {
                    this->gossip(*node);
                }
            }
            for (const auto &node : this->nodes) {
                this->tick(*node);
            }
        }
    }

    auto tick(Node &node) -> void
    {
        const bool watching = node.election.update(node.members, 0, this->now);
        const auto latency = milliseconds(this->draw(this->storeSlow ? 1000 : 250));
        if (!watching) {
            node.reader.isRunning = false;
        } else if (!node.reader.isRunning) {
            node.reader.start(this->now, latency);
        } else {
            const bool hasUnreadChange = node.reader.readAt < this->changedAt;
            const bool hasOtherChange = this->draw(20) == 0;
            node.reader.update(this->now, this->storeAnswers && !node.isCutOff,
                               hasUnreadChange || hasOtherChange, latency);
        }
    }

    /** A message in a hundred is lost; in a large fleet, statuses reach most nodes late. */
    auto gossip(Node &from) -> void
    {
        NodeStatus status;
        status.peerAddress = from.address;
        status.domain = from.domain;
        status.incarnation = 1;
        status.sequence = ++this->sequence;
        status.phase = NodePhase::Ready;
        from.reader.fillStatus(status);
        from.statuses.push_back(status);
        const auto roundInterval = gateway::PeerGossip::RoundInterval * 2;
        const auto kept = static_cast<std::size_t>(GossipDelay / roundInterval) + 1;
        auto relayed = from.statuses.front();
        relayed.age = roundInterval * static_cast<std::int64_t>(from.statuses.size() - 1);
        if (from.statuses.size() == kept) {
            from.statuses.pop_front();
        }
        const auto successors =
            from.reader.isRunning
                ? from.members.watchSuccessors(StoreWatchElection::Successors, this->now)
                : std::vector<std::string>();
        for (const auto &to : this->nodes) {
            const bool isDirect =
                !this->isLarge()
                || std::find(successors.begin(), successors.end(), to->address) != successors.end();
            if (this->draw(100) != 0) {
                to->members.mergeStatus(isDirect ? status : relayed, this->now);
            }
        }
    }

    auto isLarge() const -> bool
    {
        return this->nodes.size() > LargeFleetSize;
    }

    auto watchers() const -> std::vector<Node *>
    {
        std::vector<Node *> found;
        for (const auto &node : this->nodes) {
            if (node->reader.isRunning) {
                found.push_back(node.get());
            }
        }
        return found;
    }

    /** @return Whether a node of each domain has read the change. */
    auto allDomainsHaveRead() const -> bool
    {
        std::set<std::string> domains;
        std::set<std::string> reached;
        for (const auto &node : this->nodes) {
            domains.insert(node->domain);
            if (node->reader.readAt >= this->changedAt) {
                reached.insert(node->domain);
            }
        }
        return reached == domains;
    }

    /**
     * Cuts the watchers off at a random moment, together with a change.
     * @return Time until the change has been read in each domain and relayed.
     */
    auto timeOfChange() -> Duration
    {
        this->run(Step * this->draw(20));
        const auto cutOff = this->watchers();
        for (auto *watcher : cutOff) {
            watcher->isCutOff = true;
        }
        this->changedAt = this->now;
        while (!this->allDomainsHaveRead() && this->now - this->changedAt < seconds(10)) {
            this->run(Step);
        }
        const auto time = this->now - this->changedAt + RelayTime;
        this->run(seconds(3));
        for (auto *watcher : cutOff) {
            watcher->isCutOff = false;
        }
        this->run(seconds(5));
        CPPUNIT_ASSERT(this->watchers() == cutOff);
        return time;
    }

    auto checkCutOffs(int count, int domains, std::uint64_t seeds, int cutsPerSeed) -> void
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            this->start(count, domains, seed);
            for (int cut = 0; cut < cutsPerSeed; ++cut) {
                const auto time = this->timeOfChange();
                CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ", "
                                           + std::to_string(time / milliseconds(1)) + " ms",
                                       time <= InForceTime);
            }
        }
    }

    /** Guards against watchers that are noticed only when their requests fail. */
    auto watchers_allCutOff_changeIsInForceInTime() -> void
    {
        this->checkCutOffs(9, 3, 20, 5);
    }

    auto watchers_allCutOffInAMediumFleet_changeIsInForceInTime() -> void
    {
        this->checkCutOffs(65, 4, 4, 5);
    }

    auto watchers_allCutOffInALargeFleet_changeIsInForceInTime() -> void
    {
        this->checkCutOffs(350, 4, 1, 4);
    }

    /** Guards against a fleet that calls a store which accepts requests and answers none. */
    auto store_leavesRequestsUnanswered_fewNodesTryIt() -> void
    {
        this->start(350, 4, 1);
        this->storeAnswers = false;
        this->run(seconds(3));
        CPPUNIT_ASSERT(this->watchers().size() <= 4 * (1 + StoreWatchElection::Successors));
        this->start(87, 4, 2);
        this->storeAnswers = false;
        this->run(seconds(6));
        const std::size_t quarter = 87 / 4;
        CPPUNIT_ASSERT(this->watchers().size() <= quarter);
    }

    /** Guards against answers that count as overdue although nothing is wrong. */
    auto largeFleet_withoutFaults_watchersStay() -> void
    {
        this->start(350, 4, 1);
        const auto before = this->watchers();
        for (int round = 0; round < 100; ++round) {
            this->run(Step * 2);
            CPPUNIT_ASSERT(this->watchers() == before);
        }
    }

    /** Guards against nodes that go on watching after the store was slow. */
    auto store_slow_watchersTakeOverAgain() -> void
    {
        this->start(65, 4, 1);
        const auto before = this->watchers();
        this->storeSlow = true;
        this->run(seconds(10));
        CPPUNIT_ASSERT(this->watchers().size() <= 4 * (1 + StoreWatchElection::Successors));
        this->storeSlow = false;
        this->run(seconds(5));
        CPPUNIT_ASSERT(this->watchers() == before);
    }

    /** @return Time until the third node takes over from watchers that get no answers. */
    auto takeoverTime(bool requestsFailed) -> Duration
    {
        ProcessSettings settings;
        settings.peers = {"10.0.0.1", 7600};
        Node node(settings, this->now);
        const auto since = this->now;
        while (!node.election.update(node.members, 0, this->now)
               && this->now - since < seconds(10)) {
            this->now += Step;
            int watchers = 0;
            for (int number = 2; watchers < 2; ++number) {
                NodeStatus status;
                status.peerAddress = "10.0.0." + std::to_string(number) + ":7600";
                status.incarnation = 1;
                status.sequence = ++this->sequence;
                status.phase = NodePhase::Ready;
                status.watchesStore = true;
                status.storeUntried = !requestsFailed;
                if (watchRank(hashName(status.peerAddress)) > watchRank(hashName(node.address))) {
                    node.members.mergeStatus(status, this->now);
                    ++watchers;
                }
            }
        }
        return this->now - since;
    }

    /** Guards against an open request that counts as a failed one. */
    auto higherRanked_firstRequestsOpen_nextOneTakesOverSoon() -> void
    {
        CPPUNIT_ASSERT(this->takeoverTime(false) <= milliseconds(400));
        CPPUNIT_ASSERT(this->takeoverTime(true) >= milliseconds(1500));
    }

private:
    static constexpr Duration InForceTime = seconds(3);
    static constexpr Duration RelayTime = milliseconds(300);
    static constexpr Duration GossipDelay = milliseconds(1400); ///< To most nodes of a large fleet.
    static constexpr std::size_t LargeFleetSize = 20;

    std::vector<std::unique_ptr<Node>> nodes;
    std::mt19937_64 random;
    Instant now = seconds(100);
    Instant changedAt{};
    int steps = 0;
    std::uint64_t sequence = 0;
    bool storeAnswers = true;
    bool storeSlow = false;
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(CutOffWatcherFixture);
