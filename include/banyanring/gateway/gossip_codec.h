/** @file gossip_codec.h Messages between nodes as msgpack. */
#pragma once

#include "banyanring/fleet/peer_state_type.h"
#include "banyanring/fleet/published_book.h"

#include <optional>
#include <string>
#include <string_view>

namespace banyanring::gateway {

/**
 * Encodes a gossip message.
 * @param message The message.
 * @return Its bytes, to be sent in one datagram.
 */
auto encodeGossip(const fleet::GossipMessage &message) -> std::string;

/**
 * Decodes a gossip message.
 * @param bytes Received bytes.
 * @return The message; nothing if the bytes are none.
 */
auto decodeGossip(std::string_view bytes) -> std::optional<fleet::GossipMessage>;

/**
 * Encodes a report to a node that keeps an organisation's account.
 * @param report The report.
 * @return Its bytes.
 */
auto encodeUsageReport(const fleet::SpendReport &report) -> std::string;

/**
 * Decodes a report.
 * @param bytes Received bytes.
 * @return The report; nothing if the bytes are none.
 */
auto decodeUsageReport(std::string_view bytes) -> std::optional<fleet::SpendReport>;

/**
 * Encodes the answer to a report's question.
 * @param answer The answer.
 * @return Its bytes.
 */
auto encodeUsageReply(const fleet::SpendAnswer &answer) -> std::string;

/**
 * Decodes the answer to a report's question.
 * @param bytes Received bytes.
 * @return The answer; nothing if the bytes are none.
 */
auto decodeUsageReply(std::string_view bytes) -> std::optional<fleet::SpendAnswer>;

/**
 * Encodes changes of the store.
 * @param batch The changes.
 * @return Their bytes, to be sent in one datagram.
 */
auto encodeChangeBatch(const fleet::PublishedBatch &batch) -> std::string;

/**
 * Decodes changes of the store.
 * @param bytes Received bytes.
 * @return The changes; nothing if the bytes are none.
 */
auto decodeChangeBatch(std::string_view bytes) -> std::optional<fleet::PublishedBatch>;

/**
 * Encodes a mirror of the store.
 * @param mirror The mirror.
 * @return Its bytes.
 */
auto encodeMirror(const fleet::PublishedBook &mirror) -> std::string;

/** A mirror that a peer gave. */
struct MirrorSnapshot
{
    fleet::PublishedBook::Items items; ///< All items.
    std::uint64_t revision = 0; ///< Store revision that it has reached.
};

/**
 * Decodes a mirror of the store.
 * @param bytes Received bytes.
 * @return The mirror; nothing if the bytes are none.
 */
auto decodeMirror(std::string_view bytes) -> std::optional<MirrorSnapshot>;

} // namespace banyanring::gateway
