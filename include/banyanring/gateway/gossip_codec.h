/** @file gossip_codec.h Messages between nodes as msgpack. */
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
auto encodeReport(const fleet::UsageReport &report) -> std::string;

/**
 * Decodes a report.
 * @param bytes Received bytes.
 * @return The report; nothing if the bytes are none.
 */
auto decodeReport(std::string_view bytes) -> std::optional<fleet::UsageReport>;

/**
 * Encodes the answer to a report's question.
 * @param answer The answer.
 * @return Its bytes.
 */
auto encodeAnswer(const fleet::UsageReply &answer) -> std::string;

/**
 * Decodes the answer to a report's question.
 * @param bytes Received bytes.
 * @return The answer; nothing if the bytes are none.
 */
auto decodeAnswer(std::string_view bytes) -> std::optional<fleet::UsageReply>;

/**
 * Encodes changes of the store.
 * @param batch The changes.
 * @return Their bytes, to be sent in one datagram.
 */
auto encodeBatch(const fleet::StoreChangeBatch &batch) -> std::string;

/**
 * Decodes changes of the store.
 * @param bytes Received bytes.
 * @return The changes; nothing if the bytes are none.
 */
auto decodeBatch(std::string_view bytes) -> std::optional<fleet::StoreChangeBatch>;

/**
 * Encodes a mirror of the store.
 * @param mirror The mirror.
 * @return Its bytes.
 */
auto encodeMirror(const fleet::StoreMirror &mirror) -> std::string;

/** A mirror that a peer gave. */
struct PeerMirror
{
    fleet::StoreMirror::Items items; ///< All items.
    std::uint64_t revision = 0; ///< Store revision that it has reached.
};

/**
 * Decodes a mirror of the store.
 * @param bytes Received bytes.
 * @return The mirror; nothing if the bytes are none.
 */
auto decodeMirror(std::string_view bytes) -> std::optional<PeerMirror>;

} // namespace banyanring::gateway
