/*
 * Unit tests of stopWhenDrained(): shutdown while a request is arriving.
 */
#include "net/ConnectionDrain.h"
#include "magnoliaspan/net.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace magnoliaspan;

namespace {

constexpr std::uint16_t port = 29'410;
constexpr Duration serviceTime = std::chrono::milliseconds(150);

/// Replies to each request after serviceTime.
class SlowService : public Service
{
public:
    SlowService(EventLoop &loop, const Clock &clock)
        : loop_(loop)
        , clock_(clock)
    {
    }

    CancelFunction handle(ServiceRequest, ReplyHandler handler) override
    {
        loop_.callAt(clock_.now() + serviceTime, [handler] { handler({200, "text/plain", "whole", false}); });
        return {};
    }

private:
    EventLoop &loop_;
    const Clock &clock_;
};

int connectTo(std::uint16_t serverPort)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(serverPort);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0); // NOLINT: the interface's cast
    return socket;
}

std::string readAll(int socket)
{
    std::string all;
    char bytes[512]; // NOLINT: recv() takes an array
    for (ssize_t count = 0; (count = ::recv(socket, bytes, sizeof(bytes), MSG_DONTWAIT)) > 0;) {
        all.append(bytes, static_cast<std::size_t>(count));
    }
    return all;
}

} // namespace

TEST_CASE("connection drain: a request that is arriving at shutdown gets a complete response")
{
    const SystemClock clock;
    EventLoop loop(clock);
    SlowService service(loop, clock);
    HttpServer server(loop, service, {});
    REQUIRE(!server.listen({"127.0.0.1", port}));
    const int busy = connectTo(port);
    const int idle = connectTo(port);
    const std::string head = "GET / HTTP/1.1\r\nHost: a\r\n";
    const std::string rest = "\r\n";
    loop.callAt(clock.now() + std::chrono::milliseconds(20), [&] { ::send(busy, head.data(), head.size(), 0); });
    loop.callAt(clock.now() + std::chrono::milliseconds(60), [&] {
        server.announceClose();
        server.stopAccepting();
        stopWhenDrained(loop, clock, server, clock.now() + std::chrono::seconds(5));
    });
    loop.callAt(clock.now() + std::chrono::milliseconds(150), [&] { ::send(busy, rest.data(), rest.size(), 0); });
    const TimePoint start = clock.now();
    loop.run();
    CHECK(clock.now() - start < std::chrono::seconds(4));
    CHECK(readAll(busy).find("whole") != std::string::npos);
    CHECK(readAll(idle).empty());
    ::close(busy);
    ::close(idle);
}

TEST_CASE("connection drain: a stuck connection does not delay shutdown beyond the deadline")
{
    const SystemClock clock;
    EventLoop loop(clock);
    SlowService service(loop, clock);
    HttpServer server(loop, service, {});
    REQUIRE(!server.listen({"127.0.0.1", port + 1}));
    const int stuck = connectTo(port + 1);
    loop.callAt(clock.now() + std::chrono::milliseconds(20), [&] { ::send(stuck, "GET ", 4, 0); });
    const TimePoint start = clock.now();
    loop.callAt(start + std::chrono::milliseconds(60), [&] {
        server.stopAccepting();
        stopWhenDrained(loop, clock, server, clock.now() + std::chrono::milliseconds(200));
    });
    loop.run();
    CHECK(clock.now() - start < std::chrono::seconds(1));
    CHECK(clock.now() - start >= std::chrono::milliseconds(250));
    ::close(stuck);
}
