/** @file fake_slot_port.h Slot coordinators whose replies a test sets. */
#pragma once

#include "banyanring/gateway/scheduler_ports.h"

#include <functional>
#include <optional>
#include <utility>
#include <vector>

namespace banyanring::test {

using namespace banyanring::gateway;

/** Records slot requests, and replies to them at once if the test sets a reply. */
class FakeSlotPort : public SlotPort
{
public:
    auto requestSlot(fleet::SlotRequest request, const std::string &)
        -> std::optional<fleet::SlotReply> override
    {
        this->slotRequests.push_back(std::move(request));
        return this->reply;
    }
    auto cancelSlotRequest(std::uint64_t slotRequestId) -> void override
    {
        this->cancelled.push_back(slotRequestId);
        if (const auto grant = std::exchange(this->onCancel, nullptr)) {
            grant();
        }
    }
    auto reportSlotEvent(fleet::SlotReport report) -> void override
    {
        this->events.push_back(report.event);
        if (report.requestLimit) {
            this->limits.push_back(report.requestLimit->perSecond);
        }
        if (report.slowdown) {
            this->slowdowns.push_back(report.slowdown->factor);
        }
    }

    std::vector<fleet::SlotRequest> slotRequests;
    std::vector<std::uint64_t> cancelled;
    std::vector<fleet::SlotEvent> events;
    std::vector<double> limits; ///< Limits of servers that were reported.
    std::vector<double> slowdowns; ///< Momentary slowdowns of servers that were reported.
    std::optional<fleet::SlotReply> reply; ///< Immediate reply, if any.
    /** Called at the next cancellation, which may grant a slot to another request. */
    std::function<void()> onCancel;
};

} // namespace banyanring::test
