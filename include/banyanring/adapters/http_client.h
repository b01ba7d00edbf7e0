/** @file http_client.h HTTP requests, each on a connection of its own. */
#pragma once

#include "banyanring/core/ids_type.h"
#include "banyanring/gateway/outbound_connection.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <set>
#include <thread>

namespace banyanring {

class HttpExchange;
using HttpExchangePtr = std::shared_ptr<HttpExchange>;
using HttpBodyHandler = std::function<void(std::string_view bytes)>; ///< Receives parts of a body.

/** A complete response. */
struct HttpReply
{
    gateway::ResponseHeader header; ///< Status and fields.
    std::string body;
};

/**
 * Reads the media type of a response.
 * @param header Header of the response.
 * @return Value of the Content-Type field; empty without one.
 */
auto contentTypeOf(const gateway::ResponseHeader &header) -> std::string;

/**
 * Collects a body.
 * @param body Where the bytes are appended; must outlive the exchange.
 * @param maxBytes A longer body fails the exchange.
 * @return The handler.
 */
auto collectBody(std::string &body, std::size_t maxBytes) -> HttpBodyHandler;

/**
 * Sends requests from a thread of its own, which also calls all handlers. Each connection is used
 * once, so that no request is sent twice. Bodies are not buffered and headers are limited, so that
 * a server that sends bytes without end does not take memory without end.
 */
class HttpClient
{
public:
    /** A request with its body. */
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    /** Receives the events of an exchange; the last one is onEnd or onFailed. */
    struct Handlers
    {
        /** An exception ends the exchange, as in onBody; its text is the error. */
        std::function<void(const gateway::ResponseHeader &header)> onHeader;
        HttpBodyHandler onBody;
        std::function<void()> onEnd; ///< The response is complete.
        /** @param connected Whether the request may have reached the server. */
        std::function<void(bool connected, const std::string &error)> onFailed;
    };

    HttpClient();
    /** Ends all exchanges without further events. */
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    auto operator=(const HttpClient &) -> HttpClient & = delete;

    /**
     * Sends a request.
     * @param address "host:port".
     * @param request The request; Host and Content-Length are added.
     * @param timeout Maximum time until the end of the response.
     * @param handlers Receives the events.
     * @return The exchange.
     */
    auto send(const std::string &address, Request request, Duration timeout, Handlers handlers)
        -> HttpExchangePtr;

    /**
     * Sends a request and waits for the end of its response. Handlers must not call it.
     * @param address "host:port".
     * @param request The request, as for send().
     * @param timeout Maximum time until the end of the response.
     * @param onBody Receives the body while it arrives; called by the client's thread.
     * @return Header of the response.
     * @throws std::runtime_error with the reason if there is no complete response.
     */
    auto fetch(const std::string &address, Request request, Duration timeout,
               HttpBodyHandler onBody) -> gateway::ResponseHeader;

    /** Fails all exchanges, also those that are sent later. May be called by any thread. */
    auto cancelAll() -> void;

    /**
     * Closes the connection of an exchange, which then fails. May be called by any thread.
     * @param exchange The exchange; ignored if it has ended.
     */
    auto cancel(const HttpExchangePtr &exchange) -> void;

private:
    auto run() -> void;

    boost::asio::io_context context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> workGuard;
    std::set<HttpExchangePtr> openExchanges; ///< Used by the thread only.
    bool cancelling = false; ///< New exchanges fail; used by the thread only.
    std::thread thread;
};

} // namespace banyanring
