/** @file backend_caller.h The HTTP client towards backend servers and, for forwards, peers. */
#pragma once

#include "banyanring/adapters/caller_listener.h"

#include <atomic>
#include <cpprest/http_client.h>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace banyanring {

/** Runs dispatches and forwards. Nothing waits: each step is a task of the HTTP library. */
class BackendCaller
{
public:
    /**
     * @param callers The open calls.
     * @param inbox Gets the events.
     * @param progressLimit An engine that sends nothing for this long is broken off.
     */
    BackendCaller(CallerListener &callers, Inbox &inbox, Duration progressLimit);
    ~BackendCaller();
    BackendCaller(const BackendCaller &) = delete;
    auto operator=(const BackendCaller &) -> BackendCaller & = delete;

    /** @param action Sends a request to a backend server. */
    auto dispatch(const Dispatch &action) -> void;

    /** @param action Passes a request to a peer and its answer back. */
    auto forward(const Forward &action) -> void;

    /** @param id Breaks a dispatch off. */
    auto cancel(DispatchId id) -> void;

private:
    /** A dispatch under way. */
    struct Flight
    {
        Dispatch action;
        pplx::cancellation_token_source cancelSource;
        std::string kept; ///< Whole answer so far, if the core needs it.
        std::string contentType;
        int status = 0;
        std::uint32_t chunks = 0;
        std::atomic<std::int64_t> progressAt = 0; ///< Microseconds of the boot clock.
        bool toCaller = false;
        std::vector<std::uint8_t> buffer;
    };
    using FlightPtr = std::shared_ptr<Flight>;

    auto answered(const FlightPtr &flight, const web::http::http_response &response) -> void;
    auto readMore(const FlightPtr &flight, const web::http::http_response &response) -> void;
    auto take(const FlightPtr &flight, std::size_t count) -> void;
    auto finish(const FlightPtr &flight) -> void;
    auto fail(const FlightPtr &flight, const std::exception_ptr &error) -> void;
    auto forget(DispatchId id) -> void;
    auto watchProgress() -> void;

    CallerListener &callers;
    Inbox &inbox;
    Duration progressLimit;
    std::mutex mutex;
    std::unordered_map<DispatchId, FlightPtr> flights;
    std::atomic<bool> stopping = false;
    std::thread watcher;
};

} // namespace banyanring
