/** @file caller_listener.cpp HTTP listener for callers, and the table of their open calls. */
#include "banyanring/adapters/caller_listener.h"

#include "banyanring/adapters/config_codec.h"
#include "banyanring/adapters/log_func.h"
#include "banyanring/ports/clock_func.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace banyanring {

namespace {

using nlohmann::json;
using web::http::http_request;
using web::http::http_response;

/** Requests with a longer key, ticket or path are rejected. */
constexpr std::size_t MaxHeaderBytes = 4096;
constexpr std::size_t MaxUnreadBytes = 1U << 20U; ///< Streams with more unread bytes are aborted.
constexpr std::size_t BytesPerToken = 4; ///< For the estimate of the prompt's tokens.
/** Connections with an incomplete request are closed after this time. */
constexpr std::chrono::seconds IdleTimeout{30};
constexpr std::string_view BearerPrefix = "Bearer ";

/** @return The value of header @p name; empty without one. */
auto header(const http_request &request, const std::string &name) -> std::string
{
    const auto found = request.headers().find(name);
    return found == request.headers().end() ? std::string{} : found->second;
}

/** @return The API key of a request, from the bearer token or X-Banyan-Key; empty without one. */
auto apiKeyOf(const http_request &request) -> std::string
{
    const auto text = header(request, "Authorization");
    return text.starts_with(BearerPrefix) ? text.substr(BearerPrefix.size())
                                          : header(request, "X-Banyan-Key");
}

/** @return The value of @p text if it is a positive decimal number and nothing else. */
auto parsePositive(std::string_view text) -> std::optional<std::int64_t>
{
    std::int64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool complete = result.ec == std::errc{} && result.ptr == text.data() + text.size();
    return complete && value > 0 ? std::optional(value) : std::nullopt;
}

/** @return Estimated tokens of a request: those of its prompt plus its "max_tokens". */
auto estimateTokens(const std::string &body) -> std::uint32_t
{
    auto tokens = body.size() / BytesPerToken + 1;
    if (body.find("\"max_tokens\"") != std::string::npos) {
        const auto value = json::parse(body, nullptr, false);
        if (value.is_object() && value.contains("max_tokens")
            && value["max_tokens"].is_number_unsigned()) {
            tokens += value["max_tokens"].get<std::uint64_t>();
        }
    }
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(tokens, UINT32_MAX));
}

/** @return The hash of a body (FNV-1a, 64 bits). */
auto bodyHash(std::string_view body) -> std::uint64_t
{
    std::uint64_t hash = 14695981039346656037ULL;
    for (const char letter : body) {
        hash = (hash ^ static_cast<unsigned char>(letter)) * 1099511628211ULL;
    }
    return hash;
}

/** @return The JSON body of an error response. */
auto rejectionBody(const Reject &action) -> std::string
{
    json body{{"outcome", outcomeName(action.rejection.outcome)},
              {"reason", reasonName(action.rejection.reason)}};
    const auto retryAfterMs =
        std::chrono::duration_cast<std::chrono::milliseconds>(action.rejection.retryAfter).count();
    if (retryAfterMs > 0) {
        body["retry_after_ms"] = retryAfterMs;
    }
    if (!action.requestId.empty()) {
        body["request_id"] = action.requestId;
    }
    return body.dump();
}

/** @return Milliseconds since boot. */
auto bootClockMs() -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(bootClockNow()).count();
}

/** @return Configuration of the HTTP listener. */
auto listenerConfig() -> web::http::experimental::listener::http_listener_config
{
    web::http::experimental::listener::http_listener_config config;
    config.set_timeout(IdleTimeout);
    return config;
}

} // namespace

CallerListener::CallerListener(const std::string &listen, std::string idPrefix, Limits limits,
                               Inbox &inbox)
    : idPrefix(std::move(idPrefix)), limits(limits), inbox(inbox),
      listener(web::uri("http://" + listen + "/"), listenerConfig())
{
    this->listener.support([this](const http_request &request) { this->handle(request); });
    this->listener.open().wait();
}

CallerListener::~CallerListener()
{
    this->listener.close().wait();
}

auto CallerListener::openCallCount() const -> std::size_t
{
    const std::scoped_lock lock(this->mutex);
    return this->calls.size();
}

auto CallerListener::find(CallId id) const -> OpenCallPtr
{
    const std::scoped_lock lock(this->mutex);
    const auto found = this->calls.find(id);
    return found == this->calls.end() ? nullptr : found->second;
}

