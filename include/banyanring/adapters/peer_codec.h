/** @file peer_codec.h Encoding of the messages between nodes as msgpack. */
#pragma once

#include "banyanring/adapters/config_codec.h"
#include "banyanring/core/message_type.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace banyanring {

/** Requests the configuration and VM list that a peer has in force. */
struct PlatformSnapshotRequest
{
};

/** The configuration and VM list that a node has in force, as published by the platform. */
struct PlatformSnapshot
{
    Revision configRevision = 0; ///< 0 without a configuration.
    Shards shards;
    std::string vmList; ///< JSON; empty without a list.
};

/** All messages between nodes. */
using WireMessage = std::variant<PeerMessage, PlatformSnapshotRequest, PlatformSnapshot>;

/** A message and its sender. */
struct Envelope
{
    NodeId from = 0;
    WireMessage message;
};

/**
 * Encodes a message.
 * @param envelope The message and its sender.
 * @return msgpack bytes.
 */
auto encodeEnvelope(const Envelope &envelope) -> std::string;

/**
 * Decodes a message.
 * @param bytes Bytes that were received.
 * @return The message; nothing if the bytes are malformed or of another wire version.
 */
auto decodeEnvelope(std::string_view bytes) -> std::optional<Envelope>;

} // namespace banyanring
