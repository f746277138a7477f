/*
 * Part request: the checks that a caller's request passes before any work
 * is planned. Each filter refuses or lets pass; a refusal here is always
 * "not run".
 */
#pragma once

#include "control/ServingController.h"
#include "request/RequestServices.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace magnoliaspan {

/// \brief What the filters look at.
struct AdmissionContext {
    std::string_view system;
    std::string_view content;        ///< Query or payload.
    std::optional<Duration> timeout; ///< The caller's, if given.
    std::string_view zone;           ///< Of this entry host.
};

/// Refuses while the process is starting or draining.
struct StageFilter {
};

/// Refuses while this host's zone is taken out.
struct ZoneFilter {
};

/// Refuses unknown systems.
struct SystemFilter {
};

/// Refuses deadlines that the system's measured latency cannot meet.
struct DeadlineFilter {
};

/// Refuses requests in quarantine.
struct QuarantineFilter {
};

/// Refuses what would only wait in overload.
struct LoadFilter {
};

using Filter = std::variant<StageFilter, ZoneFilter, SystemFilter, DeadlineFilter, QuarantineFilter, LoadFilter>;

/// \brief The chain of all filters in their order.
class FilterChain
{
public:
    FilterChain(RequestServices &services, ServingController &serving);

    /// \returns the first refusal, or nothing when the request may go on.
    std::optional<Refusal> check(const AdmissionContext &admission) const;

private:
    RequestServices &services_;
    ServingController &serving_;
};

} // namespace magnoliaspan
