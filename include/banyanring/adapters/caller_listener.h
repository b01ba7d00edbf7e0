/** @file caller_listener.h HTTP listener for callers, and the table of their open calls. */
#pragma once

#include "banyanring/core/action_type.h"
#include "banyanring/ports/inbox.h"

#include <atomic>
#include <cpprest/http_listener.h>
#include <cpprest/producerconsumerstream.h>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace banyanring {

/** A caller's HTTP request whose response is not complete. */
struct OpenCall
{
    CallId id = 0;
    web::http::http_request request;
    std::string requestId;
    std::string path;
    std::string contentType;
    std::string body;
    std::string apiKey; ///< Forwarded only to the peer that owns the ticket, never to a server.
    std::string ticket;
    std::string deadlineHeader; ///< Value of the X-Banyan-Deadline-Ms header; may be malformed.
    std::int64_t arrivedMs = 0; ///< Milliseconds since boot.
    concurrency::streams::producer_consumer_buffer<std::uint8_t> responseStream;
    std::atomic<bool> streaming = false; ///< The head of a streamed response was sent.
    std::atomic<bool> finished = false; ///< Nothing more may be sent.
};

using OpenCallPtr = std::shared_ptr<OpenCall>; ///< Shared by the threads that serve a call.

/** Accepts the HTTP requests of callers and sends the responses. All functions are thread-safe. */
class CallerListener
{
public:
    /** Limits on the memory that callers can occupy. */
    struct Limits
    {
        std::size_t maxBodyBytes = 0; ///< Maximum size of a request body, in bytes.
        std::size_t maxOpenCalls = 0; ///< Open calls beyond these get status 503.
    };

    /**
     * Starts to listen.
     * @param listen Address, "host:port".
     * @param idPrefix Prefix of the request ids, unique to this incarnation of the node.
     * @param limits Limits on the use of memory.
     * @param inbox Receives the events.
     */
    CallerListener(const std::string &listen, std::string idPrefix, Limits limits, Inbox &inbox);
    ~CallerListener();
    CallerListener(const CallerListener &) = delete;
    auto operator=(const CallerListener &) -> CallerListener & = delete;

    /**
     * Finds an open call.
     * @param id Id of the call.
     * @return The call; null if its response is complete.
     */
    auto find(CallId id) const -> OpenCallPtr;

    /**
     * Sends a complete response; does nothing if the call has ended.
     * @param id The call.
     * @param status HTTP status.
     * @param contentType Content type of the body; JSON if empty.
     * @param body The body.
     * @param requestId Id of the request that produced the body; empty for none.
     */
    auto respond(CallId id, int status, const std::string &contentType, std::string body,
                 const std::string &requestId) -> void;

    /** @param action Error response; a streamed response that has begun is aborted instead. */
    auto reject(const Reject &action) -> void;

    /**
     * Sends the head of a streamed response.
     * @param id The call.
     * @param status HTTP status.
     * @param contentType Content type of the stream.
     * @return Whether the call is still open.
     */
    auto startStream(CallId id, int status, const std::string &contentType) -> bool;

    /**
     * Appends to a streamed response, which is aborted if the caller reads too slowly.
     * @param id The call.
     * @param bytes Bytes to append.
     * @return Whether the call is still open.
     */
    auto writeStream(CallId id, std::string_view bytes) -> bool;

    /**
     * Ends a streamed response.
     * @param id The call.
     * @param complete Whether the response is complete; otherwise the connection is closed without
     *                 the final chunk, so that the caller can detect the truncation.
     */
    auto endStream(CallId id, bool complete) -> void;

    /** @param isReady Whether /readyz reports this node as ready. */
    auto setReady(bool isReady) -> void
    {
        this->ready = isReady;
    }

    /** @return Number of open calls. */
    auto openCallCount() const -> std::size_t;

private:
    auto handle(const web::http::http_request &request) -> void;
    auto handleV1(const OpenCallPtr &call) -> void;
    auto readBody(const OpenCallPtr &call) -> void;
    auto submit(const OpenCallPtr &call, Event event) -> void;
    auto submitRequest(const OpenCallPtr &call) -> void;
    auto closeStream(const OpenCallPtr &call, bool complete) -> void;
    auto remove(CallId id) -> void;

    std::string idPrefix;
    Limits limits;
    Inbox &inbox;
    web::http::experimental::listener::http_listener listener;
    mutable std::mutex mutex;
    std::unordered_map<CallId, OpenCallPtr> calls;
    std::atomic<CallId> nextCallId = 1;
    std::atomic<bool> ready = false;
};

} // namespace banyanring
