/** @file core_tests.cpp Unit tests of the decision core's modules. */
#include "banyanring/core/invariant_func.h"
#include "banyanring/core/node_base.h"
#include "banyanring/core/owner_map.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace banyanring;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr OrganisationId RedOrganisation = hashName("red");
constexpr ServerId EngineServer = hashName("llm-0");

/** @return A VM list of the given nodes, none of them draining. */
auto makeVmList(Revision revision, const std::vector<NodeId> &nodes) -> VmListPtr
{
    auto list = std::make_shared<VmList>();
    list->revision = revision;
    for (const auto id : nodes) {
        list->vms.push_back({id, "entry-" + std::to_string(id), "", "d", false});
    }
    return list;
}

/** @return A configuration with one engine service, one organisation and one backend server. */
auto makeConfig(Revision revision) -> std::shared_ptr<Config>
{
    auto config = std::make_shared<Config>();
    config->revision = revision;
    const auto llm = hashName("llm");
    config->services[llm] = {"llm", llm, BackendKind::Engine, seconds(20), 1000};
    config->routes["/draft"] = {"/draft", llm, 1, true, false, seconds(10)};
    config->routes["/order"] = {"/order", llm, 1, false, false, seconds(10)};
    config->organisations[RedOrganisation] = {"red", RedOrganisation, 1000, 10000, 1};
    config->organisationByKey["key"] = RedOrganisation;
    config->servers[EngineServer] = {"llm-0", EngineServer, llm, "host", hashName("d0"), 8,
                                     2,       false};
    return config;
}

/** Quorum leases and takeovers; the tests supply the heartbeats of the peers. */
class MembershipFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MembershipFixture);
    CPPUNIT_TEST(leaseRevision_majorityReachable_validForPeerTimeout);
    CPPUNIT_TEST(leaseRevision_replyToUnknownPull_ignored);
    CPPUNIT_TEST(leaseRevision_replyDelayed_countsFromPull);
    CPPUNIT_TEST(pull_fromPeer_peerStaysReachable);
    CPPUNIT_TEST(takeoverRevision_disjointMajorities_needsBoth);
    CPPUNIT_TEST(previousOwnerIsAuthoritative_listKnownWhileStarting_isFalse);
    CPPUNIT_TEST(leaseRevision_onlyNodeInList_isValid);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        this->members.updateList(makeVmList(1, {1, 2, 3}), this->now);
        this->now += seconds(5);
    }

    /**
     * Starts a pull and handles a reply with heartbeats of @p nodes that carry @p list as
     * revision.
     */
    auto receiveHeartbeats(const std::vector<NodeId> &nodes, Revision list,
                           Duration replyDelay = milliseconds(2)) -> void
    {
        const auto pull = this->members.startPull(this->random, this->now);
        this->now += replyDelay;
        GossipReply reply;
        reply.pullId = pull->second.pullId;
        for (const auto node : nodes) {
            Heartbeat heartbeat;
            heartbeat.node = node;
            heartbeat.incarnation = 1;
            heartbeat.sequence = ++this->sequence;
            heartbeat.vmListRevision = list;
            reply.heartbeats.push_back(heartbeat);
        }
        this->members.handleReply(reply, this->now);
    }

    auto leaseRevision_majorityReachable_validForPeerTimeout() -> void
    {
        CPPUNIT_ASSERT(!this->members.leaseRevision(this->now));
        this->receiveHeartbeats({2}, 1);
        CPPUNIT_ASSERT(this->members.leaseRevision(this->now) == Revision{1});
        this->now += this->settings.peerTimeout;
        CPPUNIT_ASSERT(!this->members.leaseRevision(this->now));
    }

    auto leaseRevision_replyToUnknownPull_ignored() -> void
    {
        GossipReply reply;
        reply.pullId = 4711;
        reply.heartbeats.push_back({2, 1, 1, 0, 1, {}, false, {}});
        this->members.handleReply(reply, this->now);
        CPPUNIT_ASSERT(!this->members.leaseRevision(this->now));
    }

    auto leaseRevision_replyDelayed_countsFromPull() -> void
    {
        this->receiveHeartbeats({2}, 1, milliseconds(1500));
        CPPUNIT_ASSERT(this->members.leaseRevision(this->now));
        this->now += this->settings.peerTimeout - milliseconds(1500);
        CPPUNIT_ASSERT(!this->members.leaseRevision(this->now));
    }

    auto pull_fromPeer_peerStaysReachable() -> void
    {
        this->receiveHeartbeats({2}, 1);
        this->members.answerPull(2, {1, false}, this->random, this->now);
        CPPUNIT_ASSERT(this->members.isReachable(2, this->now));
    }

    auto takeoverRevision_disjointMajorities_needsBoth() -> void
    {
        this->receiveHeartbeats({2, 3}, 1);
        this->members.updateList(makeVmList(2, {1, 4}), this->now);
        this->receiveHeartbeats({4}, 2);
        this->now += this->settings.peerTimeout * 2;
        this->receiveHeartbeats({4}, 2);
        CPPUNIT_ASSERT_EQUAL(Revision{1}, this->members.takeoverRevision(this->now));
        this->receiveHeartbeats({2, 4}, 2);
        this->now += this->settings.peerTimeout * 2;
        CPPUNIT_ASSERT_EQUAL(Revision{2}, this->members.takeoverRevision(this->now));
    }

    auto previousOwnerIsAuthoritative_listKnownWhileStarting_isFalse() -> void
    {
        this->receiveHeartbeats({2}, 3);
        this->receiveHeartbeats({2, 3}, 3);
        CPPUNIT_ASSERT(!this->members.previousOwnerIsAuthoritative(3));
        CPPUNIT_ASSERT(this->members.previousOwnerIsAuthoritative(4));
    }

    auto leaseRevision_onlyNodeInList_isValid() -> void
    {
        Membership singleNode(this->settings, 1, 1, Instant{});
        singleNode.updateList(makeVmList(1, {1}), Instant{});
        singleNode.refresh(seconds(5));
        CPPUNIT_ASSERT(singleNode.leaseRevision(seconds(5)));
    }

