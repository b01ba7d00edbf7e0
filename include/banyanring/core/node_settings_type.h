/** @file node_settings_type.h Tunable values of the decision core. */
#pragma once

#include "banyanring/core/ids_type.h"

namespace banyanring {

/** Tunable values of the decision core, filled from the settings file. */
struct NodeSettings
{
    /** A peer without a heartbeat for this long is unreachable. */
    Duration peerTimeout = std::chrono::seconds(4);
    Duration gossipInterval = std::chrono::milliseconds(250); ///< Interval between gossip pulls.
    std::uint32_t maxGossipHeartbeats = 60; ///< Maximum heartbeats in a gossip reply.
    Duration tokenLoanDuration = std::chrono::seconds(5); ///< Duration of a token loan.
    Duration slotLoanDuration = std::chrono::seconds(5); ///< Duration of a slot loan.
    /** Maximum time for which a request waits for token loans. */
    Duration tokenLoanTimeout = std::chrono::milliseconds(600);
    double partitionRate = 10000; ///< Tokens per second of one rate limit partition.
    double minPartitionBurst = 4000; ///< Minimum burst of a partition, in tokens.
    /** Minimum partitions of an organisation, if its burst allows. */
    std::uint32_t minPartitions = 3;
    std::uint32_t slotBlockSize = 1; ///< Number of adjacent slots with the same owner.
    /** A server counts as warm for this long after a load report. */
    Duration loadReportTtl = std::chrono::seconds(2);
    std::uint32_t queueCapacity = 256; ///< Maximum requests that wait for one service.
    Duration ticketTtl = std::chrono::seconds(30); ///< Lifetime of an unused ticket.
    /** Time for which a ticket's response is stored. */
    Duration responseRetention = std::chrono::seconds(120);
    std::uint64_t maxStoredResponseBytes = 64ULL << 20U; ///< Maximum bytes of stored responses.
    std::uint32_t maxTickets = 100000; ///< Maximum number of used tickets stored.
    /** Time for which callers cache entry addresses. */
    Duration addressTtl = std::chrono::seconds(5);
    /** Time for which a stopping node still accepts requests. */
    Duration drainDelay = std::chrono::seconds(6);
    /** Maximum time of dispatches under an outdated configuration. */
    Duration maxConfigStaleness = std::chrono::seconds(2);
    /** Time for which a crash suspect is stored. */
    Duration crashSuspectRetention = std::chrono::minutes(10);
    /** Maximum wait for acknowledgements of a crash notice. */
    Duration crashAckTimeout = std::chrono::seconds(4);
    std::uint32_t decisionLogCapacity = 20000; ///< Maximum number of logged decisions.
    double longRequestShare = 0.7; ///< Fraction of slots that long requests may use.
};

} // namespace banyanring
