/** @file door.cpp A listening socket and the sessions of its callers. */
#include "banyanring/gateway/door.h"

#include "banyanring/adapters/log_func.h"

#include <boost/asio/steady_timer.hpp>

namespace banyanring::gateway {

namespace {

namespace asio = boost::asio;

constexpr int Backlog = 1024; ///< New connections of a herd of callers.

} // namespace

Door::Door(asio::io_context &context, const fleet::Endpoint &endpoint, DoorHandler handler)
    : context(context), acceptor(context), handler(std::move(handler))
{
    const asio::ip::tcp::endpoint address(asio::ip::make_address_v4(endpoint.ip), endpoint.port);
    this->acceptor.open(address.protocol());
    this->acceptor.set_option(asio::socket_base::reuse_address(true));
    this->acceptor.bind(address);
    this->acceptor.listen(Backlog);
    this->accept();
}

auto Door::accept() -> void
{
    this->acceptor.async_accept(
        [this](const boost::system::error_code &error, asio::ip::tcp::socket socket) {
            if (error == asio::error::operation_aborted) {
                return;
            }
            if (error) {
                // Descriptors may be used up; the next tick tries again.
                logEvent("accept_failed", {{"error", error.message()}});
                this->paused = true;
                return;
            }
            auto session = std::make_shared<CallerSession>(std::move(socket), this->handler);
            session->closeAfterAnswer = this->closing;
            this->sessions.push_back(session);
            session->start();
            if (this->acceptor.is_open()) {
                this->accept();
            }
        });
}

auto Door::tick(Instant now) -> void
{
    if (this->paused && this->acceptor.is_open()) {
        this->paused = false;
        this->accept();
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

auto Door::announceClose() -> void
{
    this->closing = true;
    for (const auto &weak : this->sessions) {
        if (const auto session = weak.lock()) {
            session->closeAfterAnswer = true;
        }
    }
}

auto Door::closeIdle() -> void
{
    for (const auto &weak : this->sessions) {
        if (const auto session = weak.lock()) {
            session->closeIfIdle();
        }
    }
}

auto Door::stop() -> void
{
    boost::system::error_code ignored; // It is not used again either way.
    this->acceptor.close(ignored);
}

auto Door::openSessions() const -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(this->sessions.begin(), this->sessions.end(), [](const auto &weak) {
            const auto session = weak.lock();
            return session && !session->isClosed();
        }));
}

} // namespace banyanring::gateway