private:
    NodeSettings settings;
    std::mt19937_64 random{1};
    Instant now{};
    std::uint64_t sequence = 0;
    Membership members{settings, 1, 1, Instant{}};
};

/** Token buckets and the partitions of an organisation's rate limit. */
class TokenFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TokenFixture);
    CPPUNIT_TEST(bucket_reservedWhileFilling_neverAboveBurst);
    CPPUNIT_TEST(bucket_tokensLent_countUntilLoanEnds);
    CPPUNIT_TEST(bucket_tokensWithheld_fillsToRemainder);
    CPPUNIT_TEST(tokenPool_hugeRate_partitionCountBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    auto bucket_reservedWhileFilling_neverAboveBurst() -> void
    {
        TokenBucket bucket(100, 1000, Instant{});
        CPPUNIT_ASSERT(bucket.reserve(1000, seconds(10)));
        CPPUNIT_ASSERT_EQUAL(0.0, bucket.available(seconds(100)));
        bucket.spend(1000);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(100.0, bucket.available(seconds(101)), 1e-6);
    }

    auto bucket_tokensLent_countUntilLoanEnds() -> void
    {
        TokenBucket bucket(100, 1000, Instant{});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(500.0, bucket.lend(900, seconds(10)), 1e-6);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(500.0, bucket.available(seconds(100)), 1e-6);
        bucket.endLoan(500);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(600.0, bucket.available(seconds(101)), 1e-6);
    }

    auto bucket_tokensWithheld_fillsToRemainder() -> void
    {
        TokenBucket bucket(100, 1000, Instant{});
        bucket.withhold(500, seconds(50));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(500.0, bucket.available(seconds(40)), 1e-6);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1000.0, bucket.available(seconds(60)), 1e-6);
    }

    auto tokenPool_hugeRate_partitionCountBounded() -> void
    {
        NodeSettings settings;
        TokenPool pool(settings, 1);
        auto config = makeConfig(1);
        config->organisations[RedOrganisation].rate = 1e9;
        config->organisations[RedOrganisation].burst = 1e12;
        pool.applyNodes({1}, 1, false);
        pool.applyConfig(*config, 1, Instant{});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1024}, pool.ownedPartitions());
    }
};

/** Slot limits of backend servers during cold starts and after suspected crashes. */
class HealthFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HealthFixture);
    CPPUNIT_TEST(slotLimit_unknownServer_isCold);
    CPPUNIT_TEST(slotLimit_staleReport_isCold);
    CPPUNIT_TEST(slotLimit_coldAndFull_isZero);
    CPPUNIT_TEST(slotLimit_coldWithRunningRequest_isRemainder);
    CPPUNIT_TEST(slotLimit_crashSuspected_restoredByLaterReport);
    CPPUNIT_TEST_SUITE_END();

