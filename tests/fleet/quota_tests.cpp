/** @file quota_tests.cpp Tests of the organisations' limits over a whole fleet. */
#include "banyanring/fleet/fleet_members.h"
#include "banyanring/fleet/quota_ledger.h"

#include <cppunit/extensions/HelperMacros.h>
#include <random>

namespace {

using namespace banyanring;
using namespace banyanring::fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** One ledger. */
class QuotaLedgerFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuotaLedgerFixture);
    CPPUNIT_TEST(quota_lowered_startsANewWindow);
    CPPUNIT_TEST(quota_refused_canComeBack);
    CPPUNIT_TEST_SUITE_END();

public:
    auto quota_lowered_startsANewWindow() -> void
    {
        QuotaLedger ledger(this->bounds, seconds(0));
        OrganisationRule red{"red", std::nullopt, 100, 100, 1, false};
        CPPUNIT_ASSERT(ledger.admit(red, 500, 1, seconds(20)).admitted);
        red.ratePerSecond = 10;
        red.burst = 10;
        CPPUNIT_ASSERT(ledger.admit(red, 50, 1, seconds(21)).admitted);
        CPPUNIT_ASSERT(!ledger.admit(red, 50, 1, seconds(21)).admitted);
    }

    auto quota_refused_canComeBack() -> void
    {
        QuotaLedger ledger(this->bounds, seconds(0));
        const OrganisationRule red{"red", std::nullopt, 100, 100, 1, false};
        CPPUNIT_ASSERT(ledger.admit(red, 500, 1, seconds(20)).admitted);
        CPPUNIT_ASSERT(!ledger.admit(red, 500, 1, seconds(21)).admitted);
        const auto wait = ledger.retryAfter(red, 100, seconds(21));
        CPPUNIT_ASSERT(wait > seconds(0));
        CPPUNIT_ASSERT(wait <= seconds(9));
        CPPUNIT_ASSERT(ledger.admit(red, 500, 1, seconds(31)).admitted);
    }

private:
    FleetBounds bounds;
};

/**
 * Seeded runs of several ledgers that restart and are cut off, while one organisation asks for
 * several times its rate. A small fleet has gossip only, a large one also asks the keepers of the
 * account. The admissions of all together are checked in each window.
 */
class QuotaFleetFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuotaFleetFixture);
    CPPUNIT_TEST(admissions_calm_nearlyAllUsualAreAdmitted);
    CPPUNIT_TEST(admissions_usualAndRestarts_nearlyAllAreAdmitted);
    CPPUNIT_TEST(admissions_hotAndRestarts_stayInsideTheBound);
    CPPUNIT_TEST(admissions_hotAndCut_stayInsideTheBound);
    CPPUNIT_TEST(largeFleet_calm_nearlyAllUsualAreAdmitted);
    CPPUNIT_TEST(largeFleet_hot_usesTheWholeLimit);
    CPPUNIT_TEST(largeFleet_hotAndRestarts_staysInsideTheBound);
    CPPUNIT_TEST(largeFleet_hotAndCut_staysInsideTheBound);
    CPPUNIT_TEST_SUITE_END();

    static constexpr double UsualPart = 1 / 1.8; ///< Part of its rate that it usually sends.
    static constexpr std::size_t FanOut = 10; ///< Nodes that each round of gossip reaches.

    /** One node of the run. */
    struct Peer
    {
        QuotaLedger ledger;
        std::uint64_t incarnation = 0;
        bool cut = false;
        bool alone = false; ///< Has heard of nobody since its start.
    };

    /** What a run does. */
    struct Plan
    {
        double rate = 36000; ///< The organisation's; the least and a large one are run.
        double times = 1; ///< Times the usual demand.
        bool restarts = false;
        bool cuts = false;
        std::size_t nodes = 9;
        bool keepers = false; ///< The account has keepers.
    };

    /** What came of it. */
    struct Sums
    {
        double asked = 0;
        double admitted = 0;
        double worstWindow = 0;
        Instant worstAt{}; ///< End of that window.
    };

    /** One request of a step. */
    struct Ask
    {
        std::size_t peer = 0;
        double size = 0;
    };

    auto run(std::uint64_t seed, const Plan &plan) -> Sums
    {
        std::mt19937_64 random(seed);
        const OrganisationRule red{"red", std::nullopt, plan.rate, plan.rate, 200, true};
        this->bounds.quotaSlack = 140000;
        std::vector<Peer> peers;
        std::uint64_t next = 1;
        for (std::size_t node = 0; node < plan.nodes; ++node) {
            peers.push_back({QuotaLedger(this->bounds, seconds(0)), next++, false, false});
        }
        Sums sums;
        std::vector<std::pair<Instant, double>> admitted;
        constexpr Duration step = milliseconds(20);
        double units = 0;
        for (Instant now = seconds(10); now < seconds(50); now += step) {
            this->disturb(peers, next, plan, now, random);
            const bool hot = now > seconds(18);
            units += (hot ? plan.times : 1) * plan.rate * UsualPart * 0.02;
            std::vector<Ask> asks;
            while (units > 0) {
                asks.push_back(
                    {random() % plan.nodes,
                     std::min(55000.0, std::exponential_distribution<>(1.0 / 3000)(random))});
                units -= asks.back().size;
            }
            if (plan.keepers) {
                // All of a step ask before any of them is decided on.
                for (const auto &ask : asks) {
                    askKeepers(peers, ask, red, now);
                }
            }
            for (const auto &ask : asks) {
                auto &ledger = peers[ask.peer].ledger;
                sums.asked += ask.size;
                if (ledger.admit(red, ask.size, partOf(peers, ask.peer), now).admitted) {
                    sums.admitted += ask.size;
                    admitted.emplace_back(now, ask.size);
                }
            }
            if (now / step % 5 == 0) {
                gossip(peers, now, random);
            }
        }
        this->findWorst(admitted, sums);
        return sums;
    }

    static auto reaches(const Peer &from, const Peer &to) -> bool
    {
        return &from != &to && !from.cut && !to.cut;
    }

    static auto partOf(const std::vector<Peer> &peers, std::size_t self) -> double
    {
        const auto cut =
            std::count_if(peers.begin(), peers.end(), [](const Peer &peer) { return peer.cut; });
        const bool alone = peers[self].cut || peers[self].alone;
        const auto nodes = static_cast<double>(peers.size());
        return alone ? 1.0 / nodes : (nodes - static_cast<double>(cut)) / nodes;
    }

    auto disturb(std::vector<Peer> &peers, std::uint64_t &next, const Plan &plan, Instant now,
                 std::mt19937_64 &random) -> void
    {
        const bool herd = now == seconds(25);
        const auto calm = 1000 * plan.nodes / 9; // A restart every two seconds.
        for (auto &peer : peers) {
            if (plan.restarts && (herd || random() % calm == 0)) {
                peer = {QuotaLedger(this->bounds, now), next++, peer.cut, true};
            }
        }
        if (plan.cuts && now == seconds(22)) {
            for (std::size_t node = 0; node < plan.nodes / 3; ++node) {
                peers[node].cut = true;
            }
        }
        if (plan.cuts && now == seconds(34)) {
            for (auto &peer : peers) {
                peer.cut = false;
            }
        }
    }

    static auto gossip(std::vector<Peer> &peers, Instant now, std::mt19937_64 &random) -> void
    {
        for (auto &from : peers) {
            const auto spends = from.ledger.ownSpends(now);
            std::set<std::uint64_t> contact;
            for (auto &to : peers) {
                if (!reaches(from, to)) {
                    continue;
                }
                contact.insert(to.incarnation);
                const bool lost = random() % 50 == 0;
                if (random() % peers.size() < FanOut && !lost) {
                    to.alone = false;
                    to.ledger.takePeer(from.incarnation, spends, now);
                }
            }
            const auto rounds = static_cast<std::int64_t>(peers.size() / FanOut);
            from.ledger.noteContact(std::move(contact), milliseconds(400 + 100 * rounds));
        }
    }

    static auto askKeepers(std::vector<Peer> &peers, const Ask &ask, const OrganisationRule &red,
                           Instant now) -> void
    {
        constexpr int Keepers = 2;
        auto &asker = peers[ask.peer];
        const auto id = hashName(red.name);
        const auto spend = asker.ledger.ownSpend(id, ask.size, now);
        int asked = 0;
        for (std::size_t rank = 0; rank < peers.size() && asked < Keepers; ++rank) {
            auto &keeper = peers[(rank * 31 + 7) % peers.size()];
            if (&keeper == &asker) {
                ++asked;
            } else if (reaches(asker, keeper)) {
                ++asked;
                keeper.ledger.takePeer(asker.incarnation, {spend}, now);
                const auto part = partOf(peers, ask.peer);
                asker.ledger.takeTotal(static_cast<std::uint32_t>(rank),
                                       keeper.ledger.totalFor(id, asker.incarnation, part, now),
                                       now);
            }
        }
    }

    auto findWorst(const std::vector<std::pair<Instant, double>> &admitted, Sums &sums) const
        -> void
    {
        double sum = 0;
        std::size_t begin = 0;
        for (const auto &[at, size] : admitted) {
            sum += size;
            while (admitted[begin].first < at - this->bounds.quotaWindow) {
                sum -= admitted[begin++].second;
            }
            if (sum > sums.worstWindow) {
                sums.worstWindow = sum;
                sums.worstAt = at;
            }
        }
    }

    /** Runs many seeds and checks the worst window of each. */
    auto checkSeeds(const Plan &plan, std::uint64_t seeds) -> void
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const auto sums = this->run(seed, plan);
            const auto part = sums.worstWindow / this->boundOf(plan.rate);
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": " + std::to_string(part)
                                       + " of the bound in the window that ends at "
                                       + std::to_string(sums.worstAt / milliseconds(1)) + " ms",
                                   part <= 1);
        }
    }

    auto boundOf(double rate) const -> double
    {
        return rate * 9 * (1 + this->bounds.quotaOvershoot) + this->bounds.quotaSlack;
    }

