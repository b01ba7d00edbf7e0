/** @file outbound_connection.h A client connection over HTTP/1.1: to servers, the store and peers.
 */
#pragma once

#include "banyanring/core/ids_type.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>
#include <string>

namespace banyanring::gateway {

using AnswerHeader = boost::beast::http::response_header<>; ///< A parsed answer header.

/** How a connection failed. */
enum class LinkFailure : std::uint8_t {
    NotConnected, ///< It was never open; nothing was sent.
    Closed, ///< Closed or reset before the answer began.
    Truncated, ///< Closed or reset inside the answer.
    Malformed, ///< Bytes came that are no answer.
};

/** Gets what happens on a connection while an answer is awaited. */
class AnswerListener
{
public:
    virtual ~AnswerListener() = default;
    /** The connection is open. */
    virtual auto onOpen() -> void = 0;
    /** @param header Header of an answer; 1xx answers are passed over. */
    virtual auto onHead(const AnswerHeader &header) -> void = 0;
    /** @param data Next bytes of the answer's body, without framing. */
    virtual auto onBody(std::string data) -> void = 0;
    /** @param reusable Whether another request may be sent on the connection. */
    virtual auto onEnd(bool reusable) -> void = 0;
    /** @param failure Why no whole answer comes. */
    virtual auto onFailed(LinkFailure failure) -> void = 0;
};

/**
 * One connection. It always has one read open, so that a close or stray bytes are seen also while
 * it is idle. Nothing is ever sent a second time by itself.
 */
class OutboundConnection : public std::enable_shared_from_this<OutboundConnection>
{
public:
    /** @param context Runs all its work. */
    explicit OutboundConnection(boost::asio::io_context &context);

    /**
     * Opens the connection and awaits an answer on it.
     * @param address "IP:port".
     * @param newListener Gets what happens; must outlive the wait or be detached by close().
     */
    auto open(const std::string &address, AnswerListener *newListener) -> void;

    /**
     * Awaits an answer on an open, idle connection, or a further one inside onEnd().
     * @param newListener Gets what happens.
     */
    auto awaitAnswer(AnswerListener *newListener) -> void;

    /** @param bytes A whole request. */
    auto send(std::string bytes) -> void;

    /** Closes the connection at once; the listener hears nothing more. */
    auto close() -> void;

    /** @return Whether it is open and no answer is awaited. */
    auto idle() const -> bool
    {
        return this->opened && !this->closed && !this->awaiting && !this->writing;
    }

    /** @return Whether it is closed. */
    auto isClosed() const -> bool
    {
        return this->closed;
    }

    /** @param paused Whether to stop reading, while the reader of the data is slow. */
    auto pauseReading(bool paused) -> void;

    Instant idleSince{}; ///< Set by the pool.
    std::optional<Duration> keepAlive; ///< How long the server keeps it idle, if it told.

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    auto startRead() -> void;
    auto startWrite() -> void;
    auto onRead(const boost::system::error_code &error, std::size_t count) -> void;
    auto consume() -> void;
    auto finishAnswer() -> void;
    auto fail(LinkFailure failure) -> void;
    auto resetParser() -> void;

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    std::optional<Parser> parser;
    AnswerListener *listener = nullptr;
    std::string outgoing;
    bool opened = false;
    bool closed = false;
    bool awaiting = false;
    bool headSeen = false;
    bool reading = false;
    bool readPaused = false;
    bool writing = false;
};

} // namespace banyanring::gateway
