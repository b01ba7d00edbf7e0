/** @file socket_tests.cpp Tests of the connections over loopback, and of the store's reader. */
#include "banyanring/gateway/door.h"
#include "banyanring/gateway/server_pool.h"
#include "store_reader.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace banyanring;
using namespace banyanring::gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;
namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto Loopback = "127.0.0.1";

/** @return A port that nobody listens on. */
auto freePort() -> std::uint16_t
{
    asio::io_context context;
    tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::make_address_v4(Loopback), 0));
    return acceptor.local_endpoint().port();
}

/** Runs the loop until a condition holds, for a few seconds at most. */
auto runUntil(asio::io_context &context, const std::function<bool()> &condition) -> bool
{
    const auto until = std::chrono::steady_clock::now() + seconds(5);
    while (!condition() && std::chrono::steady_clock::now() < until) {
        context.restart();
        context.run_for(milliseconds(5));
    }
    return condition();
}

/** A caller's side of a door, spoken to byte by byte. */
class DoorFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DoorFixture);
    CPPUNIT_TEST(request_inPieces_isDelivered);
    CPPUNIT_TEST(request_chunked_isDeliveredWhole);
    CPPUNIT_TEST(request_lengthAndChunks_is400);
    CPPUNIT_TEST(request_twoLengths_is400);
    CPPUNIT_TEST(request_badChunk_is400);
    CPPUNIT_TEST(request_longHeader_is431);
    CPPUNIT_TEST(request_longBody_is413);
    CPPUNIT_TEST(requests_pipelined_areAnsweredInOrder);
    CPPUNIT_TEST(caller_leaves_isNoticedWhileWaiting);
    CPPUNIT_TEST(header_neverEnds_is408);
    CPPUNIT_TEST(idle_tooLong_isClosed);
    CPPUNIT_TEST(stream_aborted_hasNoEnd);
    CPPUNIT_TEST(stopping_answer_saysClose);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        DoorHandler handler;
        handler.onRequest = [this](const CallerSessionPtr &session, CallerRequest request) {
            this->sessions.push_back(session);
            this->requests.push_back(std::move(request));
        };
        handler.onGone = [this](const CallerSessionPtr &) { ++this->gone; };
        handler.limits = [this](Instant) { return this->limits; };
        const auto port = freePort();
        this->door = std::make_unique<Door>(this->context, fleet::Endpoint{Loopback, port},
                                            std::move(handler));
        this->client = std::make_unique<tcp::socket>(this->context);
        this->client->connect({asio::ip::make_address_v4(Loopback), port});
        this->client->non_blocking(true);
    }

    auto send(const std::string &bytes) -> void
    {
        asio::write(*this->client, asio::buffer(bytes));
    }

    /** Waits until a text has come. */
    auto expect(const std::string &text) -> bool
    {
        return runUntil(this->context, [&] {
            std::array<char, 4096> data{};
            boost::system::error_code error;
            const auto count = this->client->read_some(asio::buffer(data), error);
            this->received.append(data.data(), count);
            this->closed =
                this->closed || error == asio::error::eof || error == asio::error::connection_reset;
            return text.empty() ? this->closed : this->received.find(text) != std::string::npos;
        });
    }

    auto arrived(std::size_t number) -> bool
    {
        return runUntil(this->context, [&] { return this->requests.size() >= number; });
    }

    auto request_inPieces_isDelivered() -> void
    {
        this->send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Le");
        this->context.run_for(milliseconds(20));
        this->send("ngth: 4\r\n\r\nbo");
        this->context.run_for(milliseconds(20));
        CPPUNIT_ASSERT(this->requests.empty());
        this->send("dy");
        CPPUNIT_ASSERT(this->arrived(1));
        CPPUNIT_ASSERT_EQUAL(std::string("body"), this->requests[0].body);
        this->sessions[0]->answer({200, "OK", {}, "fine"});
        CPPUNIT_ASSERT(this->expect("Content-Length: 4\r\n\r\nfine"));
    }

    auto request_chunked_isDeliveredWhole() -> void
    {
        this->send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n");
        CPPUNIT_ASSERT(this->arrived(1));
        CPPUNIT_ASSERT_EQUAL(std::string("body"), this->requests[0].body);
        CPPUNIT_ASSERT(this->requests[0].hasLength);
    }

    auto request_lengthAndChunks_is400() -> void
    {
        this->send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
        CPPUNIT_ASSERT(this->expect("HTTP/1.1 400"));
        CPPUNIT_ASSERT(this->requests.empty());
    }

    auto request_twoLengths_is400() -> void
    {
        this->send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
                   "Content-Length: 5\r\n\r\nbody1");
        CPPUNIT_ASSERT(this->expect("HTTP/1.1 400"));
        CPPUNIT_ASSERT(this->requests.empty());
    }

    auto request_badChunk_is400() -> void
    {
        this->send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "zz\r\nbody\r\n0\r\n\r\n");
        CPPUNIT_ASSERT(this->expect("HTTP/1.1 400"));
        CPPUNIT_ASSERT(this->requests.empty());
    }

    auto request_longHeader_is431() -> void
    {
        this->limits.headerBytes = 200;
        this->send("GET /a HTTP/1.1\r\nHost: h\r\nX: " + std::string(400, 'x') + "\r\n\r\n");
        CPPUNIT_ASSERT(this->expect("HTTP/1.1 431"));
    }

    auto request_longBody_is413() -> void
    {
        this->limits.bodyBytes = 10;
        this->send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n");
        CPPUNIT_ASSERT(this->expect("HTTP/1.1 413"));
    }

    auto requests_pipelined_areAnsweredInOrder() -> void
    {
        this->send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
        CPPUNIT_ASSERT(this->arrived(1));
        this->context.run_for(milliseconds(20));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->requests.size());
        this->sessions[0]->answer({200, "OK", {}, "one"});
        CPPUNIT_ASSERT(this->arrived(2));
        CPPUNIT_ASSERT_EQUAL(std::string("/2"), this->requests[1].path);
        this->sessions[1]->answer({200, "OK", {}, "two"});
        CPPUNIT_ASSERT(this->expect("two"));
        CPPUNIT_ASSERT(this->received.find("one") < this->received.find("two"));
    }

    auto caller_leaves_isNoticedWhileWaiting() -> void
    {
        this->send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
        CPPUNIT_ASSERT(this->arrived(1));
        this->client->close();
        CPPUNIT_ASSERT(runUntil(this->context, [&] { return this->gone == 1; }));
    }

    auto header_neverEnds_is408() -> void
    {
        this->limits.headerTimeout = milliseconds(10);
        this->send("GET /1 HTTP/1.1\r\nHost:");
        this->context.run_for(milliseconds(40));
        this->door->tick(Instant::max() / 2);
        CPPUNIT_ASSERT(this->expect("HTTP/1.1 408"));
    }

    auto idle_tooLong_isClosed() -> void
    {
        this->context.run_for(milliseconds(20));
        this->door->tick(Instant::max() / 2);
        CPPUNIT_ASSERT(this->expect(""));
        CPPUNIT_ASSERT(this->received.empty());
    }

    auto stream_aborted_hasNoEnd() -> void
    {
        this->send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
        CPPUNIT_ASSERT(this->arrived(1));
        this->sessions[0]->beginStream(200, "OK", {});
        this->sessions[0]->streamData("id: 1\n\n");
        CPPUNIT_ASSERT(this->expect("7\r\nid: 1\n\n\r\n"));
        this->sessions[0]->abort();
        CPPUNIT_ASSERT(this->expect(""));
        CPPUNIT_ASSERT(this->received.find("\r\n0\r\n") == std::string::npos);
    }

    auto stopping_answer_saysClose() -> void
    {
        this->send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
        CPPUNIT_ASSERT(this->arrived(1));
        this->door->announceClose();
        this->sessions[0]->answer({200, "OK", {}, "fine"});
        CPPUNIT_ASSERT(this->expect("Connection: close\r\n\r\nfine"));
        CPPUNIT_ASSERT(this->expect(""));
    }

