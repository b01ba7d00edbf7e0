/** @file http_client.h Plain GET calls to the store and to peers, one at a time. */
#pragma once

#include "banyanring/gateway/outbound_connection.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace banyanring::gateway {

/** What came of a call. */
struct HttpResult
{
    int status = 0; ///< HTTP status; 0 if no whole answer came.
    std::string body; ///< Whole body.
    std::string failure; ///< Why no answer came.
};

/** Makes calls to one address over a kept connection, which is given up after any failure. */
class HttpClient : private AnswerListener
{
public:
    using Callback = std::function<void(HttpResult)>;

    /** @param context Runs all its work. */
    explicit HttpClient(boost::asio::io_context &context);
    ~HttpClient() override;
    HttpClient(const HttpClient &) = delete;
    auto operator=(const HttpClient &) -> HttpClient & = delete;

    /**
     * Makes a call. None may be in progress.
     * @param newAddress "IP:port"; a kept connection to another one is closed.
     * @param target Path and query.
     * @param timeout The call fails after it.
     * @param newCallback Gets the result.
     */
    auto get(const std::string &newAddress, const std::string &target, Duration timeout,
             Callback newCallback) -> void;

    /** Gives the present call up; its callback hears nothing. */
    auto cancel() -> void;

    /** @return Whether a call is in progress. */
    auto isBusy() const -> bool
    {
        return this->callback != nullptr;
    }

private:
    auto onOpen() -> void override;
    auto onHead(const AnswerHeader &header) -> void override;
    auto onBody(std::string data) -> void override;
    auto onEnd(bool reusable) -> void override;
    auto onFailed(LinkFailure failure) -> void override;
    auto complete(HttpResult result) -> void;

    boost::asio::io_context &context;
    boost::asio::steady_timer timer;
    std::shared_ptr<OutboundConnection> connection;
    std::string address;
    std::string request;
    HttpResult result;
    Callback callback;
    std::uint64_t call = 0; ///< Tells late timers from the present one.
};

} // namespace banyanring::gateway
