/** @file caller_session.cpp A server connection over HTTP/1.1. */
#include "banyanring/gateway/caller_session.h"

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

constexpr std::size_t ReadSize = 16384; ///< One read.
constexpr std::size_t ReadAhead = 65536; ///< Most bytes of further requests that are buffered.
constexpr Duration LingerTime = std::chrono::seconds(1); ///< A caller's crossing bytes come in it.

/** @return Status line and headers of an answer, without the empty line. */
auto headText(int status, std::string_view reason, const std::vector<HeaderField> &headers)
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

CallerSession::CallerSession(asio::ip::tcp::socket socket, const DoorHandler &handler)
    : socket(std::move(socket)), handler(handler), since(bootClockNow())
{
    setLinkOptions(this->socket);
}

auto CallerSession::start() -> void
{
    this->startRead();
}

auto CallerSession::startRead() -> void
{
    if (this->reading || this->state == State::Closed || this->buffer.size() > ReadAhead) {
        return;
    }
    this->reading = true;
    auto self = this->shared_from_this();
    this->socket.async_read_some(this->buffer.prepare(ReadSize),
                                 [self](const error_code &error, std::size_t count) {
                                     self->reading = false;
                                     self->onRead(error, count);
                                 });
}

auto CallerSession::onRead(const error_code &error, std::size_t count) -> void
{
    if (this->state == State::Closed) {
        return;
    }
    if (error) {
        const bool waited = this->state == State::Answering;
        this->close();
        if (waited && this->handler.onGone) {
            this->handler.onGone(this->shared_from_this());
        }
        return;
    }
    if (this->state == State::Lingering) {
        this->startRead();
        return;
    }
    this->buffer.commit(count);
    this->consume();
    this->startRead();
}

