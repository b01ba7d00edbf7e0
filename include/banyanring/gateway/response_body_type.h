/** @file response_body_type.h Body of a response while it is parsed. */
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <string>

namespace banyanring::gateway {

/**
 * Body type for the parser. In contrast to string_body it reserves no memory for the length that
 * the header declares: a faulty server may declare more than there is.
 */
struct ResponseBody
{
    using value_type = std::string; ///< Bytes parsed so far and not taken yet.

    /** Appends what the parser has read. */
    class reader // NOLINT(readability-identifier-naming): the name that the parser requires.
    {
    public:
        template <bool isRequest, typename Fields>
        explicit reader(boost::beast::http::header<isRequest, Fields> &, value_type &body)
            : body(body)
        {
        }

        auto init(const boost::optional<std::uint64_t> &, boost::beast::error_code &error) -> void
        {
            error = {};
        }

        template <typename Buffers>
        auto put(const Buffers &buffers, boost::beast::error_code &error) -> std::size_t
        {
            error = {};
            std::size_t count = 0;
            for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
                this->body.append(static_cast<const char *>(buffer.data()), buffer.size());
                count += buffer.size();
            }
            return count;
        }

        auto finish(boost::beast::error_code &error) -> void
        {
            error = {};
        }

    private:
        value_type &body;
    };
};

} // namespace banyanring::gateway
