/** @file server_pool.h Connections to backend servers, kept and reused. */
#pragma once

#include "banyanring/gateway/outbound_connection.h"
#include "banyanring/gateway/scheduler_ports.h"

#include <set>
#include <unordered_map>

namespace banyanring::gateway {

class ServerExchange;

/** Sends requests over kept connections, one at a time on each. */
class ServerPool : public ServerPort
{
public:
    /** @param context Runs all its work. */
    explicit ServerPool(boost::asio::io_context &context) : context(context) {}

    auto send(const fleet::ServerPtr &server, const std::string &attempt, std::string bytes,
              bool repeatable, ExchangeListener &listener) -> std::unique_ptr<Exchange> override;

    /**
     * Gives up connections that do not open in time, and closes idle ones before the server does.
     * @param now The present.
     */
    auto tick(Instant now) -> void;

    /** @param id A server that is gone: its idle connections are closed. */
    auto forget(const std::string &id) -> void;

    /** @return Idle connections to all servers. */
    auto idleConnections() const -> std::size_t;

private:
    friend class ServerExchange;
    using ConnectionPtr = std::shared_ptr<OutboundConnection>;

    auto takeIdle(const std::string &id, bool repeatable) -> ConnectionPtr;
    auto giveBack(const std::string &id, std::size_t most, ConnectionPtr connection) -> void;

    boost::asio::io_context &context;
    std::unordered_map<std::string, std::vector<ConnectionPtr>> idle;
    std::set<ServerExchange *> opening;
};

} // namespace banyanring::gateway
