/*
 * Additive increase and multiplicative decrease of the concurrency limit.
 */
#include "control/ConcurrencyLimit.h"

#include <algorithm>
#include <cassert>

namespace magnoliaspan {

namespace {

constexpr double decreaseFactor = 0.7;
constexpr Duration decreaseInterval = std::chrono::milliseconds(50);

} // namespace

ConcurrencyLimit::ConcurrencyLimit(unsigned start, unsigned maximum)
    : limit_(start)
    , maximum_(maximum)
{
    assert(start >= 1 && start <= maximum && "the initial limit must be from 1 to the maximum");
}

unsigned ConcurrencyLimit::current() const
{
    return static_cast<unsigned>(limit_);
}

unsigned ConcurrencyLimit::maximum() const
{
    return maximum_;
}

void ConcurrencyLimit::setMaximum(unsigned maximum)
{
    assert(maximum >= 1 && "the maximum must be at least 1: at zero no response could raise the limit again");
    maximum_ = maximum;
    limit_ = std::min(limit_, static_cast<double>(maximum));
}

void ConcurrencyLimit::recordSuccess(bool saturated)
{
    if (!saturated) {
        return;
    }
    limit_ = std::min(limit_ + 1 / limit_, static_cast<double>(maximum_));
}

void ConcurrencyLimit::recordShed(TimePoint now)
{
    if (now < nextDecrease_) {
        return;
    }
    nextDecrease_ = now + decreaseInterval;
    limit_ = std::max(1.0, limit_ * decreaseFactor);
}

} // namespace magnoliaspan
