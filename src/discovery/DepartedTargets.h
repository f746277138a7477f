/*
 * Memory of targets that have left.
 */
#pragma once

#include "discovery/TargetEntry.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace magnoliaspan {

/// \brief Recognizes entries of targets that had left before their source was restored from a copy that still lists them.
class DepartedTargets
{
public:
    /// \brief Records that the start that \p entry describes has left, as the source said in \p era.
    void record(const TargetEntry &entry, std::int64_t era);

    /// \brief Forgets the start that \p entry describes, which has been published anew.
    void forget(const TargetEntry &entry);

    /// \returns whether \p entry, listed by the source in \p era, was written by a start that left in an earlier era, and
    /// not since.
    bool hasLeft(const TargetEntry &entry, std::int64_t era) const;

private:
    using Start = std::pair<std::string, std::int64_t>; // Identifier of a target and time of its start.

    struct Departure {
        std::int64_t era = 0;
        std::optional<std::int64_t> writeNumber; // Of the last known entry.
    };

    std::map<Start, Departure> departures_;
    std::deque<Start> order_; // Oldest first; may hold starts that were forgotten.
};

} // namespace magnoliaspan
