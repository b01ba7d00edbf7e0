/** @file caller_session.cpp Server side of an HTTP/1.1 connection. */
#include "banyanring/gateway/caller_session.h"

#include "banyanring/adapters/log_func.h"
#include "banyanring/ports/clock_func.h"
#include "header_text_func.h"
#include "request_headers.h"
#include "socket_options.h"

#include <array>
#include <boost/algorithm/string.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace banyanring::gateway {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::size_t MaxReadBytes = 16384; ///< Maximum bytes of one read.
constexpr std::size_t MaxBufferedBytes = 65536; ///< Limit of buffered pipelined requests.
/** Time to receive and discard data in transit, which would cause a reset after a close. */
constexpr Duration LingerTimeout = std::chrono::seconds(1);
constexpr std::size_t MaxShortBodyBytes = 4096; ///< Shorter bodies need no room in the budget.
constexpr auto NoRoomRetryAfter = "0.5"; ///< Seconds; requests with long bodies take about as long.

/** @return Status line and header fields of a response, without the empty line. */
auto formatHeader(int status, std::string_view reason, const std::vector<HeaderField> &headers)
    -> std::string
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
    out.append(reason).append("\r\n");
    for (const auto &[name, value] : headers) {
        appendField(out, name, value);
    }
    return out;
}

} // namespace

CallerSession::CallerSession(asio::ip::tcp::socket socket, const HttpHandler &handler)
    : socket(std::move(socket)), handler(handler), lastActivityAt(bootClockNow())
{
    setTcpOptions(this->socket);
}

auto CallerSession::start() -> void
{
    this->startRead();
}

auto CallerSession::startRead() -> void
{
    if (this->readPending || this->state == State::Closed
        || this->buffer.size() > MaxBufferedBytes) {
        return;
    }
    this->readPending = true;
    auto self = this->shared_from_this();
    this->socket.async_read_some(this->buffer.prepare(MaxReadBytes),
                                 [self](const error_code &error, std::size_t count) {
                                     self->readPending = false;
                                     self->onRead(error, count);
                                 });
}

auto CallerSession::onRead(const error_code &error, std::size_t count) -> void
{
    if (this->state == State::Closed) {
        return;
    }
    if (error) {
        const bool callerWaiting = this->state == State::Responding;
        this->close();
        if (callerWaiting && this->handler.onDisconnected) {
            this->handler.onDisconnected(this->shared_from_this());
        }
        return;
    }
    if (this->state == State::Lingering) {
        this->closeReport.unansweredBytes += this->rejected ? 0 : count;
        this->startRead();
        return;
    }
    this->buffer.commit(count);
    this->parseBuffered();
    this->startRead();
}

auto CallerSession::parseBuffered() -> void
{
    while (this->buffer.size() > 0
           && (this->state == State::Idle || this->state == State::Reading)) {
        const auto now = bootClockNow();
        if (this->state == State::Idle) {
            const auto limits = this->handler.limits(now);
            this->parser.emplace();
            this->parser->eager(true);
            this->parser->header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
            this->parser->body_limit(limits.maxBodyBytes);
            this->headerChecked = false;
            this->state = State::Reading;
            this->lastActivityAt = now;
        }
        error_code error;
        const auto consumed = this->parser->put(this->buffer.data(), error);
        this->buffer.consume(consumed);
        if (this->parser->is_header_done() && !this->headerChecked) {
            this->headerChecked = true;
            this->headerReceivedAt = now;
            if (this->hasInvalidFraming()) {
                this->reject(400, "Bad Request");
                return;
            }
            if (!this->reserveBody()) {
                return;
            }
            if (boost::iequals(this->parser->get()[http::field::expect], "100-continue")
                && !this->parser->is_done()) {
                this->write("HTTP/1.1 100 Continue\r\n\r\n");
            }
        }
        if (this->headerChecked) {
            this->lastActivityAt = now;
        }
        if (error == http::error::header_limit) {
            this->reject(431, "Request Header Fields Too Large");
            return;
        }
        if (error == http::error::body_limit) {
            this->reject(413, "Content Too Large");
            return;
        }
        if (error && error != http::error::need_more) {
            this->reject(400, "Bad Request");
            return;
        }
        if (this->headerChecked && !this->reserveBody()) {
            return;
        }
        if (this->parser->is_done()) {
            this->deliverRequest();
            return;
        }
        if (error == http::error::need_more) {
            return;
        }
    }
}