public:
    auto report(std::uint64_t startedAt, bool cold, std::uint32_t running, Instant now) -> void
    {
        LoadReport report;
        report.server = EngineServer;
        report.startedAt = startedAt;
        report.cold = cold;
        report.running = running;
        this->health.applyReport(report, now);
    }

    auto slotLimit_unknownServer_isCold() -> void
    {
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{2}, this->health.slotLimit(this->server, Instant{}));
    }

    auto slotLimit_staleReport_isCold() -> void
    {
        this->report(5, false, 0, seconds(1));
        this->report(5, false, 0, seconds(10));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{8}, this->health.slotLimit(this->server, seconds(11)));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{2}, this->health.slotLimit(this->server, seconds(13)));
    }

    auto slotLimit_coldAndFull_isZero() -> void
    {
        this->report(5, true, 1, seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{2}, this->health.slotLimit(this->server, seconds(1)));
        this->health.recordDispatch(EngineServer, seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{0}, this->health.slotLimit(this->server, seconds(1)));
    }

    auto slotLimit_coldWithRunningRequest_isRemainder() -> void
    {
        LoadReport report;
        report.server = EngineServer;
        report.startedAt = 5;
        report.cold = true;
        report.running = 1;
        report.runningIds = {"r1.s5"};
        this->health.applyReport(report, seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{1}, this->health.slotLimit(this->server, seconds(1)));
    }

    auto slotLimit_crashSuspected_restoredByLaterReport() -> void
    {
        this->report(5, false, 0, seconds(1));
        this->health.markSuspected(EngineServer, seconds(9));
        this->report(5, false, 0, seconds(9));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{2}, this->health.slotLimit(this->server, seconds(9)));
        this->report(5, false, 0, seconds(10));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{8}, this->health.slotLimit(this->server, seconds(10)));
    }

private:
    NodeSettings settings;
    ServerHealth health{settings};
    BackendServer server = makeConfig(1)->servers.at(EngineServer);
};

/** Request queue, tickets, crash suspects and rendezvous hashing. */
class ComponentFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ComponentFixture);
    CPPUNIT_TEST(queue_tiersAndWeights_sharedFairly);
    CPPUNIT_TEST(queue_longNotAllowed_popsShort);
    CPPUNIT_TEST(ticket_forgedOrForeign_rejected);
    CPPUNIT_TEST(ticket_expiredUnused_rejected);
    CPPUNIT_TEST(crashSuspects_twoCrashesOfOneServer_countTwice);
    CPPUNIT_TEST(ownerMap_nodesChanged_sameAsRebuilt);
    CPPUNIT_TEST_SUITE_END();

