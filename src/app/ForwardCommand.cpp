/*
 * Sockets, signals, settings file and log of a forwarding host.
 */
#include "app/ForwardCommand.h"

#include "app/ForwardHost.h"
#include "app/RandomSeed.h"
#include "app/TextFile.h"
#include "core/PeriodicTimer.h"
#include "magnoliaspan/net.h"
#include "net/ConnectionDrain.h"
#include "net/LogWriter.h"
#include "net/UdpPort.h"
#include "platform/Adapter.h"

#include <cstdio>
#include <fmt/format.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

namespace magnoliaspan {

namespace {

// The settings file is polled, since it may change without a reload signal.
constexpr Duration settingsPollInterval = std::chrono::seconds(1);
// Four times the largest requests of callers.
constexpr std::size_t maxPeerBodyBytes = 1'048'576;
// Time for the body beyond the header time-out; allows for callers on slow links.
constexpr Duration bodyTimeout = std::chrono::seconds(10);

/// Serves a response that is generated anew for each request; all paths and methods are alike.
class TextService : public Service
{
public:
    explicit TextService(std::function<ServiceReply()> makeReply)
        : makeReply_(std::move(makeReply))
    {
    }

    CancelFunction handle(ServiceRequest, ReplyHandler handler) override
    {
        handler(makeReply_());
        return {};
    }

private:
    std::function<ServiceReply()> makeReply_;
};

// A request that is passed on has the size of the caller's, with its fields.
HttpServerLimits peerLimits()
{
    HttpServerLimits limits;
    limits.maxBodyBytes = maxPeerBodyBytes;
    return limits;
}

ServiceReply readinessReply(const ForwardHost &host)
{
    const std::string reason = host.notReadyReason();
    ServiceReply reply;
    reply.status = reason.empty() ? 200 : 503;
    reply.contentType = "text/plain";
    reply.body = reason.empty() ? "ready\n" : reason + "\n";
    return reply;
}

/// A forwarding host with its sockets, log and settings file.
class ForwardProcess
{
public:
    ForwardProcess(const ForwardSettings &settings, std::string settingsFile)
        : settingsFile_(std::move(settingsFile))
        , settingsText_(readTextFile(settingsFile_).value_or(""))
        , shutdownLimit_(settings.shutdownLimit)
        , logWriter_(std::make_shared<LogWriter>(clock_, loop_, STDOUT_FILENO, settings.logLinesPerSecond))
        , logger_("magnoliaspan", logWriter_)
        , codec_(platform::makeCodec())
        , decoder_(platform::makeDecoder())
        , discovery_(platform::makeDiscovery(clock_, loop_, transport_, settings.discoveryAddress))
        , host_({clock_,
                 loop_,
                 transport_,
                 *discovery_,
                 peerPort_,
                 *decoder_,
                 *codec_,
                 [this](std::string_view line) { logger_.info(line); },
                 randomSeed()},
                settings)
        , readinessService_([this] { return readinessReply(host_); })
        , metricsService_([this] {
            return ServiceReply{200, "text/plain; version=0.0.4", metricsText()};
        })
        , callerServer_(loop_, host_.forwardService(), {})
        , peerServer_(loop_, host_.peerService(), peerLimits())
        , readyServer_(loop_, readinessService_, {})
        , metricsServer_(loop_, metricsService_, {})
    {
        logger_.set_pattern("%Y-%m-%dT%H:%M:%S.%e %l " + settings.host + " %v");
        logger_.set_level(spdlog::level::from_str(settings.logLevel));
    }

