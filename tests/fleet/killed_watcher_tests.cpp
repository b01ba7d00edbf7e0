/** @file killed_watcher_tests.cpp Tests of a node whose peers stop watching the store. */
#include "banyanring/gateway/store_mirror_sync.h"
#include "banyanring/ports/clock_func.h"
#include "loopback.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace banyanring;
using namespace banyanring::gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;
using test::freePort;
using test::Loopback;
using test::runUntil;
using test::startListener;

/** A node with two peers of a higher rank, which watch the store until they are killed. */
class KilledWatcherFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(KilledWatcherFixture);
    CPPUNIT_TEST(removedServer_watchersKilled_isUnusableAfterDrainTime);
    CPPUNIT_TEST(removedServer_watchersRestarted_isUnusableAfterDrainTime);
    CPPUNIT_TEST(removedServer_watchersCutOff_isUnusableAfterDrainTime);
    CPPUNIT_TEST(expiredServer_storeWasAway_staysUsableAWhile);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        this->settings.peers = {Loopback, freePort()};
        this->settings.store = {Loopback, freePort()};
        this->settings.domain = "z1";
        this->store =
            startListener(this->context, this->settings.store,
                          [this](const CallerSessionPtr &session, const CallerRequest &request) {
                              this->respond(session, request);
                          });
        this->state = std::make_unique<NodeState>(this->settings, bootClockNow());
        this->socket = std::make_unique<PeerSocket>(this->context, this->settings.peers);
        this->mirrorSync = std::make_unique<StoreMirrorSync>(this->context, this->settings,
                                                             *this->state, *this->socket, [] {});
        this->choosePeers();
        CPPUNIT_ASSERT(
            this->tickUntil([this] { return this->state->servers.find("a") != nullptr; }));
        this->peersAlive = true;
        CPPUNIT_ASSERT(this->tickUntil([this] { return !this->isWatching(); }));
    }

    /** @return Whether requests may be sent to the server. */
    auto isUsable() const -> bool
    {
        const auto server = this->state->servers.find("a");
        return server && bootClockNow() < server->removeAt;
    }

    /** Removes the server's entry; returns whether it is unusable DrainTime later. */
    auto removedInTime() -> bool
    {
        this->isRemoved = true;
        const auto drainedAt = bootClockNow() + DrainTime;
        this->tickUntil([drainedAt] { return bootClockNow() >= drainedAt; });
        return !this->isUsable();
    }

    auto removedServer_watchersKilled_isUnusableAfterDrainTime() -> void
    {
        this->peersAlive = false;
        CPPUNIT_ASSERT(this->removedInTime());
    }

    auto removedServer_watchersRestarted_isUnusableAfterDrainTime() -> void
    {
        this->peersAlive = false;
        const auto restartAt = bootClockNow() + seconds(1);
        this->tickUntil([restartAt] { return bootClockNow() >= restartAt; });
        ++this->peerIncarnation;
        this->peersHaveRead = false;
        this->peersAlive = true;
        CPPUNIT_ASSERT(this->removedInTime());
    }

    /** Guards against a grace for removed servers while the peers' answers are overdue. */
    auto removedServer_watchersCutOff_isUnusableAfterDrainTime() -> void
    {
        this->peersHaveRead = false;
        CPPUNIT_ASSERT(this->removedInTime());
    }

    auto expiredServer_storeWasAway_staysUsableAWhile() -> void
    {
        this->storeAway = true;
        this->peersAlive = false;
        const auto returnAt = bootClockNow() + seconds(4);
        this->tickUntil([returnAt] { return bootClockNow() >= returnAt; });
        this->storeAway = false;
        this->isRemoved = true;
        CPPUNIT_ASSERT(this->tickUntil([this] {
            const auto server = this->state->servers.find("a");
            return !server || server->removeAt != Never;
        }));
        CPPUNIT_ASSERT(this->isUsable());
    }

private:
    static constexpr Duration DrainTime = seconds(2);
    static constexpr Duration WriteInterval = milliseconds(400); ///< Of other servers.

    /** Chooses peers that the election ranks before this node. */
    auto choosePeers() -> void
    {
        const auto ownRank = mix64(hashName(this->settings.peers.text()));
        for (int port = 1; this->peers.size() < 2; ++port) {
            const auto address = "127.0.0.2:" + std::to_string(port);
            if (mix64(hashName(address)) > ownRank) {
                this->peers.push_back(address);
            }
        }
    }

    auto respond(const CallerSessionPtr &session, const CallerRequest &request) -> void
    {
        constexpr auto Entry =
            R"({"key":"servers/a","mod_revision":5,"value":"eyJzZXJ2aWNlIjoicyIsImFkZHJlc3MiOiIxMC4wLjAuMTo4MCIsInpvbmUiOiJ6Iiwic2xvdHMiOjQsInN0YXRlIjoicmVhZHkiLCJzZXEiOjEsImJvcm4iOjEwMDB9"})";
        if (this->storeAway) {
            session->sendResponse({503, "Service Unavailable", {}, ""});
            return;
        }
        const bool isWatch = request.target.find("kv-watch") != std::string::npos;
        const bool listsServers = request.target.find("prefix=servers") != std::string::npos;
        std::string items;
        if (isWatch && this->isRemoved) {
            items = R"({"key":"servers/a","mod_revision":6,"removed":true})";
        } else if (!isWatch && listsServers && !this->isRemoved) {
            items = Entry;
        }
        const std::string revision = this->isRemoved ? "6" : "5";
        session->sendResponse({200,
                               "OK",
                               {},
                               isWatch
                                   ? R"({"events":[)" + items + R"(],"as_of":)" + revision + "}"
                                   : R"({"entries":[)" + items + R"(],"more_pages":false,"as_of":)"
                                         + revision + "}"});
    }

    auto isWatching() const -> bool
    {
        fleet::NodeStatus status;
        this->mirrorSync->fillStatus(status);
        return status.watchesStore;
    }

    /** Merges the peers' statuses; their mirrors advance as long as they read the store. */
    auto receivePeerStatuses(Instant now) -> void
    {
        for (const auto &address : this->peers) {
            fleet::NodeStatus status;
            status.peerAddress = address;
            status.domain = "z1";
            status.incarnation = this->peerIncarnation;
            status.sequence = ++this->sequence;
            status.phase = fleet::NodePhase::Ready;
            status.watchesStore = true;
            status.storeReachable = this->peersHaveRead;
            status.storeUntried = !this->peersHaveRead;
            status.storeRevision = 5;
            this->state->members.mergeStatus(status, now);
        }
    }

    auto tickUntil(const std::function<bool()> &condition) -> bool
    {
        return runUntil(this->context, [this, &condition] {
            const auto now = bootClockNow();
            if (this->peersAlive) {
                this->receivePeerStatuses(now);
            }
            this->mirrorSync->tick(now);
            this->state->servers.removeExpired(now);
            return condition();
        });
    }

    boost::asio::io_context context;
    fleet::ProcessSettings settings;
    std::unique_ptr<NodeState> state;
    std::unique_ptr<PeerSocket> socket;
    std::unique_ptr<StoreMirrorSync> mirrorSync;
    std::unique_ptr<HttpListener> store;
    std::vector<std::string> peers;
    std::uint64_t peerIncarnation = 1;
    std::uint64_t sequence = 0;
    bool peersAlive = false;
    bool peersHaveRead = true;
    bool storeAway = false;
    bool isRemoved = false;
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(KilledWatcherFixture);
