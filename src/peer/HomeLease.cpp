/*
 * Computes majorities of confirmations and the resulting key window.
 */
#include "peer/HomeLease.h"

#include <algorithm>
#include <vector>

namespace magnoliaspan {

void HomeLease::setSeatCount(std::size_t count, WallTime now)
{
    seatCount_ = count;
    confirmations_.clear();
    firstMajorityTime_ = seatCount_ / 2 == 0 ? std::optional(now) : std::nullopt;
}

void HomeLease::recordConfirmation(const std::string &seat, WallTime requestedAt, WallTime now)
{
    WallTime &latest = confirmations_[seat];
    latest = std::max(latest, requestedAt);
    if (!firstMajorityTime_ && lastMajorityTime()) {
        firstMajorityTime_ = now;
    }
}

void HomeLease::markSuperseded()
{
    superseded_ = true;
}

bool HomeLease::isSuperseded() const
{
    return superseded_;
}

std::optional<HomeLease::KeyWindow> HomeLease::keyWindow(WallTime now) const
{
    if (superseded_ || !firstMajorityTime_) {
        return std::nullopt;
    }
    const bool alone = seatCount_ / 2 == 0;
    const auto last = alone ? std::optional(now) : lastMajorityTime();
    if (!last) {
        return std::nullopt;
    }
    return KeyWindow{*firstMajorityTime_ + leaseDuration, *last + leaseDuration};
}

std::optional<WallTime> HomeLease::lastMajorityTime() const
{
    const std::size_t peersNeeded = seatCount_ / 2;
    std::vector<WallTime> times;
    for (const auto &[seat, time] : confirmations_) {
        times.push_back(time);
    }
    if (peersNeeded == 0 || times.size() < peersNeeded) {
        return std::nullopt;
    }
    std::sort(times.begin(), times.end(), std::greater<>());
    return times[peersNeeded - 1];
}

} // namespace magnoliaspan
