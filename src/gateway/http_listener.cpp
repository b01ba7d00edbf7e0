/** @file http_listener.cpp A listening HTTP socket and the sessions of its callers. */
#include "banyanring/gateway/http_listener.h"

#include "banyanring/adapters/log_func.h"

#include <boost/asio/steady_timer.hpp>

namespace banyanring::gateway {

namespace {

namespace asio = boost::asio;

constexpr int Backlog = 1024; ///< Allows for many callers that connect at once.

} // namespace

HttpListener::HttpListener(asio::io_context &context, const fleet::Endpoint &endpoint,
                           HttpHandler handler)
    : context(context), acceptor(context), handler(std::move(handler))
{
    const asio::ip::tcp::endpoint address(asio::ip::make_address_v4(endpoint.ip), endpoint.port);
    this->acceptor.open(address.protocol());
    this->acceptor.set_option(asio::socket_base::reuse_address(true));
    this->acceptor.bind(address);
    this->acceptor.listen(Backlog);
    this->startAccept();
}

auto HttpListener::startAccept() -> void
{
    this->acceptor.async_accept(
        [this](const boost::system::error_code &error, asio::ip::tcp::socket socket) {
            if (error == asio::error::operation_aborted) {
                return;
            }
            if (error) {
                // The process may be out of file descriptors; the next tick retries.
                logEvent("accept_failed", {{"error", error.message()}});
                this->acceptPaused = true;
                return;
            }
            auto session = std::make_shared<CallerSession>(std::move(socket), this->handler);
            session->closeAfterResponse = this->stopping;
            this->sessions.push_back(session);
            session->start();
            if (this->acceptor.is_open()) {
                this->startAccept();
            }
        });
}

auto HttpListener::tick(Instant now) -> void
{
    if (this->acceptPaused && this->acceptor.is_open()) {
        this->acceptPaused = false;
        this->startAccept();
    }
    std::erase_if(this->sessions, [now](const std::weak_ptr<CallerSession> &weak) {
        const auto session = weak.lock();
        if (!session || session->isClosed()) {
            return true;
        }
        session->checkTimeouts(now);
        return false;
    });
}

auto HttpListener::closeAfterResponses() -> void
{
    this->stopping = true;
    for (const auto &weak : this->sessions) {
        if (const auto session = weak.lock()) {
            session->closeAfterResponse = true;
        }
    }
}

auto HttpListener::closeIdleSessions() -> void
{
    for (const auto &weak : this->sessions) {
        if (const auto session = weak.lock()) {
            session->closeIfIdle();
        }
    }
}

auto HttpListener::stopAccepting() -> void
{
    boost::system::error_code ignored; // The acceptor is not used again.
    this->acceptor.close(ignored);
}

auto HttpListener::openSessions() const -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(this->sessions.begin(), this->sessions.end(), [](const auto &weak) {
            const auto session = weak.lock();
            return session && !session->isClosed();
        }));
}

} // namespace banyanring::gateway
