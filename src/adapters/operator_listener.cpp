/** @file operator_listener.cpp HTTP listener for operators: metrics, state and request traces. */
#include "banyanring/adapters/operator_listener.h"

namespace banyanring {

namespace {

constexpr auto JsonType = "application/json";
constexpr auto MetricsType = "text/plain; version=0.0.4";

} // namespace

OperatorListener::OperatorListener(const std::string &listen, Handlers handlers)
    : handlers(std::move(handlers)), listener(web::uri("http://" + listen + "/"))
{
    this->listener.support(web::http::methods::GET,
                           [this](const auto &request) { this->handle(request); });
    this->listener.open().wait();
}

OperatorListener::~OperatorListener()
{
    this->listener.close().wait();
}

auto OperatorListener::handle(const web::http::http_request &request) -> void
{
    const auto makeReply = [request](const char *type) {
        return [request, type](const std::string &text) {
            request.reply(web::http::status_codes::OK, text, type);
        };
    };
    const auto path = request.relative_uri().path();
    if (path == "/metrics") {
        this->handlers.metrics(makeReply(MetricsType));
    } else if (path == "/debug/state") {
        this->handlers.state(makeReply(JsonType));
    } else if (path == "/debug/explain") {
        const auto query = web::uri::split_query(request.relative_uri().query());
        const auto id = query.find("id");
        this->handlers.explain(id == query.end() ? "" : id->second, makeReply(JsonType));
    } else {
        request.reply(web::http::status_codes::NotFound,
                      "/metrics, /debug/state, /debug/explain?id=REQUEST\n");
    }
}

} // namespace banyanring
