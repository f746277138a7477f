/*
 * Part app: an entry host that forwards along published routes; its controllers and how they are connected.
 * It does no I/O of its own, so that it runs alike on Asio and on a manual clock.
 */
#pragma once

#include "app/ActiveRequests.h"
#include "config/ForwardSettings.h"
#include "control/PauseDetector.h"
#include "control/ServingController.h"
#include "core/Ticker.h"
#include "discovery/DiscoveryController.h"
#include "forward/CrashGuard.h"
#include "forward/ForwardService.h"
#include "membership/GossipController.h"
#include "relay/RelayService.h"
#include "relay/RelaySource.h"

#include <functional>
#include <memory>

namespace magnoliaspan {

/// \brief What a forwarding host needs from outside; outlives it.
struct ForwardHostEnvironment {
    const Clock &clock;
    Scheduler &scheduler;
    Transport &transport;
    DiscoverySource &discovery;
    DatagramPort &peers;
    const ItemDecoder &decoder;
    const ForwardCodec &codec;
    Journal::Sink logSink;
    std::uint64_t seed = 0; ///< Of all random choices.
};

/// \brief A forwarding host without its sockets.
class ForwardHost
{
public:
    ForwardHost(const ForwardHostEnvironment &environment, ForwardSettings settings);
    ~ForwardHost() = default;
    ForwardHost(const ForwardHost &) = delete;
    ForwardHost &operator=(const ForwardHost &) = delete;

    /// \brief Begins to read what is published.
    void start();

    /// \brief Begins the graceful end; \sa ServingController::stop.
    void stop();

    /// \brief Takes over settings that may change while the process runs: the limits and the seeds.
    void applySettings(const ForwardSettings &settings);

    /// \brief Calls \p listener with each new bound on what callers may send.
    void setListenerLimitsHandler(std::function<void(const ListenerLimits &)> handler);

    /// \returns why the balancer should send no callers here; empty when it should.
    std::string notReadyReason() const;

    ForwardService &forwardService();

    /// \returns what answers other hosts.
    RelayService &relayService();

    ServingController &serving();
    Journal &journal();

    /// \returns counters and the present sizes of what this host keeps, in the text exposition format.
    std::string metrics() const;

private:
    void connectRegistry();
    void connectGossip();
    void tick();

    ForwardSettings settings_;
    const Clock &clock_;
    Journal journal_;
    Counters counters_;
    PauseDetector pauseDetector_;
    ServingController serving_;
    ActiveRequests activeRequests_;
    Registry registry_;
    CrashGuard crashGuard_;
    GossipController gossip_;
    Mirror mirror_;
    RelaySource relaySource_;
    RelayService relayService_;
    ForwardEnvironment environment_;
    ReplicaController replicas_;
    DiscoveryController discovery_;
    ForwardService forwardService_;
    std::function<void(const ListenerLimits &)> listenerLimitsHandler_;
    TimePoint nextReplicaTick_{};
    Ticker tickTimer_;
};

} // namespace magnoliaspan