auto CallerListener::remove(CallId id) -> void
{
    const std::scoped_lock lock(this->mutex);
    this->calls.erase(id);
}

auto CallerListener::handle(const http_request &request) -> void
{
    const auto path = request.relative_uri().path();
    if (path == "/healthz") {
        request.reply(web::http::status_codes::OK, "ok\n");
        return;
    }
    if (path == "/readyz") {
        request.reply(this->ready ? web::http::status_codes::OK
                                  : web::http::status_codes::ServiceUnavailable,
                      this->ready ? "ready\n" : "not ready\n");
        return;
    }
    auto call = std::make_shared<OpenCall>();
    call->id = this->nextCallId++;
    call->request = request;
    call->path = path;
    call->apiKey = apiKeyOf(request);
    call->ticket = header(request, "X-Banyan-Ticket");
    call->contentType = header(request, "Content-Type");
    call->deadlineHeader = header(request, "X-Banyan-Deadline-Ms");
    call->arrivedMs = bootClockMs();
    const auto forwardedId = header(request, "X-Banyan-Request-Id");
    const bool forwarded = !header(request, "X-Banyan-Forwarded").empty();
    call->requestId = forwarded && !forwardedId.empty() && forwardedId.size() < 64
                          ? forwardedId
                          : this->idPrefix + std::to_string(call->id);
    {
        const std::scoped_lock lock(this->mutex);
        if (this->calls.size() >= this->limits.maxOpenCalls) {
            Reject rejection{
                call->id, {Outcome::NotRun, Reason::Overload, std::chrono::seconds(1)}, {}};
            request.reply(web::http::status_codes::ServiceUnavailable, rejectionBody(rejection),
                          "application/json");
            return;
        }
        this->calls.emplace(call->id, call);
    }
    if (std::max({call->apiKey.size(), call->ticket.size(), path.size()}) > MaxHeaderBytes) {
        this->reject({call->id, {Outcome::NotRun, Reason::TooLarge, {}}, call->requestId});
        return;
    }
    this->readBody(call);
}

auto CallerListener::readBody(const OpenCallPtr &call) -> void
{
    const auto length = call->request.headers().content_length();
    const bool chunked = !header(call->request, "Transfer-Encoding").empty();
    if (length > this->limits.maxBodyBytes || chunked) {
        this->reject({call->id, {Outcome::NotRun, Reason::TooLarge, {}}, call->requestId});
        return;
    }
    call->request.extract_vector().then(
        [this, call](const pplx::task<std::vector<unsigned char>> &task) {
            try {
                const auto bytes = task.get();
                call->body.assign(bytes.begin(), bytes.end());
            } catch (const std::exception &) {
                this->remove(call->id); // The caller disconnected before the request was complete.
                return;
            }
            if (call->path.starts_with("/v1/")) {
                this->handleV1(call);
            } else {
                this->submitRequest(call);
            }
        });
}

auto CallerListener::submit(const OpenCallPtr &call, Event event) -> void
{
    if (!this->inbox.tryPush(Lane::Request, std::move(event))) {
        this->reject({call->id,
                      {Outcome::NotRun, Reason::Overload, std::chrono::seconds(1)},
                      call->requestId});
    }
}

auto CallerListener::handleV1(const OpenCallPtr &call) -> void
{
    const auto method = call->request.method();
    const auto digest = call->apiKey.empty() ? std::string{} : keyDigest(call->apiKey);
    constexpr std::string_view TicketPath = "/v1/tickets/";
    if (method == web::http::methods::GET && call->path == "/v1/address") {
        this->submit(call, AddressesRequested{call->id, digest});
        return;
    }
    if (method == web::http::methods::POST && call->path == "/v1/tickets") {
        const auto body = json::parse(call->body, nullptr, false);
        if (body.is_object() && body.contains("path") && body["path"].is_string()) {
            this->submit(call, TicketRequested{call->id, digest, body["path"].get<std::string>()});
            return;
        }
        this->respond(call->id, web::http::status_codes::BadRequest, "application/json",
                      R"({"outcome":"not_run","reason":"bad_request","wanted":{"path":"/..."}})",
                      {});
        return;
    }
    if (method == web::http::methods::DEL && call->path.starts_with(TicketPath)) {
        call->ticket = call->path.substr(TicketPath.size());
        this->submit(call, TicketCancelRequested{call->id, digest, call->ticket});
        return;
    }
    this->reject({call->id, {Outcome::NotRun, Reason::NoSuchRoute, {}}, call->requestId});
}

