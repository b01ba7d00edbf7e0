/** @file baseline.cpp Baseline policies of the benchmark. */
#include "baseline.h"

#include "banyanring/core/token_bucket.h"

#include <algorithm>

namespace banyanring::test {

namespace {

/** Backend server with its own FIFO queue, like the admission queue of an inference engine. */
struct ServerQueue
{
    std::vector<Instant> slotFreeAt; ///< Time at which each slot becomes free.
    /** Arrival and completion of its requests. */
    std::vector<std::pair<Instant, Instant>> requestSpans;

    auto outstanding(Instant time) const -> std::size_t
    {
        return static_cast<std::size_t>(std::count_if(
            this->requestSpans.begin(), this->requestSpans.end(),
            [time](const auto &span) { return span.first <= time && span.second > time; }));
    }
};

} // namespace

auto runBaseline(const BaselineSettings &settings, const std::vector<Arrival> &arrivals)
    -> std::vector<ArrivalResult>
{
    std::mt19937_64 random(settings.seed);
    std::vector<ServerQueue> serverQueues;
    for (const auto &server : settings.servers) {
        serverQueues.push_back({std::vector<Instant>(server.slotCount), {}});
    }
    std::map<std::pair<std::string, std::uint64_t>, TokenBucket> buckets;
    std::vector<ArrivalResult> results(arrivals.size());
    std::size_t nextServer = 0;
    for (std::size_t index = 0; index < arrivals.size(); ++index) {
        const auto &arrival = arrivals[index];
        const auto node = random() % static_cast<std::uint64_t>(settings.nodeCount);
        const auto [rate, burst] = settings.rateLimits.at(arrival.organisation);
        const auto fraction = 1.0 / settings.nodeCount;
        auto &bucket = buckets
                           .try_emplace({arrival.organisation, node}, rate * fraction,
                                        burst * fraction, Instant(std::chrono::seconds(-1000)))
                           .first->second;
        if (!bucket.reserve(arrival.tokens, arrival.at)) {
            results[index].rejection = Reason::OverRate;
            continue;
        }
        bucket.spend(arrival.tokens);
        std::vector<std::size_t> usable;
        for (std::size_t server = 0; server < serverQueues.size(); ++server) {
            const bool outOfService = settings.servers[server].domain == 0
                                      && arrival.at >= settings.outageStart
                                      && arrival.at < settings.outageEnd;
            if (!outOfService) {
                usable.push_back(server);
            }
        }
        const auto load = [&](std::size_t server) {
            return serverQueues[server].outstanding(arrival.at - settings.loadReportAge);
        };
        auto chosen = usable[nextServer++ % usable.size()];
        if (settings.policy == LoadBalancingPolicy::LeastOutstanding) {
            chosen = *std::min_element(usable.begin(), usable.end(), [&](auto left, auto right) {
                return load(left) < load(right);
            });
        } else if (settings.policy == LoadBalancingPolicy::TwoChoices) {
            const auto left = usable[random() % usable.size()];
            const auto right = usable[random() % usable.size()];
            chosen = load(left) <= load(right) ? left : right;
        }
        auto &queue = serverQueues[chosen];
        const auto slot = std::min_element(queue.slotFreeAt.begin(), queue.slotFreeAt.end());
        const auto serviceSeconds =
            std::min(0.2 + arrival.tokens / settings.servers[chosen].tokensPerSecond, 8.0);
        const auto start = std::max(arrival.at, *slot);
        const auto variation = std::uniform_real_distribution<double>(0.5, 1.1)(random);
        *slot = start + Duration(static_cast<std::int64_t>(serviceSeconds * variation * 1e6));
        queue.requestSpans.emplace_back(arrival.at, *slot);
        results[index].dispatched = true;
        results[index].respondedAt = *slot;
    }
    return results;
}

} // namespace banyanring::test
