/*
 * Unit tests: malformed requests of callers are refused with the verdict not_run and affect no other request.
 */
#include "core/Text.h"
#include "unit/SocketFixture.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace magnoliaspan;
using namespace magnoliaspan::testing;

namespace {

std::string post(const std::string &path, const std::string &body, const std::string &type = "application/json")
{
    return fmt::format("POST {} HTTP/1.1\r\nHost: x\r\nContent-Type: {}\r\nContent-Length: {}\r\n\r\n{}", path, type, body.size(), body);
}

struct BadRequest {
    const char *name;
    std::string bytes;
    const char *status;
};

std::vector<BadRequest> badRequests()
{
    const std::string deep = std::string(40, '[') + std::string(40, ']');
    return {
        {"not HTTP", "nonsense\r\n\r\n", "400"},
        {"header too large", "POST /v1/search HTTP/1.1\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n", "431"},
        {"body too large", "POST /v1/search HTTP/1.1\r\nHost: x\r\nContent-Length: 900000\r\n\r\n", "413"},
        {"body too large, with its first bytes", "POST /v1/search HTTP/1.1\r\nHost: x\r\nContent-Length: 900000\r\n\r\nzzz", "413"},
        {"body larger than memory", "POST /v1/search HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000000000000\r\n\r\nX: y\r\n\r\n", "413"},
        {"chunk extension without end",
         "POST /v1/search HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5;" + std::string(200'000, 'x'),
         "400"},
        {"trailers without end",
         "POST /v1/search HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: " + std::string(200'000, 'x'),
         "400"},
        {"unsupported content type", post("/v1/search", "{}", "text/plain"), "415"},
        {"unknown path", post("/v2/search", "{}"), "404"},
        {"wrong method", "GET /v1/search HTTP/1.1\r\nHost: x\r\n\r\n", "405"},
        {"truncated JSON", post("/v1/search", "{"), "400"},
        {"JSON that is not an object", post("/v1/search", "[]"), "400"},
        {"JSON nested too deep", post("/v1/search", R"({"system":"catalog","query":)" + deep + "}"), "400"},
        {"invalid UTF-8", post("/v1/search", "{\"system\":\"catalog\",\"query\":\"\xff\xfe\"}"), "400"},
        {"missing field", post("/v1/search", R"({"system":"catalog"})"), "400"},
        {"unknown field", post("/v1/search", R"({"system":"catalog","query":"x","colour":1})"), "400"},
        {"negative deadline", post("/v1/search", R"({"system":"catalog","query":"x","deadline_ms":-5})"), "400"},
        {"deadline that is not a number", post("/v1/search", R"({"system":"catalog","query":"x","deadline_ms":"soon"})"), "400"},
        {"unknown system", post("/v1/search", R"({"system":"nowhere","query":"x"})"), "404"},
        {"submit without an idempotency key", post("/v1/submit", R"({"system":"catalog","payload":"x"})"), "400"},
    };
}

/// Accepts all requests.
class RecordingService : public Service
{
public:
    CancelFunction handle(ServiceRequest request, ReplyHandler handler) override
    {
        requests.push_back(std::move(request));
        handler({});
        return {};
    }

    std::vector<ServiceRequest> requests;
};

/// Sends each of \p texts on a connection of its own to \p port of the loopback interface, and runs \p loop until they have arrived.
void sendEach(EventLoop &loop, const Clock &clock, std::uint16_t port, const std::vector<std::string> &texts)
{
    std::vector<int> connections;
    for (const std::string &text : texts) {
        connections.push_back(::socket(AF_INET, SOCK_STREAM, 0));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const auto *where = reinterpret_cast<const sockaddr *>(&address); // NOLINT: the interface's cast
        REQUIRE(::connect(connections.back(), where, sizeof(address)) == 0);
        REQUIRE(::send(connections.back(), text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
    }
    loop.callAt(clock.now() + std::chrono::milliseconds(200), [&loop] { loop.stop(); });
    loop.run();
    for (const int connection : connections) {
        ::close(connection);
    }
}

} // namespace

// Guards against a request that is accepted from a caller and that no connection to a target can carry.
TEST_CASE("caller port: every request that is accepted can be forwarded as it is", "[callers]")
{
    constexpr std::uint16_t port = 21'090;
    constexpr int batch = 64;
    const SystemClock clock;
    EventLoop loop(clock);
    RecordingService service;
    HttpServer server(loop, service, {});
    REQUIRE_FALSE(server.listen({"127.0.0.1", port}));
    for (int first = 0; first < 256; first += batch) {
        std::vector<std::string> texts;
        for (int byte = first; byte < first + batch; ++byte) {
            const char odd = static_cast<char>(byte);
            texts.push_back(fmt::format("GET /a{}b HTTP/1.1\r\nHost: h\r\n\r\n", odd));
            texts.push_back(fmt::format("G{}T / HTTP/1.1\r\nHost: h\r\n\r\n", odd));
            texts.push_back(fmt::format("GET / HTTP/1.1\r\nHost: h\r\nX{}A: a\r\n\r\n", odd));
            texts.push_back(fmt::format("GET / HTTP/1.1\r\nHost: h\r\nX-A: {0}a{0}b{0}\r\n\r\n", odd));
            texts.push_back(fmt::format("GET / HTTP/1.1\r\nHost: h\r\nX-A: a\r\n {0}b{0}\r\n\r\n", odd));
        }
        sendEach(loop, clock, port, texts);
    }
    // 62 letters and digits in five places at least.
    CHECK(service.requests.size() > 310);
    for (const ServiceRequest &request : service.requests) {
        INFO(request.method << " " << request.target);
        CHECK(isToken(request.method));
        CHECK(isRequestTarget(request.target));
        for (const WireHeader &header : request.headers) {
            INFO(header.name << ": " << header.value);
            CHECK(isToken(header.name));
            CHECK(isFieldValue(header.value));
        }
    }
}

TEST_CASE("caller port: a malformed request is refused as not run and affects no other request", "[callers]")
{
    SocketFixture fixture(21'020);
    const std::string validRequest = post("/v1/search", R"({"system":"catalog","query":"x"})");
    for (const BadRequest &badRequest : badRequests()) {
        INFO(badRequest.name);
        const std::string reply = fixture.sendRaw(badRequest.bytes, std::chrono::milliseconds(60));
        REQUIRE(reply.substr(9, 3) == badRequest.status);
        REQUIRE(reply.find("application/problem+json") != std::string::npos);
        REQUIRE(reply.find("\"verdict\":\"not_run\"") != std::string::npos);
    }
    REQUIRE(fixture.target->record().arrivals == 0);
    const std::string reply = fixture.sendRaw(validRequest);
    REQUIRE(reply.find("\"answered\":1") != std::string::npos);
}

TEST_CASE("caller port: pipelined requests get their responses in order", "[callers]")
{
    SocketFixture fixture(21'030);
    const std::string first = post("/v1/search", R"({"system":"catalog","query":"first"})");
    const std::string second = post("/v1/search", R"({"system":"catalog","query":"second"})");
    const std::string replies = fixture.sendRaw(first + second);
    const auto firstPlace = replies.find("\"text\":\"first\"");
    const auto secondPlace = replies.find("\"text\":\"second\"");
    REQUIRE(firstPlace != std::string::npos);
    REQUIRE(secondPlace != std::string::npos);
    REQUIRE(firstPlace < secondPlace);
}

TEST_CASE("caller port: a connection is closed when a request is not complete within the request time-out", "[callers]")
{
    HttpServerLimits limits;
    limits.requestTimeout = std::chrono::milliseconds(100);
    SocketFixture fixture(21'040, limits);
    fixture.sendRaw("POST /v1/search HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n{", std::chrono::seconds(2));
    REQUIRE(fixture.closedByHost);
}

TEST_CASE("caller port: two requests with the same request id each get their own response", "[callers]")
{
    SocketFixture fixture(21'050);
    std::vector<std::string> bodies;
    for (const char *query : {"first", "second"}) {
        ServiceRequest request;
        request.method = "POST";
        request.target = "/v1/search";
        request.contentType = "application/json";
        request.requestId = "same";
        request.body = fmt::format(R"({{"system":"catalog","query":"{}"}})", query);
        fixture.host->callerService().handle(std::move(request), [&bodies](const ServiceReply &reply) { bodies.push_back(reply.body); });
    }
    REQUIRE(fixture.runUntil([&bodies] { return bodies.size() == 2; }));
    REQUIRE(bodies[0].find("\"text\":\"first\"") != std::string::npos);
    REQUIRE(bodies[1].find("\"text\":\"second\"") != std::string::npos);
}

// Guards against a header field longer than the HTTP library can hold, under limits that would admit it: it ended the process.
TEST_CASE("caller port: a header field beyond 64 KB is refused also where the limit is higher", "[callers]")
{
    HttpServerLimits limits;
    limits.maxHeaderBytes = 200'000;
    SocketFixture fixture(21'060, limits);
    const std::string reply = fixture.sendRaw("POST /v1/search HTTP/1.1\r\nX: " + std::string(100'000, 'x') + "\r\n\r\n");
    CHECK(reply.substr(9, 3) == "431");
}
