/*
 * Keeps the last time-outs in a ring.
 */
#include "forward/CallerTimeouts.h"

#include <algorithm>

namespace magnoliaspan {

namespace {

// Of the time-outs, one in so many may be longer than that of first attempts.
constexpr std::size_t longerDivisor = 4;

} // namespace

void CallerTimeouts::add(Duration timeout)
{
    recent_[next_] = timeout;
    next_ = (next_ + 1) % capacity;
    count_ = std::min(count_ + 1, capacity);
}

Duration CallerTimeouts::ofFirstAttempt() const
{
    if (count_ == 0) {
        return Duration::zero();
    }
    auto sorted = recent_;
    const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(count_);
    const auto quartile = sorted.begin() + static_cast<std::ptrdiff_t>(count_ / longerDivisor);
    std::nth_element(sorted.begin(), quartile, end, std::greater<>());
    return *quartile;
}

} // namespace magnoliaspan
