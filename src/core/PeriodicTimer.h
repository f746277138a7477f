/*
 * Part core: work that is done again and again.
 */
#pragma once

#include "core/Clock.h"
#include "core/Scheduler.h"

#include <functional>

namespace magnoliaspan {

/// \brief Calls an action again and again, each time one interval after the last call has ended.
class PeriodicTimer
{
public:
    PeriodicTimer(const Clock &clock, Scheduler &scheduler, Duration interval, std::function<void()> action);
    ~PeriodicTimer();
    PeriodicTimer(const PeriodicTimer &) = delete;
    PeriodicTimer &operator=(const PeriodicTimer &) = delete;

    /// \brief Calls the action for the first time after one interval.
    void start();

private:
    const Clock &clock_;
    Scheduler &scheduler_;
    Duration interval_;
    std::function<void()> action_;
    TimerId timer_ = TimerId::None;
};

} // namespace magnoliaspan
