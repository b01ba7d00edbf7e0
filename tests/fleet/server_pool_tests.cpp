/** @file server_pool_tests.cpp Tests of the connections to servers over loopback. */
#include "banyanring/gateway/server_pool.h"
#include "loopback.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace banyanring;
using namespace banyanring::gateway;
using test::freePort;
using test::Loopback;
using test::runUntil;
namespace asio = boost::asio;
using asio::ip::tcp;

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
        this->server->registration.id = "i-1";
        this->server->registration.address = this->raw->address();
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
        this->server->maxIdleConnections = 0;
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
        this->server->registration.address =
            std::string(Loopback) + ":" + std::to_string(freePort());
        CPPUNIT_ASSERT(this->exchange("1").failure == ExchangeFailure::NotSent);
    }

private:
    asio::io_context context;
    ServerPool pool{context};
    std::unique_ptr<RawServer> raw;
    fleet::ServerPtr server;
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(ServerPoolFixture);
