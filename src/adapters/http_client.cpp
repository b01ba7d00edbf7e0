/** @file http_client.cpp HTTP requests, each on a connection of its own. */
#include "banyanring/adapters/http_client.h"

#include "banyanring/adapters/log_func.h"
#include "banyanring/fleet/process_settings_type.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/write.hpp>
#include <future>
#include <sstream>

namespace banyanring {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using gateway::ExchangeFailure;

constexpr unsigned HttpVersion = 11; ///< HTTP/1.1, as the library writes it.
constexpr auto Cancelled = "cancelled"; ///< Error of an exchange that this side ended.

} // namespace

auto contentTypeOf(const gateway::ResponseHeader &header) -> std::string
{
    return header[http::field::content_type].to_string();
}

auto collectBody(std::string &body, std::size_t maxBytes) -> HttpBodyHandler
{
    return [&body, maxBytes](std::string_view bytes) {
        if (body.size() + bytes.size() > maxBytes) {
            throw std::runtime_error("response body is longer than " + std::to_string(maxBytes)
                                     + " bytes");
        }
        body.append(bytes);
    };
}

/** One request and its response. */
class HttpExchange : public gateway::ResponseObserver,
                     public std::enable_shared_from_this<HttpExchange>
{
public:
    HttpExchange(asio::io_context &context, std::set<HttpExchangePtr> &open,
                 std::string requestBytes, HttpClient::Handlers handlers)
        : open(open), requestBytes(std::move(requestBytes)), handlers(std::move(handlers)),
          resolver(context), timer(context),
          connection(std::make_shared<gateway::OutboundConnection>(context))
    {
    }

    /** Opens the connection. */
    auto start(const std::string &address, Duration timeout) -> void
    {
        this->open.insert(this->shared_from_this());
        this->timer.expires_after(timeout);
        this->timer.async_wait([self = this->shared_from_this()](const error_code &error) {
            if (!error) {
                self->end("timed out");
            }
        });
        if (fleet::parseEndpoint(address)) {
            this->connection->connect(address, this);
            return;
        }
        const auto colon = address.rfind(':');
        this->resolver.async_resolve(
            asio::ip::tcp::v4(), address.substr(0, colon),
            colon == std::string::npos ? "" : address.substr(colon + 1),
            [self = this->shared_from_this()](const error_code &error, const auto &results) {
                if (error || results.empty()) {
                    self->end("cannot resolve the address");
                } else if (!self->ended) {
                    const asio::ip::tcp::endpoint endpoint = *results.begin();
                    self->connection->connect(endpoint.address().to_string() + ":"
                                                  + std::to_string(endpoint.port()),
                                              self.get());
                }
            });
    }

    /** Ends the exchange; @p error is empty if the response is complete. */
    auto end(const std::string &error) -> void
    {
        if (std::exchange(this->ended, true)) {
            return;
        }
        const auto self = this->shared_from_this();
        this->open.erase(self);
        this->connection->close();
        this->resolver.cancel();
        this->timer.cancel();
        if (error.empty()) {
            this->handlers.onEnd();
        } else {
            this->handlers.onFailed(this->connected, error);
        }
        this->handlers = {};
    }

    /** Drops the handlers and what they refer to; no further event is reported. */
    auto abandon() -> void
    {
        this->ended = true;
        this->handlers = {};
    }

    auto onConnected() -> void override
    {
        this->connected = true;
        this->connection->send(std::move(this->requestBytes));
    }

    auto onHeader(const gateway::ResponseHeader &header) -> void override
    {
        this->callHandler([&] { this->handlers.onHeader(header); });
    }

    auto onBody(std::string data) -> void override
    {
        this->callHandler([&] { this->handlers.onBody(data); });
    }

    auto onEnd(bool /*reusable*/) -> void override
    {
        this->end("");
    }

    auto onFailed(ExchangeFailure failure) -> void override
    {
        this->end(std::string(gateway::failureName(failure)));
    }

private:
    /** Calls a handler; an exception ends the exchange. */
    template <typename Handler> auto callHandler(const Handler &handler) -> void
    {
        try {
            handler();
        } catch (const std::exception &error) {
            this->end(error.what());
        }
    }

    std::set<HttpExchangePtr> &open;
    std::string requestBytes;
    HttpClient::Handlers handlers;
    asio::ip::tcp::resolver resolver;
    asio::steady_timer timer;
    std::shared_ptr<gateway::OutboundConnection> connection;
    bool connected = false;
    bool ended = false;
};

HttpClient::HttpClient() : workGuard(this->context.get_executor())
{
    this->thread = std::thread([this] { this->run(); });
}

HttpClient::~HttpClient()
{
    this->context.stop();
    this->thread.join();
    for (const auto &exchange : this->openExchanges) {
        exchange->abandon();
    }
}

auto HttpClient::run() -> void
{
    while (!this->context.stopped()) {
        try {
            this->context.run();
        } catch (const std::exception &error) {
            logEvent("exchange_handler_failed", {{"error", error.what()}});
        }
    }
}

auto HttpClient::send(const std::string &address, Request request, Duration timeout,
                      Handlers handlers) -> HttpExchangePtr
{
    request.version(HttpVersion);
    request.set(http::field::host, address);
    request.set(http::field::connection, "close");
    request.prepare_payload();
    std::ostringstream bytes;
    bytes << request;
    auto exchange = std::make_shared<HttpExchange>(this->context, this->openExchanges,
                                                   std::move(bytes).str(), std::move(handlers));
    asio::post(this->context, [this, exchange, address, timeout] {
        if (this->cancelling) {
            exchange->end(Cancelled);
        } else {
            exchange->start(address, timeout);
        }
    });
    return exchange;
}

auto HttpClient::fetch(const std::string &address, Request request, Duration timeout,
                       HttpBodyHandler onBody) -> gateway::ResponseHeader
{
    const auto result = std::make_shared<std::promise<gateway::ResponseHeader>>();
    const auto received = std::make_shared<gateway::ResponseHeader>();
    this->send(address, std::move(request), timeout,
               {[received](const gateway::ResponseHeader &header) { *received = header; },
                std::move(onBody), [result, received] { result->set_value(std::move(*received)); },
                [result](bool, const std::string &error) {
                    result->set_exception(std::make_exception_ptr(std::runtime_error(error)));
                }});
    return result->get_future().get();
}

auto HttpClient::cancelAll() -> void
{
    asio::post(this->context, [this] {
        this->cancelling = true;
        const auto exchanges = this->openExchanges; // Each removes itself as it ends.
        for (const auto &exchange : exchanges) {
            exchange->end(Cancelled);
        }
    });
}

auto HttpClient::cancel(const HttpExchangePtr &exchange) -> void
{
    asio::post(this->context, [exchange] { exchange->end(Cancelled); });
}

} // namespace banyanring
