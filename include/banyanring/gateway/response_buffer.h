/** @file response_buffer.h Body of a response that is delivered as a whole. */
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace banyanring::gateway {

/**
 * Body of one response, in blocks, so that it never has to be moved as it grows. Counts the memory
 * that it holds in the total of all responses of the node.
 */
class ResponseBuffer
{
public:
    /** @param totalBytes Memory of all buffers of the node; must outlive this object. */
    explicit ResponseBuffer(std::size_t &totalBytes) : totalBytes(totalBytes) {}
    ~ResponseBuffer()
    {
        this->clear();
    }
    ResponseBuffer(const ResponseBuffer &) = delete;
    auto operator=(const ResponseBuffer &) -> ResponseBuffer & = delete;

    /** @param data Next bytes of the body. */
    auto append(std::string_view data) -> void;

    /** @return The body; the buffer is empty afterwards. */
    auto take() -> std::string;

    /** Drops the bytes and releases their memory. */
    auto clear() -> void;

    /** @return Number of bytes. */
    auto size() const -> std::size_t
    {
        return this->bodySize;
    }

    /** @return Memory that the bytes occupy. */
    auto heldBytes() const -> std::size_t
    {
        return this->held;
    }

    static constexpr std::size_t MaxBytes = 8U << 20U; ///< Longer bodies are not delivered.
    /** Memory of all buffers of a node whose memory is unknown. */
    static constexpr std::size_t DefaultTotalBytes = 24U << 20U;
    /** Fraction of a node's memory for all buffers; the rest has to suffice for everything else. */
    static constexpr std::size_t MemoryFraction = 4;

private:
    auto lastBlock() -> std::string &;

    std::vector<std::string> blocks; ///< All but the last one are full.
    std::size_t bodySize = 0;
    std::size_t held = 0; ///< Capacity of the blocks.
    std::size_t &totalBytes;
};

} // namespace banyanring::gateway
