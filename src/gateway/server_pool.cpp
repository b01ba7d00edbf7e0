/** @file server_pool.cpp Connections to backend servers, kept and reused. */
#include "banyanring/gateway/server_pool.h"

#include "banyanring/ports/clock_func.h"
#include "request_headers.h"
#include "server_exchange.h"

#include <charconv>

namespace banyanring::gateway {

namespace {

using std::chrono::milliseconds;

/** A connection opens within a few round trips; one lost packet costs a second. */
constexpr Duration OpenTimeout = milliseconds(400);
constexpr Duration DefaultKeepAlive = milliseconds(4000); ///< Where a server does not tell.
constexpr double IdlePart = 0.7; ///< Part of the server's idle time that is used.
/** The same for requests that must not be sent twice, as a close may cross them. */
constexpr double SureIdlePart = 0.35;
constexpr std::string_view TimeoutParameter = "timeout="; ///< In the Keep-Alive header.

/** @return How long a server keeps an idle connection, if it tells. */
auto keepAliveOf(const AnswerHeader &header) -> std::optional<Duration>
{
    const auto value = header[boost::beast::http::field::keep_alive];
    const std::string_view text(value.data(), value.size());
    const auto at = text.find(TimeoutParameter);
    int seconds = 0;
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const auto number = text.substr(at + TimeoutParameter.size());
    if (std::from_chars(number.data(), number.data() + number.size(), seconds).ec != std::errc{}) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

} // namespace

auto ServerPool::send(const fleet::ServerPtr &server, const std::string &attempt, std::string bytes,
                      bool repeatable, ExchangeListener &listener) -> std::unique_ptr<Exchange>
{
    auto exchange = std::make_unique<ServerExchange>(*this, server, attempt, listener);
    if (auto kept = this->takeIdle(server->entry.id, repeatable)) {
        exchange->sendOn(std::move(kept), std::move(bytes));
    } else {
        exchange->openAndSend(std::make_shared<OutboundConnection>(this->context),
                              server->entry.address, std::move(bytes), bootClockNow());
    }
    return exchange;
}

auto ServerPool::takeIdle(const std::string &id, bool repeatable) -> ConnectionPtr
{
    const auto found = this->idle.find(id);
    if (found == this->idle.end()) {
        return nullptr;
    }
    const auto now = bootClockNow();
    auto &connections = found->second;
    while (!connections.empty()) {
        auto newest = std::move(connections.back());
        connections.pop_back();
        if (!newest->idle()) {
            continue;
        }
        const auto limit =
            newest->keepAlive.value_or(DefaultKeepAlive) * (repeatable ? IdlePart : SureIdlePart);
        if (now - newest->idleSince < limit) {
            return newest;
        }
        newest->close();
    }
    return nullptr;
}

auto ServerPool::giveBack(const std::string &id, std::size_t most, ConnectionPtr connection) -> void
{
    auto &connections = this->idle[id];
    if (connections.size() >= most) {
        connection->close();
        return;
    }
    connection->idleSince = bootClockNow();
    connections.push_back(std::move(connection));
}

auto ServerPool::tick(Instant now) -> void
{
    std::vector<ServerExchange *> late;
    for (auto *exchange : this->opening) {
        if (now - exchange->openingSince() > OpenTimeout) {
            late.push_back(exchange);
        }
    }
    for (auto *exchange : late) {
        exchange->openTimedOut();
    }
    for (auto &[id, connections] : this->idle) {
        std::erase_if(connections, [now](const ConnectionPtr &connection) {
            const auto limit = connection->keepAlive.value_or(DefaultKeepAlive) * IdlePart;
            if (connection->idle() && now - connection->idleSince < limit) {
                return false;
            }
            connection->close();
            return true;
        });
    }
}

auto ServerPool::forget(const std::string &id) -> void
{
    const auto found = this->idle.find(id);
    if (found == this->idle.end()) {
        return;
    }
    for (const auto &connection : found->second) {
        connection->close();
    }
    this->idle.erase(found);
}

auto ServerPool::idleConnections() const -> std::size_t
{
    std::size_t number = 0;
    for (const auto &[id, connections] : this->idle) {
        number += connections.size();
    }
    return number;
}

ServerExchange::ServerExchange(ServerPool &pool, fleet::ServerPtr server, std::string attempt,
                               ExchangeListener &listener)
    : pool(pool), server(std::move(server)), attempt(std::move(attempt)), listener(listener)
{
}

ServerExchange::~ServerExchange()
{
    this->cancel();
}

auto ServerExchange::cancel() -> void
{
    this->pool.opening.erase(this);
    if (this->connection) {
        this->connection->close();
        this->connection.reset();
    }
}

auto ServerExchange::pauseReading(bool paused) -> void
{
    if (this->connection) {
        this->connection->pauseReading(paused);
    }
}

auto ServerExchange::sendOn(std::shared_ptr<OutboundConnection> kept, std::string request) -> void
{
    this->connection = std::move(kept);
    this->connection->awaitAnswer(this);
    this->connection->send(std::move(request));
}

auto ServerExchange::openAndSend(std::shared_ptr<OutboundConnection> fresh,
                                 const std::string &address, std::string request, Instant now)
    -> void
{
    this->connection = std::move(fresh);
    this->bytes = std::move(request);
    this->openedAt = now;
    this->pool.opening.insert(this);
    this->connection->open(address, this);
}

auto ServerExchange::openTimedOut() -> void
{
    this->cancel();
    this->listener.onAnswerFailed(ExchangeFailure::NotSent);
}

auto ServerExchange::onOpen() -> void
{
    this->pool.opening.erase(this);
    this->connection->send(std::move(this->bytes));
    this->listener.onSent();
}

auto ServerExchange::onHead(const AnswerHeader &header) -> void
{
    if (const auto keepAlive = keepAliveOf(header)) {
        this->connection->keepAlive = keepAlive;
    }
    const auto answer = platform::decodeAnswer(header);
    this->foreign = !answer.id.empty() && answer.id != this->attempt;
    if (!this->foreign) {
        this->listener.onAnswerHead(answer);
    }
}

auto ServerExchange::onBody(std::string data) -> void
{
    if (!this->foreign) {
        this->listener.onAnswerData(data);
    }
}

auto ServerExchange::onEnd(bool reusable) -> void
{
    if (this->foreign && !this->connection->isClosed()) {
        this->connection->awaitAnswer(this);
        return;
    }
    auto finished = std::move(this->connection);
    if (reusable) {
        this->pool.giveBack(this->server->entry.id, this->server->keptConnections,
                            std::move(finished));
    } else {
        finished->close();
    }
    if (this->foreign) {
        this->listener.onAnswerFailed(ExchangeFailure::NoAnswer);
        return;
    }
    this->listener.onAnswerEnd();
}

auto ServerExchange::onFailed(LinkFailure failure) -> void
{
    this->pool.opening.erase(this);
    this->connection.reset();
    switch (failure) {
    case LinkFailure::NotConnected:
        this->listener.onAnswerFailed(ExchangeFailure::NotSent);
        return;
    case LinkFailure::Closed:
        this->listener.onAnswerFailed(ExchangeFailure::NoAnswer);
        return;
    case LinkFailure::Truncated:
        this->listener.onAnswerFailed(ExchangeFailure::Truncated);
        return;
    case LinkFailure::Malformed:
        this->listener.onAnswerFailed(ExchangeFailure::Malformed);
        return;
    }
}

} // namespace banyanring::gateway
