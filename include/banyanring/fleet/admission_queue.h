/** @file admission_queue.h Requests of one service that wait for a free slot. */
#pragma once

#include "banyanring/core/ids_type.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace banyanring::fleet {

/** A waiting request, as the queue sees it. */
struct QueuedRequest
{
    std::uint64_t run = 0; ///< Number of the request's run.
    std::uint32_t tier = 0; ///< Urgency, 0 the most urgent.
    std::uint32_t organisation = 0; ///< hashName of its organisation; 0 for none.
    double cost = 1; ///< Work that it brings, in any unit that is the same for all.
    Instant dueAt{}; ///< Sent after this, it misses its latency target.
    Instant refuseAt{}; ///< It is refused if it still waits then.
};

/**
 * Orders waiting requests. Those that can still meet their target go first; among these the most
 * urgent tier, then the organisation that was served least, then the one due first. Late ones use
 * what is left, in the same order.
 */
class AdmissionQueue
{
public:
    /** @param request The request. */
    auto push(const QueuedRequest &request) -> void;

    /**
     * Removes a request.
     * @param run Its run.
     * @return Whether it was waiting.
     */
    auto remove(std::uint64_t run) -> bool;

    /**
     * Lists the waiting requests in the order in which they are to be served.
     * @param now The present.
     * @return Runs.
     */
    auto order(Instant now) const -> std::vector<std::uint64_t>;

    /**
     * Notes that an organisation's request was sent.
     * @param organisation Its organisation.
     * @param cost Its work.
     * @param now The present.
     */
    auto noteServed(std::uint32_t organisation, double cost, Instant now) -> void;

    /**
     * Takes the requests whose time to be refused has come.
     * @param now The present.
     * @return Runs.
     */
    auto takeExpired(Instant now) -> std::vector<std::uint64_t>;

    /**
     * Counts the waiting requests that would be served before one of a tier.
     * @param tier The tier.
     * @param now The present.
     * @return The number.
     */
    auto ahead(std::uint32_t tier, Instant now) const -> std::size_t;

    /**
     * Counts the waiting requests that would be served before one of them, organisations alike.
     * @param run Its run.
     * @param now The present.
     * @return The number.
     */
    auto aheadOf(std::uint64_t run, Instant now) const -> std::size_t;

    /** @return The number of waiting requests. */
    auto size() const -> std::size_t
    {
        return this->waiting.size();
    }

private:
    /** What an organisation was served lately; fades. */
    struct Usage
    {
        double cost = 0;
        Instant at{};
    };

    auto usage(std::uint32_t organisation, Instant now) const -> double;

    std::vector<QueuedRequest> waiting;
    std::unordered_map<std::uint32_t, Usage> usages;
};

/** Waiting requests of a service, and how fast it serves them. */
struct ServiceQueue
{
    AdmissionQueue waiting;
    std::size_t running = 0; ///< Requests at servers.
    double averageMs = 0; ///< Usual time of a request at a server; 0 unknown.

    /** @param took Time that a request took at a server. */
    auto noteAnswer(Duration took) -> void;

    /**
     * Expects how long a request waits.
     * @param ahead Requests that are served before it.
     * @return The time.
     */
    auto expectedWait(std::size_t ahead) const -> Duration;
};

} // namespace banyanring::fleet
