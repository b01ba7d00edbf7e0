/** @file event_stream_parser.h Splits a stream of server-sent events into complete events. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace banyanring::gateway {

/**
 * Buffers the event stream of a server and returns complete events only, so that a stream that is
 * truncated inside an event can be resumed at another server.
 */
class EventStreamParser
{
public:
    /** @param after Id of the last event already delivered; events up to it are skipped. */
    explicit EventStreamParser(std::optional<std::uint64_t> after) : lastId(after) {}

    /** Result of parsing new data. */
    struct Parsed
    {
        std::string events; ///< Complete events to deliver.
        bool gap = false; ///< Event ids are not consecutive; no later event may be delivered.
        bool tooLong = false; ///< The incomplete event is longer than any event may be.
    };

    /**
     * Parses data from the server.
     * @param data Next bytes of the stream.
     * @return The complete events that were not delivered before.
     */
    auto feed(std::string_view data) -> Parsed;

    /** Prepares for the stream of another server: drops an incomplete event of the last one. */
    auto reset() -> void
    {
        this->incompleteEvent.clear();
        this->count = 0;
    }

    /** @return Number of events returned since the last reset. */
    auto eventCount() const -> std::uint64_t
    {
        return this->count;
    }

    /** @return Whether the data so far ends at an event boundary. */
    auto atEventBoundary() const -> bool
    {
        return this->incompleteEvent.empty();
    }

    /** @return Id of the last event returned that had one. */
    auto lastEventId() const -> std::optional<std::uint64_t>
    {
        return this->lastId;
    }

    static constexpr std::size_t MaxEventBytes = 65536; ///< Longer events are not delivered.

private:
    std::string incompleteEvent;
    std::uint64_t count = 0;
    std::optional<std::uint64_t> lastId;
};

} // namespace banyanring::gateway
