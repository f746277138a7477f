/*
 * Implements the parser of responses with the parser of Boost.Beast.
 */
#include "net/internal/ReplyParser.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <cassert>
#include <utility>

namespace magnoliaspan::internal {

namespace http = boost::beast::http;

namespace {

// Of the status line and all fields together.
constexpr std::size_t maxHeadBytes = 8'192;

// Valid codes are 100 to 599 (RFC 9110, 15), of which 101 is an answer to a request for another protocol only: none is made here.
bool isValidStatus(int status)
{
    constexpr int first = 100;
    constexpr int last = 599;
    constexpr int switchingProtocols = 101;
    return status >= first && status <= last && status != switchingProtocols;
}

// Whether one of \p lines, up to the first empty one, begins with white space and so continues the line before it.
bool hasContinuedLine(std::string_view lines)
{
    constexpr std::string_view lineEnd = "\r\n";
    for (auto at = lines.find(lineEnd); at != std::string_view::npos; at = lines.find(lineEnd, at + lineEnd.size())) {
        const std::string_view next = lines.substr(at + lineEnd.size());
        if (next.starts_with(' ') || next.starts_with('\t')) {
            return true;
        }
        if (next.starts_with(lineEnd)) {
            return false;
        }
    }
    return false;
}

} // namespace

ReplyParser::ReplyParser(std::size_t maxBodyBytes)
{
    header_limit(maxHeadBytes);
    body_limit(maxBodyBytes);
    reply_.bytesSent = true;
    reply_.bytesReceived = true;
}

std::size_t ReplyParser::parse(std::string_view arrived, Error &error)
{
    assert(!is_done() && "parse() called for a complete response");
    error = {};
    std::size_t parsed = 0;
    // One element a call: an eager parser goes on after it has refused an announced length, and loses that error.
    while (!error && !is_done() && parsed < arrived.size()) {
        const std::string_view rest = arrived.substr(parsed);
        // The library parses a field only when the first byte of the next line has arrived.
        if (!is_header_done() && hasContinuedLine(rest)) {
            error = http::error::bad_field;
            return parsed;
        }
        const bool isInHead = !is_header_done();
        arrivedEnd_ = rest.data() + rest.size();
        const std::size_t count = put(boost::asio::buffer(rest.data(), rest.size()), error);
        parsed += count;
        // The library's limit holds for each call only, and the fields of a head may arrive in many.
        headBytes_ += isInHead ? count : 0;
        if (headBytes_ > maxHeadBytes) {
            error = http::error::header_limit;
        }
    }
    if (error == http::error::need_more) {
        error = {};
    }
    return parsed;
}

void ReplyParser::parseEnd(Error &error)
{
    if (!got_some()) {
        error = http::error::end_of_stream;
        return;
    }
    put_eof(error);
}

bool ReplyParser::isComplete() const
{
    return is_done();
}

bool ReplyParser::isInterim() const
{
    constexpr unsigned interimClass = 1;
    constexpr unsigned codesOfClass = 100;
    return reply_.status / codesOfClass == interimClass;
}

bool ReplyParser::staysOpen() const
{
    return keep_alive();
}

WireReply ReplyParser::takeReply()
{
    return std::move(reply_);
}

void ReplyParser::on_response_impl(int status, StringView, int, Error &error)
{
    if (!isValidStatus(status)) {
        error = http::error::bad_status;
        return;
    }
    reply_.status = static_cast<unsigned>(status);
}

void ReplyParser::on_field_impl(http::field field, StringView name, StringView value, Error &error)
{
    if (is_header_done()) {
        return;
    }
    // The library takes the body of another coding as it is, and of several codings removes the last.
    if (field == http::field::transfer_encoding && !boost::beast::iequals(value, "chunked")) {
        error = http::error::bad_transfer_encoding;
        return;
    }
    reply_.headers.push_back({std::string(name), std::string(value)});
}

std::size_t ReplyParser::on_body_impl(StringView bytes, Error &)
{
    reply_.body.append(bytes.data(), bytes.size());
    return bytes.size();
}

void ReplyParser::on_chunk_header_impl(std::uint64_t size, StringView extensions, Error &error)
{
    // All trailers have arrived when the library parses the line of the last chunk, whose end they follow.
    const char *lineEnd = extensions.data() + extensions.size();
    if (size == 0 && hasContinuedLine({lineEnd, static_cast<std::size_t>(arrivedEnd_ - lineEnd)})) {
        error = http::error::bad_field;
    }
}

std::size_t ReplyParser::on_chunk_body_impl(std::uint64_t, StringView bytes, Error &)
{
    reply_.body.append(bytes.data(), bytes.size());
    return bytes.size();
}

} // namespace magnoliaspan::internal
