/*
 * Divides the concurrency of a cold target among the entry hosts of its zone
 * without communication between them.
 */
#pragma once

#include "core/Time.h"

#include <optional>

namespace magnoliaspan {

/// \brief Input for the share of one seat at one cold target.
struct ColdShareInput {
    unsigned seatIndex = 0;       ///< Index of this seat among the zone's seats, sorted by name.
    unsigned seatCount = 1;       ///< Published seats of the zone, at least one.
    unsigned coldConcurrency = 1; ///< Requests in flight that the target can handle while cold.
    std::size_t targetHash = 0;   ///< Offsets the rotation, so that different targets serve different seats at a time.
    Duration slice{};             ///< Time after which the rotation advances; a time slot lies inside one slice.
    Duration clockOffsetBound{};  ///< Largest difference between two clocks; at most a quarter of slice.
};

/// \brief The share of one seat at one instant.
struct ColdTimeSlot {
    unsigned permits = 0;          ///< Requests that this seat may have in flight at the target.
    std::optional<WallTime> until; ///< Requests must be complete by then; empty for a permanent share.
};

/// \brief Computes the share of a seat at a cold target.
///
/// When coldConcurrency is at least the number of seats, each seat has a fixed
/// share. Otherwise the seats rotate through time slots by wall time. A slot
/// starts one clock offset bound after the start of its slice and ends one
/// before the end, and each request sent in it carries a deadline inside it.
/// Requests of two owners therefore never overlap: the target itself refuses a
/// request that an owner sends late, after a pause. The share of a seat
/// without a running process stays unused.
/// \returns the share at \p now; the sum over all seats never exceeds coldConcurrency.
ColdTimeSlot coldTimeSlot(const ColdShareInput &input, WallTime now);

} // namespace magnoliaspan
