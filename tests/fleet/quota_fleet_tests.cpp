/** @file quota_fleet_tests.cpp Tests of the organisations' limits over a whole fleet. */
#include "banyanring/fleet/fleet_members.h"
#include "banyanring/fleet/quota_limiter.h"

#include <cppunit/extensions/HelperMacros.h>
#include <random>

namespace {

using namespace banyanring;
using namespace banyanring::fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

/**
 * Seeded simulations of several quota limiters that restart and are cut off, while one organisation
 * sends several times its rate. A small fleet uses gossip only; a large one also queries the
 * coordinators of the quota. The sum of all admissions is checked in each window.
 */
class QuotaFleetFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuotaFleetFixture);
    CPPUNIT_TEST(usualLoad_noFaults_nearlyAllAdmitted);
    CPPUNIT_TEST(usualLoad_restarts_nearlyAllAdmitted);
    CPPUNIT_TEST(overload_restarts_staysWithinTheBound);
    CPPUNIT_TEST(overload_partition_staysWithinTheBound);
    CPPUNIT_TEST(overload_limitLoweredInSteps_staysWithinTheBound);
    CPPUNIT_TEST(overload_limitLoweredAndRaised_staysWithinTheBound);
    CPPUNIT_TEST(overload_limitHalvedOnce_neitherStopsNorExceedsTheBound);
    CPPUNIT_TEST(largeFleet_usualLoad_nearlyAllAdmitted);
    CPPUNIT_TEST(largeFleet_overload_usesTheFullLimit);
    CPPUNIT_TEST(largeFleet_overloadAndRestarts_staysWithinTheBound);
    CPPUNIT_TEST(largeFleet_overloadAndPartition_staysWithinTheBound);
    CPPUNIT_TEST(hundredsOfNodes_usualLoad_nearlyAllAdmitted);
    CPPUNIT_TEST(hundredsOfNodes_overloadAndRestarts_staysWithinTheBound);
    CPPUNIT_TEST(hundredsOfNodes_overloadAndPartition_staysWithinTheBound);
    CPPUNIT_TEST(hundredsOfNodes_limitLoweredInSteps_staysWithinTheBound);
    CPPUNIT_TEST_SUITE_END();

    /** Fraction of its rate that the organisation usually sends. */
    static constexpr double UsualFraction = 1 / 1.8;
    static constexpr std::size_t FanOut = 10; ///< Number of nodes that each gossip round reaches.

    /** A node of the simulation. */
    struct Peer
    {
        QuotaLimiter limiter;
        std::uint64_t incarnation = 0;
        bool cutOff = false;
        bool withoutGossip = false; ///< Has received no gossip since its start.
        Duration configDelay{}; ///< Time after which it learns of a changed limit.
    };

    /** A change of the organisation's rate. */
    struct RateChange
    {
        Instant at{};
        double factor = 1; ///< Multiple of the scenario's rate.
    };

    /** Parameters of a simulation. */
    struct Scenario
    {
        /**
         * The organisation's rate in units per second; the tests use the lowest one in use and a
         * large one.
         */
        double rate = 36000;
        double demandFactor = 1; ///< Multiple of the usual demand.
        bool restarts = false;
        bool partition = false;
        std::size_t nodes = 9;
        bool coordinators = false; ///< The nodes query coordinators of the quota.
        bool reports = false; ///< The nodes report admissions to the coordinators each 200 ms.
        Duration gossipInterval = milliseconds(100);
        std::size_t fanOut = FanOut; ///< Number of nodes that each gossip round reaches.
        std::vector<RateChange> rateChanges{};

        /** @return The organisation's rate in force at a time. */
        auto rateAt(Instant now) const -> double
        {
            double factor = 1;
            for (const auto &change : this->rateChanges) {
                factor = now >= change.at ? change.factor : factor;
            }
            return this->rate * factor;
        }

        /** @return Highest rate that a window which ends now may be held to. */
        auto bindingRateAt(Instant now) const -> double
        {
            double rate = this->rateAt(now - QuotaWindow - MaxConfigDelay);
            for (const auto &change : this->rateChanges) {
                if (change.at <= now && change.at > now - QuotaWindow - MaxConfigDelay) {
                    rate = std::max(rate, this->rate * change.factor);
                }
            }
            return rate;
        }
    };

    static constexpr Duration QuotaWindow = seconds(8);
    static constexpr Duration MaxConfigDelay = seconds(2); ///< Bound of the platform.

    /** @return The largest deployment, in which usages are rarely gossiped. */
    static auto hundredsOfNodes(double demandFactor, bool restarts, bool partition) -> Scenario
    {
        return {600000, demandFactor, restarts, partition, 300, true, true, seconds(1), 3};
    }

    /** Results of a simulation. */
    struct Result
    {
        double requested = 0;
        double admitted = 0;
        double worstWindow = 0;
        Instant worstAt{}; ///< End of that window.
        double worstFraction = 0; ///< Largest fraction of the bound of its time.
        Instant worstFractionAt{};
        std::vector<std::pair<Instant, double>> admissions; ///< Units by time.
    };

    /** A request of one step. */
    struct Request
    {
        std::size_t peer = 0;
        double size = 0;
    };

    auto run(std::uint64_t seed, const Scenario &scenario) -> Result
    {
        std::mt19937_64 random(seed);
        const auto redAt = [&](Instant time) {
            return OrganisationConfig{"red",         std::nullopt, scenario.rateAt(time),
                                      scenario.rate, 200,          true};
        };
        this->bounds.quotaSlack = 140000;
        std::vector<Peer> peers;
        std::uint64_t nextIncarnation = 1;
        for (std::size_t node = 0; node < scenario.nodes; ++node) {
            peers.push_back({QuotaLimiter(this->bounds, seconds(0)), nextIncarnation++, false,
                             false,
                             scenario.rateChanges.empty()
                                 ? Duration(0)
                                 : milliseconds(random() % (MaxConfigDelay / milliseconds(1)))});
        }
        Result result;
        constexpr Duration step = milliseconds(20);
        double units = 0;
        for (Instant now = seconds(10); now < seconds(50); now += step) {
            this->injectFaults(peers, nextIncarnation, scenario, now, random);
            const bool overloaded = now > seconds(18);
            units +=
                (overloaded ? scenario.demandFactor : 1) * scenario.rate * UsualFraction * 0.02;
            std::vector<Request> requests;
            while (units > 0) {
                requests.push_back(
                    {random() % scenario.nodes,
                     std::min(55000.0, std::exponential_distribution<>(1.0 / 3000)(random))});
                units -= requests.back().size;
            }
            if (scenario.coordinators) {
                // All requests of a step query before any of them is decided.
                for (const auto &request : requests) {
                    queryCoordinators(peers, request, now);
                }
            }
            for (const auto &request : requests) {
                auto &limiter = peers[request.peer].limiter;
                const auto red = redAt(now - peers[request.peer].configDelay);
                result.requested += request.size;
                if (limiter.admit(red, request.size, reachableFractionOf(peers, request.peer), now)
                        .admitted) {
                    result.admitted += request.size;
                    result.admissions.emplace_back(now, request.size);
                }
            }
            if (scenario.reports && now % milliseconds(200) == Duration(0)) {
                for (std::size_t peer = 0; peer < peers.size(); ++peer) {
                    queryCoordinators(peers, {peer, 0}, now);
                }
            }
            if (now % scenario.gossipInterval == Duration(0)) {
                gossip(peers, scenario, now, random);
            }
        }
        this->findWorstWindow(scenario, result);
        return result;
    }

    static auto canReach(const Peer &from, const Peer &to) -> bool
    {
        return &from != &to && !from.cutOff && !to.cutOff;
    }

    static auto reachableFractionOf(const std::vector<Peer> &peers, std::size_t self) -> double
    {
        const auto cutOffCount =
            std::count_if(peers.begin(), peers.end(), [](const Peer &peer) { return peer.cutOff; });
        const bool isolated = peers[self].cutOff || peers[self].withoutGossip;
        const auto nodes = static_cast<double>(peers.size());
        return isolated ? 1.0 / nodes : (nodes - static_cast<double>(cutOffCount)) / nodes;
    }

    auto injectFaults(std::vector<Peer> &peers, std::uint64_t &nextIncarnation,
                      const Scenario &scenario, Instant now, std::mt19937_64 &random) -> void
    {
        const bool restartAll = now == seconds(25);
        const auto restartPeriod =
            1000 * scenario.nodes / 9; // One restart every two seconds on average.
        for (auto &peer : peers) {
            if (scenario.restarts && (restartAll || random() % restartPeriod == 0)) {
                peer = {QuotaLimiter(this->bounds, now), nextIncarnation++, peer.cutOff, true,
                        peer.configDelay};
            }
        }
        if (scenario.partition && now == seconds(22)) {
            for (std::size_t node = 0; node < scenario.nodes / 3; ++node) {
                peers[node].cutOff = true;
            }
        }
        if (scenario.partition && now == seconds(34)) {
            for (auto &peer : peers) {
                peer.cutOff = false;
            }
        }
    }

    static auto gossip(std::vector<Peer> &peers, const Scenario &scenario, Instant now,
                       std::mt19937_64 &random) -> void
    {
        for (auto &from : peers) {
            const auto usages = from.limiter.ownUsages(now);
            std::set<std::uint64_t> alivePeers;
            for (auto &to : peers) {
                if (!canReach(from, to)) {
                    continue;
                }
                alivePeers.insert(to.incarnation);
                const bool dropped = random() % 50 == 0;
                if (random() % peers.size() < scenario.fanOut && !dropped) {
                    to.withoutGossip = false;
                    to.limiter.mergePeerUsage(from.incarnation, usages, now);
                }
            }
            const auto rounds = static_cast<std::int64_t>(peers.size() / scenario.fanOut);
            from.limiter.setAlivePeers(std::move(alivePeers),
                                       milliseconds(400) + scenario.gossipInterval * rounds);
        }
    }

    static auto queryCoordinators(std::vector<Peer> &peers, const Request &request, Instant now)
        -> void
    {
        constexpr int CoordinatorCount = 2;
        auto &requester = peers[request.peer];
        const auto id = hashName("red");
        const auto usage = requester.limiter.ownUsage(id, request.size, now);
        int queried = 0;
        for (std::size_t rank = 0; rank < peers.size() && queried < CoordinatorCount; ++rank) {
            auto &coordinator = peers[(rank * 31 + 7) % peers.size()];
            if (&coordinator == &requester) {
                ++queried;
            } else if (canReach(requester, coordinator)) {
                ++queried;
                coordinator.limiter.mergePeerUsage(requester.incarnation, {usage}, now);
                const auto fraction = reachableFractionOf(peers, request.peer);
                requester.limiter.setTotal(
                    static_cast<std::uint32_t>(rank),
                    coordinator.limiter.totalExcept(id, requester.incarnation, fraction, now), now);
            }
        }
    }

    auto findWorstWindow(const Scenario &scenario, Result &result) const -> void
    {
        double windowUnits = 0;
        std::size_t begin = 0;
        const auto &admissions = result.admissions;
        for (const auto &[at, size] : admissions) {
            windowUnits += size;
            while (admissions[begin].first < at - this->bounds.quotaWindow) {
                windowUnits -= admissions[begin++].second;
            }
            if (windowUnits > result.worstWindow) {
                result.worstWindow = windowUnits;
                result.worstAt = at;
            }
            const double fraction =
                windowUnits / this->boundOf(scenario.bindingRateAt(at), scenario.rate);
            if (fraction > result.worstFraction) {
                result.worstFraction = fraction;
                result.worstFractionAt = at;
            }
        }
    }

    /** Runs many seeds and checks the worst window of each. */
    auto checkSeeds(const Scenario &scenario, std::uint64_t seeds) -> void
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const auto result = this->run(seed, scenario);
            CPPUNIT_ASSERT_MESSAGE(
                "seed " + std::to_string(seed) + ": " + std::to_string(result.worstFraction)
                    + " of the bound in the window that ends at "
                    + std::to_string(result.worstFractionAt / milliseconds(1)) + " ms",
                result.worstFraction <= 1);
        }
    }

    auto boundOf(double rate) const -> double
    {
        return this->boundOf(rate, rate);
    }

    auto boundOf(double rate, double burst) const -> double
    {
        return (rate * 8 + burst) * (1 + this->bounds.quotaOvershoot) + this->bounds.quotaSlack;
    }

    /** @return Changes that lower the rate by 2% each time. */
    static auto smallSteps(int count, Duration interval) -> std::vector<RateChange>
    {
        std::vector<RateChange> changes;
        double factor = 1;
        for (int step = 0; step < count; ++step) {
            factor *= 0.98;
            changes.push_back({seconds(20) + step * interval, factor});
        }
        return changes;
    }

