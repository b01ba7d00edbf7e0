/** @file backend_client.h HTTP client for backend servers and, for forwarded requests, peers. */
#pragma once

#include "banyanring/adapters/caller_listener.h"
#include "banyanring/adapters/http_client.h"

#include <atomic>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace banyanring {

/**
 * Sends dispatches to backend servers and forwards requests to peers. No function blocks: all run
 * on the thread of the HTTP client.
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
        HttpExchangePtr exchange; ///< Unset until it has been sent.
        std::atomic<bool> cancelled = false;
        std::string bufferedBody; ///< Body so far, for plain services and for `Dispatch::keepBody`.
        std::string contentType;
        int status = 0;
        std::uint32_t chunks = 0;
        std::atomic<std::int64_t> lastProgress = 0; ///< Microseconds since boot.
        bool streamingToCaller = false;
    };
    using InFlightPtr = std::shared_ptr<InFlightDispatch>;

    auto onHeader(const InFlightPtr &inFlight, const gateway::ResponseHeader &header) -> void;
    auto onBody(const InFlightPtr &inFlight, std::string_view bytes) -> void;
    auto finish(const InFlightPtr &inFlight) -> void;
    auto fail(const InFlightPtr &inFlight, bool written, const std::string &error) -> void;
    auto cancelExchange(const InFlightPtr &inFlight) -> void;
    auto cancelLongest() -> void;
    auto remove(DispatchId id) -> void;
    auto cancelStalled() -> void;

    CallerListener &callers;
    Inbox &inbox;
    Duration stallTimeout;
    std::mutex mutex;
    std::unordered_map<DispatchId, InFlightPtr> dispatches;
    std::size_t bufferedBytes = 0; ///< Of all dispatches; used by the HTTP client's thread only.
    std::atomic<bool> stopping = false;
    HttpClient httpClient;
    std::thread stallCheckThread;
};

} // namespace banyanring
