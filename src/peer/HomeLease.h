/*
 * Part peer: until when this process may take new idempotency keys as their home.
 *
 * Two processes may believe that they fill one seat: one that was replaced
 * while it was paused or cut off, and its successor. The one takes only keys
 * issued up to its last confirmation plus the lease; the successor only keys
 * issued after its own start plus the lease and the clock offset bound. A
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
class HomeLease
{
public:
    /// Time for which a confirmation holds.
    static constexpr std::chrono::milliseconds lease{5'000};

    /// \brief Sets the number of published seats, this one counted; forgets confirmations of other seats.
    void setSeats(std::size_t count);

    /// \brief Tells that \p seat confirmed what was asked at \p asked.
    void confirmed(const std::string &seat, WallTime asked);

    /// \brief Tells that another process was started in this seat later. Nothing is confirmed any more.
    void superseded();

    bool isSuperseded() const;

    /// \returns the latest instant at which a majority confirmed, \p now when no peer is needed for one.
    std::optional<WallTime> lastConfirmation(WallTime now) const;

private:
    std::size_t seats_ = 1;
    bool superseded_ = false;
    std::map<std::string, WallTime> confirmations_;
};

} // namespace magnoliaspan
