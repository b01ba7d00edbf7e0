/** @file node_settings_type.h Tunable values of the decision core; the settings table fills them.
 */
#pragma once

#include "banyanring/core/ids_type.h"

namespace banyanring {

/** Tunable values of the decision core. */
struct NodeSettings
{
    Duration peerTimeout = std::chrono::seconds(4); ///< A peer unheard this long is out of contact.
    Duration gossipInterval = std::chrono::milliseconds(250); ///< Time between two gossip pulls.
    std::uint32_t maxGossipHeartbeats = 60; ///< Most heartbeats in a gossip reply.
    Duration tokenLoanDuration = std::chrono::seconds(5); ///< Length of a token loan.
    Duration slotLoanDuration = std::chrono::seconds(5); ///< Length of a slot loan.
    Duration tokenLoanTimeout = std::chrono::milliseconds(600); ///< Longest wait for token loans.
    double partitionRate = 10000; ///< Tokens a second that one part carries.
    double minPartitionBurst = 4000; ///< Least burst of a part, in tokens.
    std::uint32_t minPartitions = 3; ///< Parts of an organisation, if its burst allows.
    std::uint32_t slotBlockSize = 1; ///< Adjoining slots with the same natural holder.
    Duration loadReportTtl =
        std::chrono::seconds(2); ///< A server counts as warm this long after a report.
    std::uint32_t queueCapacity = 256; ///< Requests that may wait for one service.
    Duration ticketTtl = std::chrono::seconds(30); ///< Life of an unused ticket.
    Duration responseRetention = std::chrono::seconds(120); ///< How long a ticket's answer is kept.
    std::uint64_t maxStoredResponseBytes = 64ULL << 20U; ///< Most bytes of kept answers.
    std::uint32_t maxTickets = 100000; ///< Most used tickets remembered.
    Duration addressTtl = std::chrono::seconds(5); ///< How long callers keep an address answer.
    Duration drainDelay = std::chrono::seconds(6); ///< Time a stopping node still takes requests.
    Duration maxConfigStaleness =
        std::chrono::seconds(2); ///< Longest time of dispatches under an old configuration.
    Duration crashSuspectRetention = std::chrono::minutes(10); ///< How long a crash suspect is remembered.
    Duration crashAckTimeout = std::chrono::seconds(4); ///< Longest wait for crash acknowledgements.
    std::uint32_t decisionLogCapacity = 20000; ///< Decisions remembered for explanations.
    double longRequestShare = 0.7; ///< Share of slots that long requests may take.
};

} // namespace banyanring
