/*
 * Time types shared by all modules.
 * Steady time orders events within one process. Wall time is exchanged with
 * other processes; it is accurate only to the published clock offset bound.
 */
#pragma once

#include <chrono>

namespace magnoliaspan {

/// Span of time, in microseconds.
using Duration = std::chrono::microseconds;

/// Instant of the process-local steady clock.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Instant of the system clock, in milliseconds since the Unix epoch.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

} // namespace magnoliaspan