auto CallerSession::consume() -> void
{
    while (this->buffer.size() > 0
           && (this->state == State::Idle || this->state == State::Reading)) {
        const auto now = bootClockNow();
        if (this->state == State::Idle) {
            const auto limits = this->handler.limits(now);
            this->parser.emplace();
            this->parser->eager(true);
            this->parser->header_limit(static_cast<std::uint32_t>(limits.headerBytes));
            this->parser->body_limit(limits.bodyBytes);
            this->headerChecked = false;
            this->state = State::Reading;
            this->since = now;
        }
        error_code error;
        const auto used = this->parser->put(this->buffer.data(), error);
        this->buffer.consume(used);
        if (this->parser->is_header_done() && !this->headerChecked) {
            this->headerChecked = true;
            this->headerAt = now;
            if (this->malformedFraming()) {
                this->reject(400, "Bad Request");
                return;
            }
            if (boost::iequals(this->parser->get()[http::field::expect], "100-continue")
                && !this->parser->is_done()) {
                this->write("HTTP/1.1 100 Continue\r\n\r\n");
            }
        }
        if (this->headerChecked) {
            this->since = now;
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
        if (this->parser->is_done()) {
            this->deliverRequest();
            return;
        }
        if (error == http::error::need_more) {
            return;
        }
    }
}

auto CallerSession::malformedFraming() const -> bool
{
    const auto &fields = this->parser->get();
    const auto lengths = fields.count(http::field::content_length);
    const auto encodings = fields.count(http::field::transfer_encoding);
    const bool odd =
        encodings > 0 && !boost::iequals(fields[http::field::transfer_encoding], "chunked");
    return lengths > 1 || encodings > 1 || (lengths > 0 && encodings > 0) || odd;
}

auto CallerSession::deliverRequest() -> void
{
    auto message = this->parser->release();
    auto request = platform::decodeRequest(message.base());
    request.hasLength = message.find(http::field::content_length) != message.end()
                        || message.find(http::field::transfer_encoding) != message.end();
    request.keepAlive = message.keep_alive();
    request.arrivedAt = this->headerAt;
    request.body = std::move(message.body());
    this->keepAlive = request.keepAlive;
    this->chunked = message.version() >= 11;
    this->state = State::Answering;
    this->handler.onRequest(this->shared_from_this(), std::move(request));
}

auto CallerSession::reject(int status, std::string_view reason) -> void
{
    if (this->handler.onRejected) {
        this->handler.onRejected(status, reason);
    }
    this->state = State::Answering;
    this->keepAlive = false;
    this->answer({status, std::string(reason), {}, ""});
}

auto CallerSession::answer(WholeAnswer answer) -> void
{
    if (this->state != State::Answering) {
        return;
    }
    const bool keep = this->keepAlive && !this->closeAfterAnswer;
    auto text = headText(answer.status, answer.reason, answer.headers);
    appendField(text, "Content-Length", std::to_string(answer.body.size()));
    if (!keep) {
        appendField(text, "Connection", "close");
    }
    text.append("\r\n").append(answer.body);
    this->keepAlive = keep;
    this->write(text);
    this->answerDone();
}

auto CallerSession::beginStream(int status, const std::string &reason,
                                const std::vector<HeaderField> &headers) -> void
{
    if (this->state != State::Answering) {
        return;
    }
    auto text = headText(status, reason, headers);
    this->keepAlive = this->keepAlive && !this->closeAfterAnswer && this->chunked;
    if (this->chunked) {
        appendField(text, "Transfer-Encoding", "chunked");
    }
    if (!this->keepAlive) {
        appendField(text, "Connection", "close");
    }
    text.append("\r\n");
    this->write(text);
}

auto CallerSession::streamData(std::string_view data) -> void
{
    if (this->state != State::Answering || data.empty()) {
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
    if (this->state != State::Answering) {
        return;
    }
    if (this->chunked) {
        this->write("0\r\n\r\n");
    }
    this->answerDone();
}

auto CallerSession::answerDone() -> void
{
    this->run = 0;
    this->since = bootClockNow();
    if (!this->keepAlive) {
        this->state = State::Lingering;
        this->lingerAfterWrite = true;
        this->flush();
        return;
    }
    this->state = State::Idle;
    if (this->buffer.size() > 0) {
        // The handler may still be on the stack; a pipelined request is parsed after it.
        auto self = this->shared_from_this();
        asio::post(this->socket.get_executor(), [self] {
            self->consume();
            self->startRead();
        });
        return;
    }
    this->startRead();
}

auto CallerSession::write(std::string_view data) -> void
{
    this->pending.append(data);
    this->flush();
}

auto CallerSession::flush() -> void
{
    if (!this->writing.empty() || this->state == State::Closed) {
        return;
    }
    if (this->pending.empty()) {
        if (this->lingerAfterWrite) {
            this->linger();
        }
        return;
    }
    std::swap(this->pending, this->writing);
    auto self = this->shared_from_this();
    asio::async_write(this->socket, asio::buffer(this->writing),
                      [self](const error_code &error, std::size_t) {
                          self->writing.clear();
                          if (!error) {
                              self->flush();
                          }
                          // A failed write shows in the read that is always open.
                      });
}

auto CallerSession::linger() -> void
{
    this->lingerAfterWrite = false;
    this->state = State::Lingering;
    this->since = bootClockNow();
    error_code ignored; // The caller may have closed already.
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    this->buffer.clear();
    this->startRead();
}

auto CallerSession::closeIfIdle() -> void
{
    if (this->state == State::Idle && this->writing.empty() && this->buffer.size() == 0) {
        this->linger();
    }
}

auto CallerSession::checkTimeouts(Instant now) -> void
{
    if (this->state == State::Lingering) {
        if (now - this->since > LingerTime && this->writing.empty()) {
            this->close();
        }
        return;
    }
    const auto limits = this->handler.limits(now);
    if (this->state == State::Idle && now - this->since > limits.idleTimeout) {
        this->closeIfIdle();
    } else if (this->state == State::Reading) {
        const auto limit = this->headerChecked ? limits.idleTimeout : limits.headerTimeout;
        if (now - this->since > limit) {
            this->reject(408, "Request Timeout");
        }
    }
}

auto CallerSession::abort() -> void
{
    if (!this->chunked) {
        error_code ignored; // Without chunks only a reset tells the caller that more was due.
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
    error_code ignored; // The socket is gone either way.
    this->socket.close(ignored);
}

} // namespace banyanring::gateway
