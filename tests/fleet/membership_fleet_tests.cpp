/** @file membership_fleet_tests.cpp Seeded simulations of the membership of whole fleets. */
#include "banyanring/fleet/fleet_members.h"
#include "banyanring/gateway/gossip_codec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <memory>

namespace {

using namespace banyanring;
using namespace banyanring::fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration Step = milliseconds(20);
constexpr Duration Round = milliseconds(200);
constexpr Duration StartupRound = milliseconds(100);
constexpr Duration StartupTime = seconds(3);
constexpr std::size_t FanOut = 3;
constexpr std::size_t DistantFanOut = 1;
constexpr std::size_t Heartbeats = 64;
constexpr std::size_t RelayedStatuses = 8;
constexpr std::size_t RequestedStatuses = 64;
constexpr int Domains = 6;
constexpr int Seeds = 3;

/** A node with its view of the fleet. */
struct Node
{
    Node(NodeStatus initialStatus, std::vector<std::string> seeds, Instant now)
        : status(std::move(initialStatus)),
          members(status.peerAddress, std::move(seeds), now, status.domain)
    {
    }

    NodeStatus status;
    FleetMembers members;
    Instant nextRound{};
    bool running = true;
    std::size_t sentBytes = 0;
};

/** Fleets that exchange heartbeats as the nodes of a large fleet do. */
class MembershipFleetFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MembershipFleetFixture);
    CPPUNIT_TEST(fleet_undisturbed_losesNoMember);
    CPPUNIT_TEST(fleet_lossyLinks_losesNoMember);
    CPPUNIT_TEST(fleet_undisturbed_sendsFewBytes);
    CPPUNIT_TEST(fleet_startsAtOnce_allKnowAllWithinThreeSeconds);
    CPPUNIT_TEST(domain_crashes_isDroppedEverywhereInTime);
    CPPUNIT_TEST(domains_cutFromEachOther_stayMembersThroughTheOthers);
    CPPUNIT_TEST(member_restartsAndDrains_isKnownEverywhereInTime);
    CPPUNIT_TEST(suspendedNode_oldHeartbeats_reviveNoCrashedMember);
    CPPUNIT_TEST_SUITE_END();

public:
    auto fleet_undisturbed_losesNoMember() -> void
    {
        for (const int size : {30, 150, 350}) {
            this->start(size, 1);
            this->run(seconds(6));
            this->checkAllAliveFor(seconds(6));
        }
    }

    auto fleet_lossyLinks_losesNoMember() -> void
    {
        this->start(295, 2);
        this->lossRate = 0.025;
        this->run(seconds(6));
        this->checkAllAliveFor(seconds(6));
    }

    auto fleet_undisturbed_sendsFewBytes() -> void
    {
        for (const int size : {100, 350}) {
            this->start(size, 3);
            this->run(seconds(6));
            for (const auto &node : this->nodes) {
                node->sentBytes = 0;
            }
            this->run(seconds(4));
            for (const auto &node : this->nodes) {
                CPPUNIT_ASSERT(node->sentBytes < 4 * 15000);
            }
        }
    }

    auto fleet_startsAtOnce_allKnowAllWithinThreeSeconds() -> void
    {
        this->start(350, 4);
        this->run(seconds(3));
        for (const auto &node : this->nodes) {
            CPPUNIT_ASSERT_EQUAL(this->nodes.size() - 1,
                                 node->members.aliveMembers(this->now).size());
        }
    }

    auto domain_crashes_isDroppedEverywhereInTime() -> void
    {
        this->start(295, 5);
        this->run(seconds(6));
        const auto survivors = this->crashDomain(2);
        this->run(seconds(6)); // For as long the directory may list crashed nodes.
        for (const auto &node : this->nodes) {
            CPPUNIT_ASSERT(!node->running
                           || node->members.aliveMembers(this->now).size() == survivors - 1);
        }
    }

    auto domains_cutFromEachOther_stayMembersThroughTheOthers() -> void
    {
        this->start(295, 6);
        this->run(seconds(6));
        this->reachable = [](const Node &from, const Node &to) {
            const auto &first = from.status.domain;
            const auto &second = to.status.domain;
            return !(first == "domain-0" && second == "domain-1")
                   && !(first == "domain-1" && second == "domain-0");
        };
        this->run(seconds(6));
        this->checkAllAliveFor(seconds(6));
    }

    auto member_restartsAndDrains_isKnownEverywhereInTime() -> void
    {
        this->start(295, 7);
        this->run(seconds(6));
        auto &changed = *this->nodes.at(100);
        changed.status.incarnation = 5000;
        changed.status.sequence = 0;
        this->run(seconds(4));
        for (const auto &node : this->nodes) {
            CPPUNIT_ASSERT(node.get() == &changed
                           || node->members.aliveIncarnations(this->now).contains(5000));
        }
        changed.status.phase = NodePhase::Draining;
        this->run(seconds(4));
        for (const auto &node : this->nodes) {
            CPPUNIT_ASSERT(node.get() == &changed
                           || node->members.all().at(changed.status.peerAddress).status.phase
                                  == NodePhase::Draining);
        }
    }

    auto suspendedNode_oldHeartbeats_reviveNoCrashedMember() -> void
    {
        this->start(100, 8);
        this->run(seconds(6));
        // Received before the suspension, but read after it, with ages as of then.
        const auto unread =
            this->nodes.at(1)->members.selectHeartbeats(Heartbeats, this->random, this->now);
        this->nodes.at(50)->running = false;
        this->run(seconds(4));
        auto &suspended = *this->nodes.at(2);
        for (const auto &heartbeat : unread) {
            suspended.members.mergeHeartbeat(heartbeat, this->now);
        }
        this->run(seconds(1));
        for (const auto &node : this->nodes) {
            CPPUNIT_ASSERT(!node->running
                           || node->members.aliveMembers(this->now).size()
                                  == this->nodes.size() - 2);
        }
    }

