/*
 * An entry host that forwards along published routes: owns the controllers and services and connects them.
 * It does no I/O of its own, so that it runs unchanged on Asio and on a manual clock.
 */
#pragma once

#include "app/ActiveRequests.h"
#include "app/ForwardPeerService.h"
#include "config/ForwardSettings.h"
#include "control/PauseDetector.h"
#include "control/ServingController.h"
#include "core/PeriodicTimer.h"
#include "discovery/DiscoveryController.h"
#include "forward/CrashGuard.h"
#include "forward/ForwardService.h"
#include "handoff/HandoffController.h"
#include "handoff/HandoffService.h"
#include "membership/GossipController.h"
#include "relay/RelayService.h"
#include "relay/RelaySource.h"

#include <functional>
#include <memory>

namespace magnoliaspan {

/// \brief External dependencies of a forwarding host; the referenced objects must outlive it.
struct ForwardHostEnvironment {
    const Clock &clock;
    Scheduler &scheduler;
    Transport &transport;
    DiscoverySource &discovery;
    DatagramPort &peers;
    const ItemDecoder &decoder;
    const ForwardCodec &codec;
    Journal::Sink logSink;
    std::uint64_t seed = 0; ///< Seeds all random number generators of the host.
};

/// \brief A forwarding host without sockets.
class ForwardHost
{
public:
    ForwardHost(const ForwardHostEnvironment &environment, ForwardSettings settings);
    ~ForwardHost() = default;
    ForwardHost(const ForwardHost &) = delete;
    ForwardHost &operator=(const ForwardHost &) = delete;

    /// \brief Starts discovery, gossip and the periodic maintenance.
    void start();

    /// \brief Starts a graceful shutdown and announces it to the other hosts.
    /// \sa ServingController::stop
    void stop();

    /// \brief Applies the settings that may change at run time: the limits and the seeds.
    /// The number of hosts stays the one determined by gossip. All other fields are ignored.
    void applySettings(const ForwardSettings &settings);

    /// \brief Sets the \p handler that is called with the listener limits of each accepted routing table.
    void setListenerLimitsHandler(std::function<void(const ListenerLimits &)> handler);

    /// \returns the reason why the load balancer should not route callers to this host; empty when it should.
    std::string notReadyReason() const;

    ForwardService &forwardService();

    /// \returns the service that serves requests of other hosts.
    Service &peerService();

    ServingController &serving();
    Journal &journal();

    /// \returns the counters and the current gauges of this host, in the text exposition format.
    std::string metrics() const;

private:
    void connectRegistry();
    void connectGossip();
    void connectContact();
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
    TargetContact contact_;
    GossipController gossip_;
    Mirror mirror_;
    RelaySource relaySource_;
    RelayService relayService_;
    HandoffController handoff_;
    ForwardEnvironment environment_;
    ReplicaController replicas_;
    DiscoveryController discovery_;
    ForwardService forwardService_;
    HandoffService handoffService_;
    ForwardPeerService peerService_;
    std::function<void(const ListenerLimits &)> listenerLimitsHandler_;
    TimePoint nextReplicaTick_{};
    PeriodicTimer tickTimer_;
};

} // namespace magnoliaspan
