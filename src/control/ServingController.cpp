/*
 * Part control: timing of the stages.
 */
#include "control/ServingController.h"

#include <fmt/format.h>

namespace magnoliaspan {

ServingController::ServingController(const Clock &clock, Scheduler &scheduler, Journal &journal, Duration announce, Duration limit)
    : clock_(clock)
    , scheduler_(scheduler)
    , journal_(journal)
    , announce_(announce)
    , limit_(limit)
{
}

ServingController::~ServingController()
{
    scheduler_.cancel(announceTimer_);
    scheduler_.cancel(limitTimer_);
}

ServingStage ServingController::stage() const
{
    return machine_.stage();
}

bool ServingController::ready() const
{
    return stage() == ServingStage::Serving;
}

bool ServingController::takesRequests() const
{
    return stage() == ServingStage::Serving || stage() == ServingStage::Announcing;
}

void ServingController::configurationAccepted()
{
    process(ServingEvent::ConfigurationAccepted);
}

void ServingController::stop()
{
    const bool first = stage() == ServingStage::Serving;
    process(ServingEvent::StopAsked);
    if (!first) {
        return;
    }
    announceTimer_ = scheduler_.callAt(clock_.now() + announce_, [this] { process(ServingEvent::AnnouncedLongEnough); });
    limitTimer_ = scheduler_.callAt(clock_.now() + limit_, [this] { limitReached(); });
}

void ServingController::limitReached()
{
    if (inFlight_ > 0) {
        journal_.record(LogCategory::Shutdown, "", fmt::format("limit reached in_flight={}", inFlight_));
    }
    process(ServingEvent::LimitReached);
}

void ServingController::requestsInFlight(std::size_t count)
{
    inFlight_ = count;
    if (count == 0 && stage() == ServingStage::Draining) {
        process(ServingEvent::LastRequestEnded);
    }
}

void ServingController::onStage(std::function<void(ServingStage)> listener)
{
    listener_ = std::move(listener);
}

void ServingController::process(ServingEvent event)
{
    const ServingStage before = stage();
    if (!machine_.process(event)) {
        return;
    }
    journal_.record(
        LogCategory::Shutdown, "", fmt::format("stage changed from={} to={} in_flight={}", toString(before), toString(stage()), inFlight_));
    if (stage() == ServingStage::Draining && inFlight_ == 0) {
        process(ServingEvent::LastRequestEnded);
        return;
    }
    if (listener_) {
        listener_(stage());
    }
}

} // namespace magnoliaspan
