/** @file inbox.h The queue through which the adapters send events to the thread of the core. */
#pragma once

#include "banyanring/core/event_type.h"
#include "banyanring/ports/bounded_queue.h"

#include <functional>

namespace banyanring {

class Node;

/** Work for the core thread: an event, or a query that reads the state of the core. */
using InboxItem = std::variant<Event, std::function<void(const Node &)>>;

using Inbox = BoundedQueue<InboxItem>; ///< Events and queries of all adapters.

} // namespace banyanring
