/** @file transfer_coding_tests.cpp Tests of responses in other transfer codings than chunked. */
#include "raw_response_fixture.h"

namespace {

using namespace banyanring;
using test::RawServer;

/** Requests ask for no transfer coding, so that only chunks may be used. */
class TransferCodingFixture : public test::RawResponseFixtureBase
{
    CPPUNIT_TEST_SUITE(TransferCodingFixture);
    CPPUNIT_TEST(coding_other_isRejected);
    CPPUNIT_TEST(coding_otherWithLength_isRejected);
    CPPUNIT_TEST(coding_chunkedInAnyCase_isDelivered);
    CPPUNIT_TEST(clientResponse_otherCoding_fails);
    CPPUNIT_TEST_SUITE_END();

public:
    auto coding_other_isRejected() -> void
    {
        this->rawServer->ending = RawServer::Ending::Close;
        for (const auto *coding : OtherCodings) {
            this->expectFailure(head("200") + "Transfer-Encoding: " + coding + "\r\n\r\n" + Chunks,
                                "unknown_coding");
        }
    }

    auto coding_otherWithLength_isRejected() -> void
    {
        for (const auto *coding : {"gzip", "xchunked"}) {
            this->expectFailure(head("200") + "Transfer-Encoding: " + coding
                                    + "\r\nContent-Length: 5\r\n\r\nvalid",
                                "unknown_coding");
        }
    }

    auto coding_chunkedInAnyCase_isDelivered() -> void
    {
        for (const auto *coding : {"chunked", "Chunked", " chunked ", "\tCHUNKED\t"}) {
            this->expectDelivered(
                head("200") + "Transfer-Encoding: " + coding + "\r\n\r\n" + Chunks, 200, "valid");
        }
    }

    auto clientResponse_otherCoding_fails() -> void
    {
        const auto result =
            this->get(head("200") + "Transfer-Encoding: gzip, chunked\r\n\r\n" + Chunks);
        CPPUNIT_ASSERT_EQUAL(std::string("unknown_coding"), result.failure);
        CPPUNIT_ASSERT(result.status == 0 && result.body.empty());
    }

private:
    static constexpr std::array OtherCodings{"gzip", "gzip, chunked", "chunked, gzip", "xchunked",
                                             "chunked;q=1"};
    inline static const std::string Chunks = "5\r\nvalid\r\n0\r\n\r\n";
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TransferCodingFixture);
