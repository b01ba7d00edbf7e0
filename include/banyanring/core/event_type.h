/** @file event_type.h What the decision core is told. */
#pragma once

#include "banyanring/core/config_type.h"
#include "banyanring/core/message_type.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace banyanring {

using Body = std::shared_ptr<const std::string>; ///< Bytes of an answer, shared and constant.

/** A caller sent a request. */
struct RequestArrived
{
    CallId call = 0;
    std::string requestId; ///< Unique over the fleet.
    std::string keyDigest; ///< SHA-256 hex digest of the key; empty without one.
    std::string path; ///< Path of the route.
    std::uint64_t bodyDigest = 0; ///< Hash of the body.
    std::uint32_t estimatedTokens = 0; ///< Estimated tokens, prompt and answer.
    std::string ticket; ///< Ticket text; empty without one.
    std::optional<Duration> deadline; ///< Shorter deadline that the caller wishes.
    bool forwarded = false; ///< A peer forwarded it; it is not forwarded again.
};

/** A caller closed its connection. */
struct CallerDisconnected
{
    CallId call = 0;
};

/** A caller asks for a ticket. */
struct TicketRequested
{
    CallId call = 0;
    std::string keyDigest;
    std::string path;
};

/** A caller withdraws a ticket. */
struct TicketCancelRequested
{
    CallId call = 0;
    std::string keyDigest;
    std::string ticket;
};

/** A caller asks which entry addresses to use. */
struct AddressesRequested
{
    CallId call = 0;
    std::string keyDigest;
};

/** A backend server sent the first byte of an answer. */
struct BackendFirstByte
{
    DispatchId dispatch = 0;
};

/** A backend server's answer is whole. */
struct BackendCompleted
{
    DispatchId dispatch = 0;
    int status = 0;
    Body body; ///< The whole answer for plain services; null for streams.
    std::uint32_t usedTokens = 0; ///< Tokens that it really took; 0 for unknown.
    std::string contentType; ///< Type of the body.
};

/** A dispatch failed. */
struct BackendFailed
{
    DispatchId dispatch = 0;
    bool mayHaveRun = true; ///< False only if no byte reached the backend server.
    bool connectionLost = false; ///< The connection was reset or refused.
};

/** A load report of a backend server. */
struct LoadReport
{
    ServerId server = 0;
    std::uint64_t startedAt = 0; ///< Start time of its process; 0 if unreachable.
    std::uint32_t running = 0; ///< Requests running or queued there.
    std::optional<std::vector<std::string>> runningIds; ///< Their request ids, if it tells them.
    bool cold = false; ///< It says that it is in cold start.
    Duration age{}; ///< Age of the report at its arrival, its lag included.
    Duration fetchDuration{}; ///< Time since its reading began.
};

/** A validated configuration was read. */
struct ConfigReceived
{
    ConfigPtr config;
};

/** A VM list was read. */
struct VmListReceived
{
    VmListPtr list;
};

/** A peer's message arrived. */
struct PeerMessageReceived
{
    NodeId from = 0;
    PeerMessage message;
};

/** Time passed. */
struct Tick
{
};

/** The node has to stop gracefully. */
struct ShutdownRequested
{
};

using Event = std::variant<RequestArrived, CallerDisconnected, TicketRequested, TicketCancelRequested, AddressesRequested,
                           BackendFirstByte, BackendCompleted, BackendFailed, LoadReport, ConfigReceived,
                           VmListReceived, PeerMessageReceived, Tick, ShutdownRequested>; ///< All events.

} // namespace banyanring
