/** @file server_exchange.h One request to a backend server over one connection. */
#pragma once

#include "banyanring/gateway/server_connection_pool.h"

namespace banyanring::gateway {

/**
 * One request to a backend server over one connection. Discards responses that carry the id of
 * another attempt. A response without an id counts only as the first one on its connection.
 */
class ServerExchange : public Exchange, private ResponseObserver
{
public:
    /**
     * @param pool Pool that the connection is returned to.
     * @param server The server.
     * @param attemptId Attempt id that the response must carry.
     * @param observer Receives the events; must outlive this object.
     */
    ServerExchange(ServerConnectionPool &pool, fleet::ServerPtr server, std::string attemptId,
                   ExchangeObserver &observer);
    ~ServerExchange() override;
    ServerExchange(const ServerExchange &) = delete;
    auto operator=(const ServerExchange &) -> ServerExchange & = delete;

    /**
     * Sends the request on a pooled connection.
     * @param pooled The open, idle connection.
     * @param request Header and body.
     */
    auto sendOn(std::shared_ptr<OutboundConnection> pooled, OutboundRequest request) -> void;

    /**
     * Opens a connection and sends the request on it.
     * @param newConnection The connection, not opened yet.
     * @param address "IP:port".
     * @param request Header and body.
     * @param now Current time.
     */
    auto connectAndSend(std::shared_ptr<OutboundConnection> newConnection,
                        const std::string &address, OutboundRequest request, Instant now) -> void;

    /** Fails the exchange, because the connection was not opened in time. */
    auto onConnectTimeout() -> void;

    /** @return Time at which opening the connection began. */
    auto connectStartedAt() const -> Instant
    {
        return this->connectStart;
    }

    auto pauseReading(bool paused) -> void override;
    auto cancel() -> void override;

private:
    auto onConnected() -> void override;
    auto onHeader(const ResponseHeader &header) -> void override;
    auto onBody(std::string data) -> void override;
    auto onEnd(bool reusable) -> void override;
    auto onFailed(ExchangeFailure failure) -> void override;
    auto rememberAttempt() -> void;
    auto rejectResponse(int status, std::string_view reason) -> void;

    ServerConnectionPool &pool;
    fleet::ServerPtr server;
    std::string attemptId;
    ExchangeObserver &observer;
    std::shared_ptr<OutboundConnection> connection;
    OutboundRequest pendingRequest; ///< Request to send once the connection is open.
    Instant connectStart{};
    bool otherAttempt = false; ///< Discards the current response, which is not for this attempt.
    bool hasId = true; ///< The current response carries an attempt id.
    bool mayBeForOthers = false; ///< A response may belong to another request on the connection.
};

} // namespace banyanring::gateway
