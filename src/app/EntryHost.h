/*
 * An entry host: owns the controllers and services and connects them.
 * It does no I/O of its own, so that it runs unchanged on Asio and on a manual clock.
 */
#pragma once

#include "app/ActiveRequests.h"
#include "app/CallerService.h"
#include "app/PeerService.h"
#include "app/SubmitRouter.h"
#include "config/Settings.h"
#include "control/PlatformWatcher.h"
#include "control/ServingController.h"
#include "core/PeriodicTimer.h"
#include "peer/PeerAuthenticator.h"
#include "peer/PeerController.h"
#include "request/FilterChain.h"
#include "request/RequestServices.h"

#include <memory>
#include <string>

namespace magnoliaspan {

/// \brief External dependencies of an entry host; the referenced objects must outlive it.
struct EntryHostEnvironment {
    const Clock &clock;
    Scheduler &scheduler;
    Transport &transport;
    PlatformSource &platform;
    Journal::Sink logSink;
    std::uint64_t seed = 0; ///< Seeds all random number generators of the host.
};

/// \brief An entry host without sockets.
class EntryHost
{
public:
    EntryHost(const EntryHostEnvironment &environment, Settings settings);
    ~EntryHost() = default;
    EntryHost(const EntryHost &) = delete;
    EntryHost &operator=(const EntryHost &) = delete;

    /// \brief Starts reading the platform and the periodic maintenance.
    void start();

    /// \brief Starts a graceful shutdown.
    /// \sa ServingController::stop
    void stop();

    CallerService &callerService();
    PeerService &peerService();

    /// \returns whether the load balancer should route callers to this host.
    bool isReady() const;

    /// \returns the reason why isReady() is false; empty when it is true.
    std::string notReadyReason() const;

    const Settings &settings() const;
    const Clock &clock() const;
    ServingController &serving();
    const ConfigurationController &configuration() const;
    const MembershipController &membership() const;
    const PlatformWatcher &platform() const;
    const TargetController &targets() const;
    const QuarantineController &quarantine() const;
    const PauseDetector &pauseDetector() const;
    const PeerController &peers() const;
    const SubmitRouter &submitRouter() const;
    const Counters &counters() const;
    const Journal &journal() const;
    std::size_t requestsInFlight() const;

private:
    LinkEnvironment linkEnvironment(const EntryHostEnvironment &environment);
    PeerServices peerServices(const EntryHostEnvironment &environment);
    RequestServices requestServices();
    void connectControllers();
    void tick();
    void onCapacityFreed();
    void notifyWaiters();

    Settings settings_;
    const Clock &clock_;
    Scheduler &scheduler_;
    Journal journal_;
    Counters counters_;
    ConfigurationController configuration_;
    MembershipController membership_;
    PauseDetector pauseDetector_;
    ServingController serving_;
    QuarantineController quarantine_;
    SystemController systems_;
    TargetController targets_;
    PlatformWatcher platform_;
    PeerAuthenticator authenticator_;
    PeerController peers_;
    std::uint64_t lastOperationId_ = 0;
    RequestServices services_;
    FilterChain filters_;
    ActiveRequests activeRequests_;
    SubmitRouter submitRouter_;
    CallerService callerService_;
    PeerService peerService_;
    TimePoint startedAt_;
    TimePoint nextLinkTick_{};
    bool notificationScheduled_ = false; // Invariant: true while a call of notifyWaiters() is scheduled.
    std::shared_ptr<int> lifetimeToken_; // Scheduled callbacks hold it weakly and do nothing once the host is destroyed.
    PeriodicTimer tickTimer_;
};

} // namespace magnoliaspan
