/*
 * Unit tests of the parser of responses, without a network.
 */
#include "net/internal/ReplyParser.h"
#include "Fuzzing.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace magnoliaspan;
using namespace magnoliaspan::testing;
using internal::ReplyParser;

namespace {

constexpr std::size_t maxBodyBytes = 4'194'304;

/// What becomes of bytes that arrive \p step at a time, before the connection ends.
struct Parsed {
    explicit Parsed(const std::string &bytes, std::size_t step = std::string::npos)
    {
        ReplyParser parser(maxBodyBytes);
        std::size_t parsed = 0;
        for (std::size_t arrived = 0; arrived < bytes.size() && !error && !parser.isComplete();) {
            arrived += std::min(step, bytes.size() - arrived);
            parsed += parser.parse(std::string_view(bytes).substr(parsed, arrived - parsed), error);
        }
        left = bytes.size() - parsed;
        if (!error && !parser.isComplete()) {
            parser.parseEnd(error);
        }
        if (!error) {
            staysOpen = parser.staysOpen();
            reply = parser.takeReply();
        }
    }

    ReplyParser::Error error;
    WireReply reply;
    bool staysOpen = false;
    std::size_t left = 0; ///< Bytes that were not parsed.
};

} // namespace

TEST_CASE("reply parser: a response is the same in whatever pieces it arrives")
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-A: b\r\nx-a:\r\nX-C:  d e \t\r\n";
    const std::vector<std::string> responses = {
        head + "Content-Length: 5\r\n\r\nwhole",
        head + "Transfer-Encoding: chunked\r\n\r\n2;x=y\r\nwh\r\n3\r\nole\r\n0\r\n\r\n",
        head + "Connection: close\r\n\r\nwhole",
    };
    for (const std::string &bytes : responses) {
        for (const std::size_t step : {std::size_t{1}, std::size_t{2}, std::size_t{7}, bytes.size()}) {
            INFO(step << " bytes at a time: " << bytes);
            const Parsed parsed(bytes, step);
            CHECK_FALSE(parsed.error);
            CHECK(parsed.reply.status == 200);
            CHECK(parsed.reply.body == "whole");
            CHECK(parsed.left == 0);
            CHECK(parsed.staysOpen == (bytes.find("close") == std::string::npos));
            REQUIRE(parsed.reply.headers.size() == 4);
            CHECK(parsed.reply.headers[0].name == "X-A");
            CHECK(parsed.reply.headers[0].value == "b");
            CHECK(parsed.reply.headers[1].name == "x-a");
            CHECK(parsed.reply.headers[1].value.empty());
            CHECK(parsed.reply.headers[2].value == "d e");
        }
    }
}

TEST_CASE("reply parser: bytes behind a complete response are left")
{
    const Parsed parsed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwholeHTTP/1.1");
    CHECK(parsed.reply.body == "whole");
    CHECK(parsed.left == 8);
}

