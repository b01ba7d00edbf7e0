/** @file caller_listener.h The HTTP listener for callers, and their open calls. */
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

/** A caller's call that has not been answered whole. */
struct OpenCall
{
    CallId id = 0;
    web::http::http_request request;
    std::string requestId;
    std::string path;
    std::string contentType;
    std::string body;
    std::string key; ///< Passed to the peer that owns a ticket, to nobody else.
    std::string ticket;
    std::string deadlineMs;
    std::int64_t arrivedMs = 0;
    concurrency::streams::producer_consumer_buffer<std::uint8_t> stream;
    std::atomic<bool> streaming = false;
    std::atomic<bool> done = false;
};

using OpenCallPtr = std::shared_ptr<OpenCall>; ///< Shared by the threads that serve a call.

/** Accepts callers' requests and answers them. All functions may be called by any thread. */
class CallerListener
{
public:
    /** Limits on what callers may use. */
    struct Limits
    {
        std::size_t bodyBytes = 0;
        std::size_t calls = 0;
    };

    /**
     * Starts to listen.
     * @param listen "host:port".
     * @param idPrefix Begins the ids of the requests; unique to this incarnation.
     * @param limits Limits.
     * @param inbox Gets the events.
     */
    CallerListener(const std::string &listen, std::string idPrefix, Limits limits, Inbox &inbox);
    ~CallerListener();
    CallerListener(const CallerListener &) = delete;
    auto operator=(const CallerListener &) -> CallerListener & = delete;

    /**
     * Finds an open call.
     * @param id Its id.
     * @return The call, or null.
     */
    auto find(CallId id) const -> OpenCallPtr;

    /**
     * Answers a call whole.
     * @param id The call.
     * @param status HTTP status.
     * @param contentType Type of the body.
     * @param body The body.
     * @param requestId Request id of the run that gave it.
     */
    auto answer(CallId id, int status, const std::string &contentType, std::string body,
                const std::string &requestId) -> void;

    /** @param action Tells a refusal or failure; cuts an answer that has begun. */
    auto refuse(const Reject &action) -> void;

    /**
     * Begins a streamed answer.
     * @param id The call.
     * @param status HTTP status.
     * @param contentType Type of the stream.
     * @return Whether the call is still open.
     */
    auto startStream(CallId id, int status, const std::string &contentType) -> bool;

    /**
     * Adds to a streamed answer; a caller that reads too slowly is cut.
     * @param id The call.
     * @param bytes What to add.
     * @return Whether the call is still open.
     */
    auto writeStream(CallId id, std::string_view bytes) -> bool;

    /**
     * Ends a streamed answer.
     * @param id The call.
     * @param whole Whether it is whole; otherwise the connection is cut, so that the caller sees
     * it.
     */
    auto endStream(CallId id, bool whole) -> void;

    /** @param isReady Answer of /readyz. */
    auto setReady(bool isReady) -> void
    {
        this->ready = isReady;
    }

    /** @return Number of open calls. */
    auto openCalls() const -> std::size_t;

private:
    auto handle(const web::http::http_request &request) -> void;
    auto handleV1(const OpenCallPtr &call) -> void;
    auto readBody(const OpenCallPtr &call) -> void;
    auto submit(const OpenCallPtr &call, Event event) -> void;
    auto submitRequest(const OpenCallPtr &call) -> void;
    auto cut(const OpenCallPtr &call, bool whole) -> void;
    auto forget(CallId id) -> void;

    std::string idPrefix;
    Limits limits;
    Inbox &inbox;
    web::http::experimental::listener::http_listener listener;
    mutable std::mutex mutex;
    std::unordered_map<CallId, OpenCallPtr> calls;
    std::atomic<CallId> nextCall = 1;
    std::atomic<bool> ready = false;
};

} // namespace banyanring
