/** @file action_type.h What the decision core asks its adapters to do. */
#pragma once

#include "banyanring/core/event_type.h"
#include "banyanring/core/outcome_type.h"

namespace banyanring {

/** Send a request to a backend server. */
struct Dispatch
{
    CallId call = 0;
    DispatchId dispatch = 0;
    ServerId server = 0;
    std::uint16_t slot = 0;
    std::string address; ///< "host:port" of the backend server.
    std::string requestId; ///< Given to the backend server.
    std::string organisation; ///< Name given to the backend server; empty on open routes.
    BackendKind kind = BackendKind::Plain;
    Instant validUntil{}; ///< No byte may be written after this; checked right before.
    Duration maxRunTime{}; ///< Cancelled after this.
    bool keepBody = false; ///< The core needs the whole answer (a ticket's answer).
};

/** Send a request to the peer that owns its ticket or suspect, and pass its answer on. */
struct Forward
{
    CallId call = 0;
    NodeId node = 0;
    std::string address; ///< Entry address of the peer.
};

/** Tell a caller of a refusal or failure. */
struct Reject
{
    CallId call = 0;
    Rejection rejection;
    std::string requestId; ///< The asker's request id.
};

/** Give a caller the answer that its ticket has already. */
struct ReplayResponse
{
    CallId call = 0;
    int status = 0;
    Body body;
    std::string requestId; ///< Request id of the run that gave the answer.
    std::string contentType;
};

/** Give a caller a ticket. */
struct IssueTicket
{
    CallId call = 0;
    std::string ticket;
    Duration validFor{};
};

/** Tell a caller that its ticket was withdrawn before any dispatch. */
struct ConfirmTicketCancel
{
    CallId call = 0;
    Outcome outcome = Outcome::Cancelled; ///< NotRun if it can never run; Unknown if it did or may.
};

/** Tell a caller which addresses to use. */
struct ReturnAddresses
{
    CallId call = 0;
    std::vector<std::string> addresses; ///< Best first.
    Duration ttl{}; ///< How long to keep the answer.
};

/** Break a dispatch off. */
struct CancelDispatch
{
    DispatchId dispatch = 0;
};

/** Send a message to a peer. */
struct SendPeerMessage
{
    NodeId to = 0;
    PeerMessage message;
};

/** Read the configuration again: a peer has a newer one. */
struct FetchConfig
{
    Revision revision = 0; ///< At least this one.
    NodeId peer = 0; ///< A peer that has it.
};

/** Read the VM list again: a peer has a newer one. */
struct FetchVmList
{
    Revision revision = 0;
    NodeId peer = 0;
};

/** Everything has ended after a StopAsked; the process may exit. */
struct ShutdownComplete
{
};

using Action = std::variant<Dispatch, Forward, Reject, ReplayResponse, IssueTicket, ConfirmTicketCancel,
                            ReturnAddresses, CancelDispatch, SendPeerMessage, FetchConfig, FetchVmList,
                            ShutdownComplete>; ///< All actions.
using Actions = std::vector<Action>; ///< Actions in the order in which they must start.

} // namespace banyanring