auto CallerListener::submitRequest(const OpenCallPtr &call) -> void
{
    RequestArrived event;
    event.call = call->id;
    event.requestId = call->requestId;
    event.keyDigest = call->apiKey.empty() ? std::string{} : keyDigest(call->apiKey);
    event.path = call->path;
    event.bodyDigest = bodyHash(call->body);
    event.estimatedTokens = estimateTokens(call->body);
    event.ticket = call->ticket;
    if (const auto deadline = parsePositive(call->deadlineHeader)) {
        event.deadline = std::chrono::milliseconds(std::min<std::int64_t>(*deadline, 3600 * 1000));
    }
    event.forwarded = !header(call->request, "X-Banyan-Forwarded").empty();
    this->submit(call, std::move(event));
}

auto CallerListener::respond(CallId id, int status, const std::string &contentType,
                             std::string body, const std::string &requestId) -> void
{
    const auto call = this->find(id);
    if (!call || call->finished.exchange(true)) {
        return;
    }
    this->remove(id);
    http_response response(static_cast<web::http::status_code>(status));
    response.set_body(std::move(body), contentType.empty() ? "application/json" : contentType);
    if (!requestId.empty()) {
        response.headers().add("X-Banyan-Request-Id", requestId);
    }
    call->request.reply(response).then([](const pplx::task<void> &task) {
        try {
            task.get();
        } catch (const std::exception &) {
            return; // The caller disconnected. The response to a ticket is stored for a retry.
        }
    });
}

auto CallerListener::reject(const Reject &action) -> void
{
    const auto call = this->find(action.call);
    if (!call) {
        return;
    }
    logEvent("refused", {{"request_id", action.requestId},
                         {"outcome", std::string(outcomeName(action.rejection.outcome))},
                         {"reason", std::string(reasonName(action.rejection.reason))}});
    if (call->streaming) {
        this->endStream(action.call, false);
        return;
    }
    if (call->finished.exchange(true)) {
        return;
    }
    this->remove(action.call);
    http_response response(
        static_cast<web::http::status_code>(httpStatus(action.rejection.reason)));
    response.set_body(rejectionBody(action), "application/json");
    const auto retryAfterMs =
        std::chrono::duration_cast<std::chrono::milliseconds>(action.rejection.retryAfter).count();
    if (retryAfterMs > 0) {
        response.headers().add("Retry-After", std::to_string((retryAfterMs + 999) / 1000));
    }
    if (!action.requestId.empty()) {
        response.headers().add("X-Banyan-Request-Id", action.requestId);
    }
    call->request.reply(response).then([](const pplx::task<void> &task) {
        try {
            task.get();
        } catch (const std::exception &) {
            return; // The caller disconnected.
        }
    });
}

auto CallerListener::startStream(CallId id, int status, const std::string &contentType) -> bool
{
    const auto call = this->find(id);
    if (!call || call->finished) {
        return false;
    }
    call->streaming = true;
    http_response response(static_cast<web::http::status_code>(status));
    response.set_body(call->responseStream.create_istream(), contentType);
    response.headers().add("X-Banyan-Request-Id", call->requestId);
    call->request.reply(response).then([this, call](const pplx::task<void> &task) {
        try {
            task.get();
        } catch (const std::exception &) {
            this->inbox.tryPush(Lane::Control, Event(CallerDisconnected{call->id}));
        }
        call->finished = true;
        this->remove(call->id);
    });
    return true;
}

auto CallerListener::writeStream(CallId id, std::string_view bytes) -> bool
{
    const auto call = this->find(id);
    if (!call || call->finished) {
        return false;
    }
    if (call->responseStream.in_avail() + bytes.size() > MaxUnreadBytes) {
        logEvent("slow_caller_cut", {{"request_id", call->requestId}});
        this->endStream(id, false);
        return false;
    }
    const auto *data = reinterpret_cast<const std::uint8_t *>(bytes.data());
    call->responseStream.putn_nocopy(data, bytes.size());
    call->responseStream.sync();
    return true;
}

auto CallerListener::endStream(CallId id, bool complete) -> void
{
    const auto call = this->find(id);
    if (call && !call->finished.exchange(true)) {
        this->closeStream(call, complete);
    }
}

auto CallerListener::closeStream(const OpenCallPtr &call, bool complete) -> void
{
    if (complete) {
        call->responseStream.close(std::ios_base::out);
        return;
    }
    call->responseStream.close(std::ios_base::out, std::make_exception_ptr(std::runtime_error(
                                                       "the response was aborted")));
}

} // namespace banyanring
