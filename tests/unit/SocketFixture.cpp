/*
 * Unit test fixture: sets up the minimal system and waits until it is ready.
 */
#include "unit/SocketFixture.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace magnoliaspan::testing {

namespace {

void listenOrThrow(HttpServer &server, const Endpoint &endpoint)
{
    if (const auto error = server.listen(endpoint)) {
        throw std::runtime_error(endpoint.toString() + ": " + error.message());
    }
}

} // namespace

SocketFixture::SocketFixture(std::uint16_t firstPort, HttpServerLimits callerLimits)
    : firstPort_(firstPort)
{
    TargetTraits traits;
    traits.name = "t1";
    traits.shards = {0};
    traits.service = Duration::zero();
    target = std::make_unique<TargetModel>(clock, loop, traits, [] {});
    targetServer_ = std::make_unique<HttpServer>(loop, *target, HttpServerLimits{});
    listenOrThrow(*targetServer_, endpoint(0));
    relay = std::make_unique<Relay>(loop, endpoint(1), endpoint(0));
    platform_.publish(document());
    platformServer_ = std::make_unique<HttpServer>(loop, platform_, HttpServerLimits{});
    listenOrThrow(*platformServer_, endpoint(2));
    source_ = std::make_unique<HttpPlatformSource>(clock, loop, transport_, endpoint(2), "trial");
    Settings settings;
    settings.seat = "n1";
    settings.zone = "north";
    settings.environment = "trial";
    settings.peerKey = "the key of the trial fleet";
    settings.journalLines = 1'000;
    settings.shutdownLimit = std::chrono::seconds(5);
    host = std::make_unique<EntryHost>(EntryHostEnvironment{clock, loop, transport_, *source_, {}, 1}, settings);
    callerEndpoint = endpoint(4);
    callerServer_ = std::make_unique<HttpServer>(loop, host->callerService(), callerLimits);
    listenOrThrow(*callerServer_, callerEndpoint);
    host->start();
    const bool ready = runUntil([this] {
        const auto &links = host->targets().targets();
        return !links.empty() && !links.begin()->second->snapshots().empty();
    });
    if (!ready) {
        throw std::runtime_error("entry host not ready: no snapshot of a target received within 10 s");
    }
}

Endpoint SocketFixture::endpoint(std::uint16_t offset) const
{
    return {"127.0.0.1", static_cast<std::uint16_t>(firstPort_ + offset)};
}

std::string SocketFixture::document() const
{
    return fmt::format(
        "environment: trial\ngeneration: 1\nclock_offset_bound: 1ms\nzones:\n  - {{name: north, region: r1}}\nseats:\n  - {{name: n1, "
        "zone: north, peer: \"{}\"}}\n"
        "systems:\n  - {{name: catalog, policy: coverage, soft_deadline: 200ms, hard_deadline: 250ms, slots: 3, connections: 30, "
        "warm_after: 1,\n"
        "     shard_map_generation: 1, shards: [{{shard: 0, targets: [t1]}}]}}\ntargets:\n"
        "  - {{name: t1, system: catalog, zone: north, address: \"{}\"}}\n",
        endpoint(3).toString(),
        endpoint(1).toString());
}

bool SocketFixture::runUntil(const std::function<bool()> &done, Duration limit)
{
    const TimePoint end = clock.now() + limit;
    while (!done() && clock.now() < end) {
        runFor(std::chrono::milliseconds(1));
    }
    return done();
}

void SocketFixture::runFor(Duration duration)
{
    loop.callAt(clock.now() + duration, [this] { loop.stop(); });
    loop.run();
}

std::string SocketFixture::sendRaw(const std::string &bytes, Duration wait)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(callerEndpoint.port);
    ::inet_pton(AF_INET, callerEndpoint.address.c_str(), &address.sin_addr);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        throw std::runtime_error("cannot connect to the callers' port");
    }
    std::size_t sent = 0;
    std::string received;
    closedByHost = false;
    runUntil(
        [&] {
            if (sent < bytes.size()) {
                const auto size = ::send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_DONTWAIT | MSG_NOSIGNAL);
                sent += size > 0 ? static_cast<std::size_t>(size) : 0;
            }
            char buffer[4'096];
            const auto size = ::recv(descriptor, buffer, sizeof(buffer), MSG_DONTWAIT);
            if (size > 0) {
                received.append(buffer, static_cast<std::size_t>(size));
            }
            closedByHost = size == 0;
            return closedByHost;
        },
        wait);
    ::close(descriptor);
    return received;
}

ServiceReply SocketFixture::submit(const std::string &key)
{
    ServiceRequest request;
    request.method = "POST";
    request.target = "/v1/submit";
    request.contentType = "application/json";
    request.idempotencyKey = key;
    // Payloads differ, because repeated connection losses under one payload would quarantine it.
    request.body = fmt::format(R"({{"system":"catalog","payload":"payload of {}"}})", key);
    ServiceReply result;
    bool done = false;
    host->callerService().handle(std::move(request), [&](ServiceReply reply) {
        result = std::move(reply);
        done = true;
    });
    runUntil([&done] { return done; });
    return result;
}

} // namespace magnoliaspan::testing
