/** @file server_health_base.h What is known of each backend server: cold start, speed,
 * reachability. */
#pragma once

#include "banyanring/core/config_type.h"
#include "banyanring/core/event_type.h"
#include "banyanring/core/node_settings_type.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace banyanring {

/** Keeps the state of backend servers. A server of which nothing is known counts as cold. */
class ServerHealth
{
public:
    /** State of one backend server. */
    struct State
    {
        std::uint64_t startedAt = 0; ///< Newest start time known; 0 for none.
        bool reported = false; ///< A report told of this start.
        bool cold = true; ///< In cold start.
        bool reachable = true; ///< The last report or dispatch reached it.
        bool suspected = false; ///< Showed a sign of a restart that no report explained yet.
        Instant suspectedAt{};
        Instant warmSince{}; ///< When it turned warm here.
        Instant reportValidUntil{}; ///< The last report counts until then.
        double tokensPerSecond = 0; ///< Moving average per request; 0 for unknown.
        std::vector<std::uint16_t> runningSlots; ///< Slots of the requests that it named.
        std::vector<Instant> unreportedDispatches; ///< Own dispatches that the last report may not show.
        std::uint32_t running = 0; ///< Requests running there by the last report.
    };

    /** @param nodeSettings Tunable values; must outlive this object. */
    explicit ServerHealth(const NodeSettings &nodeSettings) : settings(nodeSettings) {}

    /**
     * Takes a load report. One that was sampled before a suspicion does not end it.
     * @param report The report.
     * @param now The present.
     * @return Whether it changes how the server may be used.
     */
    auto applyReport(const LoadReport &report, Instant now) -> bool;

    /**
     * Notes a sign that a server restarted or died: a reset or refused connection.
     * @param server The backend server.
     * @param now The present.
     */
    auto markSuspected(ServerId server, Instant now) -> void;

    /**
     * Notes an own dispatch.
     * @param server The backend server.
     * @param now The present.
     */
    auto recordDispatch(ServerId server, Instant now) -> void;

    /**
     * Learns from an answer.
     * @param server The backend server.
     * @param tokens Tokens that the request took; 0 for unknown.
     * @param took Time that it took.
     */
    auto recordThroughput(ServerId server, std::uint32_t tokens, Duration elapsed) -> void;

    /**
     * Gives the number of slots that may be used: those with a lower index.
     * @param server The backend server.
     * @param now The present.
     * @return The bound: none if it is unreachable, the cold slots in cold start or without a
     *         fresh report, doubled each second once warm.
     */
    auto slotLimit(const BackendServer &server, Instant now) const -> std::uint16_t;

    /**
     * Tells until when a server counts as warm if no further report is read.
     * @param server The backend server.
     * @return The instant; a dispatch beyond the cold slots must be written by then.
     */
    auto warmUntil(ServerId server) const -> Instant;

    /**
     * Gives the state of a server.
     * @param server The backend server.
     * @return Its state; the default one if nothing is known.
     */
    auto state(ServerId server) const -> const State &;

    /** @return All states. */
    auto allStates() const -> const std::unordered_map<ServerId, State> &
    {
        return this->states;
    }

    /** @param config Servers that are not in it are forgotten. */
    auto applyConfig(const Config &config) -> void;

private:
    const NodeSettings &settings;
    std::unordered_map<ServerId, State> states;
};

} // namespace banyanring
