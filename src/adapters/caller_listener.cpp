/** @file caller_listener.cpp The HTTP listener for callers, and their open calls. */
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

constexpr std::size_t MaxHeaderValue = 4096; ///< Longer key, ticket or path is refused.
constexpr std::size_t MaxUnread = 1U << 20U; ///< A caller that leaves more unread is cut.
constexpr std::size_t BytesPerToken = 4; ///< Estimate of a prompt's tokens.
constexpr std::chrono::seconds IdleTimeout{30}; ///< A half request is dropped after it.
constexpr std::string_view BearerPrefix = "Bearer ";

/** @return The header @p name, or nothing. */
auto header(const http_request &request, const std::string &name) -> std::string
{
    const auto found = request.headers().find(name);
    return found == request.headers().end() ? std::string{} : found->second;
}

/** @return The key that came with a request. */
auto keyOf(const http_request &request) -> std::string
{
    const auto text = header(request, "Authorization");
    return text.starts_with(BearerPrefix) ? text.substr(BearerPrefix.size())
                                          : header(request, "X-Banyan-Key");
}

/** @return The number in @p text, if it is one. */
auto numberIn(std::string_view text) -> std::optional<std::int64_t>
{
    std::int64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool whole = result.ec == std::errc{} && result.ptr == text.data() + text.size();
    return whole && value > 0 ? std::optional(value) : std::nullopt;
}

/** @return Estimated tokens of a request: its prompt and the answer that it allows. */
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

/** @return A hash of the body (FNV-1a). */
auto digestOf(std::string_view body) -> std::uint64_t
{
    std::uint64_t hash = 14695981039346656037ULL;
    for (const char letter : body) {
        hash = (hash ^ static_cast<unsigned char>(letter)) * 1099511628211ULL;
    }
    return hash;
}

/** @return The JSON body of a refusal. */
auto refusalBody(const Reject &action) -> std::string
{
    json body{{"outcome", outcomeName(action.rejection.outcome)},
              {"reason", reasonName(action.rejection.reason)}};
    const auto wait =
        std::chrono::duration_cast<std::chrono::milliseconds>(action.rejection.retryAfter).count();
    if (wait > 0) {
        body["retry_after_ms"] = wait;
    }
    if (!action.requestId.empty()) {
        body["request_id"] = action.requestId;
    }
    return body.dump();
}

/** @return Milliseconds of the boot clock. */
auto bootMs() -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(bootNow()).count();
}

/** @return The listener's configuration. */
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

auto CallerListener::openCalls() const -> std::size_t
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

auto CallerListener::forget(CallId id) -> void
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
    call->id = this->nextCall++;
    call->request = request;
    call->path = path;
    call->key = keyOf(request);
    call->ticket = header(request, "X-Banyan-Ticket");
    call->contentType = header(request, "Content-Type");
    call->deadlineMs = header(request, "X-Banyan-Deadline-Ms");
    call->arrivedMs = bootMs();
    const auto givenId = header(request, "X-Banyan-Request-Id");
    const bool forwarded = !header(request, "X-Banyan-Forwarded").empty();
    call->requestId = forwarded && !givenId.empty() && givenId.size() < 64
                          ? givenId
                          : this->idPrefix + std::to_string(call->id);
    {
        const std::scoped_lock lock(this->mutex);
        if (this->calls.size() >= this->limits.calls) {
            Reject refusal{
                call->id, {Outcome::NotRun, Reason::Overload, std::chrono::seconds(1)}, {}};
            request.reply(web::http::status_codes::ServiceUnavailable, refusalBody(refusal),
                          "application/json");
            return;
        }
        this->calls.emplace(call->id, call);
    }
    if (std::max({call->key.size(), call->ticket.size(), path.size()}) > MaxHeaderValue) {
        this->refuse({call->id, {Outcome::NotRun, Reason::TooLarge, {}}, call->requestId});
        return;
    }
    this->readBody(call);
}

