/*
 * Number of events in a sliding window of time.
 */
#pragma once

#include "core/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace magnoliaspan {

/// \brief Counts events of the last ten seconds, in slots of one second.
/// An event is counted for at least the window and for less than one slot longer, so that a limit on the count also limits
/// the events in any window of that length.
class SlidingCount
{
public:
    /// Shortest time for which an event is counted.
    static constexpr Duration window = std::chrono::seconds(10);

    /// \param now must not be earlier than in previous calls, as in count().
    void add(TimePoint now);

    std::uint32_t count(TimePoint now) const;

private:
    static constexpr Duration slotLength = std::chrono::seconds(1);
    static constexpr std::size_t slotCount = static_cast<std::size_t>(window / slotLength) + 1;

    static std::int64_t slotAt(TimePoint now);

    std::array<std::uint32_t, slotCount> slots_{}; // Slot n of the clock is at index n modulo slotCount.
    std::int64_t newestSlot_ = 0;                  // Invariant: slots_ covers the slotCount slots that end with this one.
};

} // namespace magnoliaspan
