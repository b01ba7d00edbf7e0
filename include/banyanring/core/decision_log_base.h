/** @file decision_log_base.h Bounded log of recent decisions on requests. */
#pragma once

#include "banyanring/core/ids_type.h"

#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace banyanring {

/** A step in the handling of a request. */
enum class Step : std::uint8_t {
    Arrived, ///< Its API key and route were accepted.
    TokensHeld, ///< Its tokens are reserved.
    TokensAsked, ///< A token loan was requested from a peer.
    Queued, ///< It was queued for a slot.
    SlotsAsked, ///< A slot loan was requested from a peer.
    Dispatched, ///< It was sent to a backend server.
    Retried, ///< It was queued again, as no byte had reached the server.
    Answered, ///< The complete response was received.
    Refused, ///< It was rejected or failed; the detail gives the reason.
    Forwarded, ///< It was forwarded to the peer that owns its ticket or crash suspect.
    Attached, ///< It was attached to the run or stored response of its ticket.
    CallerGone, ///< Its caller closed the connection.
};

/**
 * Returns the name of a step.
 * @param step The step.
 * @return Lower-case words joined by underscores.
 */
auto stepName(Step step) -> std::string_view;

/** One logged decision on a request. */
struct Decision
{
    std::string requestId;
    Instant at{};
    Step step = Step::Arrived;
    std::string detail; ///< The choice that was made and the values behind it.
};

/** Keeps the most recent decisions in a bounded FIFO. */
class DecisionLog
{
public:
    /** @param capacity Maximum number of decisions kept. */
    explicit DecisionLog(std::size_t capacity) : capacity(capacity) {}

    /** @param decision Decision to append; the oldest one is dropped if the log is full. */
    auto add(Decision decision) -> void;

    /**
     * Returns the logged decisions on a request.
     * @param requestId Id of the request.
     * @return The decisions, oldest first.
     */
    auto find(std::string_view requestId) const -> std::vector<Decision>;

private:
    std::size_t capacity;
    std::deque<Decision> ring;
};

} // namespace banyanring