auto CallerSession::reserveBody() -> bool
{
    auto &body = this->parser->get().body();
    const auto bytes =
        std::max<std::uint64_t>(body.capacity(), this->parser->content_length().value_or(0));
    if (this->handler.bodyBudget == nullptr || bytes <= MaxShortBodyBytes) {
        return true;
    }
    if (!this->bodyReservation) {
        this->bodyReservation = std::make_shared<BodyReservation>(*this->handler.bodyBudget);
    }
    if (this->bodyReservation->growTo(bytes)) {
        return true;
    }
    std::string().swap(body);
    this->bodyReservation.reset();
    this->reject(503, "Service Unavailable", {{"Retry-After", NoRoomRetryAfter}});
    return false;
}

auto CallerSession::hasInvalidFraming() const -> bool
{
    const auto &fields = this->parser->get();
    const auto lengthCount = fields.count(http::field::content_length);
    const auto encodingCount = fields.count(http::field::transfer_encoding);
    const bool unsupportedEncoding =
        encodingCount > 0 && !boost::iequals(fields[http::field::transfer_encoding], "chunked");
    return lengthCount > 1 || encodingCount > 1 || (lengthCount > 0 && encodingCount > 0)
           || unsupportedEncoding;
}

auto CallerSession::deliverRequest() -> void
{
    auto message = this->parser->release();
    auto request = platform::decodeRequest(message.base());
    request.hasBody = message.find(http::field::content_length) != message.end()
                      || message.find(http::field::transfer_encoding) != message.end();
    request.keepAlive = message.keep_alive();
    request.arrivedAt = this->headerReceivedAt;
    request.body = std::make_shared<const std::string>(std::move(message.body()));
    request.bodyReservation = std::move(this->bodyReservation);
    this->keepAlive = request.keepAlive;
    this->chunked = message.version() >= 11;
    this->state = State::Responding;
    this->handler.onRequest(this->shared_from_this(), std::move(request));
}

auto CallerSession::reject(int status, std::string_view reason, std::vector<HeaderField> headers)
    -> void
{
    if (this->handler.onRejected) {
        this->handler.onRejected(status, reason);
    }
    this->state = State::Responding;
    this->keepAlive = false;
    this->rejected = true;
    this->sendResponse({status, std::string(reason), std::move(headers), ""});
}

auto CallerSession::sendResponse(HttpResponse response) -> void
{
    if (this->state != State::Responding) {
        return;
    }
    if (this->streaming) {
        logEvent("response_inside_stream", {{"status", std::int64_t{response.status}}});
        this->abort();
        return;
    }
    const bool keepOpen = this->keepAlive && !this->closeAfterResponse;
    auto text = formatHeader(response.status, response.reason, response.headers);
    appendField(text, "Content-Length", std::to_string(response.body.size()));
    if (!keepOpen) {
        appendField(text, "Connection", "close");
    }
    text.append("\r\n").append(response.body);
    this->keepAlive = keepOpen;
    this->write(text);
    this->finishResponse();
}

auto CallerSession::beginStream(int status, const std::string &reason,
                                const std::vector<HeaderField> &headers) -> void
{
    if (this->state != State::Responding) {
        return;
    }
    auto text = formatHeader(status, reason, headers);
    this->keepAlive = this->keepAlive && !this->closeAfterResponse && this->chunked;
    if (this->chunked) {
        appendField(text, "Transfer-Encoding", "chunked");
    }
    if (!this->keepAlive) {
        appendField(text, "Connection", "close");
    }
    text.append("\r\n");
    this->streaming = true;
    this->write(text);
}

auto CallerSession::sendStreamData(std::string_view data) -> void
{
    if (this->state != State::Responding || data.empty()) {
        return;
    }
    if (!this->chunked) {
        this->write(data);
        return;
    }
    std::array<char, 20> size{};
    const auto length = std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
    std::string chunk(size.data(), static_cast<std::size_t>(length));
    chunk.append(data).append("\r\n");
    this->write(chunk);
}

auto CallerSession::endStream() -> void
{
    if (this->state != State::Responding) {
        return;
    }
    if (this->chunked) {
        this->write("0\r\n\r\n");
    }
    this->finishResponse();
}

