/*
 * Part control: how the entry hosts of a zone divide what a cold target bears
 * without exchanging a message.
 */
#pragma once

#include "core/Time.h"

#include <optional>

namespace magnoliaspan {

/// \brief What a seat must know to compute its share of a cold target.
struct ColdShareInput {
    unsigned seatIndex = 0;       ///< Position of this seat among the zone's seats, sorted by name.
    unsigned seatCount = 1;       ///< Published seats of the zone, at least one.
    unsigned coldConcurrency = 1; ///< Requests that the target bears at once while cold.
    std::size_t targetHash = 0;   ///< Spreads the turns of different targets over the seats.
    Duration slice{};             ///< Length of a turn.
    Duration clockOffsetBound{};  ///< Largest difference between two clocks; at most a quarter of slice.
};

/// \brief The share of one seat at one instant.
struct ColdTimeSlot {
    unsigned permits = 0;          ///< Requests that this seat may have at the target.
    std::optional<WallTime> until; ///< Work must be over by then; empty when the share is permanent.
};

/// \brief Computes the share of a seat at a cold target.
///
/// When the target bears at least one request a seat, each seat has a fixed
/// part. Otherwise seats take turns by wall time. A turn starts and ends one
/// clock offset bound inside its slice, and each request of a turn carries a
/// deadline inside it, so that the work of two holders never overlaps: a
/// request that a paused holder sends late is refused by the target itself.
/// A seat without a process leaves its part unused.
/// \returns the share at \p now; the sum over all seats never exceeds coldConcurrency.
ColdTimeSlot coldTimeSlot(const ColdShareInput &input, WallTime now);

} // namespace magnoliaspan
