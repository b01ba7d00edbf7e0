/** @file raw_response_fixture.h Fixture of tests of the raw bytes of responses. */
#pragma once

#include "banyanring/gateway/http_client.h"
#include "banyanring/gateway/server_connection_pool.h"
#include "raw_server.h"

#include <cppunit/extensions/HelperMacros.h>

namespace banyanring::test {

/** A server over loopback, whose responses are read by a connection pool and by the GET client. */
class RawResponseFixtureBase : public CppUnit::TestFixture
{
public:
    auto setUp() -> void override
    {
        this->startServer();
    }

protected:
    /** Starts the server; see RawServer for the size of its receive buffer. */
    auto startServer(std::optional<int> receiveBufferBytes = std::nullopt) -> void
    {
        this->rawServer = std::make_unique<RawServer>(this->context, receiveBufferBytes);
        this->server = std::make_shared<fleet::Server>();
        this->server->registration.id = "i-1";
        this->server->registration.address = this->rawServer->address();
    }

    /** @return Status line of a response to the first attempt, and the field of its id. */
    static auto head(const std::string &status) -> std::string
    {
        return "HTTP/1.1 " + status + " Reason\r\nX-Attempt-Id: 1\r\n";
    }

    static auto validBytes(const std::string &attemptId) -> std::string
    {
        return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attemptId
               + "\r\nContent-Length: 5\r\n\r\nvalid";
    }

    /** Sends one request and waits for the end of the exchange. */
    auto exchange(const std::string &attemptId) -> ExchangeRecorder
    {
        ExchangeRecorder result;
        auto exchange = this->pool.send(this->server, attemptId,
                                        {"GET / HTTP/1.1\r\n\r\n", nullptr}, false, result);
        CPPUNIT_ASSERT(runUntil(this->context, [&] { return result.hasEnded(); }));
        return result;
    }

    /** Sends one request on a connection of its own, which gets these bytes. */
    auto respond(const std::string &bytes) -> ExchangeRecorder
    {
        this->pool.closeIdleTo("i-1");
        this->rawServer->responses = {bytes};
        return this->exchange("1");
    }

    auto expectFailureOf(const ExchangeRecorder &result, const std::string &failure,
                         const std::string &message) -> void
    {
        CPPUNIT_ASSERT_MESSAGE(message, result.failure.has_value());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, failure,
                                     std::string(gateway::failureName(*result.failure)));
        CPPUNIT_ASSERT_MESSAGE(message, !result.ended && !result.notExecuted);
        CPPUNIT_ASSERT_MESSAGE(message, result.status == 0 && result.body.empty());
    }

    auto expectFailure(const std::string &bytes, const std::string &failure) -> void
    {
        this->expectFailureOf(this->respond(bytes), failure, bytes);
    }

    auto expectDelivered(const std::string &bytes, int status, const std::string &body) -> void
    {
        const auto result = this->respond(bytes);
        CPPUNIT_ASSERT_MESSAGE(bytes, result.ended && !result.failure);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, status, result.status);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, body, result.body);
    }

    /** Sends a request with the client for the store and peers. */
    auto get(const std::string &bytes) -> gateway::HttpResult
    {
        this->rawServer->responses = {bytes};
        gateway::HttpClient client(this->context);
        std::optional<gateway::HttpResult> result;
        client.get(this->rawServer->address(), "/", std::chrono::seconds(4),
                   [&result](gateway::HttpResult newResult) { result = std::move(newResult); });
        CPPUNIT_ASSERT(runUntil(this->context, [&result] { return result.has_value(); }));
        return *result;
    }

    boost::asio::io_context context;
    gateway::ServerConnectionPool pool{context};
    std::unique_ptr<RawServer> rawServer;
    fleet::ServerPtr server;
};

} // namespace banyanring::test
