/*
 * Ring of counts, one for each slot of the window.
 */
#include "core/SlidingCount.h"

#include <algorithm>

namespace magnoliaspan {

std::int64_t SlidingCount::slotAt(TimePoint now)
{
    return now.time_since_epoch() / slotLength;
}

void SlidingCount::add(TimePoint now)
{
    const std::int64_t slot = slotAt(now);
    const auto expired = std::clamp<std::int64_t>(slot - newestSlot_, 0, slotCount);
    for (std::int64_t offset = 0; offset < expired; ++offset) {
        slots_.at(static_cast<std::size_t>(slot - offset) % slotCount) = 0;
    }
    newestSlot_ = std::max(newestSlot_, slot);
    ++slots_.at(static_cast<std::size_t>(slot) % slotCount);
}

std::uint32_t SlidingCount::count(TimePoint now) const
{
    std::uint32_t sum = 0;
    const std::int64_t oldest = slotAt(now) - static_cast<std::int64_t>(slotCount) + 1;
    for (std::int64_t slot = std::max(oldest, newestSlot_ - static_cast<std::int64_t>(slotCount) + 1); slot <= newestSlot_; ++slot) {
        sum += slot >= 0 ? slots_.at(static_cast<std::size_t>(slot) % slotCount) : 0;
    }
    return sum;
}

} // namespace magnoliaspan
