/** @file backend_caller.cpp The HTTP client towards backend servers and, for forwards, peers. */
#include "banyanring/adapters/backend_caller.h"

#include "banyanring/adapters/log_func.h"
#include "banyanring/ports/clock_func.h"

namespace banyanring {

namespace {

using web::http::http_request;
using web::http::http_response;
using web::http::client::http_client;

constexpr std::chrono::milliseconds WatchStep{100}; ///< Between looks for silent engines.
constexpr std::size_t ChunkBytes = 16384; ///< Most bytes of one read.
constexpr std::size_t MaxAnswerBytes = 32U << 20U; ///< A longer answer is broken off.
constexpr std::chrono::seconds ForwardTimeout{300}; ///< For a peer's answer.

/** @return A client for "host:port". */
auto clientFor(const std::string &address, std::chrono::seconds timeout) -> http_client
{
    web::http::client::http_client_config config;
    config.set_timeout(timeout);
    config.set_chunksize(ChunkBytes);
    return {"http://" + address, config};
}

/** @return Whether an error came before any byte was written. */
auto beforeWrite(const std::exception_ptr &error) -> bool
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

/** @return What an error says. */
auto textOf(const std::exception_ptr &error) -> std::string
{
    try {
        std::rethrow_exception(error);
    } catch (const std::exception &exception) {
        return exception.what();
    }
}

} // namespace

BackendCaller::BackendCaller(CallerListener &callers, Inbox &inbox, Duration progressLimit)
    : callers(callers), inbox(inbox), progressLimit(progressLimit)
{
    this->watcher = std::thread([this] { this->watchProgress(); });
}

BackendCaller::~BackendCaller()
{
    this->stopping = true;
    this->watcher.join();
}

auto BackendCaller::watchProgress() -> void
{
    while (!this->stopping) {
        std::this_thread::sleep_for(WatchStep);
        std::vector<FlightPtr> silent;
        {
            const std::scoped_lock lock(this->mutex);
            const auto oldest = (bootNow() - this->progressLimit).count();
            for (const auto &[id, flight] : this->flights) {
                if (flight->action.kind == BackendKind::Engine && flight->progressAt < oldest) {
                    silent.push_back(flight);
                }
            }
        }
        for (const auto &flight : silent) {
            logEvent("silent_engine", {{"request_id", flight->action.requestId},
                                       {"address", flight->action.address}});
            flight->cancelSource.cancel();
        }
    }
}

auto BackendCaller::forget(DispatchId id) -> void
{
    const std::scoped_lock lock(this->mutex);
    this->flights.erase(id);
}

auto BackendCaller::cancel(DispatchId id) -> void
{
    FlightPtr flight;
    {
        const std::scoped_lock lock(this->mutex);
        const auto found = this->flights.find(id);
        if (found == this->flights.end()) {
            return;
        }
        flight = found->second;
    }
    flight->cancelSource.cancel();
}

auto BackendCaller::dispatch(const Dispatch &action) -> void
{
    const auto call = this->callers.find(action.call);
    if (!call) {
        this->inbox.push(Lane::Control, Event(BackendFailed{action.dispatch, false, false}));
        return;
    }
    auto flight = std::make_shared<Flight>();
    flight->action = action;
    flight->progressAt = bootNow().count();
    flight->buffer.resize(ChunkBytes);
    {
        const std::scoped_lock lock(this->mutex);
        this->flights.emplace(action.dispatch, flight);
    }
    // A reused connection may be closed by the server just then, and the library would silently
    // send the request again; so each dispatch has a connection of its own.
    http_request request(web::http::methods::POST);
    request.set_request_uri(call->path);
    request.headers().add("Connection", "close");
    request.headers().add("X-Banyan-Request-Id", action.requestId);
    request.headers().add("X-Banyan-Organisation", action.organisation);
    const auto longest =
        std::chrono::duration_cast<std::chrono::seconds>(action.maxRunTime).count();
    request.headers().add("X-Banyan-Deadline-S", std::to_string(longest));
    request.set_body(call->body,
                     call->contentType.empty() ? "application/octet-stream" : call->contentType);
    if (bootNow() >= action.validUntil) {
        this->forget(action.dispatch);
        this->inbox.push(Lane::Control, Event(BackendFailed{action.dispatch, false, false}));
        return;
    }
    clientFor(action.address, std::chrono::seconds(longest + 1))
        .request(request, flight->cancelSource.get_token())
        .then([this, flight](const pplx::task<http_response> &task) {
            try {
                this->answered(flight, task.get());
            } catch (...) {
                this->fail(flight, std::current_exception());
            }
        });
}

auto BackendCaller::answered(const FlightPtr &flight, const http_response &response) -> void
{
    this->inbox.push(Lane::Control, Event(BackendFirstByte{flight->action.dispatch}));
    flight->status = response.status_code();
    flight->contentType = response.headers().content_type();
    if (flight->action.kind == BackendKind::Engine) {
        flight->toCaller =
            this->callers.startStream(flight->action.call, flight->status, flight->contentType);
    }
    this->readMore(flight, response);
}

auto BackendCaller::readMore(const FlightPtr &flight, const http_response &response) -> void
{
    auto body = response.body().streambuf();
    // One byte waits for data; whatever came with it is there at once.
    body.getn(flight->buffer.data(), 1)
        .then([this, flight, response, body](std::size_t count) mutable {
            if (count == 0) {
                // Throws if the answer is shorter than its framing says.
                return response.content_ready().then(
                    [this, flight](const http_response &) { this->finish(flight); });
            }
            const auto more = std::min(body.in_avail(), ChunkBytes - 1);
            return body.getn(flight->buffer.data() + 1, more)
                .then([this, flight, response](std::size_t rest) {
                    this->take(flight, rest + 1);
                    this->readMore(flight, response);
                });
        })
        .then([this, flight](const pplx::task<void> &task) {
            try {
                task.get();
            } catch (...) {
                this->fail(flight, std::current_exception());
            }
        });
}

auto BackendCaller::take(const FlightPtr &flight, std::size_t count) -> void
{
    const std::string_view bytes(reinterpret_cast<const char *>(flight->buffer.data()), count);
    ++flight->chunks;
    flight->progressAt = bootNow().count();
    const bool keep = flight->action.kind == BackendKind::Plain || flight->action.keepBody;
    if (keep && flight->kept.size() + count > MaxAnswerBytes) {
        throw std::runtime_error("answer too long");
    }
    if (keep) {
        flight->kept.append(bytes);
    }
    if (flight->toCaller) {
        flight->toCaller = this->callers.writeStream(flight->action.call, bytes);
        if (!flight->toCaller && !flight->action.keepBody) {
            throw std::runtime_error("the caller has gone");
        }
    }
}

auto BackendCaller::finish(const FlightPtr &flight) -> void
{
    const auto &action = flight->action;
    this->forget(action.dispatch);
    if (action.kind == BackendKind::Plain) {
        const auto call = this->callers.find(action.call);
        this->callers.answer(action.call, flight->status, flight->contentType, flight->kept,
                             call ? call->requestId : std::string{});
    } else {
        this->callers.endStream(action.call, true);
    }
    auto body =
        action.keepBody ? std::make_shared<const std::string>(std::move(flight->kept)) : nullptr;
    logEvent("answered", {{"request_id", action.requestId},
                          {"address", action.address},
                          {"status", std::to_string(flight->status)}});
    this->inbox.push(Lane::Control, Event(BackendCompleted{action.dispatch, flight->status, body,
                                                           flight->chunks, flight->contentType}));
}

auto BackendCaller::fail(const FlightPtr &flight, const std::exception_ptr &error) -> void
{
    const auto &action = flight->action;
    this->forget(action.dispatch);
    const bool cancelled = flight->cancelSource.get_token().is_canceled();
    const bool written = flight->status != 0 || !beforeWrite(error);
    logEvent("dispatch_failed", {{"request_id", action.requestId},
                                 {"address", action.address},
                                 {"written", written ? "yes" : "no"},
                                 {"error", textOf(error)}});
    const bool callerGone =
        flight->action.kind == BackendKind::Engine && flight->status != 0 && !flight->toCaller;
    if (callerGone) {
        flight->cancelSource.cancel();
    }
    const bool died = !cancelled && !callerGone;
    this->inbox.push(Lane::Control, Event(BackendFailed{action.dispatch, written, died}));
}

auto BackendCaller::forward(const Forward &action) -> void
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
    request.headers().add("X-Banyan-Key", call->key);
    request.headers().add("X-Banyan-Ticket", call->ticket);
    request.headers().add("X-Banyan-Deadline-Ms", call->deadlineMs);
    if (!call->body.empty()) {
        request.set_body(call->body, call->contentType);
    }
    clientFor(action.address, ForwardTimeout)
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
                this->callers.answer(call->id, response.status_code(),
                                     response.headers().content_type(), body, call->requestId);
            } catch (const std::exception &error) {
                logEvent("forward_failed",
                         {{"request_id", call->requestId}, {"error", error.what()}});
                this->callers.refuse(
                    {call->id, {Outcome::Unknown, Reason::TicketOwnerGone, {}}, call->requestId});
            }
        });
}

} // namespace banyanring
