/*
 * Computes the instants of permissions from the interval between them, without a timer.
 */
#include "forward/RateAllowance.h"

#include <algorithm>

namespace magnoliaspan {

namespace {

// Bounds the arithmetic on instants; a host whose part is less than one request in this time has practically none.
constexpr Duration maxInterval = std::chrono::hours(1);
constexpr Duration minInterval = std::chrono::microseconds(10);

Duration intervalOf(double perSecond)
{
    const double seconds = perSecond > 0 ? 1 / perSecond : std::chrono::duration<double>(maxInterval).count();
    const std::chrono::duration<double> bounded(std::min(seconds, std::chrono::duration<double>(maxInterval).count()));
    return std::max(minInterval, std::chrono::duration_cast<Duration>(bounded));
}

} // namespace

RateAllowance::RateAllowance(double phase)
    : phase_(phase)
{
}

void RateAllowance::start(double perSecond, TimePoint now)
{
    interval_ = intervalOf(perSecond);
    permittedAt_ = now + std::chrono::duration_cast<Duration>(interval_ * phase_);
}

void RateAllowance::setRate(double perSecond, TimePoint now)
{
    const Duration before = interval_;
    interval_ = intervalOf(perSecond);
    const TimePoint next = nextAt(now);
    if (next <= now) {
        permittedAt_ = next;
        return;
    }
    // The part of the interval that is left stays the same.
    const double left = std::min(1.0, std::chrono::duration<double>(permittedAt_ - now) / std::chrono::duration<double>(before));
    permittedAt_ = permittedAt_ > now ? now + std::chrono::duration_cast<Duration>(interval_ * left) : next;
}

TimePoint RateAllowance::nextAt(TimePoint now) const
{
    const Duration lapsed = now - permittedAt_ - lifetime;
    return lapsed < Duration::zero() ? permittedAt_ : permittedAt_ + interval_ * (lapsed / interval_ + 1);
}

bool RateAllowance::isAvailable(TimePoint now) const
{
    return nextAt(now) <= now;
}

bool RateAllowance::tryAcquire(TimePoint now)
{
    const TimePoint next = nextAt(now);
    if (next > now) {
        return false;
    }
    permittedAt_ = next + interval_;
    return true;
}

} // namespace magnoliaspan
