/** @file action_type.h Actions that the decision core requests from its adapters. */
#pragma once

#include "banyanring/core/event_type.h"
#include "banyanring/core/outcome_type.h"

namespace banyanring {

/** Sends a request to a backend server. */
struct Dispatch
{
    CallId call = 0;
    DispatchId dispatch = 0;
    ServerId server = 0;
    std::uint16_t slot = 0;
    std::string address; ///< "host:port" of the backend server.
    std::string requestId; ///< Request id sent to the backend server.
    std::string organisation; ///< Name sent to the backend server; empty on anonymous routes.
    BackendKind kind = BackendKind::Plain;
    Instant validUntil{}; ///< Checked before the first write; nothing is sent after this.
    Duration maxRunTime{}; ///< The dispatch is cancelled after this time.
    /** BackendCompleted must carry the response body, as a ticket stores it. */
    bool keepBody = false;
};

/** Proxies a request to the peer that owns its ticket or crash suspect. */
struct Forward
{
    CallId call = 0;
    NodeId node = 0;
    std::string address; ///< "host:port" of the peer's entry listener.
};

/** Sends a rejection or failure to a caller. */
struct Reject
{
    CallId call = 0;
    Rejection rejection;
    std::string requestId; ///< Request id of the caller's request; may be empty.
};

/** Sends a caller the response that is stored for its ticket. */
struct ReplayResponse
{
    CallId call = 0;
    int status = 0; ///< HTTP status.
    Body body;
    std::string requestId; ///< Request id of the run that produced the response.
    std::string contentType;
};

/** Sends a new ticket to a caller. */
struct IssueTicket
{
    CallId call = 0;
    std::string ticket;
    Duration validFor{};
};

/** Replies to a request to cancel a ticket. */
struct ConfirmTicketCancel
{
    CallId call = 0;
    /** NotRun if it never runs, Answered if it has a response, else Unknown. */
    Outcome outcome = Outcome::Cancelled;
};

/** Sends a caller the entry addresses to use. */
struct ReturnAddresses
{
    CallId call = 0;
    std::vector<std::string> addresses; ///< "host:port", preferred ones first.
    Duration ttl{}; ///< Time for which the caller may cache the addresses.
};

/** Cancels a dispatch that is in progress. */
struct CancelDispatch
{
    DispatchId dispatch = 0;
};

/** Sends a message to a peer. */
struct SendPeerMessage
{
    NodeId to = 0;
    PeerMessage message;
};

/** Fetches the configuration, as a peer has a newer revision. */
struct FetchConfig
{
    Revision revision = 0; ///< Minimum revision.
    NodeId peer = 0; ///< A peer that has it.
};

/** Fetches the VM list, as a peer has a newer revision. */
struct FetchVmList
{
    Revision revision = 0; ///< Minimum revision.
    NodeId peer = 0; ///< A peer that has it.
};

/** All calls and runs have ended after a ShutdownRequested; the process may exit. */
struct ShutdownComplete
{
};

/** All actions. */
using Action = std::variant<Dispatch, Forward, Reject, ReplayResponse, IssueTicket,
                            ConfirmTicketCancel, ReturnAddresses, CancelDispatch, SendPeerMessage,
                            FetchConfig, FetchVmList, ShutdownComplete>;
using Actions = std::vector<Action>; ///< Actions in the order in which they must start.

} // namespace banyanring
