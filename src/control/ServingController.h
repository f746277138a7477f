/*
 * Controls readiness and graceful shutdown of the process.
 */
#pragma once

#include "control/ServingStateMachine.h"
#include "core/Clock.h"
#include "core/Journal.h"
#include "core/Scheduler.h"

#include <functional>

namespace magnoliaspan {

/// \brief Decides what the process reports to the balancer and when it may exit.
class ServingController
{
public:
    /// \param announce time for which requests are still served after the process reports that it is not ready.
    /// \param limit time from stop() after which the process stops even with requests in flight.
    ServingController(const Clock &clock, Scheduler &scheduler, Journal &journal, Duration announce, Duration limit);
    ~ServingController();

    ServingStage stage() const;

    /// \returns whether the balancer should send new callers.
    bool isReady() const;

    /// \returns whether a request that arrives now is served.
    bool acceptsRequests() const;

    void onConfigurationAccepted();

    /// \brief Starts the graceful shutdown; a second call ends the announcement, a third stops at once.
    void stop();

    /// \brief Must be called when the number of requests in flight changes.
    void setInFlight(std::size_t count);

    /// \brief Sets the \p listener that is called when the stage has changed.
    /// Draining is skipped when no request is in flight.
    void onStageChanged(std::function<void(ServingStage)> listener);

private:
    void process(ServingEvent event);
    void onLimitReached();

    const Clock &clock_;
    Scheduler &scheduler_;
    Journal &journal_;
    Duration announceDuration_;
    Duration shutdownLimit_;
    ServingStateMachine stateMachine_;
    std::function<void(ServingStage)> listener_;
    std::size_t inFlight_ = 0;
    TimerId announceTimer_ = TimerId::None;
    TimerId limitTimer_ = TimerId::None;
};

} // namespace magnoliaspan
