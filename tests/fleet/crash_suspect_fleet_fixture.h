/** @file crash_suspect_fleet_fixture.h Test base class: the crash suspects of a simulated fleet. */
#pragma once

#include "banyanring/fleet/crash_suspects.h"
#include "banyanring/gateway/gossip_codec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <random>

namespace banyanring::test {

/** Nodes that exchange their crash suspects by lossy gossip. */
class CrashSuspectFleetFixtureBase : public CppUnit::TestFixture
{
protected:
    static constexpr Duration Step = std::chrono::milliseconds(50);
    /** Of the largest bench deployments. */
    static constexpr Duration StableWindow = std::chrono::seconds(4);
    /** Until the first event or the crash. */
    static constexpr Duration RunTime = std::chrono::milliseconds(300);
    static constexpr int MaxLateRequests = 3; ///< Target: requests that may still run.
    static constexpr int LossPercent = 10;
    static constexpr int StepsPerSecond = 20;
    static constexpr std::size_t FanOut = 10;
    static constexpr int RoundSteps = 4;
    static constexpr int RoundsPerFullMessage = 5;

    auto startNodes(std::size_t nodeCount, std::uint64_t seed) -> void
    {
        this->nodes = std::vector<fleet::CrashSuspects>(nodeCount);
        this->random.seed(seed);
        this->now = std::chrono::seconds(100);
        this->sentBytes = 0;
    }

    auto anyNode() -> std::size_t
    {
        return this->random() % this->nodes.size();
    }

    auto exchangeGossip(int step) -> void
    {
        this->now += Step;
        for (std::size_t node = 0; node < this->nodes.size(); ++node) {
            const auto phase = step + static_cast<int>(node);
            const bool isFull = phase % (RoundSteps * RoundsPerFullMessage) == 0;
            if (phase % RoundSteps != 0 || !(isFull || this->nodes[node].hasNews(this->now))) {
                continue;
            }
            const auto reports = this->nodes[node].reports(this->now);
            this->sentBytes += FanOut * encodedBytes(reports);
            for (std::size_t target = 0; target < FanOut; ++target) {
                if (this->random() % 100 >= LossPercent) {
                    this->nodes[this->anyNode()].mergePeerReports(reports, this->now);
                }
            }
        }
    }

    /** @return Bytes that reports add to a gossip message. */
    static auto encodedBytes(const std::vector<fleet::CrashSuspectReport> &reports) -> std::size_t
    {
        fleet::GossipMessage message;
        const auto emptyBytes = gateway::encodeGossip(message).size();
        message.crashSuspects = reports;
        return gateway::encodeGossip(message).size() - emptyBytes;
    }

    std::vector<fleet::CrashSuspects> nodes;
    std::mt19937_64 random;
    Instant now{};
    std::size_t sentBytes = 0; ///< Reports that all nodes have sent since the last check.
};

} // namespace banyanring::test
