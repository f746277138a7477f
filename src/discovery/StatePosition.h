/*
 * Position in the history of the published state.
 */
#pragma once

#include <compare>
#include <cstdint>

namespace magnoliaspan {

/// \brief A revision together with the history that it belongs to.
///
/// A source that is restored from an older copy gives out revisions again, with other changes. So revisions are only
/// comparable within one era; of two positions of different eras, the one of the higher era is the newer one, whatever the
/// revisions.
struct StatePosition {
    std::int64_t era = 0;      ///< Raised by one each time the source is restored; 0 if the source does not number its histories.
    std::int64_t revision = 0; ///< Raised by the source with each change; 0 before the first read.

    // clang-tidy 14 takes the zero that is compared with here for a pointer. NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const StatePosition &) const = default;
};

} // namespace magnoliaspan
