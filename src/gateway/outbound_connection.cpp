/** @file outbound_connection.cpp Client side of an HTTP/1.1 connection. */
#include "banyanring/gateway/outbound_connection.h"

#include "banyanring/adapters/log_func.h"
#include "banyanring/fleet/process_settings_type.h"
#include "socket_options.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace banyanring::gateway {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::size_t MaxReadBytes = 16384; ///< One read fits several events of a stream.
/** Maximum bytes of a response header, and of the informational responses before it. */
constexpr std::uint32_t MaxHeaderBytes = 65536;
/** The parser does not limit the length of chunk extensions and trailers. */
constexpr std::size_t MaxUnparsedBytes = MaxHeaderBytes + MaxReadBytes;
constexpr std::uint64_t MaxBodyBytes = 256ULL << 20U; ///< Maximum bytes of a response body.
constexpr unsigned FirstStatus = 100; ///< Lower numbers are no statuses (RFC 9110, section 15).
constexpr unsigned SwitchingProtocols = 101;
constexpr unsigned FirstFinalStatus = 200; ///< Lower statuses are informational (1xx).
constexpr unsigned LastStatus = 599; ///< Higher numbers are no statuses.

/** @return Whether a response may have this status. */
auto isValidStatus(unsigned status) -> bool
{
    // No request asks for another protocol, and what follows such a response is not HTTP.
    return status >= FirstStatus && status <= LastStatus && status != SwitchingProtocols;
}

/** @return Whether the parser does not decode the transfer coding of a body. */
auto isInUnknownCoding(const ResponseHeader &header) -> bool
{
    const auto field = header.find(http::field::transfer_encoding);
    return field != header.end() && !boost::beast::iequals(field->value(), "chunked");
}

/**
 * Finds lines that begin with a blank. The parser joins them to the field before them, although
 * they can also be fields whose name begins with garbled bytes (RFC 9112, section 5.2).
 * @param section Bytes of a header, or of the last chunk and the trailer after it.
 * @return Whether there is such a line.
 */
auto hasFoldedLine(std::string_view section) -> bool
{
    return section.find("\r\n ") != std::string_view::npos
           || section.find("\r\n\t") != std::string_view::npos;
}

} // namespace

OutboundConnection::OutboundConnection(asio::io_context &context) : socket(context) {}

auto OutboundConnection::connect(const std::string &address, ResponseObserver *newObserver) -> void
{
    this->observer = newObserver;
    this->awaitingResponse = true;
    this->informationalBytes = 0;
    this->resetParser();
    auto self = this->shared_from_this();
    const auto parsed = fleet::parseEndpoint(address);
    if (!parsed) {
        logEvent("address_malformed", {{"address", address}});
        asio::post(this->socket.get_executor(), [self] { self->fail(ExchangeFailure::NotSent); });
        return;
    }
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address_v4(parsed->ip), parsed->port);
    this->socket.async_connect(endpoint, [self](const error_code &error) {
        if (self->closed) {
            return;
        }
        if (error) {
            self->fail(ExchangeFailure::NotSent);
            return;
        }
        self->connected = true;
        setTcpOptions(self->socket);
        self->startRead();
        if (self->observer != nullptr) {
            self->observer->onConnected();
        }
    });
}

auto OutboundConnection::awaitResponse(ResponseObserver *newObserver) -> void
{
    this->observer = newObserver;
    this->awaitingResponse = true;
    this->informationalBytes = 0;
    this->resetParser();
}

auto OutboundConnection::resetParser() -> void
{
    this->parser.emplace();
    this->parser->header_limit(MaxHeaderBytes);
    this->parser->body_limit(MaxBodyBytes);
    this->headerReceived = false;
}

auto OutboundConnection::send(std::string head, std::shared_ptr<const std::string> body) -> void
{
    this->currentHead = std::move(head);
    this->currentBody = std::move(body);
    this->startWrite();
}

auto OutboundConnection::startWrite() -> void
{
    this->writePending = true;
    this->writeError = {};
    auto self = this->shared_from_this();
    const std::array<asio::const_buffer, 2> output{
        asio::buffer(this->currentHead),
        this->currentBody ? asio::buffer(*this->currentBody) : asio::const_buffer{}};
    asio::async_write(this->socket, output, [self](const error_code &error, std::size_t) {
        // The read goes on, as the server may have responded before it closed the connection.
        self->writePending = false;
        self->writeError = error;
        self->currentHead.clear();
        self->currentBody.reset();
        if (self->readEnded && !self->closed) {
            self->onEndOfFile();
        }
    });
}

