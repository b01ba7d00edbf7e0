/**
 * @file server_connection_pool_tests.cpp Tests of the connection pool with a raw server over
 * loopback.
 */
#include "raw_response_fixture.h"

namespace {

using namespace banyanring;
using namespace banyanring::gateway;
using test::ExchangeRecorder;
using test::freePort;
using test::Loopback;
using test::RawServer;
using test::runUntil;
namespace asio = boost::asio;

/** A connection pool and one server. */
class ServerConnectionPoolFixture : public test::RawResponseFixtureBase
{
    CPPUNIT_TEST_SUITE(ServerConnectionPoolFixture);
    CPPUNIT_TEST(response_complete_connectionIsReused);
    CPPUNIT_TEST(response_endsWhileReadingIsPaused_nextResponseIsRead);
    CPPUNIT_TEST(response_maxIdleReached_connectionIsClosed);
    CPPUNIT_TEST(response_ofAnotherAttempt_isDiscarded);
    CPPUNIT_TEST(response_extraBytes_connectionIsClosed);
    CPPUNIT_TEST(refusal_repeatedOnReusedConnection_isDiscarded);
    CPPUNIT_TEST(refusal_withoutIdOnReusedConnection_isNotBelieved);
    CPPUNIT_TEST(refusal_withoutIdAfterAnotherResponse_isNotBelieved);
    CPPUNIT_TEST(refusal_withoutIdOnNewConnection_isBelievedAndConnectionClosed);
    CPPUNIT_TEST(refusal_mergedWithAnotherResponse_isNotBelieved);
    CPPUNIT_TEST(refusal_truncatedBeforeTheResponse_isNotBelieved);
    CPPUNIT_TEST(attempt_sentAgain_usesAnotherConnection);
    CPPUNIT_TEST(attempt_withoutId_usesNewConnection);
    CPPUNIT_TEST(response_ofAnotherAttemptWithoutLength_failsAtItsEnd);
    CPPUNIT_TEST(response_withoutLength_endsWithConnection);
    CPPUNIT_TEST(response_truncated_fails);
    CPPUNIT_TEST(response_truncatedInsideHead_fails);
    CPPUNIT_TEST(response_invalid_isMalformed);
    CPPUNIT_TEST(response_endlessBytesBeforeBody_isMalformed);
    CPPUNIT_TEST(response_declaresEnormousBody_isMalformed);
    CPPUNIT_TEST(clientResponse_endlessBody_isTooLong);
    CPPUNIT_TEST(server_closesWithoutResponse_isNotRetried);
    CPPUNIT_TEST(server_unreachable_reportsNotSent);
    CPPUNIT_TEST_SUITE_END();

public:
    static auto responseBytes(const std::string &attemptId, const std::string &body) -> std::string
    {
        return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attemptId
               + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    /** @return Response that states that a request was not executed, without an attempt id. */
    static auto refusalBytes(const std::string &fields = {}) -> std::string
    {
        return "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n" + fields
               + "Content-Length: 0\r\n\r\n";
    }

    auto response_complete_connectionIsReused() -> void
    {
        this->rawServer->responses = {responseBytes("1", "one"), responseBytes("2", "two")};
        CPPUNIT_ASSERT_EQUAL(std::string("one"), this->exchange("1").body);
        CPPUNIT_ASSERT_EQUAL(std::string("two"), this->exchange("2").body);
        CPPUNIT_ASSERT_EQUAL(1, this->rawServer->connections);
    }

    auto response_endsWhileReadingIsPaused_nextResponseIsRead() -> void
    {
        this->rawServer->responses = {responseBytes("1", "one"), responseBytes("2", "two")};
        ExchangeRecorder first;
        const auto exchange =
            this->pool.send(this->server, "1", {"GET / HTTP/1.1\r\n\r\n", nullptr}, false, first);
        first.onData = [&] { exchange->pauseReading(true); };
        CPPUNIT_ASSERT(runUntil(this->context, [&] { return first.hasEnded(); }));
        CPPUNIT_ASSERT_EQUAL(std::string("two"), this->exchange("2").body);
        CPPUNIT_ASSERT_EQUAL(1, this->rawServer->connections);
    }

    auto response_maxIdleReached_connectionIsClosed() -> void
    {
        this->server->maxIdleConnections = 0;
        this->rawServer->responses = {responseBytes("1", "one"), responseBytes("2", "two")};
        this->exchange("1");
        this->exchange("2");
        CPPUNIT_ASSERT_EQUAL(2, this->rawServer->connections);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->pool.idleCount());
    }

    auto response_ofAnotherAttempt_isDiscarded() -> void
    {
        this->rawServer->responses = {responseBytes("0", "late") + responseBytes("1", "mine")};
        CPPUNIT_ASSERT_EQUAL(std::string("mine"), this->exchange("1").body);
    }

