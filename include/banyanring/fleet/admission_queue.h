/** @file admission_queue.h Queue of the requests of one service that wait for a free slot. */
#pragma once

#include "banyanring/fleet/fair_shares.h"
#include "banyanring/fleet/wait_forecast.h"

#include <optional>
#include <string>
#include <vector>

namespace banyanring::fleet {

/** A request that waits for a slot. */
struct QueuedRequest
{
    std::uint64_t number = 0; ///< Identifies the request in the queue.
    std::uint32_t tier = 0; ///< Priority tier, 0 the most urgent.
    std::uint32_t organisation = 0; ///< hashName of its organisation; 0 for none.
    double cost = 1; ///< Work of the request, in any unit that all requests of the queue share.
    Instant latencyDeadline{}; ///< Latest dispatch time at which it still meets its latency target.
    Instant queueDeadline{}; ///< It is rejected if it still waits at this time.
    double work = 0; ///< expectedServiceMs; only used for forecasts.
    double weight = 0; ///< Weight of its organisation; 0 for none.
};

/** A waiting request in the order of dispatch. */
struct OrderedRequest
{
    std::uint64_t number = 0; ///< Identifies the request in the queue.
    /** Rank of its organisation by FairShares; nullopt if no organisation has a weight. */
    std::optional<std::uint32_t> shareRank;
};

/**
 * Orders waiting requests by priority. Requests that can still meet their latency target come
 * first; among these the most urgent tier, then the organisation of the lowest rank by FairShares,
 * then the earliest latency deadline. If no organisation has a weight, the one with the least
 * recent usage comes first instead. Requests that have missed their deadline follow in the same
 * order.
 */
class AdmissionQueue
{
public:
    /** @param request Request to add. */
    auto push(const QueuedRequest &request) -> void;

    /**
     * Removes a request.
     * @param number Number of the request.
     * @return Whether it was waiting.
     */
    auto remove(std::uint64_t number) -> bool;

    /**
     * Lists the waiting requests in the order in which they should be dispatched.
     * @param now Current time.
     * @return The requests.
     */
    auto rankedOrder(Instant now) const -> std::vector<OrderedRequest>;

    /** @return Numbers of the requests of rankedOrder(). */
    auto dispatchOrder(Instant now) const -> std::vector<std::uint64_t>;

    /**
     * Adds the work of a dispatched request to the usage of its organisation.
     * @param organisation hashName of the organisation.
     * @param cost Work of the request.
     * @param now Current time.
     * @param weight Weight of the organisation; 0 for none.
     */
    auto recordUsage(std::uint32_t organisation, double cost, Instant now, double weight = 0)
        -> void;

    /**
     * Removes the requests that have reached their queue deadline.
     * @param now Current time.
     * @return Numbers of the removed requests.
     */
    auto popExpired(Instant now) -> std::vector<std::uint64_t>;

    /**
     * Counts the waiting requests that would be dispatched before a new one of a tier.
     * @param tier Tier of the new request.
     * @param latencyDeadline Its latency deadline.
     * @param now Current time.
     * @return Number of requests; the usage of organisations is not taken into account.
     */
    auto countAhead(std::uint32_t tier, Instant latencyDeadline, Instant now) const -> std::size_t;

    /**
     * Counts the waiting requests that would be dispatched before a given one. The usage of
     * organisations is not taken into account.
     * @param number Number of the request.
     * @param now Current time.
     * @return Number of requests; 0 if the request does not wait.
     */
    auto countAheadOf(std::uint64_t number, Instant now) const -> std::size_t;

    /**
     * Finds the place of a waiting request. The usage of organisations is not taken into account.
     * @param number Number of the request; it must be waiting.
     * @param later Later arrivals that count as ahead of it.
     * @param now Current time.
     * @return Its place.
     */
    auto placeOf(std::uint64_t number, LaterArrivals later, Instant now) const -> QueuePlace;

    /** @return Number of waiting requests. */
    auto size() const -> std::size_t
    {
        return this->waiting.size();
    }

private:
    auto shareRanks(Instant now) const -> std::optional<FairShares::Ranks>;

    std::vector<QueuedRequest> waiting;
    FairShares shares;
};

/** Waiting requests of a service, and the rate at which it serves them. */
struct ServiceQueue
{
    AdmissionQueue waiting;
    std::size_t runningCount = 0; ///< Requests that run at backend servers.
    double averageResponseMs = 0; ///< Moving average of the time at a server; 0 if unknown.
    double averageExpectedMs = 0; ///< Moving average of the time that new requests should take.

    /** @param duration Time that a request took at a server. */
    auto recordResponseTime(Duration duration) -> void;

    /** @param profile Profile of a new request. */
    auto recordProfile(const RequestProfile &profile) -> void;

    /** @return Whether a request should take as long as an average one of the service or longer. */
    auto isLong(const RequestProfile &profile) const -> bool
    {
        return expectedServiceMs(profile) >= this->averageExpectedMs;
    }

    /**
     * Estimates how long a request waits.
     * @param ahead Number of requests that are dispatched before it.
     * @return Expected time until its dispatch.
     */
    auto expectedWait(std::size_t ahead) const -> Duration;
};

} // namespace banyanring::fleet
