/** @file response_buffer.cpp Body of a response that is delivered as a whole. */
#include "banyanring/gateway/response_buffer.h"

#include <algorithm>
#include <utility>

namespace banyanring::gateway {

namespace {

/** Large enough for the allocator to return each block to the system as soon as it is released. */
constexpr std::size_t BlockBytes = 256U << 10U;
/** A longer block gets its full size at once. Strings grow by doubling, beyond that size as well.
 */
constexpr std::size_t MaxGrownBytes = BlockBytes / 4;

} // namespace

auto ResponseBuffer::lastBlock() -> std::string &
{
    if (this->blocks.empty() || this->blocks.back().size() == BlockBytes) {
        this->blocks.emplace_back();
    }
    return this->blocks.back();
}

auto ResponseBuffer::append(std::string_view data) -> void
{
    while (!data.empty()) {
        auto &block = this->lastBlock();
        const auto capacityBefore = block.capacity();
        const auto count = std::min(data.size(), BlockBytes - block.size());
        if (block.size() + count > MaxGrownBytes) {
            block.reserve(BlockBytes);
        }
        block.append(data.substr(0, count));
        data.remove_prefix(count);
        this->bodySize += count;
        this->held += block.capacity() - capacityBefore;
        this->totalBytes += block.capacity() - capacityBefore;
    }
}

auto ResponseBuffer::take() -> std::string
{
    std::string body;
    if (this->blocks.size() == 1) {
        body = std::move(this->blocks.front());
    } else {
        body.reserve(this->bodySize);
        for (auto &block : this->blocks) {
            body.append(block);
            std::string().swap(block);
        }
    }
    this->clear();
    return body;
}

auto ResponseBuffer::clear() -> void
{
    this->totalBytes -= std::exchange(this->held, 0);
    this->bodySize = 0;
    this->blocks.clear();
}

} // namespace banyanring::gateway
