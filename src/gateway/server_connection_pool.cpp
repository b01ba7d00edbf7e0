/** @file server_connection_pool.cpp Pool of persistent connections to backend servers. */
#include "banyanring/gateway/server_connection_pool.h"

#include "banyanring/adapters/log_func.h"
#include "banyanring/ports/clock_func.h"
#include "request_headers.h"
#include "server_exchange.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace banyanring::gateway {

namespace {

using std::chrono::milliseconds;

/** A connection opens within a few round trips; retransmitting a lost packet takes a second. */
constexpr Duration ConnectTimeout = milliseconds(400);
constexpr Duration DefaultIdleTimeout = milliseconds(4000); ///< If the server announces none.
constexpr double IdleFraction = 0.7; ///< Fraction of the server's idle timeout that is used.
/** The same for requests that must not be retried: the server's close may cross them. */
constexpr double NonRetryableIdleFraction = 0.35;
constexpr std::string_view StatusLineStart = "HTTP/1."; ///< Start of a response.
constexpr std::size_t StatusOffset = 9; ///< Position of the status in a status line.
constexpr std::string_view TimeoutParameter = "timeout="; ///< Parameter of the Keep-Alive header.

/** @return Idle timeout that a server announces, if any. */
auto parseIdleTimeout(const ResponseHeader &header) -> std::optional<Duration>
{
    const auto value = header[boost::beast::http::field::keep_alive];
    const std::string_view text(value.data(), value.size());
    const auto position = text.find(TimeoutParameter);
    int seconds = 0;
    if (position == std::string_view::npos) {
        return std::nullopt;
    }
    const auto number = text.substr(position + TimeoutParameter.size());
    if (std::from_chars(number.data(), number.data() + number.size(), seconds).ec != std::errc{}) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

/** @return Whether a header has the start of another response in it, as the one was truncated. */
auto containsStatusLine(const ResponseHeader &header) -> bool
{
    const auto contains = [](boost::beast::string_view value) {
        const std::string_view text(value.data(), value.size());
        const auto position = text.find(StatusLineStart);
        // A Via field also has the protocol, but no status after it.
        return position != std::string_view::npos && position + StatusOffset < text.size()
               && std::isdigit(static_cast<unsigned char>(text[position + StatusOffset])) != 0;
    };
    return contains(header.reason())
           || std::any_of(header.begin(), header.end(),
                          [&](const auto &field) { return contains(field.value()); });
}

} // namespace

auto ServerConnectionPool::send(const fleet::ServerPtr &server, const std::string &attemptId,
                                OutboundRequest request, bool retryable, ExchangeObserver &observer)
    -> std::unique_ptr<Exchange>
{
    auto exchange = std::make_unique<ServerExchange>(*this, server, attemptId, observer);
    if (auto pooled = this->acquireIdle(server->registration.id, attemptId, retryable)) {
        exchange->sendOn(std::move(pooled), std::move(request));
    } else {
        exchange->connectAndSend(std::make_shared<OutboundConnection>(this->context),
                                 server->registration.address, std::move(request), bootClockNow());
    }
    return exchange;
}

auto ServerConnectionPool::acquireIdle(const std::string &id, const std::string &attemptId,
                                       bool retryable) -> ConnectionPtr
{
    const auto found = this->idle.find(id);
    if (found == this->idle.end() || attemptId.empty()) {
        return nullptr; // Only its id attributes a response on a reused connection.
    }
    const auto attempt = hashName(attemptId);
    const auto now = bootClockNow();
    auto &connections = found->second;
    while (!connections.empty()) {
        auto newest = std::move(connections.back());
        connections.pop_back();
        if (!newest->isIdle()) {
            continue;
        }
        const auto limit = newest->idleTimeout.value_or(DefaultIdleTimeout)
                           * (retryable ? IdleFraction : NonRetryableIdleFraction);
        const auto &recent = newest->recentAttempts;
        // An earlier response to the same attempt could be taken for the new one.
        const bool carriedAttempt =
            std::find(recent.begin(), recent.end(), attempt) != recent.end();
        if (now - newest->idleSince < limit && !carriedAttempt) {
            return newest;
        }
        newest->close();
    }
    return nullptr;
}

auto ServerConnectionPool::release(const std::string &id, std::size_t maxIdle,
                                   ConnectionPtr connection) -> void
{
    auto &connections = this->idle[id];
    if (connections.size() >= maxIdle) {
        connection->close();
        return;
    }
    connection->idleSince = bootClockNow();
    connections.push_back(std::move(connection));
}

auto ServerConnectionPool::tick(Instant now) -> void
{
    std::vector<ServerExchange *> timedOut;
    for (auto *exchange : this->connecting) {
        if (now - exchange->connectStartedAt() > ConnectTimeout) {
            timedOut.push_back(exchange);
        }
    }
    for (auto *exchange : timedOut) {
        exchange->onConnectTimeout();
    }
    for (auto &[id, connections] : this->idle) {
        std::erase_if(connections, [now](const ConnectionPtr &connection) {
            const auto limit = connection->idleTimeout.value_or(DefaultIdleTimeout) * IdleFraction;
            if (connection->isIdle() && now - connection->idleSince < limit) {
                return false;
            }
            connection->close();
            return true;
        });
    }
}

auto ServerConnectionPool::closeIdleTo(const std::string &id) -> void
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

auto ServerConnectionPool::idleCount() const -> std::size_t
{
    std::size_t count = 0;
    for (const auto &[id, connections] : this->idle) {
        count += connections.size();
    }
    return count;
}

ServerExchange::ServerExchange(ServerConnectionPool &pool, fleet::ServerPtr server,
                               std::string attemptId, ExchangeObserver &observer)
    : pool(pool), server(std::move(server)), attemptId(std::move(attemptId)), observer(observer)
{
}

ServerExchange::~ServerExchange()
{
    this->cancel();
}

auto ServerExchange::cancel() -> void
{
    this->pool.connecting.erase(this);
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

auto ServerExchange::sendOn(std::shared_ptr<OutboundConnection> pooled, OutboundRequest request)
    -> void
{
    this->connection = std::move(pooled);
    this->mayBeForOthers = true;
    this->rememberAttempt();
    this->connection->awaitResponse(this);
    this->connection->send(std::move(request.head), std::move(request.body));
    this->observer.onSent();
}

auto ServerExchange::connectAndSend(std::shared_ptr<OutboundConnection> newConnection,
                                    const std::string &address, OutboundRequest request,
                                    Instant now) -> void
{
    this->connection = std::move(newConnection);
    this->rememberAttempt();
    this->pendingRequest = std::move(request);
    this->connectStart = now;
    this->pool.connecting.insert(this);
    this->connection->connect(address, this);
}

auto ServerExchange::onConnectTimeout() -> void
{
    this->cancel();
    this->observer.onExchangeFailed(ExchangeFailure::NotSent);
}

auto ServerExchange::onConnected() -> void
{
    this->pool.connecting.erase(this);
    this->connection->send(std::move(this->pendingRequest.head),
                           std::move(this->pendingRequest.body));
    this->observer.onSent();
}

auto ServerExchange::onHeader(const ResponseHeader &header) -> void
{
    if (const auto idleTimeout = parseIdleTimeout(header)) {
        this->connection->idleTimeout = idleTimeout;
    }
    auto response = platform::decodeResponse(header);
    response.endsWithConnection = this->connection->responseEndsWithConnection();
    this->hasId = !response.attemptId.empty();
    this->otherAttempt = this->hasId && response.attemptId != this->attemptId;
    if (containsStatusLine(header)) {
        this->rejectResponse(response.status, "merged");
        return;
    }
    if (!this->hasId && this->mayBeForOthers) {
        this->rejectResponse(response.status, "no_attempt_id");
        return;
    }
    if (this->otherAttempt) {
        this->mayBeForOthers = true;
        return;
    }
    this->observer.onResponseHeader(response);
}

auto ServerExchange::rememberAttempt() -> void
{
    auto &recent = this->connection->recentAttempts;
    if (recent.size() == recent.capacity()) {
        recent.erase(recent.begin());
    }
    recent.push_back(hashName(this->attemptId));
}

auto ServerExchange::rejectResponse(int status, std::string_view reason) -> void
{
    logEvent("response_unattributed", {{"server", this->server->registration.id},
                                       {"request_id", this->attemptId},
                                       {"status", std::int64_t{status}},
                                       {"reason", std::string(reason)}});
    this->cancel();
    this->observer.onExchangeFailed(ExchangeFailure::Malformed);
}

auto ServerExchange::onBody(std::string data) -> void
{
    if (!this->otherAttempt) {
        this->observer.onResponseData(data);
    }
}

auto ServerExchange::onEnd(bool reusable) -> void
{
    if (this->otherAttempt && !this->connection->isClosed()) {
        this->connection->awaitResponse(this);
        return;
    }
    auto released = std::move(this->connection);
    if (reusable && this->hasId) {
        this->pool.release(this->server->registration.id, this->server->maxIdleConnections,
                           std::move(released));
    } else {
        released->close();
    }
    if (this->otherAttempt) {
        this->observer.onExchangeFailed(ExchangeFailure::NoResponse);
        return;
    }
    this->observer.onResponseEnd();
}

auto ServerExchange::onFailed(ExchangeFailure failure) -> void
{
    this->pool.connecting.erase(this);
    this->connection.reset();
    this->observer.onExchangeFailed(failure);
}

} // namespace banyanring::gateway