    auto response_extraBytes_connectionIsClosed() -> void
    {
        this->rawServer->responses = {responseBytes("1", "mine") + responseBytes("1", "again"),
                                      responseBytes("2", "two")};
        CPPUNIT_ASSERT_EQUAL(std::string("mine"), this->exchange("1").body);
        CPPUNIT_ASSERT_EQUAL(std::string("two"), this->exchange("2").body);
        CPPUNIT_ASSERT_EQUAL(2, this->rawServer->connections);
    }

    auto refusal_repeatedOnReusedConnection_isDiscarded() -> void
    {
        const auto refusal = refusalBytes("X-Attempt-Id: 1\r\n");
        this->rawServer->responses = {refusal, refusal + responseBytes("2", "two")};
        CPPUNIT_ASSERT(this->exchange("1").notExecuted);
        const auto result = this->exchange("2");
        CPPUNIT_ASSERT(!result.notExecuted);
        CPPUNIT_ASSERT_EQUAL(std::string("two"), result.body);
        CPPUNIT_ASSERT_EQUAL(1, this->rawServer->connections);
    }

    auto refusal_withoutIdOnReusedConnection_isNotBelieved() -> void
    {
        this->rawServer->responses = {responseBytes("1", "one"),
                                      refusalBytes() + responseBytes("2", "two"),
                                      responseBytes("3", "three")};
        this->exchange("1");
        const auto result = this->exchange("2");
        CPPUNIT_ASSERT(!result.notExecuted);
        CPPUNIT_ASSERT(result.failure == ExchangeFailure::Malformed);
        CPPUNIT_ASSERT_EQUAL(std::string("three"), this->exchange("3").body);
        CPPUNIT_ASSERT_EQUAL(2, this->rawServer->connections);
    }

    auto refusal_withoutIdAfterAnotherResponse_isNotBelieved() -> void
    {
        this->rawServer->responses = {responseBytes("0", "late") + refusalBytes()};
        const auto result = this->exchange("1");
        CPPUNIT_ASSERT(!result.notExecuted);
        CPPUNIT_ASSERT(result.failure == ExchangeFailure::Malformed);
    }

    auto refusal_withoutIdOnNewConnection_isBelievedAndConnectionClosed() -> void
    {
        this->rawServer->responses = {refusalBytes(), responseBytes("2", "two")};
        CPPUNIT_ASSERT(this->exchange("1").notExecuted);
        CPPUNIT_ASSERT_EQUAL(std::string("two"), this->exchange("2").body);
        CPPUNIT_ASSERT_EQUAL(2, this->rawServer->connections);
    }

    auto refusal_mergedWithAnotherResponse_isNotBelieved() -> void
    {
        for (const auto *begin :
             {"HTTP/1.1 421 Misdirected", "HTTP/1.1 503 Unavailable\r\nX-Not-Executed: ",
              "HTTP/1.1 503 Unavailable\r\nX-Not-Executed: 1\r\nX-Attempt-Id: 1\r\nDate: "}) {
            this->rawServer->responses = {begin + responseBytes("1", "mine")};
            const auto result = this->exchange("1");
            CPPUNIT_ASSERT_MESSAGE(begin, !result.notExecuted);
            CPPUNIT_ASSERT_MESSAGE(begin, result.failure == ExchangeFailure::Malformed);
        }
    }

    auto refusal_truncatedBeforeTheResponse_isNotBelieved() -> void
    {
        this->rawServer->ending = RawServer::Ending::Close;
        this->rawServer->responses = {
            "HTTP/1.1 503 Unavailable\r\nX-Not-Executed: 1\r\nX-Attempt-Id: 0\r\n"
            "Content-Length: 30\r\n\r\n"
            + responseBytes("1", "mine")};
        const auto result = this->exchange("1");
        CPPUNIT_ASSERT(!result.notExecuted);
        CPPUNIT_ASSERT(result.failure.has_value());
        CPPUNIT_ASSERT(result.failure != ExchangeFailure::NotSent);
    }

    auto attempt_sentAgain_usesAnotherConnection() -> void
    {
        this->rawServer->responses = {refusalBytes("X-Attempt-Id: 1\r\n"),
                                      responseBytes("2", "two"), responseBytes("1", "one")};
        this->exchange("1");
        this->exchange("2");
        CPPUNIT_ASSERT_EQUAL(1, this->rawServer->connections);
        CPPUNIT_ASSERT_EQUAL(std::string("one"), this->exchange("1").body);
        CPPUNIT_ASSERT_EQUAL(2, this->rawServer->connections);
    }

    auto attempt_withoutId_usesNewConnection() -> void
    {
        this->rawServer->responses = {responseBytes("1", "one"), refusalBytes()};
        this->exchange("1");
        CPPUNIT_ASSERT(this->exchange("").notExecuted);
        CPPUNIT_ASSERT_EQUAL(2, this->rawServer->connections);
    }

    auto response_ofAnotherAttemptWithoutLength_failsAtItsEnd() -> void
    {
        this->rawServer->ending = RawServer::Ending::Close;
        this->rawServer->responses = {
            "HTTP/1.1 503 Unavailable\r\nX-Not-Executed: 1\r\nX-Attempt-Id: 0\r\n\r\nlate"};
        const auto result = this->exchange("1");
        CPPUNIT_ASSERT(!result.notExecuted);
        CPPUNIT_ASSERT(result.failure == ExchangeFailure::NoResponse);
    }

