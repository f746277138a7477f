/*
 * Interface through which all code reads steady time, wall time and time since boot.
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

    /// \returns the steady time of this process; never decreases.
    virtual TimePoint now() const = 0;

    /// \returns the system time; may differ between hosts by up to the published clock offset bound.
    virtual WallTime wallNow() const = 0;

    /// \returns a monotonic time that also advances while the machine is suspended; its epoch is unspecified, so that only differences are
    /// meaningful.
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
