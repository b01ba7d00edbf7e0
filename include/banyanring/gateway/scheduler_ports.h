/** @file scheduler_ports.h Ports between the scheduler and the sockets. */
#pragma once

#include "banyanring/fleet/slot_type.h"
#include "banyanring/gateway/request_type.h"

#include <memory>
#include <string_view>

namespace banyanring::gateway {

/** An answer of known length. */
struct WholeAnswer
{
    int status = 0; ///< HTTP status.
    std::string reason; ///< HTTP reason phrase.
    std::vector<HeaderField> headers; ///< Without framing.
    std::string body; ///< Whole body.
};

/** Where the answer to a caller's present request goes. */
class CallerPort
{
public:
    virtual ~CallerPort() = default;

    /** @param answer The final answer to the present request. */
    virtual auto answer(WholeAnswer answer) -> void = 0;

    /**
     * Begins an answer whose length is not known.
     * @param status HTTP status.
     * @param reason HTTP reason phrase.
     * @param headers Without framing.
     */
    virtual auto beginStream(int status, const std::string &reason,
                             const std::vector<HeaderField> &headers) -> void = 0;

    /** @param data Next part of the answer. */
    virtual auto streamData(std::string_view data) -> void = 0;

    /** Ends a stream as complete. */
    virtual auto endStream() -> void = 0;

    /** Breaks the connection off, so that the answer cannot look complete. */
    virtual auto abort() -> void = 0;

    /** @return Bytes that the caller has not taken yet. */
    virtual auto unsent() const -> std::size_t = 0;
};

using CallerPortPtr = std::shared_ptr<CallerPort>; ///< Shared with the socket's own work.

/** Why a server gave no whole answer. */
enum class ExchangeFailure : std::uint8_t {
    NotSent, ///< No connection; the server got nothing.
    NoAnswer, ///< The connection ended before an answer; the request may have run.
    Truncated, ///< The connection ended inside the answer.
    Malformed, ///< Bytes came that are no answer.
};

/** Gets the answer to one dispatch. */
class ExchangeListener
{
public:
    virtual ~ExchangeListener() = default;
    /** The request is written to an open connection. */
    virtual auto onSent() -> void = 0;
    /** @param answer Head of the answer to this dispatch. */
    virtual auto onAnswerHead(const ServerAnswer &answer) -> void = 0;
    /** @param data Next bytes of its body. */
    virtual auto onAnswerData(std::string_view data) -> void = 0;
    /** The answer is complete. */
    virtual auto onAnswerEnd() -> void = 0;
    /** @param failure Why no whole answer comes. */
    virtual auto onAnswerFailed(ExchangeFailure failure) -> void = 0;
};

/** One dispatch to a server. */
class Exchange
{
public:
    virtual ~Exchange() = default;
    /** @param paused Whether to stop reading, while the caller is slow. */
    virtual auto pauseReading(bool paused) -> void = 0;
    /** Closes the connection unless the answer is complete; the listener hears nothing more. */
    virtual auto cancel() -> void = 0;
};

/** Asks other nodes what they know before a decision. */
class AdvicePort
{
public:
    virtual ~AdvicePort() = default;

    /**
     * Reports an organisation's request to the nodes that keep its account.
     * @param run Number of the request's run; Scheduler::advised() is called with it.
     * @param organisation Its organisation.
     * @param units Its units.
     * @return Whether their answer is to be awaited.
     */
    virtual auto askSpent(std::uint64_t run, const fleet::OrganisationConfig &organisation,
                          double units) -> bool = 0;
};

/** Gets slots of servers from the nodes that keep them. */
class SlotPort
{
public:
    virtual ~SlotPort() = default;

    /**
     * Asks for a slot.
     * @param ask The ask; its node, origin and service are filled in.
     * @param service The service's name.
     * @return The reply, if it is known at once; else Scheduler::slotAnswered() or slotSilent()
     *         follows. A queued ask is answered once more when it is granted.
     */
    virtual auto ask(fleet::SlotRequest ask, const std::string &service)
        -> std::optional<fleet::SlotReply> = 0;

    /** @param ask Number of an ask that is given up. */
    virtual auto withdraw(std::uint64_t ask) -> void = 0;

    /** @param report What happened to a request that was granted a slot. */
    virtual auto report(fleet::SlotReport report) -> void = 0;
};

/** Sends requests to servers. */
class ServerPort
{
public:
    virtual ~ServerPort() = default;

    /**
     * Sends a request once.
     * @param server The server.
     * @param attempt Id that the answer must bear.
     * @param bytes Header and body.
     * @param repeatable Whether the server may run it again; if not, only a connection is used
     *                   that the server surely keeps open.
     * @param listener Gets the answer; must outlive the exchange.
     * @return The exchange.
     */
    virtual auto send(const fleet::ServerPtr &server, const std::string &attempt, std::string bytes,
                      bool repeatable, ExchangeListener &listener) -> std::unique_ptr<Exchange> = 0;
};

} // namespace banyanring::gateway
