/*
 * Admission checks on a caller's request, applied in order before any work is planned. Each filter admits or refuses the
 * request; the verdict of a refusal is always "not run".
 */
#pragma once

#include "control/ServingController.h"
#include "request/RequestServices.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace magnoliaspan {

/// \brief The properties of a request that the filters check.
struct AdmissionContext {
    std::string_view system;
    std::string_view content;        ///< Query or payload.
    std::optional<Duration> timeout; ///< Given by the caller, if any.
    std::string_view zone;           ///< Availability zone of this entry host.
};

/// Refuses requests while the process is starting or draining.
struct StageFilter {
};

/// Refuses requests while the availability zone of this host is out of service.
struct ZoneFilter {
};

/// Refuses requests for unknown systems.
struct SystemFilter {
};

/// Refuses deadlines below the measured median latency of the system.
struct DeadlineFilter {
};

/// Refuses requests in quarantine.
struct QuarantineFilter {
};

/// Refuses requests that would only queue because the system is overloaded.
struct LoadFilter {
};

using Filter = std::variant<StageFilter, ZoneFilter, SystemFilter, DeadlineFilter, QuarantineFilter, LoadFilter>;

/// \brief Applies all filters in a fixed order.
class FilterChain
{
public:
    FilterChain(RequestServices &services, ServingController &serving);

    /// \returns the first refusal, or nothing if the request is admitted.
    std::optional<Refusal> check(const AdmissionContext &admission) const;

private:
    RequestServices &services_;
    ServingController &serving_;
};

} // namespace magnoliaspan
