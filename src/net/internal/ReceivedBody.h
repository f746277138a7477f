/*
 * Body of a message that is received: a string that grows with the bytes that have arrived, whatever length is announced.
 */
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <string>

namespace magnoliaspan::internal {

/// \brief Meets Beast's requirements of a Body with a reader.
/// http::string_body reserves the announced length before the first byte arrives.
struct ReceivedBody {
    using value_type = std::string; // NOLINT(readability-identifier-naming): named by Beast

    static std::uint64_t size(const value_type &body)
    {
        return body.size();
    }

    /// \brief Appends what arrives. The parser's body_limit bounds the sum.
    class reader // NOLINT(readability-identifier-naming): named by Beast
    {
    public:
        template <bool isRequest, typename Fields>
        reader(boost::beast::http::header<isRequest, Fields> &, value_type &body)
            : body_(body)
        {
        }

        void init(const boost::optional<std::uint64_t> &, boost::system::error_code &error)
        {
            error = {};
        }

        template <typename Buffers>
        std::size_t put(const Buffers &buffers, boost::system::error_code &error)
        {
            error = {};
            std::size_t count = 0;
            for (const boost::asio::const_buffer buffer : boost::beast::buffers_range_ref(buffers)) {
                body_.append(static_cast<const char *>(buffer.data()), buffer.size());
                count += buffer.size();
            }
            return count;
        }

        void finish(boost::system::error_code &error)
        {
            error = {};
        }

    private:
        value_type &body_;
    };
};

} // namespace magnoliaspan::internal
