/*
 * Keeps the most recent departures.
 */
#include "discovery/DepartedTargets.h"

namespace magnoliaspan {

namespace {

// Targets of the largest deployments restart some thousand times a day, and a copy is far younger than that.
constexpr std::size_t maxDepartures = 2'000;

} // namespace

void DepartedTargets::record(const TargetEntry &entry, std::int64_t era)
{
    const Start start{entry.id, entry.startedAt};
    if (departures_.insert_or_assign(start, Departure{era, entry.writeNumber}).second) {
        order_.push_back(start);
    }
    while (order_.size() > maxDepartures) {
        departures_.erase(order_.front());
        order_.pop_front();
    }
}

void DepartedTargets::forget(const TargetEntry &entry)
{
    departures_.erase({entry.id, entry.startedAt});
}

bool DepartedTargets::hasLeft(const TargetEntry &entry, std::int64_t era) const
{
    const auto found = departures_.find({entry.id, entry.startedAt});
    if (found == departures_.end() || found->second.era == era) {
        return false;
    }
    const auto &last = found->second.writeNumber;
    return !entry.writeNumber || !last || *entry.writeNumber <= *last;
}

} // namespace magnoliaspan
