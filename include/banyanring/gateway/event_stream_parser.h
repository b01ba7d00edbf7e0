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
        /** The next event does not continue the stream; neither it nor a later one may follow. */
        bool gap = false;
        bool tooLong = false; ///< The incomplete event is longer than any event may be.
    };

    /**
     * Parses data from the server.
     * @param data Next bytes of the stream.
     * @return The complete events that were not delivered before.
     */
    auto feed(std::string_view data) -> Parsed;

    /** Prepares for the stream of another server: drops an incomplete event of the last one. */
    auto reset() -> void;

    /** @return Whether another server can continue the stream: each event returned has an id. */
    auto canResume() const -> bool
    {
        return !this->unnumbered;
    }

    /** @return Number of events returned since the last reset, without comments. */
    auto eventCount() const -> std::uint64_t
    {
        return this->count;
    }

    /**
     * @return Whether a stream that ends here without any event since the last reset can be
     * complete: there is an event that it continues, and no server has begun a later one.
     */
    auto mayEndWithoutEvents() const -> bool
    {
        return this->lastId && !this->nextEventBegun;
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
    auto breaksSequence(std::optional<std::uint64_t> id) const -> bool;

    std::string incompleteEvent;
    std::uint64_t count = 0;
    bool resumed = false; ///< Events were returned before the last reset.
    bool unnumbered = false; ///< An event without an id was returned.
    bool nextEventBegun = false; ///< A reset dropped an event that no server has repeated since.
    std::optional<std::uint64_t> lastId;
};

} // namespace banyanring::gateway
