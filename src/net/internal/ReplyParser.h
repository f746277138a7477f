/*
 * Parser of HTTP responses: the one place where received bytes become a reply.
 */
#pragma once

#include "transport/Connection.h"

#include <boost/beast/http/basic_parser.hpp>
#include <cstddef>
#include <string_view>

namespace magnoliaspan::internal {

/// \brief Parses one response, interim or final.
/// Does no I/O, and reserves no memory for an announced length. Beside what the HTTP library checks, it is an error if
/// - the head is longer than 8,192 bytes;
/// - the status is not a valid one, or 101, for which no request asks;
/// - a line of the head or of the trailers begins with white space, so that a reader may join it to the line before;
/// - the body has another transfer coding than chunked, since no request offers to take one.
///
/// Trailers are checked and dropped: no field that this program reads may stand there (RFC 9110, 6.5.1), and the response is
/// passed on with a length instead of chunks, so without trailers.
class ReplyParser : private boost::beast::http::basic_parser<false>
{
public:
    using Error = boost::system::error_code;

    /// \param maxBodyBytes a response that announces or has a longer body is an error.
    explicit ReplyParser(std::size_t maxBodyBytes);

    /// \brief Parses bytes of the response, which must not be complete.
    /// \param arrived all bytes from the first one that is not parsed yet.
    /// \param error set if they are no valid response.
    /// \returns how many of the bytes were parsed; the others are to be passed again, with what arrives behind them.
    std::size_t parse(std::string_view arrived, Error &error);

    /// \brief Ends the response where the connection ended.
    /// \param error set if the response is not complete.
    void parseEnd(Error &error);

    bool isComplete() const;

    /// \returns whether the complete response is an interim one, which the response to the request follows.
    bool isInterim() const;

    /// \returns whether the connection can carry another exchange, as far as the complete response tells.
    bool staysOpen() const;

    /// \returns the response, as far as it has been parsed.
    WireReply takeReply();

private:
    using StringView = boost::beast::string_view;

    void on_request_impl(boost::beast::http::verb, StringView, StringView, int, Error &) override { }
    void on_response_impl(int status, StringView reason, int version, Error &error) override;
    void on_field_impl(boost::beast::http::field field, StringView name, StringView value, Error &error) override;
    void on_header_impl(Error &) override { }
    void on_body_init_impl(const boost::optional<std::uint64_t> &, Error &) override { }
    std::size_t on_body_impl(StringView bytes, Error &error) override;
    void on_chunk_header_impl(std::uint64_t size, StringView extensions, Error &error) override;
    std::size_t on_chunk_body_impl(std::uint64_t left, StringView bytes, Error &error) override;
    void on_finish_impl(Error &) override { }

    WireReply reply_;                  // As far as it has been parsed.
    std::size_t headBytes_ = 0;        // Of the head, as far as it has been parsed.
    const char *arrivedEnd_ = nullptr; // End of the bytes being parsed; valid within parse().
};

} // namespace magnoliaspan::internal
