/*
 * Part core: the timer behind it.
 */
#include "core/Ticker.h"

namespace magnoliaspan {

Ticker::Ticker(const Clock &clock, Scheduler &scheduler, Duration interval, std::function<void()> action)
    : clock_(clock)
    , scheduler_(scheduler)
    , interval_(interval)
    , action_(std::move(action))
{
}

Ticker::~Ticker()
{
    scheduler_.cancel(timer_);
}

void Ticker::start()
{
    timer_ = scheduler_.callAt(clock_.now() + interval_, [this] {
        action_();
        start();
    });
}

} // namespace magnoliaspan
