/*
 * Clock of a real process.
 */
#pragma once

#include "core/Clock.h"

#include <ctime>

namespace magnoliaspan {

/// \brief Reads the clocks of the operating system.
class SystemClock : public Clock
{
public:
    TimePoint now() const override
    {
        return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
    }

    TimePoint bootNow() const override
    {
        timespec time{};
        ::clock_gettime(CLOCK_BOOTTIME, &time);
        return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(time.tv_nsec)));
    }

    WallTime wallNow() const override
    {
        return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    }
};

} // namespace magnoliaspan