    int run(const ForwardSettings &settings)
    {
        if (!listen(callerServer_, settings.callerAddress) || !listen(readyServer_, settings.readyAddress)
            || !listen(metricsServer_, settings.metricsAddress) || !listen(peerPort_, settings.peerAddress)
            || !listen(peerServer_, settings.peerAddress)) {
            return 1;
        }
        host_.setListenerLimitsHandler([this](const ListenerLimits &limits) { applyLimits(limits); });
        host_.serving().onStageChanged([this](ServingStage stage) { onStageChanged(stage); });
        loop_.onStopSignal([this] { host_.stop(); });
        loop_.onReloadSignal([this] { reloadSettings(); });
        loop_.onException([this](std::string_view reason) { onException(reason); });
        settingsTimer_.start();
        host_.start();
        loop_.run();
        host_.journal().record(LogCategory::Shutdown, "", "host stopped");
        logger_.flush();
        return 0;
    }

private:
    template <typename Listener>
    bool listen(Listener &server, const Endpoint &endpoint)
    {
        const std::error_code error = server.listen(endpoint);
        if (error) {
            logger_.error("shutdown: cannot listen on address={} error=\"{}\"", endpoint.toString(), error.message());
            logger_.flush();
        }
        return !error;
    }

    std::string metricsText() const
    {
        return host_.metrics()
               + fmt::format("magnoliaspan_caller_connections {}\nmagnoliaspan_log_lines_dropped_total {}\n"
                             "magnoliaspan_peer_datagrams_unsent_total {}\nmagnoliaspan_exceptions_total {}\n",
                             callerServer_.connections(),
                             logWriter_->dropped(),
                             peerPort_.sendFailures(),
                             exceptions_);
    }

    // The state that the handler left behind is unknown: requests in progress get their responses, and the process ends.
    void onException(std::string_view reason)
    {
        ++exceptions_;
        logger_.error("shutdown: exception in the event loop, the host stops reason=\"{}\"", reason);
        host_.stop();
    }

    void applyLimits(const ListenerLimits &limits)
    {
        HttpServerLimits serverLimits;
        serverLimits.maxHeaderBytes = limits.maxHeaderBytes;
        serverLimits.maxBodyBytes = limits.maxBodyBytes;
        serverLimits.requestTimeout = limits.headerTimeout + bodyTimeout;
        serverLimits.idleTimeout = limits.idleTimeout;
        callerServer_.setLimits(serverLimits);
    }

    void onStageChanged(ServingStage stage)
    {
        if (stage == ServingStage::Announcing) {
            shutdownDeadline_ = clock_.now() + shutdownLimit_;
            callerServer_.announceClose();
        } else if (stage == ServingStage::Draining) {
            callerServer_.stopAccepting();
            callerServer_.closeIdle();
        } else if (stage == ServingStage::Stopped) {
            callerServer_.stopAccepting();
            stopWhenDrained(loop_, clock_, callerServer_, shutdownDeadline_);
        }
    }

    void reloadSettings()
    {
        const auto text = readTextFile(settingsFile_);
        if (!text || *text == settingsText_) {
            return;
        }
        settingsText_ = *text;
        Diagnostics diagnostics;
        const auto settings = ForwardSettings::parse(*text, settingsFile_, diagnostics);
        for (const Diagnostic &diagnostic : diagnostics) {
            logger_.error("shutdown: settings rejected, the previous settings stay in force {}", diagnostic.toString());
        }
        if (settings) {
            host_.applySettings(*settings);
        }
    }

    SystemClock clock_;
    EventLoop loop_{clock_};
    HttpTransport transport_{loop_};
    UdpPort peerPort_{loop_};
    std::string settingsFile_;
    std::string settingsText_; // Content as last read, to detect changes.
    Duration shutdownLimit_;
    std::uint64_t exceptions_ = 0; // That reached the event loop.
    TimePoint shutdownDeadline_{}; // The process exits at this time even if connections are still open.
    std::shared_ptr<LogWriter> logWriter_;
    spdlog::logger logger_;
    std::unique_ptr<ForwardCodec> codec_;
    std::unique_ptr<ItemDecoder> decoder_;
    std::unique_ptr<DiscoverySource> discovery_;
    ForwardHost host_;
    TextService readinessService_;
    TextService metricsService_;
    HttpServer callerServer_;
    HttpServer peerServer_;
    HttpServer readyServer_;
    HttpServer metricsServer_;
    PeriodicTimer settingsTimer_{clock_, loop_, settingsPollInterval, [this] { reloadSettings(); }};
};

} // namespace

int forward(const ForwardSettings &settings, const std::string &settingsFile)
{
    ForwardProcess process(settings, settingsFile);
    return process.run(settings);
}

} // namespace magnoliaspan
