/** @file outbound_connection.cpp A client connection over HTTP/1.1. */
#include "banyanring/gateway/outbound_connection.h"

#include "banyanring/adapters/log_func.h"
#include "banyanring/fleet/process_settings_type.h"
#include "socket_options.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace banyanring::gateway {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::size_t ReadSize = 16384; ///< One read; several events of a stream.
constexpr std::uint32_t HeaderLimit = 65536; ///< Longest header of an answer.
constexpr std::uint64_t BodyLimit = 256ULL << 20U; ///< Longest body of an answer.
constexpr unsigned FirstFinalStatus = 200; ///< Statuses below are provisional.

} // namespace

OutboundConnection::OutboundConnection(asio::io_context &context) : socket(context) {}

auto OutboundConnection::open(const std::string &address, AnswerListener *newListener) -> void
{
    this->listener = newListener;
    this->awaiting = true;
    this->resetParser();
    auto self = this->shared_from_this();
    const auto parsed = fleet::parseEndpoint(address);
    if (!parsed) {
        logEvent("address_malformed", {{"address", address}});
        asio::post(this->socket.get_executor(), [self] { self->fail(LinkFailure::NotConnected); });
        return;
    }
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address_v4(parsed->ip), parsed->port);
    this->socket.async_connect(endpoint, [self](const error_code &failure) {
        if (self->closed) {
            return;
        }
        if (failure) {
            self->fail(LinkFailure::NotConnected);
            return;
        }
        self->opened = true;
        setLinkOptions(self->socket);
        self->startRead();
        if (self->listener != nullptr) {
            self->listener->onOpen();
        }
    });
}

auto OutboundConnection::awaitAnswer(AnswerListener *newListener) -> void
{
    this->listener = newListener;
    this->awaiting = true;
    this->resetParser();
}

auto OutboundConnection::resetParser() -> void
{
    this->parser.emplace();
    this->parser->eager(true);
    this->parser->header_limit(HeaderLimit);
    this->parser->body_limit(BodyLimit);
    this->headSeen = false;
}

auto OutboundConnection::send(std::string bytes) -> void
{
    this->outgoing = std::move(bytes);
    this->startWrite();
}

auto OutboundConnection::startWrite() -> void
{
    this->writing = true;
    auto self = this->shared_from_this();
    asio::async_write(this->socket, asio::buffer(this->outgoing),
                      [self](const error_code &, std::size_t) {
                          // A failed write shows in the read that is always open; the server may
                          // have answered before it closed.
                          self->writing = false;
                          self->outgoing.clear();
                      });
}

auto OutboundConnection::startRead() -> void
{
    if (this->reading || this->closed || this->readPaused) {
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
        this->consume();
        this->startRead();
        return;
    }
    if (!this->awaiting) {
        this->close();
        return;
    }
    if (error == asio::error::eof && this->headSeen && this->parser->need_eof()) {
        error_code ending;
        this->parser->put_eof(ending);
        this->closed = true;
        this->finishAnswer();
        return;
    }
    this->fail(this->headSeen || this->buffer.size() > 0 ? LinkFailure::Truncated
                                                         : LinkFailure::Closed);
}

auto OutboundConnection::consume() -> void
{
    while (this->awaiting && !this->closed && this->buffer.size() > 0) {
        error_code error;
        const auto used = this->parser->put(this->buffer.data(), error);
        this->buffer.consume(used);
        if (error && error != http::error::need_more) {
            this->fail(LinkFailure::Malformed);
            return;
        }
        if (!this->headSeen && this->parser->is_header_done()) {
            if (this->parser->get().result_int() < FirstFinalStatus) {
                this->resetParser();
                continue;
            }
            this->headSeen = true;
            this->listener->onHead(this->parser->get());
        }
        if (this->awaiting && this->headSeen && !this->parser->get().body().empty()) {
            auto data = std::move(this->parser->get().body());
            this->parser->get().body().clear();
            this->listener->onBody(std::move(data));
        }
        if (this->awaiting && this->headSeen && this->parser->is_done()) {
            this->finishAnswer();
        }
        if (error == http::error::need_more) {
            return;
        }
    }
    if (!this->awaiting && !this->closed && this->buffer.size() > 0) {
        this->close(); // Bytes that belong to no request.
    }
}

auto OutboundConnection::finishAnswer() -> void
{
    const bool keep =
        !this->closed && this->parser->keep_alive() && !this->writing && this->buffer.size() == 0;
    this->awaiting = false;
    auto *const finished = std::exchange(this->listener, nullptr);
    finished->onEnd(keep);
}

auto OutboundConnection::fail(LinkFailure failure) -> void
{
    auto *const failed = this->listener;
    this->close();
    if (failed != nullptr) {
        failed->onFailed(failure);
    }
}

auto OutboundConnection::close() -> void
{
    this->closed = true;
    this->awaiting = false;
    this->listener = nullptr;
    error_code ignored; // The socket is gone either way.
    this->socket.close(ignored);
}

} // namespace banyanring::gateway
