/** @file server_exchange.h One dispatch to a server on one connection. */
#pragma once

#include "banyanring/gateway/server_pool.h"

namespace banyanring::gateway {

/** Matches answers to the dispatch: an answer to another one is read and dropped. */
class ServerExchange : public Exchange, private AnswerListener
{
public:
    /**
     * @param pool Gets the connection back.
     * @param server The server.
     * @param attempt Id that the answer must bear.
     * @param listener Gets the answer.
     */
    ServerExchange(ServerPool &pool, fleet::ServerPtr server, std::string attempt,
                   ExchangeListener &listener);
    ~ServerExchange() override;
    ServerExchange(const ServerExchange &) = delete;
    auto operator=(const ServerExchange &) -> ServerExchange & = delete;

    /**
     * Sends on a kept connection.
     * @param kept The connection.
     * @param bytes The request.
     */
    auto sendOn(std::shared_ptr<OutboundConnection> kept, std::string bytes) -> void;

    /**
     * Opens a connection and sends on it.
     * @param fresh The connection.
     * @param address "IP:port".
     * @param bytes The request.
     * @param now The present.
     */
    auto openAndSend(std::shared_ptr<OutboundConnection> fresh, const std::string &address,
                     std::string bytes, Instant now) -> void;

    /** Gives up opening the connection. */
    auto openTimedOut() -> void;

    /** @return When opening began. */
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
    std::string bytes;
    Instant openedAt{};
    bool foreign = false; ///< The present answer belongs to another dispatch.
};

} // namespace banyanring::gateway
