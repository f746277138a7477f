/*
 * Paces the requests of one host to a target that limits the requests of all hosts together.
 */
#pragma once

#include "core/Time.h"

namespace magnoliaspan {

/// \brief Permissions for single requests, at even intervals that begin at another instant on each host.
///
/// A permission that is not used lapses after RateAllowance::lifetime. So hosts that were idle cannot all send at once what they
/// did not send before: in any time T the hosts with rates that add up to R get R x (T + lifetime) permissions, give or take
/// what the instants at which their intervals begin add by chance.
class RateAllowance
{
public:
    /// Time for which a permission can be used.
    static constexpr Duration lifetime = std::chrono::milliseconds(500);

    /// \param phase of the first permission, 0 to 1 of the interval; random, and different on each host.
    explicit RateAllowance(double phase);

    /// \brief Starts with no permission available; the first one comes within an interval.
    /// \param perSecond rate of this host; permissions of a rate of zero or less never come.
    void start(double perSecond, TimePoint now);

    /// \brief Changes the rate of the permissions to come.
    void setRate(double perSecond, TimePoint now);

    /// \returns whether a request may be sent now.
    bool isAvailable(TimePoint now) const;

    /// \brief Uses one permission.
    /// \returns false if none is available.
    bool tryAcquire(TimePoint now);

private:
    /// \returns the instant of the oldest permission that has not lapsed by \p now, in the future if none is available.
    TimePoint nextAt(TimePoint now) const;

    double phase_;
    Duration interval_{};   // Between two permissions.
    TimePoint permittedAt_; // Of the oldest permission that was not used; may have lapsed.
};

} // namespace magnoliaspan
