/** @file folded_header_tests.cpp Tests of header lines that are no fields. */
#include "raw_response_fixture.h"

namespace {

using namespace banyanring;
using test::RawServer;

/** Folded lines and names that are none, in headers and trailers. */
class FoldedHeaderFixture : public test::RawResponseFixtureBase
{
    CPPUNIT_TEST_SUITE(FoldedHeaderFixture);
    CPPUNIT_TEST(line_folded_isRejected);
    CPPUNIT_TEST(line_foldedInInterimResponse_isRejected);
    CPPUNIT_TEST(line_foldedInPieces_isRejected);
    CPPUNIT_TEST(line_foldedOnReusedConnection_isRejected);
    CPPUNIT_TEST(fieldName_blankOrControlByte_isMalformed);
    CPPUNIT_TEST(trailer_folded_isRejected);
    CPPUNIT_TEST(trailer_badName_isMalformed);
    CPPUNIT_TEST(trailer_valid_bodyIsDelivered);
    CPPUNIT_TEST(body_linesBeginWithBlanks_isDelivered);
    CPPUNIT_TEST(clientResponse_foldedLine_fails);
    CPPUNIT_TEST_SUITE_END();

public:
    auto line_folded_isRejected() -> void
    {
        for (const auto &line : FoldedLines) {
            this->expectFailure("HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nX-Server-Seal: seal\r\n"
                                    + line + "Content-Length: 5\r\n\r\nvalid",
                                "folded_line");
            this->rawServer->ending = RawServer::Ending::Close;
            this->expectFailure("HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nX-Server-Seal: seal\r\n"
                                    + line + "\r\nvalid",
                                "folded_line");
            this->rawServer->ending = RawServer::Ending::KeepOpen;
            // After the status line there is no field to continue.
            const auto result = this->respond(
                "HTTP/1.1 200 OK\r\n" + line + "X-Attempt-Id: 1\r\nContent-Length: 5\r\n\r\nvalid");
            CPPUNIT_ASSERT_MESSAGE(line, result.failure.has_value() && result.body.empty());
        }
    }

    auto line_foldedInInterimResponse_isRejected() -> void
    {
        this->expectFailure("HTTP/1.1 103 Early Hints\r\nLink: a\r\n Content-Length: 9\r\n\r\n"
                                + validBytes("1"),
                            "folded_line");
    }

    /** Each byte arrives alone, after a pause. */
    auto line_foldedInPieces_isRejected() -> void
    {
        const std::string bytes = head("200") + "X-Server-Seal: seal\r\n Content-Length: 5\r\n\r\n";
        for (const std::size_t pieceBytes : {1U, 7U}) {
            this->rawServer->pieceBytes = pieceBytes;
            this->expectFailure(bytes, "folded_line");
        }
    }

    auto line_foldedOnReusedConnection_isRejected() -> void
    {
        this->rawServer->responses = {
            validBytes("1"), "HTTP/1.1 200 OK\r\nX-Attempt-Id: 2\r\n X-Server-Seal: seal\r\n"
                             "Content-Length: 5\r\n\r\nvalid"};
        this->exchange("1");
        this->expectFailureOf(this->exchange("2"), "folded_line", "reused");
        CPPUNIT_ASSERT_EQUAL(1, this->rawServer->connections);
    }

    auto fieldName_blankOrControlByte_isMalformed() -> void
    {
        for (const auto &line : BadNames) {
            this->expectFailure(head("200") + line + "\r\nContent-Length: 5\r\n\r\nvalid",
                                "malformed");
            this->expectFailure("HTTP/1.1 200 OK\r\n" + line + "\r\nX-Attempt-Id: 1\r\n\r\n",
                                "malformed");
            this->expectFailure(
                "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + validBytes("1"), "malformed");
        }
    }

    auto trailer_folded_isRejected() -> void
    {
        for (const auto &line : FoldedLines) {
            const auto result = this->respond(
                head("200") + "Transfer-Encoding: chunked\r\n\r\n5\r\nvalid\r\n0\r\nX-Sum: 1\r\n"
                + line + "\r\n");
            CPPUNIT_ASSERT_MESSAGE(line, result.failure && !result.ended);
            CPPUNIT_ASSERT_EQUAL(std::string("folded_line"),
                                 std::string(failureName(*result.failure)));
        }
    }

    auto trailer_badName_isMalformed() -> void
    {
        for (const auto &line : BadNames) {
            const auto result =
                this->respond(head("200") + "Transfer-Encoding: chunked\r\n\r\n5\r\nvalid\r\n0\r\n"
                              + line + "\r\n\r\n");
            CPPUNIT_ASSERT_MESSAGE(line, result.failure && !result.ended);
            CPPUNIT_ASSERT_EQUAL(std::string("malformed"),
                                 std::string(failureName(*result.failure)));
        }
    }

    auto trailer_valid_bodyIsDelivered() -> void
    {
        this->expectDelivered(head("200")
                                  + "Transfer-Encoding: chunked\r\n\r\n5;name=value\r\nvalid\r\n"
                                    "0\r\nX-Sum: 1\r\nX-Other: a b\r\n\r\n",
                              200, "valid");
    }

    /** Only lines of the header and the trailer can be folded. */
    auto body_linesBeginWithBlanks_isDelivered() -> void
    {
        const std::string body = "line\r\n X-Server-Seal: a\r\n\tContent-Length: 1\r\n\r\n ";
        const auto chunk = "30\r\n" + body + "\r\n";
        CPPUNIT_ASSERT_EQUAL(std::size_t{0x30}, body.size());
        this->expectDelivered(head("200") + "Content-Length: 48\r\n\r\n" + body, 200, body);
        this->expectDelivered(head("200") + "Transfer-Encoding: chunked\r\n\r\n" + chunk + chunk
                                  + "0\r\n\r\n",
                              200, body + body);
        this->rawServer->ending = RawServer::Ending::Close;
        this->expectDelivered(head("200") + "\r\n" + body, 200, body);
    }

    auto clientResponse_foldedLine_fails() -> void
    {
        for (const auto &line : FoldedLines) {
            const auto result = this->get(head("200") + line + "Content-Length: 5\r\n\r\nvalid");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(line, std::string("folded_line"), result.failure);
            CPPUNIT_ASSERT_MESSAGE(line, result.status == 0 && result.body.empty());
        }
    }

private:
    inline static const std::vector<std::string> FoldedLines{
        " Content-Length: 1\r\n", "\tContent-Length: 1\r\n", " \r\n", "\t\r\n", " :\r\n",
        " more\r\n\tmore\r\n"};

    inline static const std::vector<std::string> BadNames{
        "X Y: 1",    "X\tY: 1",   "X-Y : 1",   "X-Y\t: 1", "X\x01Y: 1",
        "X\x7fY: 1", "X\x80Y: 1", "X\nY: 1",   "X\rY: 1",  "\x01: 1",
        ": 1",       "no colon",  "X\x0bY: 1", "\x0cX: 1", std::string("X\0Y: 1", 6),
        "X\x1f: 1"};
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(FoldedHeaderFixture);
