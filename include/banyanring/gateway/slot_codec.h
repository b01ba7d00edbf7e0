/** @file slot_codec.h Messages about slots as msgpack. */
#pragma once

#include "banyanring/fleet/slot_type.h"

#include <optional>
#include <string>
#include <string_view>

namespace banyanring::gateway {

/** @return The bytes of a message about slots. */
auto encodeSlotAsk(const fleet::SlotRequest &ask) -> std::string;
auto encodeSlotReply(const fleet::SlotReply &reply) -> std::string; ///< @copydoc encodeSlotAsk
auto encodeSlotReport(const fleet::SlotReport &report) -> std::string; ///< @copydoc encodeSlotAsk
/** @copydoc encodeSlotAsk */
auto encodeSlotHoldings(const fleet::HeldSlots &holdings) -> std::string;
/** @copydoc encodeSlotAsk */
auto encodeSlotRooms(const std::vector<fleet::FreeSlotCount> &rooms) -> std::string;

/** @return The message; nothing if the bytes are none. */
auto decodeSlotAsk(std::string_view bytes) -> std::optional<fleet::SlotRequest>;
/** @copydoc decodeSlotAsk */
auto decodeSlotReply(std::string_view bytes) -> std::optional<fleet::SlotReply>;
/** @copydoc decodeSlotAsk */
auto decodeSlotReport(std::string_view bytes) -> std::optional<fleet::SlotReport>;
/** @copydoc decodeSlotAsk */
auto decodeSlotHoldings(std::string_view bytes) -> std::optional<fleet::HeldSlots>;
/** @copydoc decodeSlotAsk */
auto decodeSlotRooms(std::string_view bytes) -> std::optional<std::vector<fleet::FreeSlotCount>>;

} // namespace banyanring::gateway
