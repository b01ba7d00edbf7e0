/** @file event_stream_parser.cpp Splits a stream of server-sent events into complete events. */
#include "banyanring/gateway/event_stream_parser.h"

#include <charconv>

namespace banyanring::gateway {

namespace {

constexpr std::string_view EventEnd = "\n\n"; ///< An empty line ends an event.
constexpr std::string_view IdField = "id:"; ///< Field with the id of an event.

/** @return The id of an event, if it has a numeric one. */
auto parseEventId(std::string_view event) -> std::optional<std::uint64_t>
{
    std::size_t position = 0;
    while (position < event.size()) {
        const auto end = std::min(event.find('\n', position), event.size());
        auto line = event.substr(position, end - position);
        position = end + 1;
        if (!line.starts_with(IdField)) {
            continue;
        }
        line.remove_prefix(IdField.size());
        line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
        std::uint64_t id = 0;
        if (std::from_chars(line.data(), line.data() + line.size(), id).ec == std::errc{}) {
            return id;
        }
    }
    return std::nullopt;
}

/** @return Whether an event has only comments and empty lines, which carry no data. */
auto isComment(std::string_view event) -> bool
{
    while (!event.empty()) {
        if (event.front() != ':' && event.front() != '\n') {
            return false;
        }
        event.remove_prefix(std::min(event.find('\n'), event.size() - 1) + 1);
    }
    return true;
}

} // namespace

auto EventStreamParser::feed(std::string_view data) -> Parsed
{
    Parsed parsed;
    this->incompleteEvent.append(data);
    std::size_t begin = 0;
    for (auto end = this->incompleteEvent.find(EventEnd); end != std::string::npos;
         end = this->incompleteEvent.find(EventEnd, begin)) {
        const auto event =
            std::string_view(this->incompleteEvent).substr(begin, end + EventEnd.size() - begin);
        begin = end + EventEnd.size();
        if (isComment(event)) {
            parsed.events.append(event);
            continue;
        }
        const auto id = parseEventId(event);
        if (this->breaksSequence(id)) {
            parsed.gap = true;
            break;
        }
        if (id && this->lastId && *id <= *this->lastId) {
            continue;
        }
        if (id) {
            this->lastId = id;
        } else {
            this->unnumbered = true;
        }
        ++this->count;
        this->nextEventBegun = false;
        parsed.events.append(event);
    }
    this->incompleteEvent.erase(0, begin);
    parsed.tooLong = this->incompleteEvent.size() > MaxEventBytes;
    return parsed;
}

auto EventStreamParser::reset() -> void
{
    this->resumed = this->resumed || this->count > 0;
    this->nextEventBegun = this->nextEventBegun || !isComment(this->incompleteEvent);
    this->incompleteEvent.clear();
    this->count = 0;
}

auto EventStreamParser::breaksSequence(std::optional<std::uint64_t> id) const -> bool
{
    if (this->resumed && this->count == 0) {
        // A server that starts at another event produces another stream.
        return !id || !this->lastId || *id != *this->lastId + 1;
    }
    if (!id) {
        return this->resumed;
    }
    return this->lastId && *id > *this->lastId + 1;
}

} // namespace banyanring::gateway
