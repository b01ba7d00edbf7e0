/** @file server_health_base.h State of backend servers: cold start, throughput, reachability. */
#pragma once

#include "banyanring/core/config_type.h"
#include "banyanring/core/event_type.h"
#include "banyanring/core/node_settings_type.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace banyanring {

/** Tracks the state of backend servers. A server without a load report counts as cold. */
class ServerHealth
{
public:
    /** State of one backend server. */
    struct State
    {
        std::uint64_t startedAt = 0; ///< Newest reported start time; 0 for none.
        bool reported = false; ///< A load report of this start was received.
        bool cold = true; ///< Is in cold start.
        bool reachable = true; ///< The last fetch of a load report reached it.
        bool suspected = false; ///< May have restarted; no later load report has cleared this yet.
        Instant suspectedAt{};
        Instant warmSince{}; ///< Time at which this node first saw it warm.
        Instant reportValidUntil{}; ///< The last load report is valid until then.
        double tokensPerSecond = 0; ///< Moving average of a single request; 0 if unknown.
        std::vector<std::uint16_t> runningSlots; ///< Slots of the request ids in the last report.
        /** Start times of own dispatches that the last report may not include. */
        std::vector<Instant> unreportedDispatches;
        std::uint32_t running = 0; ///< Requests running there according to the last report.
    };

    /** @param nodeSettings Tunable values; must outlive this object. */
    explicit ServerHealth(const NodeSettings &nodeSettings) : settings(nodeSettings) {}

    /**
     * Applies a load report. One that was sampled before the server became suspected is ignored.
     * @param report The report.
     * @param now Current time.
     * @return Whether the usability of the server changed.
     */
    auto applyReport(const LoadReport &report, Instant now) -> bool;

    /**
     * Marks a server as possibly restarted or crashed, after a reset or refused connection or a
     * crash notice.
     * @param server The backend server.
     * @param now Current time.
     */
    auto markSuspected(ServerId server, Instant now) -> void;

    /**
     * Records a dispatch by this node.
     * @param server The backend server.
     * @param now Current time.
     */
    auto recordDispatch(ServerId server, Instant now) -> void;

    /**
     * Updates the average throughput after a response.
     * @param server The backend server.
     * @param tokens Tokens that the request used; 0 if unknown.
     * @param elapsed Duration of the request.
     */
    auto recordThroughput(ServerId server, std::uint32_t tokens, Duration elapsed) -> void;

    /**
     * Returns the number of usable slots: those with a lower index may be used.
     * @param server The backend server.
     * @param now Current time.
     * @return The limit: 0 if the server is unreachable; at most the cold slots in cold start or
     *         without a fresh report; once warm, a limit that doubles each second.
     */
    auto slotLimit(const BackendServer &server, Instant now) const -> std::uint16_t;

    /**
     * Returns the time until which a server counts as warm if no further load report arrives.
     * @param server The backend server.
     * @return The time; a dispatch beyond the cold slots must be written by then.
     */
    auto warmUntil(ServerId server) const -> Instant;

    /**
     * Returns the state of a server.
     * @param server The backend server.
     * @return Its state; the default state if there is none.
     */
    auto state(ServerId server) const -> const State &;

    /** @return The states of all servers. */
    auto allStates() const -> const std::unordered_map<ServerId, State> &
    {
        return this->states;
    }

    /** @param config Configuration in force; states of servers that it lacks are removed. */
    auto applyConfig(const Config &config) -> void;

private:
    const NodeSettings &settings;
    std::unordered_map<ServerId, State> states;
};

} // namespace banyanring
