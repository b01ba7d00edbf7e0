/** @file gossip_codec.h Encodes and decodes messages between nodes as msgpack. */
#pragma once

#include "banyanring/fleet/peer_state_type.h"
#include "banyanring/fleet/store_mirror.h"

#include <optional>
#include <string>
#include <string_view>

namespace banyanring::gateway {

/**
 * Encodes a gossip message.
 * @param message The message.
 * @return The encoded message, to be sent in one datagram.
 */
auto encodeGossip(const fleet::GossipMessage &message) -> std::string;

/**
 * Decodes a gossip message.
 * @param bytes Received bytes.
 * @return The message; nullopt if the bytes are malformed or of another wire version.
 */
auto decodeGossip(std::string_view bytes) -> std::optional<fleet::GossipMessage>;

/**
 * Encodes a request for the statuses of nodes.
 * @param addressHashes hashName of their peer addresses.
 * @return The encoded request.
 */
auto encodeStatusRequest(const std::vector<std::uint32_t> &addressHashes) -> std::string;

/**
 * Decodes a request for the statuses of nodes.
 * @param bytes Received bytes.
 * @return hashName of their peer addresses; nullopt if the bytes are malformed or of another wire
 *         version.
 */
auto decodeStatusRequest(std::string_view bytes) -> std::optional<std::vector<std::uint32_t>>;

/**
 * Encodes a usage report to a coordinator of an organisation.
 * @param report The report.
 * @return The encoded report.
 */
auto encodeUsageReport(const fleet::UsageReport &report) -> std::string;

/**
 * Decodes a usage report.
 * @param bytes Received bytes.
 * @return The report; nullopt if the bytes are malformed or of another wire version.
 */
auto decodeUsageReport(std::string_view bytes) -> std::optional<fleet::UsageReport>;

/**
 * Encodes the reply to the usage query in a report.
 * @param reply The reply.
 * @return The encoded reply.
 */
auto encodeUsageReply(const fleet::UsageReply &reply) -> std::string;

/**
 * Decodes the reply to the usage query in a report.
 * @param bytes Received bytes.
 * @return The reply; nullopt if the bytes are malformed or of another wire version.
 */
auto decodeUsageReply(std::string_view bytes) -> std::optional<fleet::UsageReply>;

/**
 * Encodes changes of the store.
 * @param batch The changes.
 * @return The encoded changes, to be sent in one datagram.
 */
auto encodeChangeBatch(const fleet::StoreChangeBatch &batch) -> std::string;

/**
 * Decodes changes of the store.
 * @param bytes Received bytes.
 * @return The changes; nullopt if the bytes are malformed or of another wire version.
 */
auto decodeChangeBatch(std::string_view bytes) -> std::optional<fleet::StoreChangeBatch>;

/**
 * Encodes a mirror of the store.
 * @param mirror The mirror.
 * @param configText Configuration in force; after a restore, the store may hold an older one.
 * @return The encoded mirror.
 */
auto encodeMirror(const fleet::StoreMirror &mirror, std::string_view configText) -> std::string;

/** A peer's mirror at one position. */
struct MirrorSnapshot
{
    fleet::StoreMirror::Items items; ///< All items.
    fleet::StorePosition position; ///< Position of the mirror.
    std::string configText; ///< Configuration in force; empty before the first.
};

/**
 * Decodes a mirror of the store.
 * @param bytes Received bytes.
 * @return The mirror; nullopt if the bytes are malformed or of another wire version.
 */
auto decodeMirror(std::string_view bytes) -> std::optional<MirrorSnapshot>;

} // namespace banyanring::gateway
