/*
 * Sockets, signals and log of an entry host.
 */
#include "app/ServeCommand.h"

#include "app/RandomSeed.h"
#include "magnoliaspan/entryhost.h"
#include "magnoliaspan/net.h"
#include "net/ConnectionDrain.h"

#include <cstdio>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace magnoliaspan {

namespace {

constexpr std::size_t maxPeerBodyBytes = 2'097'152;

std::shared_ptr<spdlog::logger> makeLogger(const Settings &settings)
{
    auto logger = spdlog::stderr_logger_st("magnoliaspan");
    logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l " + settings.seat + " %v");
    logger->set_level(spdlog::level::from_str(settings.logLevel));
    logger->flush_on(spdlog::level::warn);
    return logger;
}

/// The HTTP servers of an entry host: one for callers, one for peers, one for the admin port.
class EntryHostServers
{
public:
    EntryHostServers(EventLoop &loop, EntryHost &host)
        : admin_(host)
        , callerServer_(loop, host.callerService(), {})
        , peerServer_(loop, host.peerService(), peerLimits())
        , adminServer_(loop, admin_, {})
    {
    }

    /// \returns the first error, after which \p failedAddress holds the address.
    std::error_code listen(const Settings &settings, std::string &failedAddress)
    {
        struct Port {
            HttpServer &server;
            const Endpoint &endpoint;
        };
        for (const Port &port : {Port{callerServer_, settings.callerAddress},
                                 Port{peerServer_, settings.peerAddress},
                                 Port{adminServer_, settings.adminAddress}}) {
            if (const std::error_code error = port.server.listen(port.endpoint)) {
                failedAddress = port.endpoint.toString();
                return error;
            }
        }
        return {};
    }

    HttpServer &callerServer()
    {
        return callerServer_;
    }

    void announceClose()
    {
        callerServer_.announceClose();
    }

    void stopAccepting()
    {
        callerServer_.stopAccepting();
        peerServer_.announceClose();
        peerServer_.stopAccepting();
    }

private:
    static HttpServerLimits peerLimits()
    {
        HttpServerLimits limits;
        limits.maxBodyBytes = maxPeerBodyBytes;
        return limits;
    }

    AdminService admin_;
    HttpServer callerServer_;
    HttpServer peerServer_;
    HttpServer adminServer_;
};

} // namespace

int serve(const Settings &settings)
{
    const auto logger = makeLogger(settings);
    const SystemClock clock;
    EventLoop loop(clock);
    HttpTransport transport(loop);
    HttpPlatformSource platform(clock, loop, transport, settings.platformAddress, settings.environment);
    const auto logSink = [&logger](std::string_view line) { logger->info(line); };
    EntryHost host({clock, loop, transport, platform, logSink, randomSeed()}, settings);
    EntryHostServers servers(loop, host);
    std::string failedAddress;
    if (const std::error_code error = servers.listen(settings, failedAddress)) {
        std::fprintf(stderr, "magnoliaspan serve: cannot listen on %s: %s\n", failedAddress.c_str(), error.message().c_str());
        return 1;
    }
    TimePoint shutdownDeadline{};
    host.serving().onStageChanged([&](ServingStage stage) {
        if (stage == ServingStage::Announcing) {
            shutdownDeadline = clock.now() + settings.shutdownLimit;
            servers.announceClose();
        } else if (stage == ServingStage::Draining) {
            servers.stopAccepting();
        } else if (stage == ServingStage::Stopped) {
            servers.stopAccepting();
            stopWhenDrained(loop, clock, servers.callerServer(), shutdownDeadline);
        }
    });
    loop.onStopSignal([&host] { host.stop(); });
    // The state that the handler left behind is unknown: requests in progress get their responses, and the process ends.
    loop.onException([&](std::string_view reason) {
        logger->error("shutdown: exception in the event loop, the host stops reason=\"{}\"", reason);
        host.stop();
    });
    host.start();
    loop.run();
    logger->flush();
    return 0;
}

} // namespace magnoliaspan
