/*
 * Unit tests of HttpTransport on real sockets: targets that send late, surplus,
 * truncated, malformed or early responses.
 */
#include "magnoliaspan/net.h"
#include "platform/Adapter.h"
#include "transport/TransportError.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace magnoliaspan;

namespace {

constexpr Duration pollInterval = std::chrono::milliseconds(2);
constexpr Duration replyTimeout = std::chrono::seconds(3);

/// Accepts one connection and sends its next scripted response each time it has received the head of a request.
class ScriptedTarget
{
public:
    ScriptedTarget(EventLoop &loop, const Clock &clock, std::uint16_t port, std::vector<std::string> responses)
        : loop_(loop)
        , clock_(clock)
        , listener_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
        , responses_(std::move(responses))
    {
        const int on = 1;
        ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(::bind(listener_, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0); // NOLINT: the interface's cast
        REQUIRE(::listen(listener_, 8) == 0);
        poll();
    }

    ~ScriptedTarget()
    {
        loop_.cancel(timer_);
        loop_.cancel(streamTimer_);
        ::close(listener_);
        close();
    }

    ScriptedTarget(const ScriptedTarget &) = delete;
    ScriptedTarget &operator=(const ScriptedTarget &) = delete;

    void close()
    {
        if (connection_ >= 0) {
            ::close(connection_);
            connection_ = -1;
        }
    }

    /// Closes the connection with a reset (RST).
    void reset()
    {
        const linger hard{1, 0};
        ::setsockopt(connection_, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
        close();
    }

    void send(const std::string &bytes)
    {
        const auto count = ::send(connection_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        unsent_ = bytes.substr(static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    }

    /// Sends what the socket had no room for in the last send(), as the host reads.
    void sendRest()
    {
        send(std::string(unsent_));
        if (!unsent_.empty()) {
            streamTimer_ = loop_.callAt(clock_.now() + pollInterval, [this] { sendRest(); });
        }
    }

    /// Sends \p bytes again and again, as fast as the host reads, until it closes the connection or \p limit bytes are sent.
    void sendWithoutEnd(const std::string &bytes, std::size_t limit)
    {
        ssize_t count = 0;
        while (sentWithoutEnd < limit && (count = ::send(connection_, bytes.data(), bytes.size(), MSG_NOSIGNAL)) > 0) {
            // After a part of the bytes the next repetition starts anew, which is as good.
            sentWithoutEnd += static_cast<std::size_t>(count);
        }
        if (sentWithoutEnd < limit && count < 0 && errno == EAGAIN) {
            streamTimer_ = loop_.callAt(clock_.now() + pollInterval, [this, bytes, limit] { sendWithoutEnd(bytes, limit); });
        }
    }

    /// \returns the bytes received before the last response.
    const std::string &lastRequest() const
    {
        return lastRequest_;
    }

    std::function<void()> afterResponse; ///< Called after each response.
    std::size_t maxReadBytes = 65'536;   ///< Bytes read from the socket before a response.
    std::size_t sentWithoutEnd = 0;      ///< Bytes that sendWithoutEnd() has handed to the socket.

private:
    void poll()
    {
        if (connection_ < 0) {
            connection_ = ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK);
        }
        std::string bytes(maxReadBytes - std::min(maxReadBytes, received_.size()), '\0');
        const auto count = connection_ < 0 || bytes.empty() ? 0 : ::recv(connection_, bytes.data(), bytes.size(), 0);
        if (count > 0) {
            received_.append(bytes, 0, static_cast<std::size_t>(count));
        }
        if (received_.find("\r\n\r\n") != std::string::npos && nextResponse_ < responses_.size()) {
            lastRequest_ = std::exchange(received_, {});
            maxReadBytes = nextResponse_ + 1 < responses_.size() ? maxReadBytes : 0;
            send(responses_[nextResponse_++]);
            if (afterResponse) {
                afterResponse();
            }
        }
        timer_ = loop_.callAt(clock_.now() + pollInterval, [this] { poll(); });
    }

    EventLoop &loop_;
    const Clock &clock_;
    int listener_;
    int connection_ = -1;
    std::vector<std::string> responses_;
    std::size_t nextResponse_ = 0;
    std::string received_;
    std::string lastRequest_;
    std::string unsent_; // Bytes of the last send() that the socket had no room for.
    TimerId timer_ = TimerId::None;
    TimerId streamTimer_ = TimerId::None;
};

std::string httpResponse(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nid: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

WireRequest request(const std::string &id, std::string body = "")
{
    WireRequest wire{"/x", std::move(body), "", {{"Host", "h"}, {"id", id}}, "POST"};
    wire.replyFilter = [id](const WireReply &reply) {
        for (const WireHeader &header : reply.headers) {
            if (header.name == "id") {
                return header.value == id;
            }
        }
        return true;
    };
    return wire;
}

struct TransportFixture {
    TransportFixture(std::uint16_t port, std::vector<std::string> responses)
        : target(loop, clock, port, std::move(responses))
    {
        bool connected = false;
        connection = transport.connect(
            {"127.0.0.1", port},
            [this, &connected](std::error_code error) {
                connected = !error;
                loop.stop();
            },
            [this] { closed = true; });
        loop.run();
        REQUIRE(connected);
    }

    WireReply exchange(WireRequest wire)
    {
        WireReply result;
        result.error = TransportError::Silent;
        const TimerId limit = loop.callAt(clock.now() + replyTimeout, [this] { loop.stop(); });
        connection->exchange(std::move(wire), [&](WireReply reply) {
            result = std::move(reply);
            loop.stop();
        });
        loop.run();
        loop.cancel(limit);
        return result;
    }

    void runFor(Duration duration)
    {
        loop.callAt(clock.now() + duration, [this] { loop.stop(); });
        loop.run();
    }

    SystemClock clock;
    EventLoop loop{clock};
    HttpTransport transport{loop};
    ScriptedTarget target;
    std::unique_ptr<Connection> connection;
    bool closed = false;
};

} // namespace

TEST_CASE("HTTP transport: a late second response to an earlier request is dropped, and the matching response awaited")
{
    TransportFixture fixture(29'420, {httpResponse("a", "first"), httpResponse("a", "stray") + httpResponse("b", "second")});
    CHECK(fixture.exchange(request("a")).body == "first");
    const WireReply second = fixture.exchange(request("b"));
    CHECK_FALSE(second.error);
    CHECK(second.body == "second");
}

TEST_CASE("HTTP transport: surplus bytes after a complete response close the connection")
{
    TransportFixture fixture(29'421, {httpResponse("a", "whole") + "garbage"});
    CHECK(fixture.exchange(request("a")).body == "whole");
    fixture.runFor(std::chrono::milliseconds(50));
    CHECK(fixture.closed);
}

TEST_CASE("HTTP transport: bytes on an idle connection make it unusable, and the next request is reported as not sent")
{
    TransportFixture fixture(29'422, {httpResponse("a", "whole")});
    CHECK(fixture.exchange(request("a")).body == "whole");
    fixture.target.send("HTTP/1.1 200 OK\r\n");
    ::usleep(20'000);
    const WireReply next = fixture.exchange(request("b"));
    CHECK(next.error);
    CHECK_FALSE(next.bytesSent);
}

TEST_CASE("HTTP transport: a response without a length is complete when the connection closes, and an error when it is reset")
{
    const std::string open = "HTTP/1.1 200 OK\r\nid: a\r\n\r\nwhole";
    SECTION("closed")
    {
        TransportFixture fixture(29'423, {open});
        fixture.target.afterResponse = [&fixture] { fixture.target.close(); };
        const WireReply reply = fixture.exchange(request("a"));
        CHECK_FALSE(reply.error);
        CHECK(reply.body == "whole");
    }
    SECTION("reset")
    {
        TransportFixture fixture(29'424, {open});
        fixture.target.afterResponse = [&fixture] {
            // Delayed, so that the bytes are read before the reset is seen.
            fixture.loop.callAt(fixture.clock.now() + std::chrono::milliseconds(30), [&fixture] { fixture.target.reset(); });
        };
        const WireReply reply = fixture.exchange(request("a"));
        CHECK(reply.error);
        CHECK(reply.bytesSent);
    }
}

TEST_CASE("HTTP transport: a truncated or malformed response is an error")
{
    SECTION("truncated")
    {
        TransportFixture fixture(29'425, {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"});
        fixture.target.afterResponse = [&fixture] { fixture.target.close(); };
        CHECK(fixture.exchange(request("a")).error);
    }
    SECTION("malformed")
    {
        TransportFixture fixture(29'426, {"nonsense\r\n\r\n"});
        CHECK(fixture.exchange(request("a")).error);
    }
}

TEST_CASE("HTTP transport: an early response to a long request is accepted, and the connection not reused")
{
    TransportFixture fixture(29'427, {httpResponse("a", "early")});
    fixture.target.maxReadBytes = 100;
    const WireReply reply = fixture.exchange(request("a", std::string(8'000'000, 'x')));
    CHECK_FALSE(reply.error);
    CHECK(reply.body == "early");
    fixture.runFor(std::chrono::milliseconds(50));
    CHECK(fixture.closed);
}

namespace {

/// A target's response to the request \p id on the users' platform; without its id if \p id is empty.
std::string platformResponse(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nX-Magnoliaspan-Response-Signature: s-" + body + "\r\n"
           + (id.empty() ? "" : "X-Magnoliaspan-Request-Id: " + id + "\r\n") + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
           + body;
}

/// The request \p id as this program sends it on the users' platform.
WireRequest platformRequest(const std::string &id)
{
    ForwardRequest forwarded;
    forwarded.id = id;
    forwarded.method = "GET";
    forwarded.target = "/x";
    return platform::makeCodec()->encodeRequest(forwarded, "i-1", std::chrono::seconds(1));
}

} // namespace

// Guards against a caller that receives the response to another request, because a target sent a second one without an id.
TEST_CASE("HTTP transport: a complete response without the id of the request is not taken for its response")
{
    SECTION("it arrives late, where the next response is expected")
    {
        TransportFixture fixture(29'430, {platformResponse("a", "first"), platformResponse("", "no") + platformResponse("b", "second")});
        CHECK(fixture.exchange(platformRequest("a")).body == "first");
        const WireReply second = fixture.exchange(platformRequest("b"));
        CHECK_FALSE(second.error);
        CHECK(second.body == "second");
        fixture.runFor(std::chrono::milliseconds(50));
        CHECK(fixture.closed);
    }
    SECTION("it arrives alone")
    {
        TransportFixture fixture(29'431, {platformResponse("a", "first"), platformResponse("", "no")});
        fixture.target.afterResponse = [&fixture, responses = 0]() mutable {
            if (++responses == 2) {
                fixture.loop.callAt(fixture.clock.now() + std::chrono::milliseconds(30), [&fixture] { fixture.target.close(); });
            }
        };
        CHECK(fixture.exchange(platformRequest("a")).body == "first");
        const WireReply second = fixture.exchange(platformRequest("b"));
        CHECK(second.error);
        CHECK(second.bytesSent);
    }
    SECTION("it arrives at once, behind the response")
    {
        TransportFixture fixture(29'432, {platformResponse("a", "first") + platformResponse("", "no")});
        CHECK(fixture.exchange(platformRequest("a")).body == "first");
        fixture.runFor(std::chrono::milliseconds(50));
        CHECK(fixture.closed);
    }
    SECTION("it arrives while the host is stopped between two requests")
    {
        TransportFixture fixture(29'433, {platformResponse("a", "first")});
        CHECK(fixture.exchange(platformRequest("a")).body == "first");
        fixture.target.send(platformResponse("", "no"));
        ::usleep(20'000);
        const WireReply second = fixture.exchange(platformRequest("b"));
        CHECK(second.error);
        CHECK_FALSE(second.bytesSent);
    }
}

TEST_CASE("HTTP transport: a connection that delivered a response to an earlier request is not used again")
{
    TransportFixture fixture(29'434, {platformResponse("a", "first"), platformResponse("a", "again") + platformResponse("b", "second")});
    CHECK(fixture.exchange(platformRequest("a")).body == "first");
    CHECK(fixture.exchange(platformRequest("b")).body == "second");
    fixture.runFor(std::chrono::milliseconds(50));
    CHECK(fixture.closed);
}

// Guards against a queued request that is sent on such a connection before its close is noticed.
TEST_CASE("HTTP transport: a request that is sent at once after a response with surplus bytes is reported as not sent")
{
    TransportFixture fixture(29'437, {platformResponse("a", "first") + platformResponse("", "no"), platformResponse("b", "second")});
    WireReply second;
    fixture.connection->exchange(platformRequest("a"), [&](const WireReply &) {
        fixture.connection->exchange(platformRequest("b"), [&](WireReply reply) {
            second = std::move(reply);
            fixture.loop.stop();
        });
    });
    fixture.runFor(std::chrono::milliseconds(200));
    CHECK(second.error);
    CHECK_FALSE(second.bytesSent);
}

TEST_CASE("HTTP transport: the same request sent again on a connection gets a response to it, and bytes beyond it close the connection")
{
    TransportFixture fixture(29'435, {platformResponse("a", "whole"), platformResponse("a", "whole") + platformResponse("a", "whole")});
    CHECK(fixture.exchange(platformRequest("a")).body == "whole");
    CHECK(fixture.exchange(platformRequest("a")).body == "whole");
    fixture.runFor(std::chrono::milliseconds(50));
    CHECK(fixture.closed);
}

// Guards against a target that keeps a host reading with complete responses to other requests.
TEST_CASE("HTTP transport: an exchange ends after a few responses to other requests")
{
    std::string series;
    for (int response = 0; response < 200; ++response) {
        series += platformResponse("other", "no");
    }
    TransportFixture fixture(29'436, {series + platformResponse("a", "late")});
    const WireReply reply = fixture.exchange(platformRequest("a"));
    CHECK(reply.error == TransportError::MalformedReply);
    CHECK(reply.bytesSent);
}

// Guards against a target, store or host that keeps sending bytes that are no response and so takes memory without bound.
TEST_CASE("HTTP transport: bytes without end are an error after a bounded number of them")
{
    struct Stream {
        std::string name;
        std::string start;
        std::string repeated;
    };
    const std::string chunked = "HTTP/1.1 200 OK\r\nX-Magnoliaspan-Request-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string filler(1'000, 'x');
    const std::vector<Stream> streams = {
        {"in a status line", "HTTP/1.1 200 ", filler},
        {"in a header field", "HTTP/1.1 200 OK\r\nA: ", filler},
        {"in many header fields", "HTTP/1.1 200 OK\r\n", "A: " + filler + "\r\n"},
        {"in a body without length", "HTTP/1.1 200 OK\r\nX-Magnoliaspan-Request-Id: a\r\n\r\n", filler},
        {"in chunks", chunked, "3e8\r\n" + filler + "\r\n"},
        {"in a chunk extension", chunked + "5;", filler},
        {"in a chunk size", chunked, std::string(1'000, '0')},
        {"in trailers", chunked + "0\r\n", "A: " + filler + "\r\n"},
        {"in informational responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
        {"in responses to other requests", "", platformResponse("other", "no")},
        {"of no protocol", "", filler},
    };
    std::uint16_t port = 29'440;
    for (const Stream &stream : streams) {
        INFO(stream.name);
        TransportFixture fixture(port++, {stream.start + stream.repeated});
        // More than the largest body and the buffers of both sockets.
        constexpr std::size_t limit = 64'000'000;
        fixture.target.afterResponse = [&fixture, &stream] { fixture.target.sendWithoutEnd(stream.repeated, limit); };
        const WireReply reply = fixture.exchange(platformRequest("a"));
        CHECK(reply.error);
        CHECK(reply.error != TransportError::Silent);
        CHECK(reply.bytesSent);
        CHECK(fixture.target.sentWithoutEnd < limit / 2);
    }
}

// Guards against a response whose announced length ends the process: the parser reserved it although it exceeds the limit.
TEST_CASE("HTTP transport: a response that announces more than the limit is an error as soon as its head is read")
{
    struct Announcement {
        std::string name;
        std::string status;
        std::string length;
        std::string body;
    };
    const std::vector<Announcement> announcements = {
        {"more than memory, with bytes of the body", "200 OK", "1000000000000000", std::string(1'000, 'z')},
        {"more than memory, without a body", "200 OK", "1000000000000000", ""},
        {"of a refusal", "503 Service Unavailable", "1000000000000000", "z"},
        {"the largest number", "200 OK", "18446744073709551615", "z"},
        {"one byte more than the limit", "200 OK", "4194305", "z"},
    };
    std::uint16_t port = 29'460;
    for (const Announcement &announcement : announcements) {
        INFO(announcement.name);
        TransportFixture fixture(port++,
                                 {"HTTP/1.1 " + announcement.status + "\r\nX-Magnoliaspan-Request-Id: a\r\nContent-Length: "
                                  + announcement.length + "\r\n\r\n" + announcement.body});
        const WireReply reply = fixture.exchange(platformRequest("a"));
        CHECK(reply.error == TransportError::MalformedReply);
        CHECK(reply.bytesSent);
    }
}

TEST_CASE("HTTP transport: a response of the largest size is complete")
{
    TransportFixture fixture(29'466, {httpResponse("a", std::string(4'194'304, 'z'))});
    fixture.target.afterResponse = [&fixture] { fixture.target.sendRest(); };
    CHECK(fixture.exchange(request("a")).body.size() == 4'194'304);
}

// Guards against a request of a caller that the HTTP library refuses to prepare: its exception ended the process.
TEST_CASE("HTTP transport: a request with a body is sent whatever its method")
{
    std::uint16_t port = 29'470;
    for (const char *method : {"TRACE", "GET", "HEAD", "DELETE", "OPTIONS", "OWN"}) {
        INFO(method);
        TransportFixture fixture(port++, {httpResponse("a", "")});
        WireRequest wire = request("a", "body");
        wire.method = method;
        CHECK_FALSE(fixture.exchange(wire).error);
        CHECK(fixture.target.lastRequest().starts_with(std::string(method) + " /x HTTP/1.1\r\n"));
        CHECK(fixture.target.lastRequest().find("Content-Length: 4\r\n") != std::string::npos);
        CHECK(fixture.target.lastRequest().ends_with("\r\n\r\nbody"));
    }
}

// Guards against text of others that becomes a field, or a request, that nobody sent.
TEST_CASE("HTTP transport: a request whose target or fields would be read as something else is not sent")
{
    std::vector<WireRequest> unsendable;
    const auto add = [&unsendable](const auto &change) { change(unsendable.emplace_back(request("a"))); };
    for (const char *text : {"/x y", "/x\r\nX-Injected: 1", "/x HTTP/1.1\r\n\r\n", "/x\t", "/x\x7f", ""}) {
        add([text](WireRequest &wire) { wire.path = text; });
    }
    for (const std::string &text : {std::string("a\r\nX-Injected: 1"),
                                    std::string("a\r\n\r\nGET /y HTTP/1.1\r\n\r\n"),
                                    std::string("a\n"),
                                    std::string("a\rb"),
                                    std::string("a\0b", 3),
                                    std::string("a\x7f"),
                                    std::string(" a"),
                                    std::string("a\t")}) {
        add([&text](WireRequest &wire) { wire.headers.push_back({"X-A", text}); });
        add([&text](WireRequest &wire) { wire.authorization = text; });
    }
    for (const char *text : {"", "X-A: b\r\nX-B", "X A", "X-A:", "X-\xc3\xa9", "X\x01"}) {
        add([text](WireRequest &wire) { wire.headers.push_back({text, "b"}); });
    }
    for (const char *text : {"GET /y HTTP/1.1\r\n\r\nGET", "G T", "GET\t"}) {
        add([text](WireRequest &wire) { wire.method = text; });
    }
    TransportFixture fixture(29'480, {httpResponse("a", "")});
    for (const WireRequest &wire : unsendable) {
        INFO(wire.method << " " << wire.path << " " << wire.headers.back().name << ": " << wire.headers.back().value);
        const WireReply reply = fixture.exchange(wire);
        CHECK(reply.error == TransportError::UnsendableRequest);
        CHECK_FALSE(reply.bytesSent);
    }
    WireRequest sound = request("a");
    sound.path = "/x?a=b&c=%41+\xc3\xa9\"<>\\^`{|}";
    sound.headers.push_back({"X-A", "a\tb c\"\\,;=\xc3\xa9"});
    sound.headers.push_back({"x!#$%&'*+-.^_`|~9", ""});
    CHECK_FALSE(fixture.exchange(sound).error);
    CHECK(fixture.target.lastRequest().starts_with("POST " + sound.path + " HTTP/1.1\r\nHost: h\r\nid: a\r\nX-A: a\tb c"));
}
