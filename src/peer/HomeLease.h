/*
 * Part peer: until when this process may take new idempotency keys as their home.
 *
 * Two processes may believe that they fill one seat: one that was replaced
 * while it was paused or cut off, and its successor. The one takes only keys
 * issued up to its last confirmation plus the lease; the successor only keys
 * issued after its first confirmation plus the lease and the clock offset bound. A
 * confirmation is word from a majority of the published seats, this one
 * counted, that none knows of a newer document or a newer start of this seat;
 * a successor tells a majority of its start before it takes keys, and two
 * majorities share a seat.
 */
#pragma once

#include "core/Time.h"

#include <map>
#include <optional>
#include <string>

namespace magnoliaspan {

/// \brief Remembers when each peer last confirmed this process in its seat.
/// A majority that has answered a process knows of it; from then on its predecessor finds none.
class HomeLease
{
public:
    /// Time for which a confirmation holds.
    static constexpr std::chrono::milliseconds leaseDuration{5'000};

    /// \brief Sets the number of published seats, this one counted; forgets confirmations of other seats.
    /// \param now also the first confirmation when no peer is needed for one.
    void setSeatCount(std::size_t count, WallTime now);

    /// \brief Tells that \p seat confirmed at \p now what was asked at \p asked.
    void recordConfirmation(const std::string &seat, WallTime requestedAt, WallTime now);

    /// \brief Tells that another process was started in this seat later. Nothing is confirmed any more.
    void markSuperseded();

    bool isSuperseded() const;

    /// \brief The issue times of keys that this process may take as their home.
    struct KeyWindow {
        WallTime after;
        WallTime upTo;
    };

    /// \returns the window at \p now, nothing while no majority has confirmed this process.
    std::optional<KeyWindow> keyWindow(WallTime now) const;

private:
    std::optional<WallTime> lastMajorityTime() const;

    std::size_t seatCount_ = 1;
    std::optional<WallTime> firstMajorityTime_; // When a majority of the present seats had answered for the first time.
    bool superseded_ = false;
    std::map<std::string, WallTime> confirmations_;
};

} // namespace magnoliaspan
