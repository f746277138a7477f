/*
 * The rules of the admission filters.
 */
#include "request/FilterChain.h"

#include <array>
#include <fmt/format.h>

namespace magnoliaspan {

namespace {

constexpr unsigned statusNotFound = 404;
constexpr unsigned statusTooMany = 429;
constexpr unsigned statusUnavailable = 503;
// A request is refused if its expected residence time exceeds its time-out divided by this: the estimate may be too low
// as well as too high.
constexpr int residenceTimeDivisor = 2;

/// Applies one filter; visited by FilterChain::check().
class FilterVisitor
{
public:
    FilterVisitor(RequestServices &services, ServingController &serving, const AdmissionContext &admission)
        : services_(services)
        , serving_(serving)
        , admission_(admission)
    {
    }

    std::optional<Refusal> operator()(const StageFilter &) const
    {
        if (serving_.acceptsRequests() && services_.configuration.current()) {
            return std::nullopt;
        }
        return refusal(statusUnavailable, "not_serving", fmt::format("entry host '{}' is {}", services_.seat, toString(serving_.stage())));
    }

    std::optional<Refusal> operator()(const ZoneFilter &) const
    {
        if (services_.configuration.current()->isZoneInService(admission_.zone)) {
            return std::nullopt;
        }
        return refusal(statusUnavailable, "zone_out", fmt::format("zone '{}' is out of service", admission_.zone));
    }

    std::optional<Refusal> operator()(const SystemFilter &) const
    {
        if (services_.configuration.current()->findSystem(admission_.system) != nullptr) {
            return std::nullopt;
        }
        return refusal(statusNotFound, "unknown_system", fmt::format("system '{}' is not in the environment document", admission_.system));
    }

    std::optional<Refusal> operator()(const DeadlineFilter &) const
    {
        const Duration median = state().latency.median();
        if (!admission_.timeout || *admission_.timeout >= median) {
            return std::nullopt;
        }
        return refusal(statusUnavailable,
                       "deadline_too_short",
                       fmt::format("deadline of {} us is below the median latency of {} us of system '{}'",
                                   admission_.timeout->count(),
                                   median.count(),
                                   admission_.system));
    }

    std::optional<Refusal> operator()(const QuarantineFilter &) const
    {
        const Fingerprint fingerprint = fingerprintOf(admission_.system, admission_.content);
        if (services_.quarantine.suspicion(fingerprint) != Suspicion::Quarantined) {
            return std::nullopt;
        }
        return refusal(statusUnavailable, "quarantined", "request is in quarantine: targets were lost each time they ran it");
    }

    std::optional<Refusal> operator()(const LoadFilter &) const
    {
        const SystemSpec &spec = *services_.configuration.current()->findSystem(admission_.system);
        if (state().inFlight() >= spec.maxInFlight) {
            return refusal(
                statusTooMany,
                "overloaded",
                fmt::format("{} requests for '{}' are in flight, the limit is {}", state().inFlight(), spec.name, spec.maxInFlight));
        }
        const Duration timeout = std::min(admission_.timeout.value_or(spec.hardDeadline), spec.hardDeadline);
        const Duration residenceTime = state().expectedResidenceTime();
        if (residenceTime > timeout / residenceTimeDivisor) {
            return refusal(statusTooMany,
                           "overloaded",
                           fmt::format("requests for '{}' take {} us at the current load, the deadline allows at most {} us",
                                       spec.name,
                                       residenceTime.count(),
                                       (timeout / residenceTimeDivisor).count()));
        }
        return std::nullopt;
    }

private:
    static Refusal refusal(unsigned status, std::string code, std::string detail)
    {
        return {status, std::move(code), std::move(detail), Verdict::NotRun};
    }

    SystemState &state() const
    {
        return *services_.systems.find(admission_.system);
    }

    RequestServices &services_;
    ServingController &serving_;
    const AdmissionContext &admission_;
};

constexpr std::array<Filter, 6> filters = {StageFilter{}, ZoneFilter{}, SystemFilter{}, DeadlineFilter{}, QuarantineFilter{}, LoadFilter{}};

} // namespace

FilterChain::FilterChain(RequestServices &services, ServingController &serving)
    : services_(services)
    , serving_(serving)
{
}

std::optional<Refusal> FilterChain::check(const AdmissionContext &admission) const
{
    const FilterVisitor visitor(services_, serving_, admission);
    for (const Filter &filter : filters) {
        if (auto refusal = std::visit(visitor, filter)) {
            return refusal;
        }
    }
    return std::nullopt;
}

} // namespace magnoliaspan