auto CallerSession::finishResponse() -> void
{
    this->requestNumber = 0;
    this->streaming = false;
    this->lastActivityAt = bootClockNow();
    if (!this->keepAlive) {
        this->state = State::Lingering;
        this->lingerAfterWrite = true;
        this->flush();
        return;
    }
    this->state = State::Idle;
    if (this->buffer.size() > 0) {
        // The handler may still be on the stack, so pipelined requests are parsed later.
        auto self = this->shared_from_this();
        asio::post(this->socket.get_executor(), [self] {
            self->parseBuffered();
            self->startRead();
        });
        return;
    }
    this->startRead();
}

auto CallerSession::write(std::string_view data) -> void
{
    this->pendingOutput.append(data);
    this->flush();
}

auto CallerSession::flush() -> void
{
    if (!this->currentOutput.empty() || this->state == State::Closed) {
        return;
    }
    if (this->pendingOutput.empty()) {
        if (this->lingerAfterWrite) {
            this->linger("response_sent");
        }
        return;
    }
    std::swap(this->pendingOutput, this->currentOutput);
    auto self = this->shared_from_this();
    asio::async_write(this->socket, asio::buffer(this->currentOutput),
                      [self](const error_code &error, std::size_t) {
                          self->currentOutput.clear();
                          if (!error) {
                              self->flush();
                          }
                          // A failed write is also reported by the pending read.
                      });
}

auto CallerSession::linger(std::string_view reason) -> void
{
    this->lingerAfterWrite = false;
    this->beginClose(reason);
    this->state = State::Lingering;
    this->lastActivityAt = bootClockNow();
    error_code ignored; // The caller may have closed the connection already.
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    this->buffer.clear();
    this->startRead();
}

auto CallerSession::beginClose(std::string_view reason) -> void
{
    const auto now = bootClockNow();
    this->closeReport.reason = reason;
    this->closeReport.unansweredBytes = this->rejected ? 0 : this->buffer.size();
    this->closeReport.unsentBytes = this->unsentBytes();
    this->closeReport.idle = now - this->lastActivityAt;
    this->closeReport.idleTimeout = this->handler.limits(now).idleTimeout;
}

auto CallerSession::reportIncompleteClose() -> void
{
    const auto &report = this->closeReport;
    const bool incomplete = report.unansweredBytes > 0 || report.reason == "response_aborted";
    if (incomplete && this->handler.onIncompleteClose) {
        this->handler.onIncompleteClose(report);
    }
}

auto CallerSession::isIdle() const -> bool
{
    return this->state == State::Idle && this->currentOutput.empty() && this->buffer.size() == 0;
}

auto CallerSession::hasUnreadData() const -> bool
{
    error_code error;
    return this->socket.available(error) > 0 && !error;
}

auto CallerSession::closeIfIdle() -> void
{
    if (!this->isIdle()) {
        return;
    }
    // A completed read, whose data the socket no longer holds, is handled before a posted function.
    asio::post(this->socket.get_executor(), [self = this->shared_from_this(),
                                             idleSince = this->lastActivityAt] {
        if (self->isIdle() && self->lastActivityAt == idleSince && !self->hasUnreadData()) {
            self->close();
        }
    });
}

auto CallerSession::checkTimeouts(Instant now) -> void
{
    if (this->state == State::Lingering) {
        if (now - this->lastActivityAt > LingerTimeout && this->currentOutput.empty()) {
            this->close();
        }
        return;
    }
    const auto limits = this->handler.limits(now);
    if (this->state == State::Idle && now - this->lastActivityAt > limits.idleTimeout) {
        this->closeIfIdle();
    } else if (this->state == State::Reading) {
        const auto limit = this->headerChecked ? limits.idleTimeout : limits.headerTimeout;
        if (now - this->lastActivityAt > limit && !this->hasUnreadData()) {
            this->reject(408, "Request Timeout");
        }
    }
}

auto CallerSession::abort() -> void
{
    if (this->state == State::Closed) {
        return;
    }
    this->beginClose("response_aborted");
    if (!this->chunked) {
        error_code ignored; // Without chunks, only a reset shows that the response is truncated.
        this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    this->close();
}

auto CallerSession::close() -> void
{
    if (this->state == State::Closed) {
        return;
    }
    this->state = State::Closed;
    this->reportIncompleteClose();
    error_code ignored; // The socket is not used again, even if this fails.
    this->socket.close(ignored);
}

} // namespace banyanring::gateway