    auto response_withoutLength_endsWithConnection() -> void
    {
        this->rawServer->ending = RawServer::Ending::Close;
        this->rawServer->responses = {"HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\n\r\nbody"};
        const auto result = this->exchange("1");
        CPPUNIT_ASSERT(result.ended);
        CPPUNIT_ASSERT_EQUAL(std::string("body"), result.body);
    }

    auto response_truncated_fails() -> void
    {
        this->rawServer->ending = RawServer::Ending::Close;
        this->rawServer->responses = {
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nContent-Length: 9\r\n\r\nbody"};
        CPPUNIT_ASSERT(this->exchange("1").failure == ExchangeFailure::Truncated);
    }

    auto response_truncatedInsideHead_fails() -> void
    {
        this->rawServer->ending = RawServer::Ending::Close;
        for (const std::string head : {"HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\n\r\n",
                                       "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\n"
                                       "Content-Length: 0\r\n\r\n",
                                       "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\n"
                                       "Transfer-Encoding: chunked\r\n\r\n"}) {
            for (std::size_t length = 0; length < head.size(); ++length) {
                this->rawServer->requests = 0;
                this->rawServer->responses = {head.substr(0, length)};
                const auto result = this->exchange("1");
                CPPUNIT_ASSERT_MESSAGE(head.substr(0, length), result.failure.has_value());
                CPPUNIT_ASSERT(!result.ended && result.status == 0 && result.body.empty());
                CPPUNIT_ASSERT_EQUAL(1, this->rawServer->requests);
            }
        }
    }

    auto response_invalid_isMalformed() -> void
    {
        this->rawServer->responses = {"\x01\x02 no answer at all\r\n\r\n"};
        CPPUNIT_ASSERT(this->exchange("1").failure == ExchangeFailure::Malformed);
    }

    /** Memory was reserved for the declared length, which ended the process. */
    auto response_declaresEnormousBody_isMalformed() -> void
    {
        for (const auto *length : {"99999999999999", "68719476736", "9223372036854775000"}) {
            this->rawServer->responses = {"HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nContent-Length: "
                                          + std::string(length) + "\r\n\r\nxxxx"};
            CPPUNIT_ASSERT(this->exchange("1").failure == ExchangeFailure::Malformed);
        }
    }

    /** The client of the store and of peers kept up to 256 MB. */
    auto clientResponse_endlessBody_isTooLong() -> void
    {
        constexpr std::size_t MaxSentBytes = 32U << 20U;
        this->rawServer->responses = {"HTTP/1.1 200 OK\r\n\r\n"};
        this->rawServer->endlessBytes = std::string(65536, 'x');
        HttpClient client(this->context);
        std::optional<HttpResult> result;
        client.get(this->rawServer->address(), "/", std::chrono::seconds(4),
                   [&result](HttpResult newResult) { result = std::move(newResult); });
        CPPUNIT_ASSERT(runUntil(this->context, [&result] { return result.has_value(); }));
        CPPUNIT_ASSERT_EQUAL(std::string("too_long"), result->failure);
        CPPUNIT_ASSERT(this->rawServer->endlessBytesSent < MaxSentBytes);
    }

    auto response_endlessBytesBeforeBody_isMalformed() -> void
    {
        // The operating system buffers some megabytes between the two ends.
        constexpr std::size_t MaxSentBytes = 16U << 20U;
        const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        for (const auto &[begin, endless] : std::vector<std::pair<std::string, std::string>>{
                 {"HTTP/1.1 200 ", "OK"},
                 {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
                 {"HTTP/1.1 200 OK\r\n", "Name: value\r\n"},
                 {chunked + "1;", "name"},
                 {chunked + "0\r\n", "Name: value\r\n"}}) {
            this->rawServer->responses = {begin};
            this->rawServer->endlessBytes.clear();
            while (this->rawServer->endlessBytes.size() < 4096) {
                this->rawServer->endlessBytes += endless;
            }
            this->rawServer->endlessBytesSent = 0;
            const auto result = this->exchange("a");
            CPPUNIT_ASSERT_MESSAGE(begin, result.failure == ExchangeFailure::Malformed);
            CPPUNIT_ASSERT_MESSAGE(begin, this->rawServer->endlessBytesSent < MaxSentBytes);
        }
    }

    auto server_closesWithoutResponse_isNotRetried() -> void
    {
        this->rawServer->ending = RawServer::Ending::Close;
        this->rawServer->responses = {""};
        CPPUNIT_ASSERT(this->exchange("1").failure == ExchangeFailure::NoResponse);
        CPPUNIT_ASSERT_EQUAL(1, this->rawServer->requests);
    }

    auto server_unreachable_reportsNotSent() -> void
    {
        this->server->registration.address =
            std::string(Loopback) + ":" + std::to_string(freePort());
        CPPUNIT_ASSERT(this->exchange("1").failure == ExchangeFailure::NotSent);
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(ServerConnectionPoolFixture);