private:
    asio::io_context context;
    fleet::EntryLimits limits;
    std::unique_ptr<Door> door;
    std::unique_ptr<tcp::socket> client;
    std::vector<CallerSessionPtr> sessions;
    std::vector<CallerRequest> requests;
    std::string received;
    bool closed = false;
    int gone = 0;
};

/** A server that answers with bytes of the test's choice. */
class RawServer
{
public:
    explicit RawServer(asio::io_context &context)
        : acceptor(context, tcp::endpoint(asio::ip::make_address_v4(Loopback), 0))
    {
        this->accept();
    }

    auto address() const -> std::string
    {
        return std::string(Loopback) + ":" + std::to_string(this->acceptor.local_endpoint().port());
    }

    std::vector<std::string> answers; ///< One for each request.
    bool closeAfter = false; ///< Close after an answer.
    int connections = 0;
    int requests = 0;

private:
    auto accept() -> void
    {
        this->acceptor.async_accept(
            [this](const boost::system::error_code &error, tcp::socket socket) {
                if (!error) {
                    ++this->connections;
                    this->read(std::make_shared<tcp::socket>(std::move(socket)));
                    this->accept();
                }
            });
    }

    auto read(const std::shared_ptr<tcp::socket> &socket) -> void
    {
        auto data = std::make_shared<std::string>();
        asio::async_read_until(
            *socket, asio::dynamic_buffer(*data), "\r\n\r\n",
            [this, socket, data](const boost::system::error_code &error, std::size_t) {
                if (error || this->answers.empty()) {
                    return;
                }
                ++this->requests;
                asio::write(*socket, asio::buffer(this->answers.front()));
                this->answers.erase(this->answers.begin());
                if (this->closeAfter) {
                    socket->close();
                    return;
                }
                this->read(socket);
            });
    }