auto OutboundConnection::startRead() -> void
{
    if (this->readPending || this->closed || this->readPaused) {
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

auto OutboundConnection::pauseReading(bool paused) -> void
{
    this->readPaused = paused;
    if (!paused) {
        this->startRead();
    }
}

auto OutboundConnection::onRead(const error_code &error, std::size_t count) -> void
{
    if (this->closed) {
        return;
    }
    if (!error) {
        this->buffer.commit(count);
        this->parseBuffered();
        if (!this->closed && this->buffer.size() > MaxUnparsedBytes) {
            this->fail(ExchangeFailure::Malformed);
        }
        this->startRead();
        return;
    }
    if (!this->awaitingResponse) {
        this->close();
        return;
    }
    if (error == asio::error::eof && this->headerReceived && this->parser->need_eof()) {
        this->onEndOfFile();
        return;
    }
    this->failIncomplete();
}

auto OutboundConnection::onEndOfFile() -> void
{
    // The operating system reports a reset or timeout once. If a write gets the error, the read
    // after it ends as if the server had finished; the handler of the write may run later.
    if (this->writePending && isDisconnected(this->socket)) {
        this->readEnded = true;
        return;
    }
    // If the connection was reset after the server had finished, the write gets "broken pipe".
    if (this->writeError && this->writeError != asio::error::broken_pipe) {
        this->failIncomplete();
        return;
    }
    error_code ignored;
    this->parser->put_eof(ignored);
    this->closed = true;
    this->finishResponse();
}

auto OutboundConnection::failIncomplete() -> void
{
    this->fail(this->headerReceived || this->buffer.size() > 0 ? ExchangeFailure::Truncated
                                                               : ExchangeFailure::NoResponse);
}

auto OutboundConnection::parseBuffered() -> void
{
    while (this->awaitingResponse && !this->closed && this->buffer.size() > 0) {
        error_code error;
        const auto data = this->buffer.data();
        // Parses one section: a header, a chunk, the last chunk with the trailer, or a body.
        const auto consumed = this->parser->put(data, error);
        const std::string_view section(static_cast<const char *>(data.data()), consumed);
        this->buffer.consume(consumed);
        if (error && error != http::error::need_more) {
            this->fail(ExchangeFailure::Malformed);
            return;
        }
        if (!this->headerReceived && this->parser->is_header_done()) {
            this->acceptHeader(section);
        }
        const bool isEnd = this->headerReceived && this->parser->is_done();
        if (isEnd && this->parser->chunked() && hasFoldedLine(section)) {
            this->fail(ExchangeFailure::FoldedLine);
            return;
        }
        const bool needsMore = error == http::error::need_more;
        if (isEnd || needsMore || this->buffer.size() == 0) {
            this->passOnBody();
        }
        if (isEnd && this->awaitingResponse) {
            this->finishResponse();
        }
        if (needsMore) {
            return;
        }
    }
    if (!this->awaitingResponse && !this->closed && this->buffer.size() > 0) {
        this->close(); // Unsolicited bytes, which belong to no request.
    }
}

auto OutboundConnection::acceptHeader(std::string_view header) -> void
{
    if (hasFoldedLine(header)) {
        this->fail(ExchangeFailure::FoldedLine);
        return;
    }
    const auto status = this->parser->get().result_int();
    if (!isValidStatus(status)) {
        this->fail(ExchangeFailure::InvalidStatus);
        return;
    }
    if (status < FirstFinalStatus) {
        this->informationalBytes += header.size();
        if (this->informationalBytes > MaxHeaderBytes) {
            this->fail(ExchangeFailure::Malformed);
            return;
        }
        this->resetParser();
        return;
    }
    if (isInUnknownCoding(this->parser->get())) {
        this->fail(ExchangeFailure::UnknownCoding);
        return;
    }
    this->headerReceived = true;
    // The parser applies its limit to the other ways of framing only.
    if (this->parser->content_length().value_or(0) > MaxBodyBytes) {
        this->fail(ExchangeFailure::Malformed);
        return;
    }
    this->observer->onHeader(this->parser->get());
}

auto OutboundConnection::passOnBody() -> void
{
    if (this->awaitingResponse && this->headerReceived && !this->parser->get().body().empty()) {
        auto data = std::move(this->parser->get().body());
        this->parser->get().body().clear();
        this->observer->onBody(std::move(data));
    }
}

auto OutboundConnection::finishResponse() -> void
{
    const bool reusable = !this->closed && this->parser->keep_alive() && !this->writePending
                          && !this->writeError && this->buffer.size() == 0;
    this->awaitingResponse = false;
    this->readPaused = false; // The pause was for the consumer of this response.
    auto *const former = std::exchange(this->observer, nullptr);
    former->onEnd(reusable);
}

auto OutboundConnection::fail(ExchangeFailure failure) -> void
{
    auto *const former = this->observer;
    this->close();
    if (former != nullptr) {
        former->onFailed(failure);
    }
}

auto OutboundConnection::close() -> void
{
    this->closed = true;
    this->awaitingResponse = false;
    this->observer = nullptr;
    error_code ignored; // The socket is not used again, even if this fails.
    this->socket.close(ignored);
}

} // namespace banyanring::gateway
