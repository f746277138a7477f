/*
 * Part peer: majorities of confirmations.
 */
#include "peer/HomeLease.h"

#include <algorithm>
#include <vector>

namespace magnoliaspan {

void HomeLease::setSeats(std::size_t count)
{
    seats_ = count;
    confirmations_.clear();
}

void HomeLease::confirmed(const std::string &seat, WallTime asked)
{
    WallTime &latest = confirmations_[seat];
    latest = std::max(latest, asked);
}

void HomeLease::superseded()
{
    superseded_ = true;
}

bool HomeLease::isSuperseded() const
{
    return superseded_;
}

std::optional<WallTime> HomeLease::lastConfirmation(WallTime now) const
{
    if (superseded_) {
        return std::nullopt;
    }
    const std::size_t peersNeeded = seats_ / 2;
    if (peersNeeded == 0) {
        return now;
    }
    std::vector<WallTime> times;
    for (const auto &[seat, time] : confirmations_) {
        times.push_back(time);
    }
    if (times.size() < peersNeeded) {
        return std::nullopt;
    }
    std::sort(times.begin(), times.end(), std::greater<>());
    return times[peersNeeded - 1];
}

} // namespace magnoliaspan