public:
    auto admissions_calm_nearlyAllUsualAreAdmitted() -> void
    {
        const auto sums = this->run(1, {});
        CPPUNIT_ASSERT(sums.admitted > 0.99 * sums.asked);
    }

    auto admissions_usualAndRestarts_nearlyAllAreAdmitted() -> void
    {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            const auto sums = this->run(seed, {180000, 1.2, true, false});
            CPPUNIT_ASSERT_MESSAGE(std::to_string(sums.admitted / sums.asked),
                                   sums.admitted > 0.97 * sums.asked);
        }
    }

    auto admissions_hotAndRestarts_stayInsideTheBound() -> void
    {
        this->checkSeeds({36000, 6, true, false}, 40);
        this->checkSeeds({180000, 6, true, false}, 40);
    }

    auto admissions_hotAndCut_stayInsideTheBound() -> void
    {
        this->checkSeeds({36000, 6, false, true}, 40);
        this->checkSeeds({180000, 6, false, true}, 40);
    }

    auto largeFleet_calm_nearlyAllUsualAreAdmitted() -> void
    {
        const auto sums = this->run(1, {600000, 1, false, false, 87, true});
        CPPUNIT_ASSERT(sums.admitted > 0.99 * sums.asked);
    }

    auto largeFleet_hot_usesTheWholeLimit() -> void
    {
        const auto sums = this->run(1, {600000, 6, false, false, 87, true});
        CPPUNIT_ASSERT(sums.worstWindow > 600000 * 9);
    }

    auto largeFleet_hotAndRestarts_staysInsideTheBound() -> void
    {
        this->checkSeeds({600000, 6, true, false, 87, true}, 5);
        this->checkSeeds({600000, 2, true, false, 87, true}, 5);
    }

    auto largeFleet_hotAndCut_staysInsideTheBound() -> void
    {
        this->checkSeeds({600000, 6, false, true, 87, true}, 5);
    }

private:
    FleetBounds bounds;
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaLedgerFixture);
CPPUNIT_TEST_SUITE_REGISTRATION(QuotaFleetFixture);
