/** @file mirror_sharing_tests.cpp Tests of a mirror that follows those of peers. */
#include "banyanring/gateway/mirror_sharing.h"

#include "banyanring/gateway/door.h"
#include "banyanring/gateway/gossip_codec.h"
#include "banyanring/ports/clock_func.h"
#include "loopback.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace banyanring;
using namespace banyanring::gateway;
using test::freePort;
using test::Loopback;
using test::runUntil;

/** A node whose store never answers, with one peer that answers and several that are silent. */
class MirrorSharingFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MirrorSharingFixture);
    CPPUNIT_TEST(peers_mostSilent_mirrorIsFetchedInTime);
    CPPUNIT_TEST(batch_nextRevision_isTaken);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        this->environment.peers = {Loopback, freePort()};
        this->environment.store = {Loopback, freePort()};
        this->environment.domain = "z1";
        this->books = std::make_unique<NodeBooks>(this->environment, bootClockNow());
        this->socket = std::make_unique<PeerSocket>(this->context, this->environment.peers);
        this->sharing = std::make_unique<MirrorSharing>(this->context, this->environment,
                                                        *this->books, *this->socket, [] {});
        this->theirs.apply({{"servers/a", "", 5, false}}, 5);
    }

    /** Opens a peer that serves the mirror, or takes requests and says nothing. */
    auto openPeer(bool answers) -> void
    {
        DoorHandler handler;
        handler.limits = [](Instant) { return fleet::EntryLimits{}; };
        handler.onRequest = [this, answers](const CallerSessionPtr &session,
                                            const CallerRequest &) {
            if (answers) {
                session->answer({200, "OK", {}, encodeMirror(this->theirs)});
            }
        };
        const fleet::Endpoint endpoint{Loopback, freePort()};
        this->doors.push_back(std::make_unique<Door>(this->context, endpoint, std::move(handler)));
        this->addresses.push_back(endpoint.text());
    }

    /** Lets all peers be heard of, again and again. */
    auto heard() -> void
    {
        for (const auto &address : this->addresses) {
            fleet::NodeStatement statement;
            statement.peerAddress = address;
            statement.domain = "z2";
            statement.incarnation = 1;
            statement.sequence = ++this->sequence;
            statement.phase = fleet::NodePhase::Ready;
            statement.storeRevision = 5;
            this->books->members.take(statement, bootClockNow());
        }
    }

    auto peers_mostSilent_mirrorIsFetchedInTime() -> void
    {
        for (int number = 0; number < 3; ++number) {
            this->openPeer(number == 0);
        }
        CPPUNIT_ASSERT(runUntil(this->context, [this] {
            this->heard();
            this->sharing->tick(bootClockNow());
            return this->sharing->loaded();
        }));
    }

    auto batch_nextRevision_isTaken() -> void
    {
        this->openPeer(true);
        CPPUNIT_ASSERT(runUntil(this->context, [this] {
            this->heard();
            this->sharing->tick(bootClockNow());
            return this->sharing->loaded();
        }));
        PeerSocket other(this->context, {Loopback, freePort()});
        const auto bytes = encodeBatch({5, 7, true, {{"servers/a", "", 7, true}}});
        other.send(this->environment.peers.text(), PeerMessage::Batch, bytes);
        CPPUNIT_ASSERT(runUntil(this->context, [this] {
            fleet::NodeStatement statement;
            this->sharing->describe(statement);
            return statement.storeRevision == 7;
        }));
    }

private:
    boost::asio::io_context context;
    fleet::Environment environment;
    std::unique_ptr<NodeBooks> books;
    std::unique_ptr<PeerSocket> socket;
    std::unique_ptr<MirrorSharing> sharing;
    std::vector<std::unique_ptr<Door>> doors;
    std::vector<std::string> addresses;
    fleet::PublishedBook theirs;
    std::uint64_t sequence = 0;
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(MirrorSharingFixture);
