/*
 * Detection of pauses by gaps between events.
 */
#include "control/PauseDetector.h"

namespace magnoliaspan {

PauseDetector::PauseDetector(TimePoint start)
    : lastEvent_(start)
{
}

bool PauseDetector::observe(TimePoint now)
{
    const bool paused = now - lastEvent_ > maxGap;
    lastEvent_ = now;
    if (paused) {
        resumedAt_ = now;
    }
    return paused;
}

void PauseDetector::recordRead(TimePoint requestedAt)
{
    if (resumedAt_ && requestedAt >= *resumedAt_) {
        resumedAt_.reset();
    }
}

bool PauseDetector::isStateFresh(TimePoint now) const
{
    if (now - lastEvent_ > maxGap) {
        // A pause that no call of observe() has detected yet.
        return false;
    }
    return !resumedAt_ || now - *resumedAt_ > maxWait;
}

} // namespace magnoliaspan
