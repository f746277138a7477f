/*
 * Timer interface; implemented over Asio and over the manual clock of the tests.
 */
#pragma once

#include "core/Time.h"

#include <cstdint>
#include <functional>

namespace magnoliaspan {

/// Identifies a pending timer; None stands for no timer.
enum class TimerId : std::uint64_t { None = 0 };

/// \brief Runs handlers at later instants, on the thread of the event loop.
class Scheduler
{
public:
    virtual ~Scheduler() = default;

    /// \brief Calls \p handler once, at \p instant or later.
    /// \returns an id for cancel().
    virtual TimerId callAt(TimePoint instant, std::function<void()> handler) = 0;

    /// \brief Cancels \p timer; the id of an expired or unknown timer has no effect.
    virtual void cancel(TimerId timer) = 0;
};

} // namespace magnoliaspan