auto CallerListener::readBody(const OpenCallPtr &call) -> void
{
    const auto length = call->request.headers().content_length();
    const bool chunked = !header(call->request, "Transfer-Encoding").empty();
    if (length > this->limits.bodyBytes || chunked) {
        this->refuse({call->id, {Outcome::NotRun, Reason::TooLarge, {}}, call->requestId});
        return;
    }
    call->request.extract_vector().then(
        [this, call](const pplx::task<std::vector<unsigned char>> &task) {
            try {
                const auto bytes = task.get();
                call->body.assign(bytes.begin(), bytes.end());
            } catch (const std::exception &) {
                this->forget(call->id); // The caller broke off within its request.
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
    if (!this->inbox.push(Lane::Request, std::move(event))) {
        this->refuse({call->id,
                      {Outcome::NotRun, Reason::Overload, std::chrono::seconds(1)},
                      call->requestId});
    }
}

auto CallerListener::handleV1(const OpenCallPtr &call) -> void
{
    const auto method = call->request.method();
    const auto digest = call->key.empty() ? std::string{} : keyDigest(call->key);
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
        this->answer(call->id, web::http::status_codes::BadRequest, "application/json",
                     R"({"outcome":"not_run","reason":"bad_request","wanted":{"path":"/..."}})",
                     {});
        return;
    }
    if (method == web::http::methods::DEL && call->path.starts_with(TicketPath)) {
        call->ticket = call->path.substr(TicketPath.size());
        this->submit(call, TicketCancelRequested{call->id, digest, call->ticket});
        return;
    }
    this->refuse({call->id, {Outcome::NotRun, Reason::NoSuchRoute, {}}, call->requestId});
}

auto CallerListener::submitRequest(const OpenCallPtr &call) -> void
{
    RequestArrived event;
    event.call = call->id;
    event.requestId = call->requestId;
    event.keyDigest = call->key.empty() ? std::string{} : keyDigest(call->key);
    event.path = call->path;
    event.bodyDigest = digestOf(call->body);
    event.estimatedTokens = estimateTokens(call->body);
    event.ticket = call->ticket;
    if (const auto deadline = numberIn(call->deadlineMs)) {
        event.deadline = std::chrono::milliseconds(std::min<std::int64_t>(*deadline, 3600 * 1000));
    }
    event.forwarded = !header(call->request, "X-Banyan-Forwarded").empty();
    this->submit(call, std::move(event));
}

auto CallerListener::answer(CallId id, int status, const std::string &contentType, std::string body,
                            const std::string &requestId) -> void
{
    const auto call = this->find(id);
    if (!call || call->done.exchange(true)) {
        return;
    }
    this->forget(id);
    http_response response(static_cast<web::http::status_code>(status));
    response.set_body(std::move(body), contentType.empty() ? "application/json" : contentType);
    if (!requestId.empty()) {
        response.headers().add("X-Banyan-Request-Id", requestId);
    }
    call->request.reply(response).then([](const pplx::task<void> &task) {
        try {
            task.get();
        } catch (const std::exception &) {
            return; // The caller has gone; its answer is kept if it had a ticket.
        }
    });
}

auto CallerListener::refuse(const Reject &action) -> void
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
    if (call->done.exchange(true)) {
        return;
    }
    this->forget(action.call);
    http_response response(
        static_cast<web::http::status_code>(httpStatus(action.rejection.reason)));
    response.set_body(refusalBody(action), "application/json");
    const auto wait =
        std::chrono::duration_cast<std::chrono::milliseconds>(action.rejection.retryAfter).count();
    if (wait > 0) {
        response.headers().add("Retry-After", std::to_string((wait + 999) / 1000));
    }
    if (!action.requestId.empty()) {
        response.headers().add("X-Banyan-Request-Id", action.requestId);
    }
    call->request.reply(response).then([](const pplx::task<void> &task) {
        try {
            task.get();
        } catch (const std::exception &) {
            return; // The caller has gone.
        }
    });
}

auto CallerListener::startStream(CallId id, int status, const std::string &contentType) -> bool
{
    const auto call = this->find(id);
    if (!call || call->done) {
        return false;
    }
    call->streaming = true;
    http_response response(static_cast<web::http::status_code>(status));
    response.set_body(call->stream.create_istream(), contentType);
    response.headers().add("X-Banyan-Request-Id", call->requestId);
    call->request.reply(response).then([this, call](const pplx::task<void> &task) {
        try {
            task.get();
        } catch (const std::exception &) {
            this->inbox.push(Lane::Control, Event(CallerDisconnected{call->id}));
        }
        call->done = true;
        this->forget(call->id);
    });
    return true;
}

auto CallerListener::writeStream(CallId id, std::string_view bytes) -> bool
{
    const auto call = this->find(id);
    if (!call || call->done) {
        return false;
    }
    if (call->stream.in_avail() + bytes.size() > MaxUnread) {
        logEvent("slow_caller_cut", {{"request_id", call->requestId}});
        this->endStream(id, false);
        return false;
    }
    const auto *data = reinterpret_cast<const std::uint8_t *>(bytes.data());
    call->stream.putn_nocopy(data, bytes.size());
    call->stream.sync();
    return true;
}

auto CallerListener::endStream(CallId id, bool whole) -> void
{
    const auto call = this->find(id);
    if (call && !call->done.exchange(true)) {
        this->cut(call, whole);
    }
}

auto CallerListener::cut(const OpenCallPtr &call, bool whole) -> void
{
    if (whole) {
        call->stream.close(std::ios_base::out);
        return;
    }
    call->stream.close(std::ios_base::out,
                       std::make_exception_ptr(std::runtime_error("the answer broke off")));
}

} // namespace banyanring
