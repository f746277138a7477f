/*
 * Detects pauses of the process, after which its observed state may be stale
 * and must not be used for new work.
 */
#pragma once

#include "core/Time.h"

#include <optional>

namespace magnoliaspan {

/// \brief Derives from the gaps between events whether the observed state is recent enough to use.
class PauseDetector
{
public:
    /// Gap between two events beyond which the process counts as paused.
    static constexpr Duration maxGap = std::chrono::milliseconds(500);

    /// Time after a pause for which work waits for a new read before state from before the pause is used again.
    static constexpr Duration maxWait = std::chrono::seconds(2);

    /// \param start instant of the first event.
    explicit PauseDetector(TimePoint start);

    /// \brief Must be called at the start of each event, and at least every maxGap / 2 by a timer.
    /// \returns true when this event is the first after a pause.
    bool observe(TimePoint now);

    /// \brief Records a successful read from the platform or a peer.
    /// \param requestedAt when the read was requested; only one requested after the pause ends the wait.
    void recordRead(TimePoint requestedAt);

    /// \returns whether the observed state may be used for new work.
    bool isStateFresh(TimePoint now) const;

private:
    TimePoint lastEvent_;
    std::optional<TimePoint> resumedAt_; // End of the last pause; empty once a read requested after it has arrived.
};

} // namespace magnoliaspan
