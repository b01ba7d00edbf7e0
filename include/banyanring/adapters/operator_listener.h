/** @file operator_listener.h HTTP listener for operators: metrics, state and request traces. */
#pragma once

#include <cpprest/http_listener.h>
#include <functional>
#include <string>

namespace banyanring {

/** Serves the operators' endpoints on a separate address. */
class OperatorListener
{
public:
    using Reply = std::function<void(std::string)>; ///< Sends a response body.

    /** Handlers of the endpoints. Each may be called from any thread and may reply later. */
    struct Handlers
    {
        std::function<void(Reply)> metrics; ///< Replies with Prometheus text.
        std::function<void(Reply)> state; ///< Replies with the state dump as JSON.
        /** Replies with the decisions on a request id as JSON. */
        std::function<void(const std::string &, Reply)> explain;
    };

    /**
     * Starts to listen.
     * @param listen Address, "host:port".
     * @param handlers Handlers of the endpoints.
     */
    OperatorListener(const std::string &listen, Handlers handlers);
    ~OperatorListener();
    OperatorListener(const OperatorListener &) = delete;
    auto operator=(const OperatorListener &) -> OperatorListener & = delete;

private:
    auto handle(const web::http::http_request &request) -> void;

    Handlers handlers;
    web::http::experimental::listener::http_listener listener;
};

} // namespace banyanring
