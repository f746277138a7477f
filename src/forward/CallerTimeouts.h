/*
 * The time-outs that callers of a route give with their requests.
 */
#pragma once

#include "core/Time.h"

#include <array>
#include <cstddef>

namespace magnoliaspan {

/// \brief Estimates the time-out of a first attempt from those of the last requests.
/// A retry has less time left than the first attempt had. The upper quartile of the recent time-outs is the one of first attempts
/// as long as these are at least a quarter of the requests, and callers with longer time-outs at most a quarter.
class CallerTimeouts
{
public:
    /// \brief Records the time-out of a request.
    void add(Duration timeout);

    /// \returns the time-out of first attempts; zero before the first add().
    Duration ofFirstAttempt() const;

private:
    static constexpr std::size_t capacity = 64;

    std::array<Duration, capacity> recent_{};
    std::size_t count_ = 0; // Of recent_ that are in use.
    std::size_t next_ = 0;  // Index in recent_ of the next one to be replaced.
};

} // namespace magnoliaspan
