/*
 * Part core: the clock interface through which all code reads time.
 */
#pragma once

#include "core/Time.h"

namespace magnoliaspan {

/// \brief Source of steady and wall time.
/// \sa Scheduler
class Clock
{
public:
    virtual ~Clock() = default;

    /// \returns the steady time; never decreases.
    virtual TimePoint now() const = 0;

    /// \returns the system time; other hosts may differ by the clock offset bound.
    virtual WallTime wallNow() const = 0;

    /// \returns a time that also counts while the machine is suspended; only differences mean anything.
    virtual TimePoint bootNow() const
    {
        return now();
    }

    /// \returns \p instant of the steady clock as system time.
    WallTime toWall(TimePoint instant) const
    {
        return wallNow() + std::chrono::duration_cast<std::chrono::milliseconds>(instant - now());
    }

    /// \returns \p instant of the system clock as steady time.
    TimePoint toSteady(WallTime instant) const
    {
        return now() + std::chrono::duration_cast<Duration>(instant - wallNow());
    }
};

} // namespace magnoliaspan
