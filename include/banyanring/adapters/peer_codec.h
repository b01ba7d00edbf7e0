/** @file peer_codec.h Messages between nodes as msgpack. */
#pragma once

#include "banyanring/adapters/config_codec.h"
#include "banyanring/core/message_type.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace banyanring {

/** Asks a peer for the published values that it has in force. */
struct ValuesAsk
{
};

/** The published values that a node has in force. */
struct Values
{
    Revision configRevision = 0; ///< 0 if it has none.
    Shards shards;
    std::string vmList; ///< JSON; empty if it has none.
};

using WireMessage = std::variant<PeerMessage, ValuesAsk, Values>; ///< What peers send each other.

/** A message with its sender. */
struct Envelope
{
    NodeId from = 0;
    WireMessage message;
};

/**
 * Encodes a message.
 * @param envelope The message and its sender.
 * @return Bytes.
 */
auto encodePeer(const Envelope &envelope) -> std::string;

/**
 * Decodes a message.
 * @param bytes What arrived.
 * @return The message; nothing if the bytes are not one.
 */
auto decodePeer(std::string_view bytes) -> std::optional<Envelope>;

} // namespace banyanring
