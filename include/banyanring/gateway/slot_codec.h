/** @file slot_codec.h Encodes and decodes slot messages as msgpack. */
#pragma once

#include "banyanring/fleet/slot_type.h"

#include <optional>
#include <string>
#include <string_view>

namespace banyanring::gateway {

/** @return The encoded message, to be sent in one datagram. */
auto encodeSlotRequest(const fleet::SlotRequest &request) -> std::string;
/** @copydoc encodeSlotRequest */
auto encodeSlotReply(const fleet::SlotReply &reply) -> std::string;
/** @copydoc encodeSlotRequest */
auto encodeSlotReport(const fleet::SlotReport &report) -> std::string;
/** @copydoc encodeSlotRequest */
auto encodeHeldSlots(const fleet::HeldSlots &heldSlots) -> std::string;
/** @copydoc encodeSlotRequest */
auto encodeFreeSlots(const std::vector<fleet::FreeSlotCount> &counts) -> std::string;

/** @return The decoded message; nullopt if the bytes are malformed or of another wire version. */
auto decodeSlotRequest(std::string_view bytes) -> std::optional<fleet::SlotRequest>;
/** @copydoc decodeSlotRequest */
auto decodeSlotReply(std::string_view bytes) -> std::optional<fleet::SlotReply>;
/** @copydoc decodeSlotRequest */
auto decodeSlotReport(std::string_view bytes) -> std::optional<fleet::SlotReport>;
/** @copydoc decodeSlotRequest */
auto decodeHeldSlots(std::string_view bytes) -> std::optional<fleet::HeldSlots>;
/** @copydoc decodeSlotRequest */
auto decodeFreeSlots(std::string_view bytes) -> std::optional<std::vector<fleet::FreeSlotCount>>;

} // namespace banyanring::gateway
