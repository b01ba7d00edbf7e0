/** @file slot_codec.h Messages about slots as msgpack. */
#pragma once

#include "banyanring/fleet/slot_type.h"

#include <optional>
#include <string>
#include <string_view>

namespace banyanring::gateway {

/** @return The bytes of a message about slots. */
auto encodeSlotRequest(const fleet::SlotAsk &ask) -> std::string;
auto encodeSlotReply(const fleet::SlotReply &reply) -> std::string; ///< @copydoc encodeSlotAsk
auto encodeSlotReport(const fleet::SlotReport &report) -> std::string; ///< @copydoc encodeSlotAsk
/** @copydoc encodeSlotAsk */
auto encodeHeldSlots(const fleet::SlotHoldings &holdings) -> std::string;
/** @copydoc encodeSlotAsk */
auto encodeFreeSlots(const std::vector<fleet::SlotRoom> &rooms) -> std::string;

/** @return The message; nothing if the bytes are none. */
auto decodeSlotRequest(std::string_view bytes) -> std::optional<fleet::SlotAsk>;
/** @copydoc decodeSlotAsk */
auto decodeSlotReply(std::string_view bytes) -> std::optional<fleet::SlotReply>;
/** @copydoc decodeSlotAsk */
auto decodeSlotReport(std::string_view bytes) -> std::optional<fleet::SlotReport>;
/** @copydoc decodeSlotAsk */
auto decodeHeldSlots(std::string_view bytes) -> std::optional<fleet::SlotHoldings>;
/** @copydoc decodeSlotAsk */
auto decodeFreeSlots(std::string_view bytes) -> std::optional<std::vector<fleet::SlotRoom>>;

} // namespace banyanring::gateway
