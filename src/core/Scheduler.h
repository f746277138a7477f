/*
 * Part core: the timer interface behind which decisions run on Asio or on a manual clock.
 */
#pragma once

#include "core/Time.h"

#include <cstdint>
#include <functional>

namespace magnoliaspan {

/// Identifies a pending timer; zero names none.
enum class TimerId : std::uint64_t { None = 0 };

/// \brief Runs handlers at later instants, on the thread that owns the decisions.
class Scheduler
{
public:
    virtual ~Scheduler() = default;

    /// \brief Calls \p handler once, not before \p instant.
    /// \returns an id for cancel().
    virtual TimerId callAt(TimePoint instant, std::function<void()> handler) = 0;

    /// \brief Drops the timer; an unknown or past id has no effect.
    virtual void cancel(TimerId timer) = 0;
};

} // namespace magnoliaspan
