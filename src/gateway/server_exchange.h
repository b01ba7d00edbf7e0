/** @file server_exchange.h One request to a backend server over one connection. */
#pragma once

#include "banyanring/gateway/server_pool.h"

namespace banyanring::gateway {

/**
 * One request to a backend server over one connection. Discards responses that carry the id of
 * another attempt.
 */
class ServerExchange : public Exchange, private AnswerListener
{
public:
    /**
     * @param pool Pool that the connection is returned to.
     * @param server The server.
     * @param attempt Attempt id that the response must carry.
     * @param listener Receives the events; must outlive this object.
     */
    ServerExchange(ServerPool &pool, fleet::ServerPtr server, std::string attempt,
                   ExchangeListener &listener);
    ~ServerExchange() override;
    ServerExchange(const ServerExchange &) = delete;
    auto operator=(const ServerExchange &) -> ServerExchange & = delete;

    /**
     * Sends the request on a pooled connection.
     * @param kept The open, idle connection.
     * @param bytes Header and body.
     */
    auto sendOn(std::shared_ptr<OutboundConnection> kept, std::string bytes) -> void;

    /**
     * Opens a connection and sends the request on it.
     * @param fresh The connection, not opened yet.
     * @param address "IP:port".
     * @param bytes Header and body.
     * @param now Current time.
     */
    auto openAndSend(std::shared_ptr<OutboundConnection> fresh, const std::string &address,
                     std::string bytes, Instant now) -> void;

    /** Fails the exchange, because the connection was not opened in time. */
    auto openTimedOut() -> void;

    /** @return Time at which opening the connection began. */
    auto openingSince() const -> Instant
    {
        return this->openedAt;
    }

    auto pauseReading(bool paused) -> void override;
    auto cancel() -> void override;

private:
    auto onOpen() -> void override;
    auto onHead(const AnswerHeader &header) -> void override;
    auto onBody(std::string data) -> void override;
    auto onEnd(bool reusable) -> void override;
    auto onFailed(LinkFailure failure) -> void override;

    ServerPool &pool;
    fleet::ServerPtr server;
    std::string attempt;
    ExchangeListener &listener;
    std::shared_ptr<OutboundConnection> connection;
    std::string bytes; ///< Request to send once the connection is open.
    Instant openedAt{};
    bool foreign = false; ///< The current response belongs to another attempt and is discarded.
};

} // namespace banyanring::gateway
