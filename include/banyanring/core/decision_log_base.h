/** @file decision_log_base.h A bounded ring of recent decisions, which explains each request. */
#pragma once

#include "banyanring/core/ids_type.h"

#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace banyanring {

/** A step in the life of a request. */
enum class Step : std::uint8_t {
    Arrived, ///< Its key and route were accepted.
    TokensHeld, ///< Its tokens are reserved.
    TokensAsked, ///< Tokens were asked of peers.
    Queued, ///< It waits for a slot.
    SlotsAsked, ///< Slots were asked of a peer.
    Dispatched, ///< It was sent to a backend server.
    Retried, ///< No byte was written; it waits again.
    Answered, ///< The answer is whole.
    Refused, ///< It was refused or failed; the detail says why.
    Forwarded, ///< It was passed to the peer that owns its ticket.
    Attached, ///< It joined the run of its ticket.
    CallerGone, ///< Its caller closed the connection.
};

/**
 * Names a step.
 * @param step The step.
 * @return Lower-case words joined by underscores.
 */
auto stepName(Step step) -> std::string_view;

/** One decision. */
struct Decision
{
    std::string requestId;
    Instant at{};
    Step step = Step::Arrived;
    std::string detail; ///< What was chosen, and by which figures.
};

/** A bounded ring of decisions. */
class DecisionLog
{
public:
    /** @param capacity Decisions kept. */
    explicit DecisionLog(std::size_t capacity) : capacity(capacity) {}

    /** @param decision The newest decision. */
    auto add(Decision decision) -> void;

    /**
     * Finds the decisions on a request.
     * @param requestId Its id.
     * @return The decisions, oldest first.
     */
    auto find(std::string_view requestId) const -> std::vector<Decision>;

private:
    std::size_t capacity;
    std::deque<Decision> ring;
};

} // namespace banyanring