TEST_CASE("reply parser: a response that ends early is an error")
{
    for (const std::string &bytes : {std::string(),
                                     std::string("HTTP/1.1 200 OK\r\nContent-Le"),
                                     std::string("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhol"),
                                     std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n")}) {
        INFO(bytes);
        CHECK(Parsed(bytes).error);
    }
}

// Guards against memory that is reserved for announced lengths.
TEST_CASE("reply parser: takes the memory of what has arrived, not of what is announced")
{
    ReplyParser parser(maxBodyBytes);
    const std::string arrived = "HTTP/1.1 200 OK\r\nContent-Length: 4194304\r\n\r\n" + std::string(100, 'z');
    ReplyParser::Error error;
    CHECK(parser.parse(arrived, error) == arrived.size());
    CHECK_FALSE(error);
    const WireReply reply = parser.takeReply();
    CHECK(reply.body == std::string(100, 'z'));
    CHECK(reply.body.capacity() < 1'000);
}

TEST_CASE("reply parser: of all codes of three digits, 100 and 102 to 599 are valid")
{
    constexpr int codes = 1'000;
    for (int code = 0; code < codes; ++code) {
        INFO(code);
        const Parsed parsed(fmt::format("HTTP/1.1 {:03} -\r\nContent-Length: 0\r\n\r\n", code));
        const bool isValid = code >= 100 && code <= 599 && code != 101;
        CHECK(!parsed.error == isValid);
        CHECK(parsed.reply.status == (isValid ? static_cast<unsigned>(code) : 0));
    }
}

TEST_CASE("reply parser: an interim response ends with its head, whatever length it announces")
{
    for (const char *code : {"100", "102", "199"}) {
        INFO(code);
        ReplyParser parser(maxBodyBytes);
        ReplyParser::Error error;
        const std::string head = fmt::format("HTTP/1.1 {} -\r\nContent-Length: 5\r\n\r\n", code);
        CHECK(parser.parse(head + "HTTP/", error) == head.size());
        CHECK_FALSE(error);
        REQUIRE(parser.isComplete());
        CHECK(parser.isInterim());
    }
    ReplyParser parser(maxBodyBytes);
    ReplyParser::Error error;
    parser.parse("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", error);
    REQUIRE(parser.isComplete());
    CHECK_FALSE(parser.isInterim());
}

TEST_CASE("reply parser: a continued line is an error in whatever pieces it arrives, white space in a body is not")
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-A: b\r\n";
    const std::vector<std::string> continued = {
        head + " X-B: c\r\nContent-Length: 5\r\n\r\nwhole",
        head + "Content-Length: 5\r\n\tX-B: c\r\n\r\nwhole",
        head + "X-B:\r\n c\r\nContent-Length: 5\r\n\r\nwhole",
        head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0;x=y\r\nX-B: c\r\n d\r\n\r\n",
        head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n d\r\n\r\n",
    };
    const std::vector<std::string> sound = {
        head + "Content-Length: 5\r\n\r\n who\t",
        head + "Content-Length: 5\r\n\r\n\r\n a\r",
        head + "Transfer-Encoding: chunked\r\n\r\n5\r\n\r\n a\r\r\n3\r\n\n b\r\n0\r\nX-B: c\r\n\r\n b",
        head + "Transfer-Encoding: chunked\r\n\r\n5\r\n\r\n a\r\r\n0\r\n\r\n b",
    };
    for (const std::size_t step : {std::size_t{1}, std::size_t{3}, std::size_t{1'000}}) {
        for (const std::string &bytes : continued) {
            INFO(step << " bytes at a time: " << bytes);
            CHECK(Parsed(bytes, step).error);
        }
        for (const std::string &bytes : sound) {
            INFO(step << " bytes at a time: " << bytes);
            CHECK_FALSE(Parsed(bytes, step).error);
        }
    }
}

TEST_CASE("reply parser: trailers are no fields of the head")
{
    const std::string bytes = "HTTP/1.1 200 OK\r\nX-A: b\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX-A: c\r\nX-B: d\r\n\r\n";
    for (const std::size_t step : {std::size_t{1}, bytes.size()}) {
        const Parsed parsed(bytes, step);
        CHECK_FALSE(parsed.error);
        CHECK(parsed.reply.body == "whole");
        REQUIRE(parsed.reply.headers.size() == 2);
        CHECK(parsed.reply.headers[0].value == "b");
        CHECK(parsed.reply.headers[1].value == "chunked");
    }
}

TEST_CASE("reply parser: the only transfer coding is chunked")
{
    const auto parse = [](const char *coding) {
        return Parsed(fmt::format("HTTP/1.1 200 OK\r\nTransfer-Encoding: {}\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", coding));
    };
    for (const char *coding : {"chunked", "Chunked", " chunked\t"}) {
        INFO(coding);
        CHECK(parse(coding).reply.body == "whole");
    }
    for (const char *coding : {"", "identity", "gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked", "chunked;a=b", "xchunked"}) {
        INFO(coding);
        CHECK(parse(coding).error);
    }
}

// Guards against a target that goes on sending fields, a few at a time, and so takes memory without bound.
TEST_CASE("reply parser: the length of a head is bounded in whatever pieces it arrives")
{
    constexpr std::size_t maxHeadBytes = 8'192;
    const std::string field = "X-A: " + std::string(93, 'x') + "\r\n";
    const std::string start = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n";
    std::string head = start;
    while (head.size() + field.size() + 20 < maxHeadBytes) {
        head += field;
    }
    const std::string longest = head + "X-B: " + std::string(maxHeadBytes - head.size() - 9, 'x') + "\r\n\r\n";
    REQUIRE(longest.size() == maxHeadBytes);
    const std::string tooLong = head + "X-B: " + std::string(maxHeadBytes - head.size() - 8, 'x') + "\r\n\r\n";
    for (const std::size_t step : {std::size_t{1}, std::size_t{101}, std::size_t{1'000}, longest.size() + 1}) {
        INFO(step << " bytes at a time");
        CHECK_FALSE(Parsed(longest, step).error);
        CHECK(Parsed(tooLong, step).error);
    }
    ReplyParser parser(maxBodyBytes);
    ReplyParser::Error error;
    std::string unparsed = start;
    std::size_t sent = unparsed.size();
    while (!error && sent < 10 * maxHeadBytes) {
        // Each piece ends within a field, so that the one before is complete.
        unparsed += field + "X";
        sent += field.size() + 1;
        unparsed.erase(0, parser.parse(unparsed, error));
    }
    CHECK(error);
    CHECK(sent < 2 * maxHeadBytes);
}

TEST_CASE("reply parser: mutated input is an error or a valid response", "[fuzz]")
{
    const std::string fields = "X-A: b\r\nX-Signature: s.1\r\n";
    const std::vector<std::string> responses = {
        "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 503 -\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n5;x=y\r\nwhole\r\n0\r\nX-C: d\r\n\r\n",
    };
    const std::string_view tokens = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"; // RFC 9110, 5.6.2
    const auto isText = [](unsigned char byte) { return byte >= 0x20 ? byte != 0x7f : byte == '\t'; };
    unsigned seed = 21;
    for (const std::string &good : responses) {
        unsigned accepted = 0;
        fuzz(good, seed++, [&](const std::string &bytes) {
            const Parsed parsed(bytes, 7);
            REQUIRE(!parsed.error == !Parsed(bytes).error);
            if (parsed.error) {
                return;
            }
            ++accepted;
            REQUIRE(parsed.reply.status >= 100);
            REQUIRE(parsed.reply.status <= 599);
            for (const WireHeader &header : parsed.reply.headers) {
                REQUIRE_FALSE(header.name.empty());
                REQUIRE(header.name.find_first_not_of(tokens) == std::string::npos);
                REQUIRE(std::all_of(header.value.begin(), header.value.end(), isText));
                REQUIRE(bytes.find(header.value) != std::string::npos);
            }
        });
        CHECK(accepted > 0);
    }
}
