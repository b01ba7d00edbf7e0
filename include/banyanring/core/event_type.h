/** @file event_type.h Events that the decision core handles. */
#pragma once

#include "banyanring/core/config_type.h"
#include "banyanring/core/message_type.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace banyanring {

using Body = std::shared_ptr<const std::string>; ///< Immutable, shared bytes of a response.

/** A caller sent a request. */
struct RequestArrived
{
    CallId call = 0;
    std::string requestId; ///< Unique over the fleet.
    std::string keyDigest; ///< SHA-256 hex digest of the API key; empty without one.
    std::string path; ///< Path of the route.
    std::uint64_t bodyDigest = 0; ///< Hash of the body.
    std::uint32_t estimatedTokens = 0; ///< Estimated tokens of prompt and response.
    std::string ticket; ///< Ticket text; empty without one.
    std::optional<Duration> deadline; ///< Deadline set by the caller; only shortens the route's.
    bool forwarded = false; ///< Came from a peer and must not be forwarded again.
};

/** A caller closed its connection. */
struct CallerDisconnected
{
    CallId call = 0;
};

/** A caller requested a ticket. */
struct TicketRequested
{
    CallId call = 0;
    std::string keyDigest;
    std::string path;
};

/** A caller requested to cancel a ticket. */
struct TicketCancelRequested
{
    CallId call = 0;
    std::string keyDigest;
    std::string ticket;
};

/** A caller requested the entry addresses to use. */
struct AddressesRequested
{
    CallId call = 0;
    std::string keyDigest;
};

/** The first byte of a backend server's response arrived. */
struct BackendFirstByte
{
    DispatchId dispatch = 0;
};

/** A backend server's response is complete. */
struct BackendCompleted
{
    DispatchId dispatch = 0;
    int status = 0; ///< HTTP status.
    Body body; ///< The complete response of plain services; null for streams.
    std::uint32_t usedTokens = 0; ///< Tokens that it used; 0 if unknown.
    std::string contentType; ///< Type of the body.
};

/** A dispatch failed. */
struct BackendFailed
{
    DispatchId dispatch = 0;
    bool mayHaveRun = true; ///< False only if no byte reached the backend server.
    /** The connection was reset or refused, so the server may have crashed. */
    bool connectionLost = false;
};

/** A load report of a backend server. */
struct LoadReport
{
    ServerId server = 0;
    std::uint64_t startedAt = 0; ///< Start time of its process; 0 if unreachable.
    std::uint32_t running = 0; ///< Number of requests running or queued there.
    std::optional<std::vector<std::string>> runningIds; ///< Their request ids, if reported.
    bool cold = false; ///< The server reports that it is in cold start.
    Duration age{}; ///< Age of the report on arrival, including its sampling lag.
    Duration fetchDuration{}; ///< Time since the fetch of the report began.
};

/** A validated configuration was received. */
struct ConfigReceived
{
    ConfigPtr config;
};

/** A VM list was received. */
struct VmListReceived
{
    VmListPtr list;
};

/** A message from a peer arrived. */
struct PeerMessageReceived
{
    NodeId from = 0;
    PeerMessage message;
};

/** Periodic timer event. */
struct Tick
{
};

/** The node must shut down gracefully. */
struct ShutdownRequested
{
};

/** All events. */
using Event =
    std::variant<RequestArrived, CallerDisconnected, TicketRequested, TicketCancelRequested,
                 AddressesRequested, BackendFirstByte, BackendCompleted, BackendFailed, LoadReport,
                 ConfigReceived, VmListReceived, PeerMessageReceived, Tick, ShutdownRequested>;

} // namespace banyanring
