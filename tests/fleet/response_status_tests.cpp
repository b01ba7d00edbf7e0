/** @file response_status_tests.cpp Tests of the statuses of responses. */
#include "raw_response_fixture.h"

namespace {

using namespace banyanring;
using test::RawServer;

/** Statuses that are none, interim ones, and unusual ones. */
class ResponseStatusFixture : public test::RawResponseFixtureBase
{
    CPPUNIT_TEST_SUITE(ResponseStatusFixture);
    CPPUNIT_TEST(status_outsideTheRange_isInvalid);
    CPPUNIT_TEST(status_outsideTheRangeBeforeAnotherResponse_isInvalid);
    CPPUNIT_TEST(status_outsideTheRangeOnOpenConnection_failsAtOnce);
    CPPUNIT_TEST(status_outsideTheRangeOnReusedConnection_isInvalid);
    CPPUNIT_TEST(status_notThreeDigits_isMalformed);
    CPPUNIT_TEST(status_switchingProtocols_isInvalid);
    CPPUNIT_TEST(status_interim_responseAfterItIsDelivered);
    CPPUNIT_TEST(status_unusual_isDelivered);
    CPPUNIT_TEST(refusal_invalidStatus_isNotBelieved);
    CPPUNIT_TEST(clientResponse_invalidStatus_fails);
    CPPUNIT_TEST(clientResponse_afterInterimOne_isRead);
    CPPUNIT_TEST_SUITE_END();

public:
    auto status_outsideTheRange_isInvalid() -> void
    {
        for (const auto *status : InvalidStatuses) {
            for (const auto *framing : {"Content-Length: 4\r\n", ""}) {
                this->rawServer->ending = RawServer::Ending::Close;
                this->expectFailure(head(status) + framing + "\r\nbody", "invalid_status");
            }
        }
    }

    auto status_outsideTheRangeBeforeAnotherResponse_isInvalid() -> void
    {
        for (const auto *status : InvalidStatuses) {
            this->expectFailure(head(status) + "Content-Length: 0\r\n\r\n" + validBytes("1"),
                                "invalid_status");
        }
    }

    auto status_outsideTheRangeOnOpenConnection_failsAtOnce() -> void
    {
        for (const auto *status : InvalidStatuses) {
            this->expectFailure(head(status) + "Content-Length: 0\r\n\r\n", "invalid_status");
        }
    }

    auto status_outsideTheRangeOnReusedConnection_isInvalid() -> void
    {
        this->rawServer->responses = {validBytes("1"), "HTTP/1.1 000 Zero\r\nX-Attempt-Id: 2\r\n"
                                                       "Content-Length: 0\r\n\r\n"
                                                           + validBytes("2")};
        CPPUNIT_ASSERT_EQUAL(std::string("valid"), this->exchange("1").body);
        this->expectFailureOf(this->exchange("2"), "invalid_status", "reused");
        CPPUNIT_ASSERT_EQUAL(1, this->rawServer->connections);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->pool.idleCount());
    }

    auto status_notThreeDigits_isMalformed() -> void
    {
        for (const auto *status : {"20", "2000", "2 0", "0x0", "-20", " 200", ""}) {
            this->expectFailure(head(status) + "Content-Length: 0\r\n\r\n", "malformed");
        }
    }

    auto status_switchingProtocols_isInvalid() -> void
    {
        this->expectFailure("HTTP/1.1 101 Switching Protocols\r\nX-Attempt-Id: 1\r\n"
                            "Upgrade: other\r\nConnection: Upgrade\r\n\r\n"
                                + validBytes("1"),
                            "invalid_status");
    }

    auto status_interim_responseAfterItIsDelivered() -> void
    {
        for (const auto *status : {"100", "102", "103", "104", "199"}) {
            const std::string interim = std::string("HTTP/1.1 ") + status + " Interim\r\n\r\n";
            this->expectDelivered(interim + validBytes("1"), 200, "valid");
            this->expectDelivered(interim + interim + validBytes("1"), 200, "valid");
        }
    }

    auto status_unusual_isDelivered() -> void
    {
        for (const auto status : {200, 226, 299, 300, 418, 451, 499, 500, 555, 599}) {
            this->expectDelivered(head(std::to_string(status)) + "Content-Length: 5\r\n\r\nvalid",
                                  status, "valid");
        }
        this->expectDelivered("HTTP/1.1 204 \r\nX-Attempt-Id: 1\r\n\r\n", 204, "");
        this->rawServer->ending = RawServer::Ending::Close;
        this->expectDelivered("HTTP/1.0 200 OK\r\nX-Attempt-Id: 1\r\n\r\nvalid", 200, "valid");
    }

    /** The server may have executed a request although it states otherwise. */
    auto refusal_invalidStatus_isNotBelieved() -> void
    {
        for (const auto *status : InvalidStatuses) {
            this->expectFailure(head(status) + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                                "invalid_status");
        }
    }

    auto clientResponse_invalidStatus_fails() -> void
    {
        for (const auto *status : InvalidStatuses) {
            const auto result =
                this->get(head(status) + "Content-Length: 0\r\n\r\n" + validBytes("1"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(status, std::string("invalid_status"), result.failure);
            CPPUNIT_ASSERT_MESSAGE(status, result.status == 0 && result.body.empty());
        }
    }

    auto clientResponse_afterInterimOne_isRead() -> void
    {
        const auto result = this->get("HTTP/1.1 100 Continue\r\n\r\n" + validBytes("1"));
        CPPUNIT_ASSERT_EQUAL(200, result.status);
        CPPUNIT_ASSERT_EQUAL(std::string("valid"), result.body);
    }

private:
    static constexpr std::array InvalidStatuses{"000", "001", "099", "600", "777", "999"};
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(ResponseStatusFixture);
