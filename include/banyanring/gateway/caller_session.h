/** @file caller_session.h A server connection over HTTP/1.1: callers, the platform and operators.
 */
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

namespace banyanring::gateway {

class CallerSession;
using CallerSessionPtr = std::shared_ptr<CallerSession>; ///< Kept alive by its open read.

/** Handles the requests of a door. */
struct DoorHandler
{
    std::function<void(const CallerSessionPtr &, CallerRequest)> onRequest; ///< A whole request.
    std::function<void(const CallerSessionPtr &)> onGone; ///< The caller left while it waited.
    std::function<fleet::CallerLimits(Instant)> limits; ///< Limits in force.
    /** A request was turned away before it was whole: status and reason. */
    std::function<void(int, std::string_view)> onRejected;
};

/**
 * One connection of a caller. Requests are answered one after another; further ones wait in the
 * buffer. A read is always open, so that a caller that leaves is seen at once.
 */
class CallerSession : public CallerPort, public std::enable_shared_from_this<CallerSession>
{
public:
    /**
     * @param socket An accepted socket.
     * @param handler Handles its requests; must outlive it.
     */
    CallerSession(boost::asio::ip::tcp::socket socket, const DoorHandler &handler);

    /** Begins to read. */
    auto start() -> void;

    auto answer(WholeAnswer answer) -> void override;
    auto beginStream(int status, const std::string &reason, const std::vector<HeaderField> &headers)
        -> void override;
    auto streamData(std::string_view data) -> void override;
    auto endStream() -> void override;
    auto abort() -> void override;
    auto unsent() const -> std::size_t override
    {
        return this->pending.size() + this->writing.size();
    }

    /** Closes the connection if no request is in progress. */
    auto closeIfIdle() -> void;

    /**
     * Checks time limits.
     * @param now The present.
     */
    auto checkTimeouts(Instant now) -> void;

    /** @return Whether a request is in progress. */
    auto busy() const -> bool
    {
        return this->state == State::Answering;
    }

    /** @return Whether the connection is closed. */
    auto isClosed() const -> bool
    {
        return this->state == State::Closed;
    }

    bool closeAfterAnswer = false; ///< The node is stopping: say so in each answer.
    std::uint64_t run = 0; ///< Run of the present request; 0 for none.

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    /** What the connection is doing. */
    enum class State : std::uint8_t {
        Idle, ///< Between requests.
        Reading, ///< Inside a request.
        Answering, ///< A whole request was read and is not answered yet.
        Lingering, ///< Closed for writing; what still comes is discarded.
        Closed,
    };

    auto startRead() -> void;
    auto onRead(const boost::system::error_code &error, std::size_t count) -> void;
    auto consume() -> void;
    auto reject(int status, std::string_view reason) -> void;
    auto deliverRequest() -> void;
    auto malformedFraming() const -> bool;
    auto write(std::string_view data) -> void;
    auto flush() -> void;
    auto answerDone() -> void;
    auto linger() -> void;
    auto close() -> void;

    boost::asio::ip::tcp::socket socket;
    const DoorHandler &handler;
    boost::beast::flat_buffer buffer;
    std::optional<Parser> parser;
    State state = State::Idle;
    Instant since{}; ///< When the state began, or the last byte of a body came.
    Instant headerAt{}; ///< When the header was complete.
    bool headerChecked = false;
    bool reading = false;
    bool keepAlive = true; ///< After the present request.
    bool chunked = true; ///< The present stream is sent in chunks.
    bool lingerAfterWrite = false;
    std::string pending; ///< Waits for the present write.
    std::string writing; ///< Being written.
};

} // namespace banyanring::gateway
