/** @file server_connection_pool.h Pool of persistent connections to backend servers. */
#pragma once

#include "banyanring/gateway/outbound_connection.h"
#include "banyanring/gateway/scheduler_ports.h"

#include <set>
#include <unordered_map>

namespace banyanring::gateway {

class ServerExchange;

/** Sends requests over pooled connections, one at a time on each. */
class ServerConnectionPool : public ServerPort
{
public:
    /** @param context Runs the I/O handlers. */
    explicit ServerConnectionPool(boost::asio::io_context &context) : context(context) {}

    auto send(const fleet::ServerPtr &server, const std::string &attemptId, OutboundRequest request,
              bool retryable, ExchangeObserver &observer) -> std::unique_ptr<Exchange> override;

    /**
     * Fails exchanges whose connection does not open in time, and closes idle connections before
     * the server does.
     * @param now Current time.
     */
    auto tick(Instant now) -> void;

    /** @param id Id of a removed server; its idle connections are closed. */
    auto closeIdleTo(const std::string &id) -> void;

    /** @return Number of idle connections to all servers. */
    auto idleCount() const -> std::size_t;

private:
    friend class ServerExchange;
    using ConnectionPtr = std::shared_ptr<OutboundConnection>;

    auto acquireIdle(const std::string &id, const std::string &attemptId, bool retryable)
        -> ConnectionPtr;
    auto release(const std::string &id, std::size_t maxIdle, ConnectionPtr connection) -> void;

    boost::asio::io_context &context;
    /** By server id, newest last. */
    std::unordered_map<std::string, std::vector<ConnectionPtr>> idle;
    std::set<ServerExchange *> connecting; ///< Exchanges whose connection is being opened.
};

} // namespace banyanring::gateway