private:
    auto start(int size, std::uint64_t seed) -> void
    {
        this->random.seed(seed);
        this->now = seconds(100);
        this->startedAt = this->now;
        this->lossRate = 0;
        this->reachable = [](const Node &, const Node &) { return true; };
        this->nodes.clear();
        this->byAddress.clear();
        std::vector<std::string> seeds;
        for (int number = 0; number < size; ++number) {
            NodeStatus status;
            status.peerAddress = "10." + std::to_string(number % Domains) + ".0."
                                 + std::to_string(number / Domains) + ":8229";
            status.entryAddress = status.peerAddress;
            status.domain = "domain-" + std::to_string(number % Domains);
            status.incarnation = static_cast<std::uint64_t>(number) + 1;
            status.phase = NodePhase::Ready;
            if (number < Seeds) {
                seeds.push_back(status.peerAddress);
            }
            this->nodes.push_back(std::make_unique<Node>(status, seeds, this->now));
            auto &node = *this->nodes.back();
            node.nextRound = this->now + this->random() % Round.count() * Duration(1);
            this->byAddress[status.peerAddress] = &node;
        }
    }

    auto run(Duration duration) -> void
    {
        for (const auto end = this->now + duration; this->now < end; this->now += Step) {
            for (const auto &node : this->nodes) {
                if (node->running && node->nextRound <= this->now) {
                    node->nextRound +=
                        this->now - this->startedAt < StartupTime ? StartupRound : Round;
                    this->sendRound(*node);
                }
            }
        }
    }

    auto sendRound(Node &node) -> void
    {
        node.members.expire(this->now);
        this->verifyDoubtfulMembers(node);
        const bool alone = node.members.aliveMembers(this->now).empty();
        const auto message = this->compose(node);
        for (const auto &target :
             node.members.gossipTargets(FanOut, DistantFanOut, this->random, this->now)) {
            auto *receiver = this->send(node, target, message);
            if (receiver != nullptr && alone) {
                auto reply = this->compose(*receiver);
                reply.relayedStatuses =
                    receiver->members.sampleStatuses(RelayedStatuses, this->random, this->now);
                this->send(*receiver, node.status.peerAddress, reply);
            }
        }
    }

    auto compose(Node &node) -> GossipMessage
    {
        ++node.status.sequence;
        GossipMessage message;
        message.sender = node.status;
        message.heartbeats = node.members.selectHeartbeats(Heartbeats, this->random, this->now);
        return message;
    }

    /** @return The receiver; null if the message was lost. */
    auto send(Node &from, const std::string &address, const GossipMessage &message) -> Node *
    {
        const auto bytes = gateway::encodeGossip(message);
        from.sentBytes += bytes.size();
        const auto target = this->byAddress.find(address);
        if (target == this->byAddress.end() || !target->second->running
            || !this->reachable(from, *target->second)
            || std::bernoulli_distribution(this->lossRate)(this->random)) {
            return nullptr;
        }
        auto &receiver = *target->second;
        const auto received = gateway::decodeGossip(bytes);
        receiver.members.mergeStatus(received->sender, this->now);
        for (const auto &status : received->relayedStatuses) {
            receiver.members.mergeStatus(status, this->now);
        }
        std::vector<std::uint32_t> unknown;
        for (const auto &heartbeat : received->heartbeats) {
            if (receiver.members.mergeHeartbeat(heartbeat, this->now)) {
                unknown.push_back(heartbeat.addressHash);
            }
        }
        this->requestStatuses(receiver, from, unknown);
        return &receiver;
    }

    auto verifyDoubtfulMembers(Node &node) -> void
    {
        const auto doubtful = node.members.doubtfulMembers(this->now);
        for (const auto *peer : node.members.sampleAlive(1, this->random, this->now)) {
            this->requestStatuses(node, *this->byAddress.at(peer->status.peerAddress), doubtful);
        }
    }

    auto requestStatuses(Node &node, Node &peer, std::span<const std::uint32_t> hashes) -> void
    {
        if (!peer.running || !this->reachable(node, peer)
            || std::bernoulli_distribution(2 * this->lossRate)(this->random)) {
            return;
        }
        const auto requested = hashes.first(std::min(hashes.size(), RequestedStatuses));
        for (const auto &status : peer.members.findStatuses(requested, this->now)) {
            node.members.mergeStatus(status, this->now);
        }
    }

    auto crashDomain(int domain) -> std::size_t
    {
        std::size_t survivors = 0;
        for (std::size_t number = 0; number < this->nodes.size(); ++number) {
            this->nodes[number]->running = static_cast<int>(number) % Domains != domain;
            survivors += this->nodes[number]->running ? 1 : 0;
        }
        return survivors;
    }

    auto checkAllAliveFor(Duration duration) -> void
    {
        for (const auto end = this->now + duration; this->now < end;) {
            this->run(milliseconds(500));
            for (const auto &node : this->nodes) {
                CPPUNIT_ASSERT_EQUAL(this->nodes.size() - 1,
                                     node->members.aliveMembers(this->now).size());
            }
        }
    }

    std::mt19937_64 random;
    Instant now{};
    Instant startedAt{};
    double lossRate = 0;
    std::function<bool(const Node &, const Node &)> reachable;
    std::vector<std::unique_ptr<Node>> nodes;
    std::map<std::string, Node *> byAddress;
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipFleetFixture);

} // namespace
