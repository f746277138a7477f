/*
 * Unit tests of the body of received messages.
 */
#include "net/internal/ReceivedBody.h"

#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>

using namespace magnoliaspan;

namespace http = boost::beast::http;

// Guards against memory that is reserved for announced lengths: many connections need not send a byte of them.
TEST_CASE("received body: takes the memory of what has arrived, not of what is announced")
{
    http::request_parser<internal::ReceivedBody> parser;
    constexpr std::size_t limit = 4'194'304;
    parser.body_limit(limit);
    parser.eager(true);
    const std::string arrived = "POST / HTTP/1.1\r\nContent-Length: 4194304\r\n\r\n" + std::string(100, 'z');
    boost::system::error_code error;
    CHECK(parser.put(boost::asio::buffer(arrived), error) == arrived.size());
    CHECK_FALSE(error);
    CHECK(parser.get().body() == std::string(100, 'z'));
    CHECK(parser.get().body().capacity() < 1'000);
}
