/** @file http_listener_tests.cpp Tests of an HTTP listener with raw bytes over loopback. */
#include "banyanring/gateway/http_listener.h"
#include "loopback.h"

#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace banyanring;
using namespace banyanring::gateway;
using std::chrono::milliseconds;
using test::freePort;
using test::Loopback;
using test::runUntil;
namespace asio = boost::asio;
using asio::ip::tcp;

/** A listener, and a raw socket connected to it. */
class HttpListenerFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpListenerFixture);
    CPPUNIT_TEST(request_inPieces_isDelivered);
    CPPUNIT_TEST(request_chunked_isDeliveredComplete);
    CPPUNIT_TEST(request_lengthAndChunked_gets400);
    CPPUNIT_TEST(request_twoContentLengths_gets400);
    CPPUNIT_TEST(request_malformedChunk_gets400);
    CPPUNIT_TEST(request_headerTooLarge_gets431);
    CPPUNIT_TEST(request_bodyTooLarge_gets413);
    CPPUNIT_TEST(bodies_exceedTheBudget_furtherOnesGet503);
    CPPUNIT_TEST(body_chunkedBeyondTheBudget_gets503);
    CPPUNIT_TEST(body_longerThanTheBudget_isDeliveredAlone);
    CPPUNIT_TEST(requests_pipelined_getResponsesInOrder);
    CPPUNIT_TEST(caller_disconnectsWhileWaiting_isReported);
    CPPUNIT_TEST(header_incompleteAfterTimeout_gets408);
    CPPUNIT_TEST(header_completeButUnreadAtTimeout_isDelivered);
    CPPUNIT_TEST(connection_idleAfterTimeout_isClosed);
    CPPUNIT_TEST(request_crossesIdleClose_isNotRead);
    CPPUNIT_TEST(request_waitsWhenIdleTimeoutIsChecked_isDelivered);
    CPPUNIT_TEST(request_waitsWhenIdleSessionsAreClosed_isDelivered);
    CPPUNIT_TEST(response_beforeRestOfBody_isReceived);
    CPPUNIT_TEST(response_unreadWhenRequestCrossesIdleClose_isReceived);
    CPPUNIT_TEST(stream_aborted_hasNoFinalChunk);
    CPPUNIT_TEST(stream_aborted_isReportedOnce);
    CPPUNIT_TEST(request_pipelinedAfterLastResponse_isReported);
    CPPUNIT_TEST(response_insideStream_closesTheConnection);
    CPPUNIT_TEST(listener_stopping_respondsWithConnectionClose);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        HttpHandler handler;
        handler.onRequest = [this](const CallerSessionPtr &session, CallerRequest request) {
            this->sessions.push_back(session);
            this->requests.push_back(std::move(request));
        };
        handler.onDisconnected = [this](const CallerSessionPtr &) { ++this->disconnects; };
        handler.onIncompleteClose = [this](const IncompleteClose &report) {
            this->incompleteCloses.push_back(report);
        };
        handler.limits = [this](Instant) { return this->limits; };
        handler.bodyBudget = &this->budget;
        const auto port = freePort();
        this->listener = std::make_unique<HttpListener>(
            this->context, fleet::Endpoint{Loopback, port}, std::move(handler));
        this->client = std::make_unique<tcp::socket>(this->context);
        this->client->connect({asio::ip::make_address_v4(Loopback), port});
        this->client->non_blocking(true);
    }

    auto send(const std::string &bytes) -> void
    {
        asio::write(*this->client, asio::buffer(bytes));
    }

    /** Waits for a text, or for the close of the connection if it is empty. */
    auto expect(const std::string &text) -> bool
    {
        return runUntil(this->context, [&] {
            std::array<char, 4096> data{};
            boost::system::error_code error;
            const auto size = this->client->read_some(asio::buffer(data), error);
            this->received.append(data.data(), size);
            this->closed =
                this->closed || error == asio::error::eof || error == asio::error::connection_reset;
            return text.empty() ? this->closed : this->received.find(text) != std::string::npos;
        });
    }

    auto waitForRequests(std::size_t count) -> bool
    {
        return runUntil(this->context, [&] { return this->requests.size() >= count; });
    }

    auto request_inPieces_isDelivered() -> void
    {
        this->send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Le");
        this->context.run_for(milliseconds(20));
        this->send("ngth: 4\r\n\r\nbo");
        this->context.run_for(milliseconds(20));
        CPPUNIT_ASSERT(this->requests.empty());
        this->send("dy");
        CPPUNIT_ASSERT(this->waitForRequests(1));
        CPPUNIT_ASSERT_EQUAL(std::string("body"), *this->requests[0].body);
        this->sessions[0]->sendResponse({200, "OK", {}, "fine"});
        CPPUNIT_ASSERT(this->expect("Content-Length: 4\r\n\r\nfine"));
    }

    auto request_chunked_isDeliveredComplete() -> void
    {
        this->send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n");
        CPPUNIT_ASSERT(this->waitForRequests(1));
        CPPUNIT_ASSERT_EQUAL(std::string("body"), *this->requests[0].body);
        CPPUNIT_ASSERT(this->requests[0].hasBody);
    }

    auto request_lengthAndChunked_gets400() -> void
    {
        this->send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
        CPPUNIT_ASSERT(this->expect("HTTP/1.1 400"));
        CPPUNIT_ASSERT(this->requests.empty());
    }

    auto request_twoContentLengths_gets400() -> void
    {
        this->send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
                   "Content-Length: 5\r\n\r\nbody1");
        CPPUNIT_ASSERT(this->expect("HTTP/1.1 400"));
        CPPUNIT_ASSERT(this->requests.empty());
    }

    auto request_malformedChunk_gets400() -> void
    {
        this->send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "zz\r\nbody\r\n0\r\n\r\n");
        CPPUNIT_ASSERT(this->expect("HTTP/1.1 400"));
        CPPUNIT_ASSERT(this->requests.empty());
    }

    auto request_headerTooLarge_gets431() -> void
    {
        this->limits.maxHeaderBytes = 200;
        this->send("GET /a HTTP/1.1\r\nHost: h\r\nX: " + std::string(400, 'x') + "\r\n\r\n");
        CPPUNIT_ASSERT(this->expect("HTTP/1.1 431"));
    }

    auto request_bodyTooLarge_gets413() -> void
    {
        this->limits.maxBodyBytes = 10;
        this->send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n");
        CPPUNIT_ASSERT(this->expect("HTTP/1.1 413"));
    }

    /** @return A request with a body of the given size. */
    static auto requestWithBody(std::size_t size) -> std::string
    {
        return "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n"
               + std::string(size, 'x');
    }

    /** Bodies within the limits of the configuration exceeded the memory of a node together. */
    auto bodies_exceedTheBudget_furtherOnesGet503() -> void
    {
        this->limits.maxBodyBytes = BudgetBytes;
        BodyReservation others(this->budget);
        CPPUNIT_ASSERT(others.growTo(BudgetBytes / 2));
        this->send(requestWithBody(BudgetBytes / 2 + 1));
        CPPUNIT_ASSERT(this->expect("HTTP/1.1 503 Service Unavailable\r\nRetry-After: "));
        CPPUNIT_ASSERT(this->requests.empty());
        CPPUNIT_ASSERT_EQUAL(BudgetBytes / 2, this->budget.reservedBytes());
    }

    auto body_chunkedBeyondTheBudget_gets503() -> void
    {
        constexpr std::size_t ChunkBytes = 65536;
        this->limits.maxBodyBytes = BudgetBytes;
        BodyReservation others(this->budget);
        CPPUNIT_ASSERT(others.growTo(BudgetBytes - ChunkBytes));
        this->send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int count = 0; count < 3; ++count) {
            this->send("10000\r\n" + std::string(ChunkBytes, 'x') + "\r\n");
        }
        CPPUNIT_ASSERT(this->expect("HTTP/1.1 503 "));
        CPPUNIT_ASSERT(this->requests.empty());
        CPPUNIT_ASSERT_EQUAL(BudgetBytes - ChunkBytes, this->budget.reservedBytes());
    }

    auto body_longerThanTheBudget_isDeliveredAlone() -> void
    {
        this->limits.maxBodyBytes = 2 * BudgetBytes;
        this->send(requestWithBody(BudgetBytes + 1));
        CPPUNIT_ASSERT(this->waitForRequests(1));
        CPPUNIT_ASSERT_EQUAL(BudgetBytes + 1, this->budget.reservedBytes());
        this->requests.clear();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->budget.reservedBytes());
    }

    auto requests_pipelined_getResponsesInOrder() -> void
    {
        this->send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
        CPPUNIT_ASSERT(this->waitForRequests(1));
        this->context.run_for(milliseconds(20));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->requests.size());
        this->sessions[0]->sendResponse({200, "OK", {}, "one"});
        CPPUNIT_ASSERT(this->waitForRequests(2));
        CPPUNIT_ASSERT_EQUAL(std::string("/2"), this->requests[1].path);
        this->sessions[1]->sendResponse({200, "OK", {}, "two"});
        CPPUNIT_ASSERT(this->expect("two"));
        CPPUNIT_ASSERT(this->received.find("one") < this->received.find("two"));
    }

    auto caller_disconnectsWhileWaiting_isReported() -> void
    {
        this->send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
        CPPUNIT_ASSERT(this->waitForRequests(1));
        this->client->close();
        CPPUNIT_ASSERT(runUntil(this->context, [&] { return this->disconnects == 1; }));
    }

    auto header_incompleteAfterTimeout_gets408() -> void
    {
        this->limits.headerTimeout = milliseconds(10);
        this->send("GET /1 HTTP/1.1\r\nHost:");
        this->context.run_for(milliseconds(40));
        this->listener->tick(Instant::max() / 2);
        CPPUNIT_ASSERT(this->expect("HTTP/1.1 408"));
    }

    auto header_completeButUnreadAtTimeout_isDelivered() -> void
    {
        this->send("GET /1 HTTP/1.1\r\nHost:");
        this->context.run_for(milliseconds(40));
        this->send(" h\r\n\r\n");
        this->listener->tick(Instant::max() / 2);
        CPPUNIT_ASSERT(this->waitForRequests(1));
    }

    auto connection_idleAfterTimeout_isClosed() -> void
    {
        this->context.run_for(milliseconds(20));
        this->listener->tick(Instant::max() / 2);
        CPPUNIT_ASSERT(this->expect(""));
        CPPUNIT_ASSERT(this->received.empty());
    }

    auto request_crossesIdleClose_isNotRead() -> void
    {
        this->context.run_for(milliseconds(20));
        this->listener->tick(Instant::max() / 2);
        this->context.run_for(milliseconds(20));
        const std::string request = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
        this->send(request);
        // Only a write after the reset fails.
        CPPUNIT_ASSERT(runUntil(this->context, [&] {
            boost::system::error_code error;
            this->client->write_some(asio::buffer(request), error);
            return error == asio::error::broken_pipe || error == asio::error::connection_reset;
        }));
        CPPUNIT_ASSERT(this->requests.empty());
    }

    auto request_waitsWhenIdleTimeoutIsChecked_isDelivered() -> void
    {
        this->context.run_for(milliseconds(20));
        this->send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
        this->listener->tick(Instant::max() / 2);
        CPPUNIT_ASSERT(this->waitForRequests(1));
        this->sessions[0]->sendResponse({200, "OK", {}, "fine"});
        CPPUNIT_ASSERT(this->expect("fine"));
    }

    auto request_waitsWhenIdleSessionsAreClosed_isDelivered() -> void
    {
        this->context.run_for(milliseconds(20));
        this->listener->closeAfterResponses();
        this->send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
        this->listener->closeIdleSessions();
        CPPUNIT_ASSERT(this->waitForRequests(1));
        this->sessions[0]->sendResponse({200, "OK", {}, "fine"});
        CPPUNIT_ASSERT(this->expect("Connection: close\r\n\r\nfine"));
    }

    auto response_beforeRestOfBody_isReceived() -> void
    {
        this->limits.maxBodyBytes = 10;
        this->send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 40000\r\n\r\n");
        this->context.run_for(milliseconds(20));
        this->send(std::string(20000, 'x'));
        this->context.run_for(milliseconds(20));
        this->send(std::string(20000, 'x'));
        this->context.run_for(milliseconds(20));
        CPPUNIT_ASSERT(this->expect("HTTP/1.1 413"));
        CPPUNIT_ASSERT(this->incompleteCloses.empty());
    }

    auto response_unreadWhenRequestCrossesIdleClose_isReceived() -> void
    {
        this->send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
        CPPUNIT_ASSERT(this->waitForRequests(1));
        this->sessions[0]->sendResponse({200, "OK", {}, std::string(60000, 'x') + "end"});
        this->context.run_for(milliseconds(20));
        this->listener->tick(Instant::max() / 2);
        this->context.run_for(milliseconds(20));
        this->send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
        this->context.run_for(milliseconds(20));
        CPPUNIT_ASSERT(this->expect("xend"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->requests.size());
    }

    auto stream_aborted_hasNoFinalChunk() -> void
    {
        this->send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
        CPPUNIT_ASSERT(this->waitForRequests(1));
        this->sessions[0]->beginStream(200, "OK", {});
        this->sessions[0]->sendStreamData("id: 1\n\n");
        CPPUNIT_ASSERT(this->expect("7\r\nid: 1\n\n\r\n"));
        this->sessions[0]->abort();
        CPPUNIT_ASSERT(this->expect(""));
        CPPUNIT_ASSERT(this->received.find("\r\n0\r\n") == std::string::npos);
    }

    auto stream_aborted_isReportedOnce() -> void
    {
        this->send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
        CPPUNIT_ASSERT(this->waitForRequests(1));
        this->sessions[0]->beginStream(200, "OK", {});
        this->sessions[0]->abort();
        this->sessions[0]->abort();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->incompleteCloses.size());
        CPPUNIT_ASSERT(this->incompleteCloses[0].reason == "response_aborted");
        CPPUNIT_ASSERT(this->incompleteCloses[0].idleTimeout == this->limits.idleTimeout);
    }

    auto request_pipelinedAfterLastResponse_isReported() -> void
    {
        const std::string second = "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n";
        this->send("GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + second);
        CPPUNIT_ASSERT(this->waitForRequests(1));
        this->sessions[0]->sendResponse({200, "OK", {}, "one"});
        CPPUNIT_ASSERT(this->expect(""));
        this->context.run_for(milliseconds(20));
        this->listener->tick(Instant::max() / 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->incompleteCloses.size());
        CPPUNIT_ASSERT(this->incompleteCloses[0].reason == "response_sent");
        CPPUNIT_ASSERT_EQUAL(second.size(), this->incompleteCloses[0].unansweredBytes);
    }

    auto response_insideStream_closesTheConnection() -> void
    {
        this->send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
        CPPUNIT_ASSERT(this->waitForRequests(1));
        this->sessions[0]->beginStream(200, "OK", {});
        this->sessions[0]->sendStreamData("id: 1\n\n");
        CPPUNIT_ASSERT(this->expect("id: 1\n\n"));
        this->sessions[0]->sendResponse({502, "Bad Gateway", {}, "text"});
        CPPUNIT_ASSERT(this->expect(""));
        CPPUNIT_ASSERT(this->received.find("502") == std::string::npos);
        CPPUNIT_ASSERT(this->received.find("\r\n0\r\n") == std::string::npos);
    }

    auto listener_stopping_respondsWithConnectionClose() -> void
    {
        this->send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
        CPPUNIT_ASSERT(this->waitForRequests(1));
        this->listener->closeAfterResponses();
        this->sessions[0]->sendResponse({200, "OK", {}, "fine"});
        CPPUNIT_ASSERT(this->expect("Connection: close\r\n\r\nfine"));
        CPPUNIT_ASSERT(this->expect(""));
    }

private:
    static constexpr std::size_t BudgetBytes = 512U << 10U;

    BodyBudget budget{BudgetBytes * BodyBudget::MemoryFraction};
    asio::io_context context;
    fleet::CallerLimits limits;
    std::unique_ptr<HttpListener> listener;
    std::unique_ptr<tcp::socket> client;
    std::vector<CallerSessionPtr> sessions;
    std::vector<CallerRequest> requests;
    std::vector<IncompleteClose> incompleteCloses;
    std::string received;
    bool closed = false;
    int disconnects = 0;
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(HttpListenerFixture);
