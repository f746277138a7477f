/*
 * Fixed shares and time slots of seats at a cold target.
 */
#include "control/ColdShare.h"

#include <cassert>

namespace magnoliaspan {

namespace {

unsigned fixedShare(const ColdShareInput &input)
{
    const unsigned base = input.coldConcurrency / input.seatCount;
    const unsigned remainder = input.coldConcurrency % input.seatCount;
    const auto position = static_cast<unsigned>((input.seatIndex + input.targetHash) % input.seatCount);
    return base + (position < remainder ? 1U : 0U);
}

bool ownsSlice(const ColdShareInput &input, std::uint64_t slice)
{
    const std::uint64_t count = input.seatCount;
    const std::uint64_t position = (input.seatIndex + input.targetHash % count) % count;
    const std::uint64_t first = (slice % count) * input.coldConcurrency % count;
    return (position + count - first) % count < input.coldConcurrency;
}

} // namespace

ColdTimeSlot coldTimeSlot(const ColdShareInput &input, WallTime now)
{
    assert(input.seatCount > 0 && "seatCount must be at least 1: a zone with targets needs a seat");
    assert(input.seatIndex < input.seatCount && "seatIndex must be less than seatCount");
    if (input.coldConcurrency >= input.seatCount) {
        return {fixedShare(input), std::nullopt};
    }
    const auto slice = std::chrono::duration_cast<std::chrono::milliseconds>(input.slice);
    const auto guard = std::chrono::ceil<std::chrono::milliseconds>(input.clockOffsetBound);
    const auto sliceIndex = now.time_since_epoch() / slice;
    const WallTime sliceStart{sliceIndex * slice};
    const WallTime slotStart = sliceStart + guard;
    const WallTime slotEnd = sliceStart + slice - guard;
    if (!ownsSlice(input, static_cast<std::uint64_t>(sliceIndex)) || now < slotStart || now >= slotEnd) {
        return {0, std::nullopt};
    }
    return {1, slotEnd};
}

} // namespace magnoliaspan
