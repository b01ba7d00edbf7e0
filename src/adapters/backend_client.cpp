/** @file backend_client.cpp HTTP client for backend servers and, for forwarded requests, peers. */
#include "banyanring/adapters/backend_client.h"

#include "banyanring/adapters/log_func.h"
#include "banyanring/ports/clock_func.h"

namespace banyanring {

namespace {

using web::http::http_request;
using web::http::http_response;
using web::http::client::http_client;

/** Interval of checks for stalled engines. */
constexpr std::chrono::milliseconds StallCheckInterval{100};
constexpr std::size_t ChunkBytes = 16384; ///< Maximum size of one read.
constexpr std::size_t MaxBodyBytes = 32U << 20U; ///< A dispatch with a longer buffered body fails.
constexpr std::chrono::seconds ForwardTimeout{300}; ///< Maximum time for the response of a peer.

/** @return A client for the server at @p address ("host:port"). */
auto makeClient(const std::string &address, std::chrono::seconds timeout) -> http_client
{
    web::http::client::http_client_config config;
    config.set_timeout(timeout);
    config.set_chunksize(ChunkBytes);
    return {"http://" + address, config};
}

/**
 * Recognises the connect and resolve errors of the HTTP library by their texts.
 * @return Whether an error occurred before any byte of the request was written.
 */
auto failedBeforeWrite(const std::exception_ptr &error) -> bool
{
    try {
        std::rethrow_exception(error);
    } catch (const web::http::http_exception &exception) {
        const std::string_view what = exception.what();
        return what.starts_with("Failed to connect") || what.starts_with("Failed to resolve")
               || what.find("Error resolving") != std::string_view::npos;
    } catch (const std::exception &) {
        return false;
    }
}

/** @return The message of an error. */
auto errorMessage(const std::exception_ptr &error) -> std::string
{
    try {
        std::rethrow_exception(error);
    } catch (const std::exception &exception) {
        return exception.what();
    }
}

} // namespace

BackendClient::BackendClient(CallerListener &callers, Inbox &inbox, Duration stallTimeout)
    : callers(callers), inbox(inbox), stallTimeout(stallTimeout)
{
    this->stallCheckThread = std::thread([this] { this->cancelStalled(); });
}

BackendClient::~BackendClient()
{
    this->stopping = true;
    this->stallCheckThread.join();
}

auto BackendClient::cancelStalled() -> void
{
    while (!this->stopping) {
        std::this_thread::sleep_for(StallCheckInterval);
        std::vector<InFlightPtr> stalled;
        {
            const std::scoped_lock lock(this->mutex);
            const auto cutoff = (bootClockNow() - this->stallTimeout).count();
            for (const auto &[id, inFlight] : this->dispatches) {
                if (inFlight->action.kind == BackendKind::Engine
                    && inFlight->lastProgress < cutoff) {
                    stalled.push_back(inFlight);
                }
            }
        }
        for (const auto &inFlight : stalled) {
            logEvent("silent_engine", {{"request_id", inFlight->action.requestId},
                                       {"address", inFlight->action.address}});
            inFlight->cancelSource.cancel();
        }
    }
}

auto BackendClient::remove(DispatchId id) -> void
{
    const std::scoped_lock lock(this->mutex);
    this->dispatches.erase(id);
}

auto BackendClient::cancel(DispatchId id) -> void
{
    InFlightPtr inFlight;
    {
        const std::scoped_lock lock(this->mutex);
        const auto found = this->dispatches.find(id);
        if (found == this->dispatches.end()) {
            return;
        }
        inFlight = found->second;
    }
    inFlight->cancelSource.cancel();
}

auto BackendClient::dispatch(const Dispatch &action) -> void
{
    const auto call = this->callers.find(action.call);
    if (!call) {
        this->inbox.tryPush(Lane::Control, Event(BackendFailed{action.dispatch, false, false}));
        return;
    }
    auto inFlight = std::make_shared<InFlightDispatch>();
    inFlight->action = action;
    inFlight->lastProgress = bootClockNow().count();
    inFlight->buffer.resize(ChunkBytes);
    {
        const std::scoped_lock lock(this->mutex);
        this->dispatches.emplace(action.dispatch, inFlight);
    }
    // The library silently resends a request if the server closes a reused connection meanwhile,
    // and a dispatch must not run twice. So each dispatch uses a new connection.
    http_request request(web::http::methods::POST);
    request.set_request_uri(call->path);
    request.headers().add("Connection", "close");
    request.headers().add("X-Banyan-Request-Id", action.requestId);
    request.headers().add("X-Banyan-Organisation", action.organisation);
    const auto maxRunSeconds =
        std::chrono::duration_cast<std::chrono::seconds>(action.maxRunTime).count();
    request.headers().add("X-Banyan-Deadline-S", std::to_string(maxRunSeconds));
    request.set_body(call->body,
                     call->contentType.empty() ? "application/octet-stream" : call->contentType);
    if (bootClockNow() >= action.validUntil) {
        this->remove(action.dispatch);
        this->inbox.tryPush(Lane::Control, Event(BackendFailed{action.dispatch, false, false}));
        return;
    }
    makeClient(action.address, std::chrono::seconds(maxRunSeconds + 1))
        .request(request, inFlight->cancelSource.get_token())
        .then([this, inFlight](const pplx::task<http_response> &task) {
            try {
                this->onResponse(inFlight, task.get());
            } catch (...) {
                this->fail(inFlight, std::current_exception());
            }
        });
}

auto BackendClient::onResponse(const InFlightPtr &inFlight, const http_response &response) -> void
{
    this->inbox.tryPush(Lane::Control, Event(BackendFirstByte{inFlight->action.dispatch}));
    inFlight->status = response.status_code();
    inFlight->contentType = response.headers().content_type();
    if (inFlight->action.kind == BackendKind::Engine) {
        inFlight->streamingToCaller = this->callers.startStream(
            inFlight->action.call, inFlight->status, inFlight->contentType);
    }
    this->readChunk(inFlight, response);
}

auto BackendClient::readChunk(const InFlightPtr &inFlight, const http_response &response) -> void
{
    auto body = response.body().streambuf();
    // Reading one byte waits for data; the rest that has arrived can then be read without waiting.
    body.getn(inFlight->buffer.data(), 1)
        .then([this, inFlight, response, body](std::size_t count) mutable {
            if (count == 0) {
                // Throws if the body is shorter than its framing announced.
                return response.content_ready().then(
                    [this, inFlight](const http_response &) { this->finish(inFlight); });
            }
            const auto more = std::min(body.in_avail(), ChunkBytes - 1);
            return body.getn(inFlight->buffer.data() + 1, more)
                .then([this, inFlight, response](std::size_t rest) {
                    this->onChunk(inFlight, rest + 1);
                    this->readChunk(inFlight, response);
                });
        })
        .then([this, inFlight](const pplx::task<void> &task) {
            try {
                task.get();
            } catch (...) {
                this->fail(inFlight, std::current_exception());
            }
        });
}

auto BackendClient::onChunk(const InFlightPtr &inFlight, std::size_t count) -> void
{
    const std::string_view bytes(reinterpret_cast<const char *>(inFlight->buffer.data()), count);
    ++inFlight->chunks;
    inFlight->lastProgress = bootClockNow().count();
    const bool keep = inFlight->action.kind == BackendKind::Plain || inFlight->action.keepBody;
    if (keep && inFlight->bufferedBody.size() + count > MaxBodyBytes) {
        throw std::runtime_error("response body is longer than 32 MiB");
    }
    if (keep) {
        inFlight->bufferedBody.append(bytes);
    }
    if (inFlight->streamingToCaller) {
        inFlight->streamingToCaller = this->callers.writeStream(inFlight->action.call, bytes);
        if (!inFlight->streamingToCaller && !inFlight->action.keepBody) {
            throw std::runtime_error("the response stream to the caller is closed");
        }
    }
}

auto BackendClient::finish(const InFlightPtr &inFlight) -> void
{
    const auto &action = inFlight->action;
    this->remove(action.dispatch);
    if (action.kind == BackendKind::Plain) {
        const auto call = this->callers.find(action.call);
        this->callers.respond(action.call, inFlight->status, inFlight->contentType,
                              inFlight->bufferedBody, call ? call->requestId : std::string{});
    } else {
        this->callers.endStream(action.call, true);
    }
    auto body = action.keepBody
                    ? std::make_shared<const std::string>(std::move(inFlight->bufferedBody))
                    : nullptr;
    logEvent("answered", {{"request_id", action.requestId},
                          {"address", action.address},
                          {"status", std::to_string(inFlight->status)}});
    this->inbox.tryPush(Lane::Control,
                        Event(BackendCompleted{action.dispatch, inFlight->status, body,
                                               inFlight->chunks, inFlight->contentType}));
}

auto BackendClient::fail(const InFlightPtr &inFlight, const std::exception_ptr &error) -> void
{
    const auto &action = inFlight->action;
    this->remove(action.dispatch);
    const bool cancelled = inFlight->cancelSource.get_token().is_canceled();
    const bool written = inFlight->status != 0 || !failedBeforeWrite(error);
    logEvent("dispatch_failed", {{"request_id", action.requestId},
                                 {"address", action.address},
                                 {"written", written ? "yes" : "no"},
                                 {"error", errorMessage(error)}});
    const bool callerStreamClosed = inFlight->action.kind == BackendKind::Engine
                                    && inFlight->status != 0 && !inFlight->streamingToCaller;
    if (callerStreamClosed) {
        inFlight->cancelSource.cancel();
    }
    const bool connectionLost = !cancelled && !callerStreamClosed;
    this->inbox.tryPush(Lane::Control,
                        Event(BackendFailed{action.dispatch, written, connectionLost}));
}

auto BackendClient::forward(const Forward &action) -> void
{
    const auto call = this->callers.find(action.call);
    if (!call) {
        return;
    }
    http_request request(call->request.method());
    request.set_request_uri(call->request.relative_uri());
    request.headers().add("Connection", "close");
    request.headers().add("X-Banyan-Forwarded", "1");
    request.headers().add("X-Banyan-Request-Id", call->requestId);
    request.headers().add("X-Banyan-Key", call->apiKey);
    request.headers().add("X-Banyan-Ticket", call->ticket);
    request.headers().add("X-Banyan-Deadline-Ms", call->deadlineHeader);
    if (!call->body.empty()) {
        request.set_body(call->body, call->contentType);
    }
    makeClient(action.address, ForwardTimeout)
        .request(request)
        .then([](const http_response &response) {
            return response.extract_vector().then(
                [response](const std::vector<unsigned char> &body) {
                    return std::pair{response, std::string(body.begin(), body.end())};
                });
        })
        .then([this, call](const pplx::task<std::pair<http_response, std::string>> &task) {
            try {
                const auto [response, body] = task.get();
                this->callers.respond(call->id, response.status_code(),
                                      response.headers().content_type(), body, call->requestId);
            } catch (const std::exception &error) {
                logEvent("forward_failed",
                         {{"request_id", call->requestId}, {"error", error.what()}});
                this->callers.reject(
                    {call->id, {Outcome::Unknown, Reason::TicketOwnerGone, {}}, call->requestId});
            }
        });
}

} // namespace banyanring
