/** @file baseline.cpp Baselines for the policy measures. */
#include "baseline.h"

#include "banyanring/core/token_bucket.h"

#include <algorithm>

namespace banyanring::test {

namespace {

/** A server with its own first-come, first-served queue, as an engine admits. */
struct Queue
{
    std::vector<Instant> freeAt; ///< When each slot is free again.
    std::vector<std::pair<Instant, Instant>> spans; ///< Arrival and end of what it was given.

    auto outstanding(Instant when) const -> std::size_t
    {
        return static_cast<std::size_t>(
            std::count_if(this->spans.begin(), this->spans.end(), [when](const auto &span) {
                return span.first <= when && span.second > when;
            }));
    }
};

} // namespace

auto runBaseline(const BaselineSettings &settings, const std::vector<Arrival> &arrivals)
    -> std::vector<Result>
{
    std::mt19937_64 random(settings.seed);
    std::vector<Queue> queues;
    for (const auto &server : settings.servers) {
        queues.push_back({std::vector<Instant>(server.slots), {}});
    }
    std::map<std::pair<std::string, std::uint64_t>, TokenBucket> buckets;
    std::vector<Result> results(arrivals.size());
    std::size_t next = 0;
    for (std::size_t index = 0; index < arrivals.size(); ++index) {
        const auto &arrival = arrivals[index];
        const auto node = random() % static_cast<std::uint64_t>(settings.nodes);
        const auto [rate, burst] = settings.limits.at(arrival.organisation);
        const auto share = 1.0 / settings.nodes;
        auto &bucket = buckets
                           .try_emplace({arrival.organisation, node}, rate * share, burst * share,
                                        Instant(std::chrono::seconds(-1000)))
                           .first->second;
        if (!bucket.reserve(arrival.tokens, arrival.at)) {
            results[index].refusal = Reason::OverRate;
            continue;
        }
        bucket.spend(arrival.tokens);
        std::vector<std::size_t> usable;
        for (std::size_t server = 0; server < queues.size(); ++server) {
            const bool out = settings.servers[server].domain == 0
                             && arrival.at >= settings.domainOutAt
                             && arrival.at < settings.domainBackAt;
            if (!out) {
                usable.push_back(server);
            }
        }
        const auto load = [&](std::size_t server) {
            return queues[server].outstanding(arrival.at - settings.reportAge);
        };
        auto chosen = usable[next++ % usable.size()];
        if (settings.choice == Choice::LeastOutstanding) {
            chosen = *std::min_element(usable.begin(), usable.end(), [&](auto left, auto right) {
                return load(left) < load(right);
            });
        } else if (settings.choice == Choice::TwoChoices) {
            const auto left = usable[random() % usable.size()];
            const auto right = usable[random() % usable.size()];
            chosen = load(left) <= load(right) ? left : right;
        }
        auto &queue = queues[chosen];
        const auto slot = std::min_element(queue.freeAt.begin(), queue.freeAt.end());
        const auto work = std::min(0.2 + arrival.tokens / settings.servers[chosen].speed, 8.0);
        const auto start = std::max(arrival.at, *slot);
        const auto spread = std::uniform_real_distribution<double>(0.5, 1.1)(random);
        *slot = start + Duration(static_cast<std::int64_t>(work * spread * 1e6));
        queue.spans.emplace_back(arrival.at, *slot);
        results[index].written = true;
        results[index].answeredAt = *slot;
    }
    return results;
}

} // namespace banyanring::test
