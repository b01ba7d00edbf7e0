/** @file http_client.h HTTP/1.1 GET client for the store and peers. */
#pragma once

#include "banyanring/gateway/outbound_connection.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/fields.hpp>
#include <functional>

namespace banyanring::gateway {

/** Failure of a request whose response was longer than the client accepts. */
constexpr auto ResponseTooLong = "too_long";

/** Result of a request. */
struct HttpResult
{
    int status = 0; ///< HTTP status; 0 if no complete response arrived.
    std::string body; ///< Complete response body.
    /** "timeout", "too_long" or the name of an ExchangeFailure; empty if a response arrived. */
    std::string failure;
    boost::beast::http::fields headers{}; ///< Response headers; empty if no response arrived.
};

/** Sends one request at a time over a persistent connection, which is closed after any failure. */
class HttpClient : private ResponseObserver
{
public:
    using Callback = std::function<void(HttpResult)>;

    /** @param context Runs the asynchronous operations. */
    explicit HttpClient(boost::asio::io_context &context);
    ~HttpClient() override;
    HttpClient(const HttpClient &) = delete;
    auto operator=(const HttpClient &) -> HttpClient & = delete;

    /**
     * Sends a request. None may be in progress.
     * @param newAddress "IP:port"; an open connection to another address is closed.
     * @param target Path and query.
     * @param timeout Time after which the request fails.
     * @param newCallback Called with the result, unless the request is cancelled.
     */
    auto get(const std::string &newAddress, const std::string &target, Duration timeout,
             Callback newCallback) -> void;

    /** Cancels the request in progress; its callback is not called. */
    auto cancel() -> void;

    /** @return Whether a request is in progress. */
    auto isBusy() const -> bool
    {
        return this->callback != nullptr;
    }

private:
    auto onConnected() -> void override;
    auto onHeader(const ResponseHeader &header) -> void override;
    auto onBody(std::string data) -> void override;
    auto onEnd(bool reusable) -> void override;
    auto onFailed(ExchangeFailure failure) -> void override;
    auto finish(HttpResult finalResult) -> void;

    boost::asio::io_context &context;
    boost::asio::steady_timer timer;
    std::shared_ptr<OutboundConnection> connection;
    std::string address;
    std::string request;
    HttpResult result;
    Callback callback;
    std::uint64_t requestNumber = 0; ///< Lets late timers of earlier requests be ignored.
};

} // namespace banyanring::gateway
