/** @file outbound_connection.h Client side of an HTTP/1.1 connection. */
#pragma once

#include "banyanring/core/ids_type.h"
#include "banyanring/gateway/exchange_failure_type.h"
#include "banyanring/gateway/response_body_type.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/container/static_vector.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace banyanring::gateway {

using ResponseHeader = boost::beast::http::response_header<>; ///< A parsed response header.

/** Receives the events of a connection while a response is awaited. */
class ResponseObserver
{
public:
    virtual ~ResponseObserver() = default;
    /** The connection is open. */
    virtual auto onConnected() -> void = 0;
    /** @param header Header of the final response; 1xx responses are skipped. */
    virtual auto onHeader(const ResponseHeader &header) -> void = 0;
    /** @param data Next bytes of the response body, without framing. */
    virtual auto onBody(std::string data) -> void = 0;
    /** @param reusable Whether the connection can be used for another request. */
    virtual auto onEnd(bool reusable) -> void = 0;
    /** @param failure Why there is no complete response. */
    virtual auto onFailed(ExchangeFailure failure) -> void = 0;
};

/**
 * One connection. A read is always pending, so that a close or unsolicited bytes are detected also
 * while it is idle. It never retries a request by itself.
 */
class OutboundConnection : public std::enable_shared_from_this<OutboundConnection>
{
public:
    /** @param context Runs the I/O handlers. */
    explicit OutboundConnection(boost::asio::io_context &context);

    /**
     * Opens the connection and awaits a response on it.
     * @param address "IP:port".
     * @param newObserver Receives the events; must outlive the wait or be detached by close().
     */
    auto connect(const std::string &address, ResponseObserver *newObserver) -> void;

    /**
     * Awaits a response on an open, idle connection, or another one from within onEnd().
     * @param newObserver Receives the events.
     */
    auto awaitResponse(ResponseObserver *newObserver) -> void;

    /**
     * Sends a complete request.
     * @param head Request line and header.
     * @param body Body; null for none.
     */
    auto send(std::string head, std::shared_ptr<const std::string> body = nullptr) -> void;

    /** Closes the connection at once; no further events are reported. */
    auto close() -> void;

    /** @return Whether the connection is open and no response is awaited. */
    auto isIdle() const -> bool
    {
        return this->connected && !this->closed && !this->awaitingResponse && !this->writePending;
    }

    /** @return Whether the connection is closed. */
    auto isClosed() const -> bool
    {
        return this->closed;
    }

    /** @return Whether the current response has neither a length nor chunks. */
    auto responseEndsWithConnection() const -> bool
    {
        return this->parser && this->parser->need_eof();
    }

    /** @param paused Whether to stop reading, while the consumer of the data is slow. */
    auto pauseReading(bool paused) -> void;

    Instant idleSince{}; ///< Time of the return to the pool; set by the pool.
    std::optional<Duration> idleTimeout; ///< Idle timeout announced by the server, if any.
    /** Hashes of the last attempt ids that were sent on it, newest last; set by the exchanges. */
    boost::container::static_vector<std::uint32_t, 16> recentAttempts;

private:
    using Parser = boost::beast::http::response_parser<ResponseBody>;

    auto startRead() -> void;
    auto startWrite() -> void;
    auto onRead(const boost::system::error_code &error, std::size_t count) -> void;
    auto parseBuffered() -> void;
    /** Handles the header that the parser has read; @p header has its bytes. */
    auto acceptHeader(std::string_view header) -> void;
    /** Passes the bytes of the body that the parser has read to the observer. */
    auto passOnBody() -> void;
    /** Ends a response that ends with its connection. */
    auto onEndOfFile() -> void;
    /** Fails, as the connection ended before the response. */
    auto failIncomplete() -> void;
    auto finishResponse() -> void;
    auto fail(ExchangeFailure failure) -> void;
    auto resetParser() -> void;

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    std::optional<Parser> parser;
    ResponseObserver *observer = nullptr;
    std::string currentHead; ///< Head of the request that is being sent.
    std::shared_ptr<const std::string> currentBody; ///< Its body.
    boost::system::error_code writeError; ///< Error of the last write, if it failed.
    std::size_t informationalBytes = 0; ///< Of the 1xx responses to the current request.
    bool connected = false;
    bool closed = false;
    bool awaitingResponse = false;
    bool headerReceived = false;
    bool readPending = false;
    bool readPaused = false;
    bool readEnded = false; ///< A read got the end of file; the write tells whether it was a reset.
    bool writePending = false;
};

} // namespace banyanring::gateway
