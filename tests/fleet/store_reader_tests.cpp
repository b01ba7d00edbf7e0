/** @file store_reader_tests.cpp Tests of the store reader against a fake store. */
#include "banyanring/ports/clock_func.h"
#include "loopback.h"
#include "store_reader.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace banyanring;
using namespace banyanring::gateway;
using test::freePort;
using test::Loopback;
using test::runUntil;
using test::startListener;

/** A store reader and a fake store whose responses a test sets. */
class StoreReaderFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreReaderFixture);
    CPPUNIT_TEST(start_multiplePages_areAllRead);
    CPPUNIT_TEST(watch_change_isApplied);
    CPPUNIT_TEST(watch_historyGone_rereadsAllItems);
    CPPUNIT_TEST(watch_tooManyChanges_rereadsAllItems);
    CPPUNIT_TEST(store_failedRequests_areRetried);
    CPPUNIT_TEST(store_failedPage_isResumed);
    CPPUNIT_TEST(store_unreachable_isReportedOnce);
    CPPUNIT_TEST(reader_restarted_resumesAtRevision);
    CPPUNIT_TEST(watch_unanswered_isOverdueBeforeItFails);
    CPPUNIT_TEST(watch_answeredLate_countsAsReachable);
    CPPUNIT_TEST(watch_afterAChange_isAnsweredWithinTheInterval);
    CPPUNIT_TEST(watch_emptyAnswersAtOnce_arePaced);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        const auto port = freePort();
        this->store =
            startListener(this->context, fleet::Endpoint{Loopback, port},
                          [this](const CallerSessionPtr &session, const CallerRequest &request) {
                              this->requestTargets.push_back(request.target);
                              this->respond(session, request);
                          });
        platform::StoreReader::Callbacks callbacks;
        callbacks.onChanged = [this](const std::vector<std::string> &keys) {
            this->changedKeys.insert(this->changedKeys.end(), keys.begin(), keys.end());
        };
        callbacks.onReachabilityChanged = [this](bool reachable, const std::string &) {
            (reachable ? this->reachableReports : this->unreachableReports) += 1;
        };
        callbacks.onAnswerOverdue = [this] { ++this->overdueReports; };
        this->reader = std::make_unique<platform::StoreReader>(
            this->context, std::string(Loopback) + ":" + std::to_string(port), this->mirror,
            callbacks);
    }

    auto respond(const CallerSessionPtr &session, const CallerRequest &request) -> void
    {
        if (!this->queuedStatuses.empty()) {
            const auto status = this->queuedStatuses.front();
            this->queuedStatuses.erase(this->queuedStatuses.begin());
            if (status == 0) {
                session->abort();
                return;
            }
            if (status != 200) {
                session->sendResponse({status, "x", {}, ""});
                return;
            }
        }
        const auto is = [&](const char *text) {
            return request.target.find(text) != std::string::npos;
        };
        if (is("kv-watch") && this->historyGone) {
            this->historyGone = false;
            session->sendResponse({410, "Gone", {}, ""});
        } else if (is("kv-watch")) {
            if (this->answersAtOnce) {
                session->sendResponse({200, "OK", {}, EmptyWatch});
            } else if (!this->watchBody.empty()) {
                session->sendResponse({200, "OK", {}, std::exchange(this->watchBody, "")});
            } else {
                this->openWatch = session;
            }
        } else if (is("prefix=op/")) {
            session->sendResponse(
                {200, "OK", {}, R"({"entries":[],"more_pages":false,"as_of":5})"});
        } else if (is("after=servers/a")) {
            session->sendResponse({200,
                                   "OK",
                                   {},
                                   R"({"entries":[{"key":"servers/b","value":"","mod_revision":3}],
                                 "more_pages":false,"as_of":6})"});
        } else {
            session->sendResponse({200,
                                   "OK",
                                   {},
                                   R"({"entries":[{"key":"servers/a","value":"","mod_revision":2}],
                                 "more_pages":true,"as_of":6})"});
        }
    }

    auto awaitWatches(std::size_t count) -> bool
    {
        return runUntil(this->context, [&] {
            return static_cast<std::size_t>(
                       std::count_if(this->requestTargets.begin(), this->requestTargets.end(),
                                     [](const std::string &target) {
                                         return target.find("kv-watch") != std::string::npos;
                                     }))
                   >= count;
        });
    }

    auto start_multiplePages_areAllRead() -> void
    {
        this->reader->start();
        CPPUNIT_ASSERT(this->awaitWatches(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->mirror.all().size());
        CPPUNIT_ASSERT(this->requestTargets.back().find("after=5") != std::string::npos);
    }

    auto watch_change_isApplied() -> void
    {
        this->watchBody =
            R"({"events":[{"key":"servers/a","mod_revision":9,"removed":true}],"as_of":9})";
        this->reader->start();
        CPPUNIT_ASSERT(this->awaitWatches(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->mirror.all().size());
        CPPUNIT_ASSERT(this->requestTargets.back().find("after=9") != std::string::npos);
    }

    auto watch_historyGone_rereadsAllItems() -> void
    {
        this->historyGone = true;
        this->reader->start();
        CPPUNIT_ASSERT(this->awaitWatches(2));
        const std::size_t pages = 3;
        CPPUNIT_ASSERT_EQUAL(2 * pages + 2, this->requestTargets.size());
    }

    auto watch_tooManyChanges_rereadsAllItems() -> void
    {
        this->reader->start();
        CPPUNIT_ASSERT(this->awaitWatches(1));
        const auto rangeRequests = this->requestTargets.size() - 1;
        this->watchBody = std::string(9U << 20U, ' ');
        this->reader->stop();
        this->reader->start();
        CPPUNIT_ASSERT(this->awaitWatches(3));
        CPPUNIT_ASSERT_EQUAL(2 * rangeRequests + 3, this->requestTargets.size());
    }

    auto store_failedRequests_areRetried() -> void
    {
        this->queuedStatuses = {429, 503, 0};
        this->reader->start();
        CPPUNIT_ASSERT(this->awaitWatches(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->mirror.all().size());
    }

    auto store_failedPage_isResumed() -> void
    {
        this->queuedStatuses = {200, 429};
        this->reader->start();
        CPPUNIT_ASSERT(this->awaitWatches(1));
        const std::size_t pages = 3;
        CPPUNIT_ASSERT_EQUAL(pages + 2, this->requestTargets.size());
    }

    auto store_unreachable_isReportedOnce() -> void
    {
        this->queuedStatuses = {503, 503, 503};
        this->reader->start();
        CPPUNIT_ASSERT(this->awaitWatches(1));
        CPPUNIT_ASSERT_EQUAL(1, this->unreachableReports);
        CPPUNIT_ASSERT_EQUAL(1, this->reachableReports);
    }

    auto reader_restarted_resumesAtRevision() -> void
    {
        this->reader->start();
        CPPUNIT_ASSERT(this->awaitWatches(1));
        this->reader->stop();
        const auto requestCount = this->requestTargets.size();
        this->context.restart();
        this->context.run_for(std::chrono::milliseconds(700));
        CPPUNIT_ASSERT_EQUAL(requestCount, this->requestTargets.size());
        CPPUNIT_ASSERT(!this->reader->reachable());
        this->reader->start();
        CPPUNIT_ASSERT(this->awaitWatches(2));
        CPPUNIT_ASSERT_EQUAL(requestCount + 1, this->requestTargets.size());
    }

    /** Leaves a watch unanswered; returns whether it is reported as overdue in time. */
    auto awaitOverdueWatch() -> bool
    {
        using platform::StoreReader;
        this->reader->start();
        CPPUNIT_ASSERT(this->awaitWatches(1));
        const auto sentAt = bootClockNow();
        return runUntil(this->context, [this] { return this->overdueReports == 1; })
               && bootClockNow() - sentAt
                      < StoreReader::AnswerInterval + StoreReader::RequestTimeout;
    }

    /** Guards against a watcher that counts as reaching the store while its requests hang. */
    auto watch_unanswered_isOverdueBeforeItFails() -> void
    {
        CPPUNIT_ASSERT(this->awaitOverdueWatch());
        CPPUNIT_ASSERT(!this->reader->reachable());
        CPPUNIT_ASSERT(!this->reader->failing());
        CPPUNIT_ASSERT(runUntil(this->context, [this] { return this->reader->failing(); }));
        CPPUNIT_ASSERT_EQUAL(1, this->unreachableReports);
        CPPUNIT_ASSERT_EQUAL(1, this->overdueReports);
    }

    /** Guards against a slow store that counts as lost, and a watcher that stays silent. */
    auto watch_answeredLate_countsAsReachable() -> void
    {
        CPPUNIT_ASSERT(this->awaitOverdueWatch());
        this->openWatch->sendResponse({200, "OK", {}, EmptyWatch});
        CPPUNIT_ASSERT(runUntil(this->context, [this] { return this->reader->reachable(); }));
        CPPUNIT_ASSERT_EQUAL(2, this->reachableReports);
        CPPUNIT_ASSERT_EQUAL(0, this->unreachableReports);
    }

    /** Guards against an interval that the pause after a change extends. */
    auto watch_afterAChange_isAnsweredWithinTheInterval() -> void
    {
        this->watchBody =
            R"({"events":[{"key":"servers/a","mod_revision":9,"removed":true}],"as_of":9})";
        this->reader->start();
        CPPUNIT_ASSERT(this->awaitWatches(1));
        CPPUNIT_ASSERT(this->requestTargets.back().ends_with("wait_ms=700"));
        CPPUNIT_ASSERT(this->awaitWatches(2));
        CPPUNIT_ASSERT(this->requestTargets.back().ends_with("wait_ms=200"));
    }

    /** Guards against requests in a tight loop at a store that does not wait. */
    auto watch_emptyAnswersAtOnce_arePaced() -> void
    {
        this->answersAtOnce = true;
        this->reader->start();
        CPPUNIT_ASSERT(this->awaitWatches(1));
        const auto requestCount = this->requestTargets.size();
        this->context.restart();
        this->context.run_for(std::chrono::milliseconds(1200));
        CPPUNIT_ASSERT(this->requestTargets.size() <= requestCount + 2);
    }

private:
    static constexpr auto EmptyWatch = R"({"events":[],"as_of":5})";

    boost::asio::io_context context;
    std::unique_ptr<HttpListener> store;
    fleet::StoreMirror mirror;
    std::unique_ptr<platform::StoreReader> reader;
    std::vector<std::string> requestTargets;
    std::vector<int> queuedStatuses;
    std::vector<std::string> changedKeys;
    std::string watchBody;
    CallerSessionPtr openWatch; ///< The last watch that was left unanswered.
    bool answersAtOnce = false; ///< Watches without changes.
    bool historyGone = false;
    int unreachableReports = 0;
    int reachableReports = 0;
    int overdueReports = 0;
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(StoreReaderFixture);
