/*
 * Part net: the clock of a real process.
 */
#pragma once

#include "core/Clock.h"

namespace magnoliaspan {

/// \brief Reads the operating system's clocks.
class SystemClock : public Clock
{
public:
    TimePoint now() const override
    {
        return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
    }

    WallTime wallNow() const override
    {
        return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    }
};

} // namespace magnoliaspan
