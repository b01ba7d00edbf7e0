/** @file response_buffer.h Body of a response that is delivered as a whole. */
#pragma once

#include <string>
#include <string_view>
#include <utility>

namespace banyanring::gateway {

/** Body of one response; counts its bytes in the total of all responses of the node. */
class ResponseBuffer
{
public:
    /** @param totalBytes Bytes in all buffers of the node; must outlive this object. */
    explicit ResponseBuffer(std::size_t &totalBytes) : totalBytes(totalBytes) {}
    ~ResponseBuffer()
    {
        this->clear();
    }
    ResponseBuffer(const ResponseBuffer &) = delete;
    auto operator=(const ResponseBuffer &) -> ResponseBuffer & = delete;

    /** @param data Next bytes of the body. */
    auto append(std::string_view data) -> void
    {
        this->bytes.append(data);
        this->totalBytes += data.size();
    }

    /** @return The body; the buffer is empty afterwards. */
    auto take() -> std::string
    {
        this->totalBytes -= this->bytes.size();
        return std::exchange(this->bytes, std::string());
    }

    /** Drops the bytes and releases their memory. */
    auto clear() -> void
    {
        this->take();
    }

    /** @return Number of bytes. */
    auto size() const -> std::size_t
    {
        return this->bytes.size();
    }

    static constexpr std::size_t MaxBytes = 8U << 20U; ///< Longer bodies are not delivered.
    /** Bytes in all buffers of a node; its memory has to suffice for everything else as well. */
    static constexpr std::size_t MaxTotalBytes = 24U << 20U;

private:
    std::string bytes;
    std::size_t &totalBytes;
};

} // namespace banyanring::gateway
