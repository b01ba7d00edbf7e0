/** @file backend_client.cpp HTTP client for backend servers and, for forwarded requests, peers. */
#include "banyanring/adapters/backend_client.h"

#include "banyanring/adapters/log_func.h"
#include "banyanring/ports/clock_func.h"

#include <algorithm>

namespace banyanring {

namespace {

namespace http = boost::beast::http;

/** Interval of checks for stalled engines. */
constexpr std::chrono::milliseconds StallCheckInterval{100};
constexpr std::size_t MaxBodyBytes = 32U << 20U; ///< A dispatch with a longer buffered body fails.
/** Bytes in the buffered bodies of all dispatches; the longest fails if there are more. */
constexpr std::size_t MaxTotalBodyBytes = 48U << 20U;
constexpr std::chrono::seconds ForwardTimeout{300}; ///< Maximum time for the response of a peer.

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
            this->cancelExchange(inFlight);
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
    this->cancelExchange(inFlight);
}

auto BackendClient::cancelExchange(const InFlightPtr &inFlight) -> void
{
    inFlight->cancelled = true;
    const std::scoped_lock lock(this->mutex);
    if (inFlight->exchange) {
        this->httpClient.cancel(inFlight->exchange);
    }
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
    {
        const std::scoped_lock lock(this->mutex);
        this->dispatches.emplace(action.dispatch, inFlight);
    }
    const auto maxRunSeconds =
        std::chrono::duration_cast<std::chrono::seconds>(action.maxRunTime).count();
    HttpClient::Request request;
    request.method(http::verb::post);
    request.target(call->path);
    request.set("X-Banyan-Request-Id", action.requestId);
    request.set("X-Banyan-Organisation", action.organisation);
    request.set("X-Banyan-Deadline-S", std::to_string(maxRunSeconds));
    request.set(http::field::content_type,
                call->contentType.empty() ? "application/octet-stream" : call->contentType);
    request.body() = call->body;
    if (bootClockNow() >= action.validUntil) {
        this->remove(action.dispatch);
        this->inbox.tryPush(Lane::Control, Event(BackendFailed{action.dispatch, false, false}));
        return;
    }
    const std::scoped_lock lock(this->mutex);
    inFlight->exchange = this->httpClient.send(
        action.address, std::move(request), std::chrono::seconds(maxRunSeconds + 1),
        {[this, inFlight](const gateway::ResponseHeader &header) {
             this->onHeader(inFlight, header);
         },
         [this, inFlight](std::string_view bytes) { this->onBody(inFlight, bytes); },
         [this, inFlight] { this->finish(inFlight); },
         [this, inFlight](bool connected, const std::string &error) {
             this->fail(inFlight, connected, error);
         }});
    if (inFlight->cancelled) {
        this->httpClient.cancel(inFlight->exchange);
    }
}

auto BackendClient::onHeader(const InFlightPtr &inFlight, const gateway::ResponseHeader &header)
    -> void
{
    this->inbox.tryPush(Lane::Control, Event(BackendFirstByte{inFlight->action.dispatch}));
    inFlight->status = static_cast<int>(header.result_int());
    inFlight->contentType = contentTypeOf(header);
    if (inFlight->action.kind == BackendKind::Engine) {
        inFlight->streamingToCaller = this->callers.startStream(
            inFlight->action.call, inFlight->status, inFlight->contentType);
    }
}

auto BackendClient::onBody(const InFlightPtr &inFlight, std::string_view bytes) -> void
{
    ++inFlight->chunks;
    inFlight->lastProgress = bootClockNow().count();
    const bool keep = inFlight->action.kind == BackendKind::Plain || inFlight->action.keepBody;
    if (keep && inFlight->bufferedBody.size() + bytes.size() > MaxBodyBytes) {
        inFlight->cancelled = true; // The server has not crashed.
        throw std::runtime_error("response body is longer than 32 MiB");
    }
    if (keep) {
        inFlight->bufferedBody.append(bytes);
        this->bufferedBytes += bytes.size();
        if (this->bufferedBytes > MaxTotalBodyBytes) {
            this->cancelLongest();
        }
    }
    if (inFlight->streamingToCaller) {
        inFlight->streamingToCaller = this->callers.writeStream(inFlight->action.call, bytes);
        if (!inFlight->streamingToCaller && !inFlight->action.keepBody) {
            throw std::runtime_error("the response stream to the caller is closed");
        }
    }
}

auto BackendClient::cancelLongest() -> void
{
    InFlightPtr longest;
    {
        const std::scoped_lock lock(this->mutex);
        const auto found = std::max_element(this->dispatches.begin(), this->dispatches.end(),
                                            [](const auto &first, const auto &second) {
                                                return first.second->bufferedBody.size()
                                                       < second.second->bufferedBody.size();
                                            });
        longest = found->second;
    }
    if (!longest->cancelled) {
        logEvent("body_too_long",
                 {{"request_id", longest->action.requestId}, {"address", longest->action.address}});
        this->cancelExchange(longest);
    }
}

auto BackendClient::finish(const InFlightPtr &inFlight) -> void
{
    const auto &action = inFlight->action;
    this->remove(action.dispatch);
    this->bufferedBytes -= inFlight->bufferedBody.size();
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

auto BackendClient::fail(const InFlightPtr &inFlight, bool written, const std::string &error)
    -> void
{
    const auto &action = inFlight->action;
    this->remove(action.dispatch);
    this->bufferedBytes -= inFlight->bufferedBody.size();
    logEvent("dispatch_failed", {{"request_id", action.requestId},
                                 {"address", action.address},
                                 {"written", written ? "yes" : "no"},
                                 {"error", error}});
    const bool callerStreamClosed = inFlight->action.kind == BackendKind::Engine
                                    && inFlight->status != 0 && !inFlight->streamingToCaller;
    const bool connectionLost = !inFlight->cancelled && !callerStreamClosed;
    this->inbox.tryPush(Lane::Control,
                        Event(BackendFailed{action.dispatch, written, connectionLost}));
}

auto BackendClient::forward(const Forward &action) -> void
{
    const auto call = this->callers.find(action.call);
    if (!call) {
        return;
    }
    HttpClient::Request request;
    request.method_string(call->request.method());
    request.target(call->request.relative_uri().to_string());
    request.set("X-Banyan-Forwarded", "1");
    request.set("X-Banyan-Request-Id", call->requestId);
    request.set("X-Banyan-Key", call->apiKey);
    request.set("X-Banyan-Ticket", call->ticket);
    request.set("X-Banyan-Deadline-Ms", call->deadlineHeader);
    if (!call->body.empty()) {
        request.set(http::field::content_type, call->contentType);
        request.body() = call->body;
    }
    const auto reply = std::make_shared<HttpReply>();
    this->httpClient.send(
        action.address, std::move(request), ForwardTimeout,
        {[reply](const gateway::ResponseHeader &header) { reply->header = header; },
         [reply, collect = collectBody(reply->body, MaxBodyBytes)](std::string_view bytes) {
             collect(bytes);
         },
         [this, call, reply] {
             this->callers.respond(call->id, static_cast<int>(reply->header.result_int()),
                                   contentTypeOf(reply->header), std::move(reply->body),
                                   call->requestId);
         },
         [this, call](bool, const std::string &error) {
             logEvent("forward_failed", {{"request_id", call->requestId}, {"error", error}});
             this->callers.reject(
                 {call->id, {Outcome::Unknown, Reason::TicketOwnerGone, {}}, call->requestId});
         }});
}

} // namespace banyanring
