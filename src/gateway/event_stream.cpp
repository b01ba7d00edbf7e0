/** @file event_stream.cpp Splits a stream of events at their ends. */
#include "banyanring/gateway/event_stream.h"

#include <charconv>

namespace banyanring::gateway {

namespace {

constexpr std::string_view EventEnd = "\n\n"; ///< An empty line ends an event.
constexpr std::string_view IdField = "id:"; ///< Field that numbers an event.

/** @return The id of an event, if it has one. */
auto idOf(std::string_view event) -> std::optional<std::uint64_t>
{
    std::size_t at = 0;
    while (at < event.size()) {
        const auto end = std::min(event.find('\n', at), event.size());
        auto line = event.substr(at, end - at);
        at = end + 1;
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

} // namespace

auto EventStream::take(std::string_view data) -> Taken
{
    Taken taken;
    this->partial.append(data);
    std::size_t begin = 0;
    for (auto end = this->partial.find(EventEnd); end != std::string::npos;
         end = this->partial.find(EventEnd, begin)) {
        const auto event =
            std::string_view(this->partial).substr(begin, end + EventEnd.size() - begin);
        begin = end + EventEnd.size();
        const auto id = idOf(event);
        if (id && this->lastId) {
            if (*id <= *this->lastId) {
                continue;
            }
            if (*id != *this->lastId + 1) {
                taken.gap = true;
                break;
            }
        }
        if (id) {
            this->lastId = id;
        }
        ++this->number;
        taken.events.append(event);
    }
    this->partial.erase(0, begin);
    return taken;
}

} // namespace banyanring::gateway
