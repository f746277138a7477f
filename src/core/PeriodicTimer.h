/*
 * Timer that calls an action periodically.
 */
#pragma once

#include "core/Clock.h"
#include "core/Scheduler.h"

#include <functional>

namespace magnoliaspan {

/// \brief Calls an action periodically, each time one interval after the previous call has returned.
class PeriodicTimer
{
public:
    /// \param interval from the end of one call to the start of the next.
    PeriodicTimer(const Clock &clock, Scheduler &scheduler, Duration interval, std::function<void()> action);
    ~PeriodicTimer();
    PeriodicTimer(const PeriodicTimer &) = delete;
    PeriodicTimer &operator=(const PeriodicTimer &) = delete;

    /// \brief Starts the timer; the first call follows after one interval. The destructor stops it.
    void start();

private:
    const Clock &clock_;
    Scheduler &scheduler_;
    Duration interval_;
    std::function<void()> action_;
    TimerId timer_ = TimerId::None;
};

} // namespace magnoliaspan
