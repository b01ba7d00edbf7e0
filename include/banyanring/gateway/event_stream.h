/** @file event_stream.h Splits a stream of events at their ends. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace banyanring::gateway {

/**
 * Collects a server's stream and gives out whole events only, so that a stream that breaks inside
 * an event can go on at another server.
 */
class EventStream
{
public:
    /** @param after Events up to this id were delivered already. */
    explicit EventStream(std::optional<std::uint64_t> after) : lastId(after) {}

    /** What came out of new data. */
    struct Taken
    {
        std::string events; ///< Whole events to deliver.
        bool gap = false; ///< An event is missing; nothing after it may be delivered.
    };

    /**
     * Takes data from the server.
     * @param data Next bytes.
     * @return The whole events in it that were not delivered before.
     */
    auto take(std::string_view data) -> Taken;

    /** A new server begins: what the old one left of an event is dropped. */
    auto restart() -> void
    {
        this->partial.clear();
        this->number = 0;
    }

    /** @return Events given out since the last restart. */
    auto delivered() const -> std::uint64_t
    {
        return this->number;
    }

    /** @return Whether the server's data ends at the end of an event. */
    auto atBoundary() const -> bool
    {
        return this->partial.empty();
    }

    /** @return Id of the last event given out, if any had one. */
    auto last() const -> std::optional<std::uint64_t>
    {
        return this->lastId;
    }

private:
    std::string partial;
    std::uint64_t number = 0;
    std::optional<std::uint64_t> lastId;
};

} // namespace banyanring::gateway
