/*
 * Applies membership lists in the order of their revisions.
 */
#include "control/MembershipController.h"

#include <fmt/format.h>

namespace magnoliaspan {

MembershipController::MembershipController(const Clock &clock, Journal &journal)
    : clock_(clock)
    , journal_(journal)
{
}

bool MembershipController::apply(const MembershipReadResult &reading)
{
    if (reading.error || !reading.changed || reading.revision <= revision_) {
        return false;
    }
    revision_ = reading.revision;
    receivedAt_ = clock_.now();
    std::size_t leaving = 0;
    for (const auto &[name, state] : reading.targets) {
        leaving += state == MemberState::Leaving ? 1 : 0;
    }
    journal_.record(LogCategory::Member,
                    "",
                    fmt::format("membership list applied revision={} targets={} leaving={}", revision_, reading.targets.size(), leaving));
    if (listener_) {
        listener_(reading);
    }
    return true;
}

std::int64_t MembershipController::revision() const
{
    return revision_;
}

std::optional<TimePoint> MembershipController::receivedAt() const
{
    return receivedAt_;
}

void MembershipController::onChange(std::function<void(const MembershipReadResult &)> listener)
{
    listener_ = std::move(listener);
}

} // namespace magnoliaspan