public:
    auto queue_tiersAndWeights_sharedFairly() -> void
    {
        WaitQueue queue;
        for (CallId call = 1; call <= 300; ++call) {
            const bool heavy = call % 2 == 0;
            queue.push({call, heavy ? 1U : 2U, heavy ? 3.0 : 1.0, 100, 1, false, Instant(call)});
        }
        queue.push({1000, 3, 1, 100, 0, false, Instant(1000)});
        CPPUNIT_ASSERT_EQUAL(CallId{1000}, queue.pop(true)->call);
        int heavy = 0;
        for (int count = 0; count < 80; ++count) {
            heavy += queue.pop(true)->organisation == 1 ? 1 : 0;
        }
        CPPUNIT_ASSERT(heavy >= 55 && heavy <= 65);
    }

    auto queue_longNotAllowed_popsShort() -> void
    {
        WaitQueue queue;
        queue.push({1, 1, 1, 9000, 0, true, Instant(1)});
        queue.push({2, 1, 1, 10, 2, false, Instant(2)});
        CPPUNIT_ASSERT_EQUAL(CallId{2}, queue.pop(false)->call);
        CPPUNIT_ASSERT(!queue.pop(false));
        CPPUNIT_ASSERT_EQUAL(CallId{1}, queue.pop(true)->call);
    }

    auto ticket_forgedOrForeign_rejected() -> void
    {
        TicketStore store(this->settings, 1, 7, {1});
        auto text = *store.issue(RedOrganisation, "/order", Instant{});
        CPPUNIT_ASSERT(store.verify(text, RedOrganisation, "/order", Instant{}));
        CPPUNIT_ASSERT(!store.verify(text, RedOrganisation + 1, "/order", Instant{}));
        CPPUNIT_ASSERT(!store.verify(text, RedOrganisation, "/other", Instant{}));
        CPPUNIT_ASSERT(!TicketStore(this->settings, 1, 7, {2})
                            .verify(text, RedOrganisation, "/order", Instant{}));
        text.back() = text.back() == '0' ? '1' : '0';
        CPPUNIT_ASSERT(!store.verify(text, RedOrganisation, "/order", Instant{}));
    }

    auto ticket_expiredUnused_rejected() -> void
    {
        TicketStore store(this->settings, 1, 7, {1});
        const auto used = *store.issue(RedOrganisation, "/order", Instant{});
        const auto unused = *store.issue(RedOrganisation, "/order", Instant{});
        store.getOrCreate(*store.verify(used, RedOrganisation, "/order", Instant{}), Instant{});
        const auto afterTtl = this->settings.ticketTtl + seconds(1);
        CPPUNIT_ASSERT(store.verify(used, RedOrganisation, "/order", afterTtl));
        CPPUNIT_ASSERT(!store.verify(unused, RedOrganisation, "/order", afterTtl));
    }

    auto crashSuspects_twoCrashesOfOneServer_countTwice() -> void
    {
        CrashSuspectTable table(this->settings);
        CPPUNIT_ASSERT(table.addCrash(9, EngineServer, 1, Instant{}));
        CPPUNIT_ASSERT(!table.addCrash(9, EngineServer, 1, Instant{}));
        CPPUNIT_ASSERT(table.addCrash(9, EngineServer, 2, Instant{}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, table.crashCount(9));
    }

    auto ownerMap_nodesChanged_sameAsRebuilt() -> void
    {
        std::vector<std::uint64_t> keys;
        for (std::uint64_t key = 0; key < 500; ++key) {
            keys.push_back(mix64(key));
        }
        OwnerMap incremental;
        incremental.setKeys(keys);
        incremental.setNodes({1, 2, 3});
        incremental.setNodes({1, 3, 4, 5});
        OwnerMap rebuilt;
        rebuilt.setNodes({1, 3, 4, 5});
        rebuilt.setKeys(keys);
        for (std::size_t key = 0; key < keys.size(); ++key) {
            CPPUNIT_ASSERT_EQUAL(rebuilt.owner(key), incremental.owner(key));
        }
    }

private:
    NodeSettings settings;
};

