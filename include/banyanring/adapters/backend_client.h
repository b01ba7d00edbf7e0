/** @file backend_client.h HTTP client for backend servers and, for forwarded requests, peers. */
#pragma once

#include "banyanring/adapters/caller_listener.h"

#include <atomic>
#include <cpprest/http_client.h>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace banyanring {

/**
 * Sends dispatches to backend servers and forwards requests to peers. No function blocks: each step
 * runs as a task of the HTTP library.
 */
class BackendClient
{
public:
    /**
     * @param callers Listener that holds the open calls and sends their responses.
     * @param inbox Receives the events.
     * @param stallTimeout A dispatch to an engine that sends nothing for this long is cancelled.
     */
    BackendClient(CallerListener &callers, Inbox &inbox, Duration stallTimeout);
    ~BackendClient();
    BackendClient(const BackendClient &) = delete;
    auto operator=(const BackendClient &) -> BackendClient & = delete;

    /** @param action Request to send to a backend server. */
    auto dispatch(const Dispatch &action) -> void;

    /** @param action Request to forward to a peer, whose response is passed to the caller. */
    auto forward(const Forward &action) -> void;

    /** @param id Dispatch to cancel; ignored if it has ended. */
    auto cancel(DispatchId id) -> void;

private:
    /** A dispatch in progress. */
    struct InFlightDispatch
    {
        Dispatch action;
        pplx::cancellation_token_source cancelSource;
        std::string bufferedBody; ///< Body so far, for plain services and for `Dispatch::keepBody`.
        std::string contentType;
        int status = 0;
        std::uint32_t chunks = 0;
        std::atomic<std::int64_t> lastProgress = 0; ///< Microseconds since boot.
        bool streamingToCaller = false;
        std::vector<std::uint8_t> buffer;
    };
    using InFlightPtr = std::shared_ptr<InFlightDispatch>;

    auto onResponse(const InFlightPtr &inFlight, const web::http::http_response &response) -> void;
    auto readChunk(const InFlightPtr &inFlight, const web::http::http_response &response) -> void;
    auto onChunk(const InFlightPtr &inFlight, std::size_t count) -> void;
    auto finish(const InFlightPtr &inFlight) -> void;
    auto fail(const InFlightPtr &inFlight, const std::exception_ptr &error) -> void;
    auto remove(DispatchId id) -> void;
    auto cancelStalled() -> void;

    CallerListener &callers;
    Inbox &inbox;
    Duration stallTimeout;
    std::mutex mutex;
    std::unordered_map<DispatchId, InFlightPtr> dispatches;
    std::atomic<bool> stopping = false;
    std::thread stallCheckThread;
};

} // namespace banyanring
