/** @file operator_listener.h The HTTP listener for operators: metrics, state and explanations. */
#pragma once

#include <cpprest/http_listener.h>
#include <functional>
#include <string>

namespace banyanring {

/** Serves operators on an address of its own. */
class OperatorListener
{
public:
    using Give = std::function<void(std::string)>; ///< Takes the text to answer with.

    /** Where the texts come from. Each may be called by any thread and answers later. */
    struct Sources
    {
        std::function<void(Give)> metrics; ///< Prometheus text.
        std::function<void(Give)> state; ///< JSON.
        std::function<void(const std::string &, Give)> explain; ///< JSON on a request id.
    };

    /**
     * Starts to listen.
     * @param listen "host:port".
     * @param sources Where the texts come from.
     */
    OperatorListener(const std::string &listen, Sources sources);
    ~OperatorListener();
    OperatorListener(const OperatorListener &) = delete;
    auto operator=(const OperatorListener &) -> OperatorListener & = delete;

private:
    auto handle(const web::http::http_request &request) -> void;

    Sources sources;
    web::http::experimental::listener::http_listener listener;
};

} // namespace banyanring
