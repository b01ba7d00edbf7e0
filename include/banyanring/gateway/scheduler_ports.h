/** @file scheduler_ports.h Interfaces between the scheduler and the network code. */
#pragma once

#include "banyanring/fleet/slot_type.h"
#include "banyanring/gateway/request_type.h"

#include <memory>
#include <string_view>

namespace banyanring::gateway {

/** A complete HTTP response. */
struct WholeAnswer
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

    /** @param answer Final response to the current request. */
    virtual auto answer(WholeAnswer answer) -> void = 0;

    /**
     * Starts a response of unknown length.
     * @param status HTTP status.
     * @param reason HTTP reason phrase.
     * @param headers Without the framing headers.
     */
    virtual auto beginStream(int status, const std::string &reason,
                             const std::vector<HeaderField> &headers) -> void = 0;

    /** @param data Next bytes of the response body. */
    virtual auto streamData(std::string_view data) -> void = 0;

    /** Ends the streamed response as complete. */
    virtual auto endStream() -> void = 0;

    /** Closes the connection such that the caller cannot take the response for complete. */
    virtual auto abort() -> void = 0;

    /** @return Buffered bytes that are not sent to the caller yet. */
    virtual auto unsent() const -> std::size_t = 0;
};

using CallerPortPtr = std::shared_ptr<CallerPort>; ///< Shared with pending socket operations.

/** Reason why an exchange did not yield a complete response. */
enum class ExchangeFailure : std::uint8_t {
    NotSent, ///< No connection; nothing was sent to the server.
    NoAnswer, ///< Closed before a response; the request may have been executed.
    Truncated, ///< Closed before the end of the response.
    Malformed, ///< The received bytes are not a valid HTTP response.
};

/** Receives the events of one exchange. */
class ExchangeListener
{
public:
    virtual ~ExchangeListener() = default;
    /** The connection is open and the request is being sent. */
    virtual auto onSent() -> void = 0;
    /** @param answer Header of the response. */
    virtual auto onAnswerHead(const ServerAnswer &answer) -> void = 0;
    /** @param data Next bytes of the response body. */
    virtual auto onAnswerData(std::string_view data) -> void = 0;
    /** The response is complete. */
    virtual auto onAnswerEnd() -> void = 0;
    /** @param failure Why there is no complete response. */
    virtual auto onAnswerFailed(ExchangeFailure failure) -> void = 0;
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

/** Queries the nodes that keep an organisation's quota account. */
class AdvicePort
{
public:
    virtual ~AdvicePort() = default;

    /**
     * Reports an organisation's request to the nodes that keep its account, and queries its usage
     * if the request might exceed the limit.
     * @param run Request number; Scheduler::advised() is called with it.
     * @param organisation Organisation of the request.
     * @param units Quota units of the request.
     * @return Whether to wait for the reply.
     */
    virtual auto askSpent(std::uint64_t run, const fleet::OrganisationRule &organisation,
                          double units) -> bool = 0;
};

/** Obtains backend server slots from the nodes that allocate them. */
class SlotPort
{
public:
    virtual ~SlotPort() = default;

    /**
     * Requests a slot.
     * @param ask The slot request; its node, origin and service are filled in here.
     * @param service Name of the service.
     * @return The reply, if it is available at once; otherwise Scheduler::slotAnswered() or
     *         slotSilent() is called later. A queued request gets another reply when it is
     *         granted.
     */
    virtual auto ask(fleet::SlotAsk ask, const std::string &service)
        -> std::optional<fleet::SlotReply> = 0;

    /** @param ask Number of a slot request to cancel; a granted slot is released. */
    virtual auto withdraw(std::uint64_t ask) -> void = 0;

    /** @param report Progress or end of a request that holds a slot. */
    virtual auto report(fleet::SlotReport report) -> void = 0;
};

/** Sends requests to backend servers. */
class ServerPort
{
public:
    virtual ~ServerPort() = default;

    /**
     * Sends a request once.
     * @param server The server.
     * @param attempt Attempt id that the response must carry.
     * @param bytes Header and body.
     * @param repeatable Whether the request may be retried; if not, an idle connection is reused
     *                   only if the server is certain not to close it meanwhile.
     * @param listener Receives the events; must outlive the exchange.
     * @return The exchange.
     */
    virtual auto send(const fleet::ServerPtr &server, const std::string &attempt, std::string bytes,
                      bool repeatable, ExchangeListener &listener) -> std::unique_ptr<Exchange> = 0;
};

} // namespace banyanring::gateway
