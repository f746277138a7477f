/*
 * Reading of one HTTP message from a socket.
 */
#pragma once

#include "net/internal/ReceivedBody.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <utility>

namespace magnoliaspan::internal {

/// \brief Reads one message; its body only if the parser accepts the head with the announced length.
/// An eager parser, as in http::async_read, goes on after it has refused the length of a response: if bytes of the body arrived
/// with the head, their result replaces the error.
/// \param parser a new one, with its limits set. Must live until the handler is called, as must \p socket and \p buffer.
/// \param handler called once, with the error or none if the message is complete.
template <bool isRequest, typename Handler>
void readMessage(boost::asio::ip::tcp::socket &socket,
                 boost::beast::flat_buffer &buffer,
                 boost::beast::http::parser<isRequest, ReceivedBody> &parser,
                 Handler handler)
{
    namespace http = boost::beast::http;
    http::async_read_header(
        socket,
        buffer,
        parser,
        [&socket, &buffer, &parser, handler = std::move(handler)](boost::system::error_code error, std::size_t) mutable {
            if (!error && !parser.is_done()) {
                parser.eager(true);
                // Most bodies arrive with the head: no further operation is started for these.
                if (buffer.size() > 0) {
                    buffer.consume(parser.put(buffer.data(), error));
                }
                if (error == http::error::need_more) {
                    error = {};
                }
            }
            if (error || parser.is_done()) {
                handler(error);
                return;
            }
            http::async_read(
                socket, buffer, parser, [handler = std::move(handler)](boost::system::error_code readError, std::size_t) mutable {
                    handler(readError);
                });
        });
}

} // namespace magnoliaspan::internal
