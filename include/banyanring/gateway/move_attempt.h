/** @file move_attempt.h Attempt to move a request away from a silent server. */
#pragma once

#include "banyanring/core/ids_type.h"
#include "banyanring/gateway/scheduler_ports.h"

#include <optional>

namespace banyanring::gateway {

class ActiveRequest;

/**
 * Exchange with the server that a request is about to move to. The request keeps its exchange with
 * the silent server, which may be sound, until the new one has taken the request. From then on this
 * object passes all events on to the request.
 */
class MoveAttempt : public ExchangeObserver
{
public:
    /**
     * @param request The request; must outlive this object.
     * @param server Server to move to.
     * @param slotRequestId Id of the slot of that server.
     */
    MoveAttempt(ActiveRequest &request, fleet::ServerPtr server, std::uint64_t slotRequestId)
        : server(std::move(server)), slotRequestId(slotRequestId), request(request)
    {
    }

    auto onSent() -> void override;
    auto onResponseHeader(const ServerResponse &response) -> void override;
    auto onResponseData(std::string_view data) -> void override;
    auto onResponseEnd() -> void override;
    auto onExchangeFailed(ExchangeFailure failure) -> void override;

    const fleet::ServerPtr server;
    const std::uint64_t slotRequestId;
    std::unique_ptr<Exchange> exchange; ///< Until the request takes it over.
    Instant dispatchedAt{};
    std::optional<Instant> sentAt; ///< Unset while the connection is being opened.
    double promptWorkAhead = 0; ///< Prompt work at the server at dispatch, its own included.
    bool isTaken = false; ///< The request has taken the exchange over.

private:
    ActiveRequest &request;
};

} // namespace banyanring::gateway
