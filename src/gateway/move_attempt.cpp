/** @file move_attempt.cpp Attempt to move a request away from a silent server. */
#include "banyanring/gateway/move_attempt.h"

#include "banyanring/gateway/active_request.h"

namespace banyanring::gateway {

auto MoveAttempt::onSent() -> void
{
    if (this->isTaken) {
        this->request.onSent();
    } else {
        this->sentAt = this->request.currentTime();
    }
}

auto MoveAttempt::onResponseHeader(const ServerResponse &response) -> void
{
    if (this->isTaken || this->request.takeMove(response)) {
        this->request.onResponseHeader(response);
    }
}

auto MoveAttempt::onResponseData(std::string_view data) -> void
{
    if (this->isTaken) {
        this->request.onResponseData(data);
    }
}

auto MoveAttempt::onResponseEnd() -> void
{
    if (this->isTaken) {
        this->request.onResponseEnd();
    }
}

auto MoveAttempt::onExchangeFailed(ExchangeFailure failure) -> void
{
    if (this->isTaken) {
        this->request.onExchangeFailed(failure);
    } else {
        this->request.onMoveFailed(failure);
    }
}

} // namespace banyanring::gateway
