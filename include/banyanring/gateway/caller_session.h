/** @file caller_session.h Server side of an HTTP/1.1 connection. */
#pragma once

#include "banyanring/fleet/fleet_config_type.h"
#include "banyanring/gateway/scheduler_ports.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace banyanring::gateway {

class CallerSession;
using CallerSessionPtr = std::shared_ptr<CallerSession>; ///< Kept alive by the pending read.

/** A connection that was closed with received bytes or a begun response left incomplete. */
struct IncompleteClose
{
    std::string_view reason; ///< Why it was closed; a constant.
    std::size_t unansweredBytes = 0; ///< Bytes received that belong to no answered request.
    std::size_t unsentBytes = 0; ///< Bytes of the response that were not sent.
    Duration idle{}; ///< Time since the last activity when the close began.
    Duration idleTimeout{}; ///< Idle timeout in force when the close began.
};

/** Callbacks for the connections of one listener. */
struct HttpHandler
{
    std::function<void(const CallerSessionPtr &, CallerRequest)> onRequest; ///< A complete request.
    std::function<void(const CallerSessionPtr &)> onDisconnected; ///< Closed before the response.
    std::function<fleet::CallerLimits(Instant)> limits; ///< Limits in force at a time.
    /** An incomplete or malformed request was rejected: status and reason phrase. */
    std::function<void(int, std::string_view)> onRejected;
    std::function<void(const IncompleteClose &)> onIncompleteClose; ///< For logs and metrics.
    BodyBudget *bodyBudget = nullptr; ///< Budget for the bodies of requests; null for no limit.
};

/**
 * One connection of a caller. Requests are processed one at a time; pipelined ones wait in the read
 * buffer. A read is always pending, so that a disconnect is detected at once.
 */
class CallerSession : public CallerPort, public std::enable_shared_from_this<CallerSession>
{
public:
    /**
     * @param socket An accepted socket.
     * @param handler Handles the requests; must outlive this object.
     */
    CallerSession(boost::asio::ip::tcp::socket socket, const HttpHandler &handler);

    /** Starts to read requests. */
    auto start() -> void;

    auto sendResponse(HttpResponse response) -> void override;
    auto beginStream(int status, const std::string &reason, const std::vector<HeaderField> &headers)
        -> void override;
    auto sendStreamData(std::string_view data) -> void override;
    auto endStream() -> void override;
    auto abort() -> void override;
    auto unsentBytes() const -> std::size_t override
    {
        return this->pendingOutput.size() + this->currentOutput.size();
    }

    /**
     * Closes the connection if it is idle and nothing remains to be read. A request that crosses
     * the close is not read, so that the caller sees a reset and may repeat it.
     */
    auto closeIfIdle() -> void;

    /**
     * Checks the timeouts of the connection.
     * @param now Current time.
     */
    auto checkTimeouts(Instant now) -> void;

    /** @return Whether a request is in progress. */
    auto isBusy() const -> bool
    {
        return this->state == State::Responding;
    }

    /** @return Whether the connection is closed. */
    auto isClosed() const -> bool
    {
        return this->state == State::Closed;
    }

    bool closeAfterResponse = false; ///< Send "Connection: close", as the node is stopping.
    std::uint64_t requestNumber = 0; ///< Number of the current request; 0 for none.

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    /** State of the connection. */
    enum class State : std::uint8_t {
        Idle, ///< Between requests.
        Reading, ///< Receiving a request.
        Responding, ///< A complete request was received and its response is not complete yet.
        Lingering, ///< Closed for sending; received data is discarded.
        Closed,
    };

    auto startRead() -> void;
    auto onRead(const boost::system::error_code &error, std::size_t count) -> void;
    auto parseBuffered() -> void;
    auto reject(int status, std::string_view reason, std::vector<HeaderField> headers = {}) -> void;
    /** Reserves memory for the body, or rejects the request. */
    auto reserveBody() -> bool;
    auto deliverRequest() -> void;
    auto hasInvalidFraming() const -> bool;
    auto isIdle() const -> bool;
    auto hasUnreadData() const -> bool;
    auto write(std::string_view data) -> void;
    auto flush() -> void;
    auto finishResponse() -> void;
    auto linger(std::string_view reason) -> void;
    auto beginClose(std::string_view reason) -> void;
    auto reportIncompleteClose() -> void;
    auto close() -> void;

    boost::asio::ip::tcp::socket socket;
    const HttpHandler &handler;
    boost::beast::flat_buffer buffer;
    std::optional<Parser> parser;
    State state = State::Idle;
    Instant lastActivityAt{}; ///< Start of the state, or last receipt of body data.
    Instant headerReceivedAt{}; ///< Time at which the header was complete.
    bool headerChecked = false;
    bool readPending = false;
    bool keepAlive = true; ///< Keep the connection open after the current response.
    bool chunked = true; ///< Stream the current response in chunks.
    bool streaming = false; ///< The header of the current response was sent by beginStream().
    bool lingerAfterWrite = false;
    std::shared_ptr<BodyReservation> bodyReservation; ///< For the request that is being received.
    bool rejected = false; ///< The rest of the current request is discarded.
    IncompleteClose closeReport; ///< What the close of the connection leaves incomplete.
    std::string pendingOutput; ///< Data to send after the current write.
    std::string currentOutput; ///< Data of the current write.
};

} // namespace banyanring::gateway
