/*
 * Part control: notices that the process was paused, so that nothing new
 * goes by beliefs from before the pause.
 */
#pragma once

#include "core/Time.h"

#include <optional>

namespace magnoliaspan {

/// \brief Judges from gaps between events whether beliefs may be used.
class PauseDetector
{
public:
    /// Gap between two events beyond which the process counts as paused.
    static constexpr Duration maxGap = std::chrono::milliseconds(500);

    /// Time after a pause for which work waits for a reading before old beliefs are used again.
    static constexpr Duration maxWait = std::chrono::seconds(2);

    /// \param start instant of the first event.
    explicit PauseDetector(TimePoint start);

    /// \brief Must be called at the start of each event, and at least every maxGap / 2 by a timer.
    /// \returns true when this event is the first after a pause.
    bool observe(TimePoint now);

    /// \brief Tells of a reading of the platform or a peer that was asked for at \p asked.
    void recordRead(TimePoint requestedAt);

    /// \returns whether new work may go by the present beliefs.
    bool isStateFresh(TimePoint now) const;

private:
    TimePoint lastEvent_;
    std::optional<TimePoint> resumedAt_; // Set while no reading asked for after the pause has arrived.
};

} // namespace magnoliaspan