/** A complete node that is the only one in its VM list. */
class NodeFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(NodeFixture);
    CPPUNIT_TEST(request_twiceWithTicket_dispatchedOnce);
    CPPUNIT_TEST(request_nonIdempotentWithoutTicket_rejected);
    CPPUNIT_TEST(request_keyRevokedWhileRunning_cancelled);
    CPPUNIT_TEST(request_connectionRefused_retried);
    CPPUNIT_TEST(config_olderRevision_ignored);
    CPPUNIT_TEST(request_withoutQuorumLease_rejected);
    CPPUNIT_TEST(request_serverChangedService_rejectedAndServerReused);
    CPPUNIT_TEST(request_estimateAboveDeadline_stillDispatched);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        this->node.handle(VmListReceived{makeVmList(1, {1})}, this->now);
        this->node.handle(ConfigReceived{makeConfig(2)}, this->now);
        for (int step = 0; step < 100; ++step) {
            this->now += milliseconds(500);
            this->tick();
        }
    }

    /** Handles a fresh load report, then a tick. */
    auto tick() -> void
    {
        LoadReport report;
        report.server = EngineServer;
        report.startedAt = 1;
        this->node.handle(report, this->now);
        this->node.handle(Tick{}, this->now);
    }

    auto send(CallId call, const std::string &path, const std::string &ticket = {}) -> Actions
    {
        RequestArrived event;
        event.call = call;
        event.requestId = "r" + std::to_string(call);
        event.keyDigest = "key";
        event.path = path;
        event.estimatedTokens = 10;
        event.ticket = ticket;
        return this->node.handle(event, this->now);
    }

    /** @return The first action of a type, or null. */
    template <typename T> static auto first(const Actions &actions) -> const T *
    {
        for (const auto &action : actions) {
            if (const auto *typed = std::get_if<T>(&action)) {
                return typed;
            }
        }
        return nullptr;
    }

    auto request_twiceWithTicket_dispatchedOnce() -> void
    {
        const auto issued = this->node.handle(TicketRequested{1, "key", "/order"}, this->now);
        const auto ticket = first<IssueTicket>(issued)->ticket;
        const auto actions = this->send(2, "/order", ticket);
        CPPUNIT_ASSERT(first<Dispatch>(actions) != nullptr);
        CPPUNIT_ASSERT(this->send(3, "/order", ticket).empty());
        const auto body = std::make_shared<const std::string>("done");
        const auto dispatch = first<Dispatch>(actions)->dispatch;
        const auto ended =
            this->node.handle(BackendCompleted{dispatch, 200, body, 1, "text/plain"}, this->now);
        CPPUNIT_ASSERT_EQUAL(CallId{3}, first<ReplayResponse>(ended)->call);
        CPPUNIT_ASSERT_EQUAL(std::string("r2"),
                             first<ReplayResponse>(this->send(4, "/order", ticket))->requestId);
    }

    auto request_nonIdempotentWithoutTicket_rejected() -> void
    {
        const auto actions = this->send(1, "/order");
        CPPUNIT_ASSERT(first<Reject>(actions)->rejection.reason == Reason::TicketNeeded);
    }

    auto request_keyRevokedWhileRunning_cancelled() -> void
    {
        CPPUNIT_ASSERT(first<Dispatch>(this->send(1, "/draft")) != nullptr);
        auto config = makeConfig(3);
        config->organisationByKey.clear();
        const auto actions = this->node.handle(ConfigReceived{config}, this->now);
        CPPUNIT_ASSERT(first<CancelDispatch>(actions) != nullptr);
        CPPUNIT_ASSERT(first<Reject>(actions)->rejection.outcome == Outcome::Unknown);
        CPPUNIT_ASSERT(first<Reject>(this->send(2, "/draft"))->rejection.reason == Reason::BadKey);
    }

    auto request_connectionRefused_retried() -> void
    {
        const auto dispatch = *first<Dispatch>(this->send(1, "/draft"));
        this->node.handle(BackendFailed{dispatch.dispatch, false, false}, this->now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, this->node.counters().dispatched);
    }

    auto config_olderRevision_ignored() -> void
    {
        this->node.handle(ConfigReceived{makeConfig(1)}, this->now);
        CPPUNIT_ASSERT_EQUAL(Revision{2}, this->node.config()->revision);
    }

    auto request_serverChangedService_rejectedAndServerReused() -> void
    {
        auto config = makeConfig(3);
        const auto other = hashName("other");
        config->services[other] = {"other", other, BackendKind::Engine, seconds(20), 1000};
        config->routes["/other"] = {"/other", other, 1, true, false, seconds(10)};
        config->servers[EngineServer].service = other;
        this->node.handle(ConfigReceived{config}, this->now);
        CPPUNIT_ASSERT(first<Reject>(this->send(1, "/draft"))->rejection.reason
                       == Reason::NoServer);
        for (int step = 0; step < 100; ++step) {
            this->now += milliseconds(500);
            this->tick();
        }
        CPPUNIT_ASSERT(first<Dispatch>(this->send(2, "/other")) != nullptr);
    }

    auto request_estimateAboveDeadline_stillDispatched() -> void
    {
        const auto dispatch = *first<Dispatch>(this->send(1, "/draft"));
        this->now += seconds(1);
        this->node.handle(BackendCompleted{dispatch.dispatch, 200, nullptr, 1, ""}, this->now);
        this->tick();
        CPPUNIT_ASSERT(first<Dispatch>(this->send(2, "/draft")) != nullptr);
        RequestArrived event;
        event.call = 3;
        event.keyDigest = "key";
        event.path = "/draft";
        event.estimatedTokens = 5000;
        CPPUNIT_ASSERT(first<Dispatch>(this->node.handle(event, this->now)) != nullptr);
    }

    auto request_withoutQuorumLease_rejected() -> void
    {
        Node clusterNode(NodeSettings{}, {1, 1, 1, {}}, Instant{});
        clusterNode.handle(VmListReceived{makeVmList(1, {1, 2, 3})}, Instant{});
        clusterNode.handle(ConfigReceived{makeConfig(2)}, Instant{});
        RequestArrived event;
        event.call = 1;
        event.keyDigest = "key";
        event.path = "/draft";
        const auto actions = clusterNode.handle(event, seconds(60));
        CPPUNIT_ASSERT(first<Reject>(actions)->rejection.reason == Reason::NotReady);
    }

private:
    Instant now{};
    Node node{NodeSettings{}, Node::Identity{1, 1, 1, {}}, Instant{}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipFixture);
CPPUNIT_TEST_SUITE_REGISTRATION(TokenFixture);
CPPUNIT_TEST_SUITE_REGISTRATION(HealthFixture);
CPPUNIT_TEST_SUITE_REGISTRATION(ComponentFixture);
CPPUNIT_TEST_SUITE_REGISTRATION(NodeFixture);

} // namespace
