/*
 * Part control: from start through readiness to a graceful end.
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
    /// \param announce time served while already reported as not ready.
    /// \param limit time after which the end comes even with requests in flight.
    ServingController(const Clock &clock, Scheduler &scheduler, Journal &journal, Duration announce, Duration limit);
    ~ServingController();

    ServingStage stage() const;

    /// \returns whether the balancer should send new callers.
    bool isReady() const;

    /// \returns whether a request that arrives now is served.
    bool acceptsRequests() const;

    void onConfigurationAccepted();

    /// \brief Begins the graceful end; a second call ends the announcement, a third ends at once.
    void stop();

    /// \brief Must be called when the number of requests in flight changes.
    void setInFlight(std::size_t count);

    /// \brief Calls \p listener when the stage becomes Draining or Stopped.
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
