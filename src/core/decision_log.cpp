/** @file decision_log.cpp Bounded log of recent decisions. */
#include "banyanring/core/decision_log_base.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace banyanring {

auto stepName(Step step) -> std::string_view
{
    constexpr std::array<std::string_view, 12> Names{
        "arrived", "tokens_held", "tokens_asked", "queued",    "slots_asked", "dispatched",
        "retried", "answered",    "refused",      "forwarded", "attached",    "caller_gone"};
    return Names.at(static_cast<std::size_t>(step));
}

auto DecisionLog::add(Decision decision) -> void
{
    if (this->ring.size() >= this->capacity) {
        this->ring.pop_front();
    }
    this->ring.push_back(std::move(decision));
}

auto DecisionLog::find(std::string_view requestId) const -> std::vector<Decision>
{
    std::vector<Decision> result;
    std::copy_if(this->ring.begin(), this->ring.end(), std::back_inserter(result),
                 [&](const auto &decision) { return decision.requestId == requestId; });
    return result;
}

} // namespace banyanring
