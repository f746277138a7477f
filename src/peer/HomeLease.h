/*
 * Lease under which a process accepts new idempotency keys as their home.
 *
 * Two processes may consider themselves the holder of one seat: one that was
 * replaced while it was paused or partitioned, and its successor. The first
 * accepts only keys issued up to its last confirmation plus the lease, the
 * successor only keys issued after its first confirmation plus the lease and
 * the clock offset bound. A process is confirmed when a majority of the published
 * seats, itself included, reports neither a newer document nor a newer process
 * of this seat. The two key ranges do not overlap: a successor announces its
 * start to a majority before it accepts keys, and any two majorities have a
 * seat in common.
 */
#pragma once

#include "core/Time.h"

#include <map>
#include <optional>
#include <string>

namespace magnoliaspan {

/// \brief Records when each peer last confirmed this process as the holder of its seat.
/// A majority that has confirmed a process no longer confirms its predecessor.
class HomeLease
{
public:
    /// Validity of a confirmation.
    static constexpr std::chrono::milliseconds leaseDuration{5'000};

    /// \brief Sets the number of published seats, this one included, and discards all confirmations.
    /// \param now used as the time of the first confirmation if a majority needs no peer.
    void setSeatCount(std::size_t count, WallTime now);

    /// \brief Records that \p seat confirmed this process.
    /// \param requestedAt when the request was sent; the lease counts from there.
    /// \param now when the confirmation arrived.
    void recordConfirmation(const std::string &seat, WallTime requestedAt, WallTime now);

    /// \brief Records that a later process holds this seat; ends the lease for good.
    void markSuperseded();

    bool isSuperseded() const;

    /// \brief Issue times of the keys that this process may accept as their home.
    struct KeyWindow {
        WallTime after; ///< Exclusive; the caller adds the clock offset bound.
        WallTime upTo;  ///< Inclusive.
    };

    /// \returns the window at \p now, nothing if superseded or if no majority has confirmed this process.
    std::optional<KeyWindow> keyWindow(WallTime now) const;

private:
    std::optional<WallTime> lastMajorityTime() const;

    std::size_t seatCount_ = 1;
    std::optional<WallTime> firstMajorityTime_; // When a majority of the current seats had confirmed for the first time.
    bool superseded_ = false;
    std::map<std::string, WallTime> confirmations_; // By seat: send time of the last request that was confirmed.
};

} // namespace magnoliaspan
