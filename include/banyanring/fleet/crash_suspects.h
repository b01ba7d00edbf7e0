/** @file crash_suspects.h Requests that may crash each backend server that runs them. */
#pragma once

#include "banyanring/fleet/peer_state_type.h"

#include <set>
#include <unordered_map>

namespace banyanring::fleet {

/** Counts the backend servers that broke off while they ran a request. */
class CrashSuspects
{
public:
    /**
     * Notes that a server broke off without an answer.
     * @param fingerprint The request.
     * @param server Number of the server.
     * @param now The present.
     */
    auto note(std::uint64_t fingerprint, std::uint32_t server, Instant now) -> void;

    /**
     * Notes that a request was answered: it does not crash servers.
     * @param fingerprint The request.
     */
    auto clear(std::uint64_t fingerprint) -> void;

    /**
     * Takes what a peer noted.
     * @param suspects Its suspects.
     * @param now The present.
     */
    auto takePeer(const std::vector<SuspectStatement> &suspects, Instant now) -> void;

    /**
     * Tells whether a request is to be refused.
     * @param fingerprint The request.
     * @param now The present.
     * @return Whether it was running at enough servers when they broke off.
     */
    auto refused(std::uint64_t fingerprint, Instant now) const -> bool;

    /**
     * Lists what is worth telling peers: suspects of more than one server.
     * @param now The present.
     * @return The suspects.
     */
    auto statements(Instant now) const -> std::vector<SuspectStatement>;

    /**
     * Forgets old suspects.
     * @param now The present.
     */
    auto expire(Instant now) -> void;

private:
    /** One request. */
    struct Suspect
    {
        std::set<std::uint32_t> servers;
        Instant lastAt{};
    };

    std::unordered_map<std::uint64_t, Suspect> suspects;
};

} // namespace banyanring::fleet
