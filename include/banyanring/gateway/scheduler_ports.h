/** @file scheduler_ports.h Interfaces between the scheduler and the network code. */
#pragma once

#include "banyanring/fleet/slot_type.h"
#include "banyanring/gateway/exchange_failure_type.h"
#include "banyanring/gateway/request_type.h"

#include <memory>
#include <string_view>

namespace banyanring::gateway {

/** A complete HTTP response. */
struct HttpResponse
{
    int status = 0; ///< HTTP status.
    std::string reason; ///< HTTP reason phrase.
    std::vector<HeaderField> headers; ///< Without the framing headers.
    std::string body; ///< Complete body.
};

/** Sends the response to a caller's current request. */
class CallerPort
{
public:
    virtual ~CallerPort() = default;

    /** @param response Final response to the current request. */
    virtual auto sendResponse(HttpResponse response) -> void = 0;

    /**
     * Starts a response of unknown length.
     * @param status HTTP status.
     * @param reason HTTP reason phrase.
     * @param headers Without the framing headers.
     */
    virtual auto beginStream(int status, const std::string &reason,
                             const std::vector<HeaderField> &headers) -> void = 0;

    /** @param data Next bytes of the response body. */
    virtual auto sendStreamData(std::string_view data) -> void = 0;

    /** Ends the streamed response as complete. */
    virtual auto endStream() -> void = 0;

    /** Closes the connection such that the caller cannot take the response for complete. */
    virtual auto abort() -> void = 0;

    /** @return Buffered bytes that are not sent to the caller yet. */
    virtual auto unsentBytes() const -> std::size_t = 0;
};

using CallerPortPtr = std::shared_ptr<CallerPort>; ///< Shared with pending socket operations.

/** Receives the events of one exchange. */
class ExchangeObserver
{
public:
    virtual ~ExchangeObserver() = default;
    /** The connection is open and the request is being sent. */
    virtual auto onSent() -> void = 0;
    /** @param response Header of the response. */
    virtual auto onResponseHeader(const ServerResponse &response) -> void = 0;
    /** @param data Next bytes of the response body. */
    virtual auto onResponseData(std::string_view data) -> void = 0;
    /** The response is complete. */
    virtual auto onResponseEnd() -> void = 0;
    /** @param failure Why there is no complete response. */
    virtual auto onExchangeFailed(ExchangeFailure failure) -> void = 0;
};

/** One request sent to a backend server, and its response. */
class Exchange
{
public:
    virtual ~Exchange() = default;
    /** @param paused Whether to stop reading the response, for backpressure from a slow caller. */
    virtual auto pauseReading(bool paused) -> void = 0;
    /** Closes the connection unless the response is complete; no further events are reported. */
    virtual auto cancel() -> void = 0;
};

/** Exchanges quota usage with the coordinators of an organisation. */
class QuotaPort
{
public:
    virtual ~QuotaPort() = default;

    /**
     * Reports an organisation's request to its quota coordinators, and queries its usage
     * if the request might exceed the limit.
     * @param requestNumber Number of the request; Scheduler::onUsageQueryDone() is called with it.
     * @param organisation Organisation of the request.
     * @param units Quota units of the request.
     * @return Whether to wait for the reply.
     */
    virtual auto queryUsage(std::uint64_t requestNumber,
                            const fleet::OrganisationConfig &organisation, double units)
        -> bool = 0;
};

/** Obtains backend server slots from the slot coordinators. */
class SlotPort
{
public:
    virtual ~SlotPort() = default;

    /**
     * Requests a slot.
     * @param request The slot request; the port fills in its incarnation, reply address and
     *                service.
     * @param service Name of the service.
     * @return The reply, if it is available at once; otherwise Scheduler::onSlotReply() or
     *         onSlotTimeout() is called later. A queued request gets another reply when it is
     *         granted.
     */
    virtual auto requestSlot(fleet::SlotRequest request, const std::string &service)
        -> std::optional<fleet::SlotReply> = 0;

    /** @param slotRequestId Id of a slot request to cancel; a granted slot is released. */
    virtual auto cancelSlotRequest(std::uint64_t slotRequestId) -> void = 0;

    /** @param report Progress or end of a request that holds a slot. */
    virtual auto reportSlotEvent(fleet::SlotReport report) -> void = 0;
};

/** Sends requests to backend servers. */
class ServerPort
{
public:
    virtual ~ServerPort() = default;

    /**
     * Sends a request once.
     * @param server The server.
     * @param attemptId Attempt id that the response must carry.
     * @param request Header and body.
     * @param retryable Whether the request may be retried; if not, an idle connection is reused
     *                  only if the server is certain not to close it meanwhile.
     * @param observer Receives the events; must outlive the exchange.
     * @return The exchange.
     */
    virtual auto send(const fleet::ServerPtr &server, const std::string &attemptId,
                      OutboundRequest request, bool retryable, ExchangeObserver &observer)
        -> std::unique_ptr<Exchange> = 0;
};

} // namespace banyanring::gateway
