/** @file inbox.h The inbound port: adapters put typed events in, the core thread takes them out. */
#pragma once

#include "banyanring/core/event_type.h"
#include "banyanring/ports/bounded_ring.h"

#include <functional>

namespace banyanring {

class Node;

/** Work for the core thread: an event, or a question about the state. */
using InboxItem = std::variant<Event, std::function<void(const Node &)>>;

using Inbox = BoundedRing<InboxItem>; ///< Events of all adapters.

} // namespace banyanring