    tcp::acceptor acceptor;
};

/** Records an exchange. */
class Recorder : public ExchangeListener
{
public:
    auto onSent() -> void override {}
    auto onAnswerHead(const ServerAnswer &answer) -> void override
    {
        this->status = answer.status;
    }
    auto onAnswerData(std::string_view data) -> void override
    {
        this->body.append(data);
    }
    auto onAnswerEnd() -> void override
    {
        this->ended = true;
    }
    auto onAnswerFailed(ExchangeFailure why) -> void override
    {
        this->failure = why;
    }
    auto done() const -> bool
    {
        return this->ended || this->failure.has_value();
    }

    int status = 0;
    std::string body;
    bool ended = false;
    std::optional<ExchangeFailure> failure;
};

/** Connections to servers. */
class ServerPoolFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerPoolFixture);
    CPPUNIT_TEST(answer_whole_connectionIsUsedAgain);
    CPPUNIT_TEST(answer_keptConnectionsUsedUp_isClosed);
    CPPUNIT_TEST(answer_ofAnotherRequest_isDropped);
    CPPUNIT_TEST(answer_extraBytes_connectionIsClosed);
    CPPUNIT_TEST(answer_unframed_endsWithTheConnection);
    CPPUNIT_TEST(answer_truncated_isNoAnswer);
    CPPUNIT_TEST(answer_garbage_isMalformed);
    CPPUNIT_TEST(server_closesWithoutAnswer_isNotSentAgain);
    CPPUNIT_TEST(server_notThere_nothingWasSent);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        this->raw = std::make_unique<RawServer>(this->context);
        this->server = std::make_shared<fleet::Server>();
        this->server->entry.id = "i-1";
        this->server->entry.address = this->raw->address();
    }

    /** Sends one request and waits for its end. */
    auto exchange(const std::string &id) -> Recorder
    {
        Recorder recorder;
        auto sent = this->pool.send(this->server, id, "GET / HTTP/1.1\r\n\r\n", false, recorder);
        CPPUNIT_ASSERT(runUntil(this->context, [&] { return recorder.done(); }));
        return recorder;
    }

    static auto bytesFor(const std::string &id, const std::string &body) -> std::string
    {
        return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id
               + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    auto answer_whole_connectionIsUsedAgain() -> void
    {
        this->raw->answers = {bytesFor("1", "one"), bytesFor("2", "two")};
        CPPUNIT_ASSERT_EQUAL(std::string("one"), this->exchange("1").body);
        CPPUNIT_ASSERT_EQUAL(std::string("two"), this->exchange("2").body);
        CPPUNIT_ASSERT_EQUAL(1, this->raw->connections);
    }

    auto answer_keptConnectionsUsedUp_isClosed() -> void
    {
        this->server->keptConnections = 0;
        this->raw->answers = {bytesFor("1", "one"), bytesFor("2", "two")};
        this->exchange("1");
        this->exchange("2");
        CPPUNIT_ASSERT_EQUAL(2, this->raw->connections);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->pool.idleConnections());
    }

    auto answer_ofAnotherRequest_isDropped() -> void
    {
        this->raw->answers = {bytesFor("0", "late") + bytesFor("1", "mine")};
        CPPUNIT_ASSERT_EQUAL(std::string("mine"), this->exchange("1").body);
    }

    auto answer_extraBytes_connectionIsClosed() -> void
    {
        this->raw->answers = {bytesFor("1", "mine") + bytesFor("1", "again"), bytesFor("2", "two")};
        CPPUNIT_ASSERT_EQUAL(std::string("mine"), this->exchange("1").body);
        CPPUNIT_ASSERT_EQUAL(std::string("two"), this->exchange("2").body);
        CPPUNIT_ASSERT_EQUAL(2, this->raw->connections);
    }

    auto answer_unframed_endsWithTheConnection() -> void
    {
        this->raw->closeAfter = true;
        this->raw->answers = {"HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\n\r\nbody"};
        const auto recorder = this->exchange("1");
        CPPUNIT_ASSERT(recorder.ended);
        CPPUNIT_ASSERT_EQUAL(std::string("body"), recorder.body);
    }

    auto answer_truncated_isNoAnswer() -> void
    {
        this->raw->closeAfter = true;
        this->raw->answers = {
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nContent-Length: 9\r\n\r\nbody"};
        CPPUNIT_ASSERT(this->exchange("1").failure == ExchangeFailure::Truncated);
    }

    auto answer_garbage_isMalformed() -> void
    {
        this->raw->answers = {"\x01\x02 no answer at all\r\n\r\n"};
        CPPUNIT_ASSERT(this->exchange("1").failure == ExchangeFailure::Malformed);
    }

    auto server_closesWithoutAnswer_isNotSentAgain() -> void
    {
        this->raw->closeAfter = true;
        this->raw->answers = {""};
        CPPUNIT_ASSERT(this->exchange("1").failure == ExchangeFailure::NoAnswer);
        CPPUNIT_ASSERT_EQUAL(1, this->raw->requests);
    }

    auto server_notThere_nothingWasSent() -> void
    {
        this->server->entry.address = std::string(Loopback) + ":" + std::to_string(freePort());
        CPPUNIT_ASSERT(this->exchange("1").failure == ExchangeFailure::NotSent);
    }

private:
    asio::io_context context;
    ServerPool pool{context};
    std::unique_ptr<RawServer> raw;
    fleet::ServerPtr server;
};

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
        callbacks.onReached = [this](bool reached, const std::string &) {
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

private:
    asio::io_context context;
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

CPPUNIT_TEST_SUITE_REGISTRATION(DoorFixture);
CPPUNIT_TEST_SUITE_REGISTRATION(ServerPoolFixture);
CPPUNIT_TEST_SUITE_REGISTRATION(StoreReaderFixture);