public:
    auto usualLoad_noFaults_nearlyAllAdmitted() -> void
    {
        const auto result = this->run(1, {});
        CPPUNIT_ASSERT(result.admitted > 0.99 * result.requested);
    }

    auto usualLoad_restarts_nearlyAllAdmitted() -> void
    {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            const auto result = this->run(seed, {180000, 1.2, true, false});
            CPPUNIT_ASSERT_MESSAGE(std::to_string(result.admitted / result.requested),
                                   result.admitted > 0.97 * result.requested);
        }
    }

    auto overload_restarts_staysWithinTheBound() -> void
    {
        this->checkSeeds({36000, 6, true, false}, 40);
        this->checkSeeds({180000, 6, true, false}, 40);
    }

    auto overload_partition_staysWithinTheBound() -> void
    {
        this->checkSeeds({36000, 6, false, true}, 40);
        this->checkSeeds({180000, 6, false, true}, 40);
    }

    /** Each step of a lowered quota handed the whole window out again. */
    auto overload_limitLoweredInSteps_staysWithinTheBound() -> void
    {
        for (const auto interval : {milliseconds(500), milliseconds(1200), milliseconds(2000)}) {
            Scenario scenario{36000, 6};
            scenario.rateChanges = smallSteps(9, interval);
            this->checkSeeds(scenario, 10);
            scenario.rate = 180000;
            this->checkSeeds(scenario, 10);
            scenario.restarts = true;
            this->checkSeeds(scenario, 10);
        }
    }

    auto overload_limitLoweredAndRaised_staysWithinTheBound() -> void
    {
        Scenario scenario{180000, 6};
        for (int step = 0; step < 20; ++step) {
            scenario.rateChanges.push_back({seconds(20) + step * seconds(1), step % 2 ? 1.0 : 0.5});
        }
        this->checkSeeds(scenario, 20);
    }

    auto overload_limitHalvedOnce_neitherStopsNorExceedsTheBound() -> void
    {
        Scenario scenario{180000, 6};
        scenario.rateChanges = {{seconds(26), 0.5}};
        this->checkSeeds(scenario, 20);
        const auto result = this->run(1, scenario);
        for (auto from = Instant(seconds(26)); from < seconds(40); from += seconds(2)) {
            double units = 0;
            for (const auto &[at, size] : result.admissions) {
                units += at >= from && at < from + seconds(2) ? size : 0;
            }
            CPPUNIT_ASSERT_MESSAGE(std::to_string(units) + " from second "
                                       + std::to_string(from / seconds(1)),
                                   units > 0);
        }
    }

    auto largeFleet_usualLoad_nearlyAllAdmitted() -> void
    {
        const auto result = this->run(1, {600000, 1, false, false, 87, true});
        CPPUNIT_ASSERT(result.admitted > 0.99 * result.requested);
    }

    auto largeFleet_overload_usesTheFullLimit() -> void
    {
        const auto result = this->run(1, {600000, 6, false, false, 87, true});
        CPPUNIT_ASSERT(result.worstWindow > 600000 * 9);
    }

    auto largeFleet_overloadAndRestarts_staysWithinTheBound() -> void
    {
        this->checkSeeds({600000, 6, true, false, 87, true}, 5);
        this->checkSeeds({600000, 2, true, false, 87, true}, 5);
    }

    auto largeFleet_overloadAndPartition_staysWithinTheBound() -> void
    {
        this->checkSeeds({600000, 6, false, true, 87, true}, 5);
    }

    auto hundredsOfNodes_usualLoad_nearlyAllAdmitted() -> void
    {
        const auto result = this->run(1, hundredsOfNodes(1, false, false));
        CPPUNIT_ASSERT(result.admitted > 0.99 * result.requested);
        // Demand below the limit is not rejected either, as long as the whole window is within it.
        const auto atTheLimit = this->run(1, hundredsOfNodes(1.7, false, false));
        CPPUNIT_ASSERT(atTheLimit.admitted > 0.99 * atTheLimit.requested);
        CPPUNIT_ASSERT(atTheLimit.worstWindow <= this->boundOf(600000));
    }

    auto hundredsOfNodes_overloadAndRestarts_staysWithinTheBound() -> void
    {
        this->checkSeeds(hundredsOfNodes(6, true, false), 2);
        this->checkSeeds(hundredsOfNodes(2, true, false), 2);
    }

    auto hundredsOfNodes_limitLoweredInSteps_staysWithinTheBound() -> void
    {
        auto scenario = hundredsOfNodes(6, true, false);
        scenario.rateChanges = smallSteps(9, milliseconds(1200));
        this->checkSeeds(scenario, 1);
    }

    auto hundredsOfNodes_overloadAndPartition_staysWithinTheBound() -> void
    {
        this->checkSeeds(hundredsOfNodes(6, false, true), 2);
    }

private:
    FleetBounds bounds;
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaFleetFixture);
