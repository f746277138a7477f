/*
 * What hosts tell one another of a request under which targets were lost.
 */
#pragma once

#include "control/QuarantineController.h"
#include "core/Time.h"

#include <compare>
#include <cstdint>
#include <optional>

namespace magnoliaspan {

/// What happened to a target that ran the request.
enum class CrashReportKind {
    Loss,     ///< The target was lost, and no other cause was seen.
    Survival, ///< A target of the service ran the request to its end, so that earlier losses of that service say nothing.
};

/// \brief Names one report, so that copies of it that arrive on several ways count once.
struct CrashReportKey {
    CrashReportKind kind = CrashReportKind::Loss;
    Fingerprint request{};
    std::uint64_t subject = 0; ///< Hash of the lost target instance, or of the service of a survival.

    // clang-tidy 14 takes the zero that is compared with here for a pointer. NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const CrashReportKey &) const = default;
};

/// \brief Times of a loss or of a survival, as ages, since the clocks of hosts differ.
struct CrashReportAges {
    Duration sent{};  ///< Since the request was sent to the target.
    Duration ended{}; ///< Since the target was lost, or since it ended the request. Invariant: at most sent.
};

/// \brief Report of one host on one target.
struct CrashReport {
    CrashReportKey key;
    std::uint64_t service = 0;           ///< Hash of the service of the target; 0 if it is not known.
    std::optional<CrashReportAges> ages; ///< Not known from hosts of an earlier release.
};

} // namespace magnoliaspan
