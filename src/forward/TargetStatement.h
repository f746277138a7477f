/*
 * What a target instance said of itself to this host in its responses.
 */
#pragma once

#include "core/Time.h"

#include <optional>

namespace magnoliaspan {

/// \brief Statements of one target instance. They outlive its entry, which may lapse and be published again, or be older than
/// they are; only the next instance at the address starts without any.
struct TargetStatement {
    std::optional<TimePoint> leavingSince; ///< When it first said that it leaves. Never taken back.
    TimePoint pausedUntil{};               ///< Until when it wants no requests from this host; in the past if it takes them.
};

} // namespace magnoliaspan
