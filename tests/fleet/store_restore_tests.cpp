/** @file store_restore_tests.cpp Tests of the store reader against a store that is restored. */
#include "loopback.h"
#include "store_reader.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace banyanring;
using namespace banyanring::gateway;
using fleet::StorePosition;
using test::freePort;
using test::Loopback;
using test::runUntil;
using test::startListener;

/** A store reader and a fake store that returns one item a page. */
class StoreRestoreFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreRestoreFixture);
    CPPUNIT_TEST(restore_toLowerRevision_itemsAreReread);
    CPPUNIT_TEST(restore_toHigherRevision_itemsAreReread);
    CPPUNIT_TEST(restore_twice_newestEraIsRead);
    CPPUNIT_TEST(restore_betweenPages_rangeIsRestarted);
    CPPUNIT_TEST(watch_responseOfFormerEra_isDropped);
    CPPUNIT_TEST(watch_missingEra_isRetried);
    CPPUNIT_TEST(watch_malformedEra_isRetried);
    CPPUNIT_TEST(page_missingEra_isRetried);
    CPPUNIT_TEST(page_hugeEra_rangeIsRestarted);
    CPPUNIT_TEST(page_withoutProgress_isRetriedAfterADelay);
    CPPUNIT_TEST(watch_afterFailure_doesNotWait);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        const auto port = freePort();
        this->store =
            startListener(this->context, fleet::Endpoint{Loopback, port},
                          [this](const CallerSessionPtr &session, const CallerRequest &request) {
                              this->requestTargets.push_back(request.target);
                              this->respond(session, request.target);
                          });
        platform::StoreReader::Callbacks callbacks;
        callbacks.onChanged = [](const std::vector<std::string> &) {};
        callbacks.onReachabilityChanged = [this](bool reachable, const std::string &) {
            this->unreachableReports += reachable ? 0 : 1;
        };
        callbacks.onAnswerOverdue = [] {};
        this->reader = std::make_unique<platform::StoreReader>(
            this->context, std::string(Loopback) + ":" + std::to_string(port), this->mirror,
            callbacks);
        this->items = {{"op/config", 3}, {"servers/a", 5}, {"servers/b", 19}};
        this->position = {1, 20};
    }

    /** @return The parameter of a request, or an empty string. */
    static auto parameter(const std::string &target, const std::string &name) -> std::string
    {
        const auto start = target.find(name + "=");
        if (start == std::string::npos) {
            return "";
        }
        const auto valueStart = start + name.size() + 1;
        return target.substr(valueStart, target.find('&', valueStart) - valueStart);
    }

    auto send(const CallerSessionPtr &session, int status, const std::string &body) -> void
    {
        std::vector<HeaderField> headers{{"Store-Era", std::to_string(this->position.era)}};
        if (!this->eraHeaders.empty()) {
            const auto era = this->eraHeaders.front();
            this->eraHeaders.erase(this->eraHeaders.begin());
            headers = era.empty() ? std::vector<HeaderField>{}
                                  : std::vector<HeaderField>{{"Store-Era", era}};
        }
        session->sendResponse({status, "x", headers, body});
    }

    auto respond(const CallerSessionPtr &session, const std::string &target) -> void
    {
        const auto after = parameter(target, "after");
        if (target.find("kv-watch") != std::string::npos) {
            this->respondToWatch(session, std::stoull(after), parameter(target, "wait_ms"));
            return;
        }
        if (this->emptyPages > 0) {
            --this->emptyPages;
            this->send(session, 200, R"({"entries":[],"more_pages":true,"as_of":20})");
            return;
        }
        const auto prefix = parameter(target, "prefix");
        std::string entry;
        bool hasMore = false;
        for (const auto &[key, revision] : this->items) {
            if (!key.starts_with(prefix) || key <= after) {
                continue;
            }
            hasMore = !entry.empty();
            if (hasMore) {
                break;
            }
            entry = R"({"key":")" + key + R"(","value":"","mod_revision":)"
                    + std::to_string(revision) + "}";
        }
        this->send(session, 200,
                   R"({"entries":[)" + entry + R"(],"more_pages":)" + (hasMore ? "true" : "false")
                       + R"(,"as_of":)" + std::to_string(this->position.revision) + "}");
        if (hasMore && this->beforeNextPage) {
            std::exchange(this->beforeNextPage, nullptr)();
        }
    }

    auto respondToWatch(const CallerSessionPtr &session, std::uint64_t after,
                        const std::string &waitMs) -> void
    {
        if (after > this->position.revision) {
            this->send(session, 410, "");
            return;
        }
        std::string events;
        for (const auto &[key, revision] : this->items) {
            if (revision > after) {
                events += (events.empty() ? "" : ",") + (R"({"key":")" + key)
                          + R"(","value":"","mod_revision":)" + std::to_string(revision) + "}";
            }
        }
        if (events.empty() && waitMs != "1") {
            this->waitingWatch = session;
            return;
        }
        this->send(session, 200,
                   R"({"events":[)" + events + R"(],"as_of":)"
                       + std::to_string(this->position.revision) + "}");
    }

    /** Restores the store and cuts the watch that waits. */
    auto restore(std::uint64_t revision, std::map<std::string, std::uint64_t> newItems) -> void
    {
        this->position = {this->position.era + 1, revision};
        this->items = std::move(newItems);
        if (this->waitingWatch) {
            std::exchange(this->waitingWatch, nullptr)->abort();
        }
    }

    auto awaitPosition(StorePosition expected) -> bool
    {
        return runUntil(this->context, [&] { return this->mirror.position() == expected; });
    }

    /** Starts the reader and waits until it watches. */
    auto start() -> void
    {
        this->reader->start();
        CPPUNIT_ASSERT(runUntil(this->context, [this] { return this->waitingWatch != nullptr; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, this->mirror.all().size());
    }

    auto restore_toLowerRevision_itemsAreReread() -> void
    {
        this->start();
        this->restore(9, {{"op/config", 3}, {"servers/c", 8}});
        CPPUNIT_ASSERT(this->awaitPosition({2, 9}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->mirror.all().size());
        CPPUNIT_ASSERT(this->mirror.find("servers/c")->position == (StorePosition{2, 8}));
    }

    auto restore_toHigherRevision_itemsAreReread() -> void
    {
        this->start();
        this->restore(25, {{"op/config", 3}, {"servers/a", 24}});
        CPPUNIT_ASSERT(this->awaitPosition({2, 25}));
        CPPUNIT_ASSERT(this->mirror.find("servers/b") == nullptr);
        CPPUNIT_ASSERT(this->mirror.find("servers/a")->position == (StorePosition{2, 24}));
    }

    auto restore_twice_newestEraIsRead() -> void
    {
        this->start();
        this->restore(9, {{"op/config", 3}});
        CPPUNIT_ASSERT(this->awaitPosition({2, 9}));
        this->restore(7, {{"op/config", 3}, {"servers/c", 6}});
        CPPUNIT_ASSERT(this->awaitPosition({3, 7}));
        CPPUNIT_ASSERT(this->mirror.find("servers/c") != nullptr);
    }

    auto restore_betweenPages_rangeIsRestarted() -> void
    {
        this->beforeNextPage = [this] {
            this->restore(30, {{"op/config", 3}, {"servers/b", 4}, {"servers/c", 28}});
        };
        this->reader->start();
        CPPUNIT_ASSERT(this->awaitPosition({2, 30}));
        CPPUNIT_ASSERT(this->mirror.find("servers/a") == nullptr);
        for (const auto &[key, item] : this->mirror.all()) {
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, item.position.era);
        }
    }

    auto watch_responseOfFormerEra_isDropped() -> void
    {
        this->start();
        this->mirror.replaceAll({{"op/config", {"", {2, 3}}}}, {2, 9});
        this->eraHeaders = {"1"};
        this->send(
            std::exchange(this->waitingWatch, nullptr), 200,
            R"({"events":[{"key":"servers/late","value":"","mod_revision":21}],"as_of":21})");
        this->restore(10, {{"op/config", 10}});
        CPPUNIT_ASSERT(this->awaitPosition({2, 10}));
        CPPUNIT_ASSERT(this->mirror.find("servers/late") == nullptr);
    }

    /** A watch that is answered with such a header isn't applied, but repeated. */
    auto assertWatchRepeated(const std::string &eraHeader) -> void
    {
        this->start();
        this->eraHeaders = {eraHeader};
        this->items["servers/d"] = 21;
        this->position.revision = 21;
        const auto targetCount = this->requestTargets.size();
        this->respondToWatch(std::exchange(this->waitingWatch, nullptr), 20, "1500");
        CPPUNIT_ASSERT(this->awaitPosition({1, 21}));
        CPPUNIT_ASSERT_EQUAL(1, this->unreachableReports);
        CPPUNIT_ASSERT(this->requestTargets.size() > targetCount);
        CPPUNIT_ASSERT(this->requestTargets.back().find("after=20") != std::string::npos);
    }

    auto watch_missingEra_isRetried() -> void
    {
        this->assertWatchRepeated("");
    }

    auto watch_malformedEra_isRetried() -> void
    {
        this->assertWatchRepeated("2x");
    }

    auto page_hugeEra_rangeIsRestarted() -> void
    {
        this->eraHeaders = {"18446744073709551615"};
        this->reader->start();
        CPPUNIT_ASSERT(this->awaitPosition({1, 20}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, this->mirror.all().size());
    }

    auto page_withoutProgress_isRetriedAfterADelay() -> void
    {
        this->emptyPages = 3;
        this->reader->start();
        CPPUNIT_ASSERT(this->awaitPosition({1, 20}));
        CPPUNIT_ASSERT_EQUAL(0, this->emptyPages);
        CPPUNIT_ASSERT_EQUAL(1, this->unreachableReports);
    }

    auto page_missingEra_isRetried() -> void
    {
        this->eraHeaders = {"1", ""};
        this->reader->start();
        CPPUNIT_ASSERT(this->awaitPosition({1, 20}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, this->mirror.all().size());
        CPPUNIT_ASSERT_EQUAL(1, this->unreachableReports);
    }

    auto watch_afterFailure_doesNotWait() -> void
    {
        this->start();
        std::exchange(this->waitingWatch, nullptr)->abort();
        CPPUNIT_ASSERT(runUntil(this->context, [this] { return this->waitingWatch != nullptr; }));
        const auto &watch = this->requestTargets.at(this->requestTargets.size() - 2);
        CPPUNIT_ASSERT(watch.find("wait_ms=1") != std::string::npos);
        CPPUNIT_ASSERT(watch.find("wait_ms=1500") == std::string::npos);
    }

private:
    boost::asio::io_context context;
    std::unique_ptr<HttpListener> store;
    fleet::StoreMirror mirror;
    std::unique_ptr<platform::StoreReader> reader;
    std::vector<std::string> requestTargets;
    std::map<std::string, std::uint64_t> items; ///< Revision of each item of the store.
    StorePosition position; ///< Of the store.
    std::vector<std::string> eraHeaders; ///< Sent instead of the era; empty for no header.
    int emptyPages = 0; ///< Pages without items that are still sent.
    std::function<void()> beforeNextPage; ///< Called once between two pages.
    CallerSessionPtr waitingWatch;
    int unreachableReports = 0;
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(StoreRestoreFixture);
