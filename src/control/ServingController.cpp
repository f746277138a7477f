/*
 * Timers and events that change the stage of the process.
 */
#include "control/ServingController.h"

#include <fmt/format.h>

namespace magnoliaspan {

ServingController::ServingController(const Clock &clock, Scheduler &scheduler, Journal &journal, Duration announce, Duration limit)
    : clock_(clock)
    , scheduler_(scheduler)
    , journal_(journal)
    , announceDuration_(announce)
    , shutdownLimit_(limit)
{
}

ServingController::~ServingController()
{
    scheduler_.cancel(announceTimer_);
    scheduler_.cancel(limitTimer_);
}

ServingStage ServingController::stage() const
{
    return stateMachine_.stage();
}

bool ServingController::isReady() const
{
    return stage() == ServingStage::Serving;
}

bool ServingController::acceptsRequests() const
{
    return stage() == ServingStage::Serving || stage() == ServingStage::Announcing;
}

void ServingController::onConfigurationAccepted()
{
    process(ServingEvent::ConfigurationAccepted);
}

void ServingController::stop()
{
    const bool wasServing = stage() == ServingStage::Serving;
    process(ServingEvent::StopRequested);
    if (!wasServing) {
        return;
    }
    announceTimer_ = scheduler_.callAt(clock_.now() + announceDuration_, [this] { process(ServingEvent::AnnouncementElapsed); });
    limitTimer_ = scheduler_.callAt(clock_.now() + shutdownLimit_, [this] { onLimitReached(); });
}

void ServingController::onLimitReached()
{
    if (inFlight_ > 0) {
        journal_.record(LogCategory::Shutdown, "", fmt::format("shutdown limit reached with requests in flight in_flight={}", inFlight_));
    }
    process(ServingEvent::ShutdownLimitReached);
}

void ServingController::setInFlight(std::size_t count)
{
    inFlight_ = count;
    if (count == 0 && stage() == ServingStage::Draining) {
        process(ServingEvent::LastRequestCompleted);
    }
}

void ServingController::onStageChanged(std::function<void(ServingStage)> listener)
{
    listener_ = std::move(listener);
}

void ServingController::process(ServingEvent event)
{
    const ServingStage before = stage();
    if (!stateMachine_.process(event)) {
        return;
    }
    journal_.record(
        LogCategory::Shutdown, "", fmt::format("stage changed from={} to={} in_flight={}", toString(before), toString(stage()), inFlight_));
    if (stage() == ServingStage::Draining && inFlight_ == 0) {
        process(ServingEvent::LastRequestCompleted);
        return;
    }
    if (listener_) {
        listener_(stage());
    }
}

} // namespace magnoliaspan
