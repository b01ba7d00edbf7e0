/** @file store_reader_tests.cpp Tests of the store's reader against a stand-in for the store. */
#include "banyanring/gateway/door.h"
#include "loopback.h"
#include "store_reader.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace banyanring;
using namespace banyanring::gateway;
using test::freePort;
using test::Loopback;
using test::runUntil;

/** A stand-in for the store, with answers of the test's choice. */
class StoreReaderFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreReaderFixture);
    CPPUNIT_TEST(start_pages_areReadToTheEnd);
    CPPUNIT_TEST(watch_change_isTaken);
    CPPUNIT_TEST(watch_historyGone_readsAllAgain);
    CPPUNIT_TEST(store_refusesOrBreaks_isTriedAgain);
    CPPUNIT_TEST(store_refusesAPage_goesOnFromIt);
    CPPUNIT_TEST(store_away_isToldOnceAndRegained);
    CPPUNIT_TEST(reader_stopped_callsNoMoreAndGoesOnWhereItWas);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        DoorHandler handler;
        handler.limits = [](Instant) { return fleet::EntryLimits{}; };
        handler.onRequest = [this](const CallerSessionPtr &session, const CallerRequest &request) {
            this->targets.push_back(request.target);
            this->serve(session, request);
        };
        const auto port = freePort();
        this->store = std::make_unique<Door>(this->context, fleet::Endpoint{Loopback, port},
                                             std::move(handler));
        platform::StoreReader::Callbacks callbacks;
        callbacks.onChanged = [this](const std::vector<std::string> &keys) {
            this->changed.insert(this->changed.end(), keys.begin(), keys.end());
        };
        callbacks.onReachabilityChanged = [this](bool reached, const std::string &) {
            (reached ? this->regained : this->lost) += 1;
        };
        this->reader = std::make_unique<platform::StoreReader>(
            this->context, std::string(Loopback) + ":" + std::to_string(port), this->mirror,
            callbacks);
    }

    auto serve(const CallerSessionPtr &session, const CallerRequest &request) -> void
    {
        if (!this->failures.empty()) {
            const auto status = this->failures.front();
            this->failures.erase(this->failures.begin());
            if (status == 0) {
                session->abort();
                return;
            }
            if (status != 200) {
                session->answer({status, "x", {}, ""});
                return;
            }
        }
        const auto is = [&](const char *part) {
            return request.target.find(part) != std::string::npos;
        };
        if (is("kv-watch") && this->historyGone) {
            this->historyGone = false;
            session->answer({410, "Gone", {}, ""});
        } else if (is("kv-watch")) {
            if (!this->watchBody.empty()) {
                session->answer({200, "OK", {}, std::exchange(this->watchBody, "")});
            } // Else the watch waits.
        } else if (is("prefix=op/")) {
            session->answer({200, "OK", {}, R"({"entries":[],"more_pages":false,"as_of":5})"});
        } else if (is("after=servers/a")) {
            session->answer({200,
                             "OK",
                             {},
                             R"({"entries":[{"key":"servers/b","value":"","mod_revision":3}],
                                 "more_pages":false,"as_of":6})"});
        } else {
            session->answer({200,
                             "OK",
                             {},
                             R"({"entries":[{"key":"servers/a","value":"","mod_revision":2}],
                                 "more_pages":true,"as_of":6})"});
        }
    }

    auto watching(std::size_t times) -> bool
    {
        return runUntil(this->context, [&] {
            return static_cast<std::size_t>(
                       std::count_if(this->targets.begin(), this->targets.end(),
                                     [](const std::string &target) {
                                         return target.find("kv-watch") != std::string::npos;
                                     }))
                   >= times;
        });
    }

    auto start_pages_areReadToTheEnd() -> void
    {
        this->reader->start();
        CPPUNIT_ASSERT(this->watching(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->mirror.all().size());
        CPPUNIT_ASSERT(this->targets.back().find("after=5") != std::string::npos);
    }

    auto watch_change_isTaken() -> void
    {
        this->watchBody =
            R"({"events":[{"key":"servers/a","mod_revision":9,"removed":true}],"as_of":9})";
        this->reader->start();
        CPPUNIT_ASSERT(this->watching(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->mirror.all().size());
        CPPUNIT_ASSERT(this->targets.back().find("after=9") != std::string::npos);
    }

    auto watch_historyGone_readsAllAgain() -> void
    {
        this->historyGone = true;
        this->reader->start();
        CPPUNIT_ASSERT(this->watching(2));
        const std::size_t pages = 3;
        CPPUNIT_ASSERT_EQUAL(2 * pages + 2, this->targets.size());
    }

    auto store_refusesOrBreaks_isTriedAgain() -> void
    {
        this->failures = {429, 503, 0};
        this->reader->start();
        CPPUNIT_ASSERT(this->watching(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->mirror.all().size());
    }

    auto store_refusesAPage_goesOnFromIt() -> void
    {
        this->failures = {200, 429};
        this->reader->start();
        CPPUNIT_ASSERT(this->watching(1));
        const std::size_t pages = 3;
        CPPUNIT_ASSERT_EQUAL(pages + 2, this->targets.size());
    }

    auto store_away_isToldOnceAndRegained() -> void
    {
        this->failures = {503, 503, 503};
        this->reader->start();
        CPPUNIT_ASSERT(this->watching(1));
        CPPUNIT_ASSERT_EQUAL(1, this->lost);
        CPPUNIT_ASSERT_EQUAL(1, this->regained);
    }

    auto reader_stopped_callsNoMoreAndGoesOnWhereItWas() -> void
    {
        this->reader->start();
        CPPUNIT_ASSERT(this->watching(1));
        this->reader->stop();
        const auto calls = this->targets.size();
        this->context.restart();
        this->context.run_for(std::chrono::milliseconds(700));
        CPPUNIT_ASSERT_EQUAL(calls, this->targets.size());
        CPPUNIT_ASSERT(!this->reader->reachable());
        this->reader->start();
        CPPUNIT_ASSERT(this->watching(2));
        CPPUNIT_ASSERT_EQUAL(calls + 1, this->targets.size());
    }

private:
    boost::asio::io_context context;
    std::unique_ptr<Door> store;
    fleet::PublishedBook mirror;
    std::unique_ptr<platform::StoreReader> reader;
    std::vector<std::string> targets;
    std::vector<int> failures;
    std::vector<std::string> changed;
    std::string watchBody;
    bool historyGone = false;
    int lost = 0;
    int regained = 0;
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(StoreReaderFixture);
