/*
 * Reschedules the action after each call.
 */
#include "core/PeriodicTimer.h"

namespace magnoliaspan {

PeriodicTimer::PeriodicTimer(const Clock &clock, Scheduler &scheduler, Duration interval, std::function<void()> action)
    : clock_(clock)
    , scheduler_(scheduler)
    , interval_(interval)
    , action_(std::move(action))
{
}

PeriodicTimer::~PeriodicTimer()
{
    scheduler_.cancel(timer_);
}

void PeriodicTimer::start()
{
    timer_ = scheduler_.callAt(clock_.now() + interval_, [this] {
        action_();
        start();
    });
}

} // namespace magnoliaspan
