/** @file slot_codec.h Encodes and decodes slot messages as msgpack. */
#pragma once

#include "banyanring/fleet/slot_type.h"

#include <optional>
#include <string>
#include <string_view>

namespace banyanring::gateway {

/** @return The encoded message, to be sent in one datagram. */
auto encodeSlotRequest(const fleet::SlotAsk &request) -> std::string;
auto encodeSlotReply(const fleet::SlotReply &reply) -> std::string; ///< @copydoc encodeSlotRequest
auto encodeSlotReport(const fleet::SlotReport &report)
    -> std::string; ///< @copydoc encodeSlotRequest
/** @copydoc encodeSlotRequest */
auto encodeHeldSlots(const fleet::SlotHoldings &heldSlots) -> std::string;
/** @copydoc encodeSlotRequest */
auto encodeFreeSlots(const std::vector<fleet::SlotRoom> &counts) -> std::string;

/** @return The decoded message; nullopt if the bytes are malformed or of another wire version. */
auto decodeSlotRequest(std::string_view bytes) -> std::optional<fleet::SlotAsk>;
/** @copydoc decodeSlotRequest */
auto decodeSlotReply(std::string_view bytes) -> std::optional<fleet::SlotReply>;
/** @copydoc decodeSlotRequest */
auto decodeSlotReport(std::string_view bytes) -> std::optional<fleet::SlotReport>;
/** @copydoc decodeSlotRequest */
auto decodeHeldSlots(std::string_view bytes) -> std::optional<fleet::SlotHoldings>;
/** @copydoc decodeSlotRequest */
auto decodeFreeSlots(std::string_view bytes) -> std::optional<std::vector<fleet::SlotRoom>>;

} // namespace banyanring::gateway
