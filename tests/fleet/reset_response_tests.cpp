/** @file reset_response_tests.cpp Tests of responses that end while the request is being sent. */
#include "raw_response_fixture.h"

namespace {

using namespace banyanring;
using namespace banyanring::gateway;
using test::ExchangeRecorder;
using test::RawServer;
using test::runUntil;
using Ending = RawServer::Ending;
using std::chrono::milliseconds;

/** A server that responds to a long upload without reading it. */
class ResetResponseFixture : public test::RawResponseFixtureBase
{
    CPPUNIT_TEST_SUITE(ResetResponseFixture);
    CPPUNIT_TEST(unframedResponse_resetDuringUpload_isTruncated);
    CPPUNIT_TEST(unframedResponse_resetBeforeItsBody_isTruncated);
    CPPUNIT_TEST(unframedResponse_resetWhileReadingIsPaused_isTruncated);
    CPPUNIT_TEST(unframedResponse_closedWithUnreadUpload_isTruncated);
    CPPUNIT_TEST(unframedResponse_finishedDuringUpload_isDelivered);
    CPPUNIT_TEST(unframedResponse_finishedBeforeReset_isDelivered);
    CPPUNIT_TEST(unframedResponse_finishedBeforeResetWhileReadingIsPaused_isDelivered);
    CPPUNIT_TEST(unframedResponse_resetAfterUpload_isTruncated);
    CPPUNIT_TEST(framedResponse_cutByReset_isTruncated);
    CPPUNIT_TEST(framedResponse_completeBeforeReset_isDelivered);
    CPPUNIT_TEST(framedResponse_completeBeforeReset_connectionIsNotReused);
    CPPUNIT_TEST(request_resetBeforeResponse_getsNoAnswer);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        // Most of the upload is still to be sent when the response arrives.
        this->startServer(4096);
    }

    auto unframedResponse_resetDuringUpload_isTruncated() -> void
    {
        this->expectTruncated(Head + "\r\npart", Ending::Reset);
    }

    auto unframedResponse_resetBeforeItsBody_isTruncated() -> void
    {
        this->expectTruncated(Head + "\r\n", Ending::Reset);
    }

    /** The failed write is the only operation that reports the reset. */
    auto unframedResponse_resetWhileReadingIsPaused_isTruncated() -> void
    {
        this->pauseFor = milliseconds(150);
        this->expectTruncated(Head + "\r\npart", Ending::Reset);
    }

    /** The operating system sends a reset, as the server has not read what it got. */
    auto unframedResponse_closedWithUnreadUpload_isTruncated() -> void
    {
        this->expectTruncated(Head + "\r\npart", Ending::CloseUnread);
    }

    auto unframedResponse_finishedDuringUpload_isDelivered() -> void
    {
        this->expectDelivered(Head + "\r\nwhole", Ending::FinishSending);
    }

    auto unframedResponse_finishedBeforeReset_isDelivered() -> void
    {
        this->expectDelivered(Head + "\r\nwhole", Ending::FinishSendingAndReset);
    }

    auto unframedResponse_finishedBeforeResetWhileReadingIsPaused_isDelivered() -> void
    {
        this->pauseFor = milliseconds(250);
        this->expectDelivered(Head + "\r\nwhole", Ending::FinishSendingAndReset);
    }

    auto unframedResponse_resetAfterUpload_isTruncated() -> void
    {
        this->uploadBytes = 0;
        this->expectTruncated(Head + "\r\npart", Ending::Reset);
    }

    auto framedResponse_cutByReset_isTruncated() -> void
    {
        for (const auto *rest :
             {"Content-Length: 9\r\n\r\npart", "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"}) {
            for (const auto ending : {Ending::Reset, Ending::CloseUnread, Ending::FinishSending}) {
                this->expectTruncated(Head + rest, ending);
            }
        }
    }

    auto framedResponse_completeBeforeReset_isDelivered() -> void
    {
        for (const auto *rest : {"Content-Length: 5\r\n\r\nwhole",
                                 "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"}) {
            for (const auto ending : {Ending::Reset, Ending::CloseUnread, Ending::FinishSending}) {
                this->expectDelivered(Head + rest, ending);
            }
        }
    }

    auto framedResponse_completeBeforeReset_connectionIsNotReused() -> void
    {
        this->expectDelivered(Head + "Content-Length: 5\r\n\r\nwhole", Ending::Reset);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->pool.idleCount());
    }

    auto request_resetBeforeResponse_getsNoAnswer() -> void
    {
        const auto result = this->upload("", Ending::Reset);
        CPPUNIT_ASSERT(result.failure == ExchangeFailure::NoResponse);
    }

private:
    /** Times between a response and the end of its connection. */
    static constexpr std::array Delays{milliseconds(0), milliseconds(1), milliseconds(20)};
    inline static const std::string Head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\n";

    /** Sends a request whose response is these bytes, and waits for the end of the exchange. */
    auto upload(const std::string &bytes, Ending ending) -> ExchangeRecorder
    {
        this->rawServer->responses = {bytes};
        this->rawServer->ending = ending;
        ExchangeRecorder result;
        const auto body = std::make_shared<const std::string>(this->uploadBytes, 'x');
        const auto exchange =
            this->pool.send(this->server, "1", {"POST / HTTP/1.1\r\n\r\n", body}, false, result);
        boost::asio::steady_timer timer(this->context);
        result.onData = [&] {
            if (this->pauseFor > Duration(0)) {
                exchange->pauseReading(true);
                timer.expires_after(this->pauseFor);
                timer.async_wait([&exchange](const auto &error) {
                    if (!error) {
                        exchange->pauseReading(false);
                    }
                });
            }
        };
        CPPUNIT_ASSERT(runUntil(this->context, [&] { return result.hasEnded(); }));
        return result;
    }

    auto expectTruncated(const std::string &bytes, Ending ending) -> void
    {
        for (const auto delay : Delays) {
            this->rawServer->endingDelay = delay;
            const auto result = this->upload(bytes, ending);
            CPPUNIT_ASSERT_MESSAGE(bytes, !result.ended);
            CPPUNIT_ASSERT_MESSAGE(bytes, result.failure == ExchangeFailure::Truncated);
        }
    }

    auto expectDelivered(const std::string &bytes, Ending ending) -> void
    {
        for (const auto delay : Delays) {
            this->rawServer->endingDelay = delay;
            const auto result = this->upload(bytes, ending);
            CPPUNIT_ASSERT_MESSAGE(bytes, result.ended && !result.failure);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, std::string("whole"), result.body);
        }
    }

    std::size_t uploadBytes = 8U << 20U;
    Duration pauseFor{}; ///< Pause of reading at the first part of a body.
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(ResetResponseFixture);
