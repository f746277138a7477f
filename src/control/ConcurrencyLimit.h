/*
 * Adaptive limit on the requests that one entry host has in flight at a target.
 */
#pragma once

#include "core/Time.h"

namespace magnoliaspan {

/// \brief Additive increase on success, multiplicative decrease on shed requests (Chiu and Jain, 1989).
class ConcurrencyLimit
{
public:
    /// \param start initial limit, from 1 to \p maximum.
    /// \param maximum this host's share of the published connections, at least 1.
    ConcurrencyLimit(unsigned start, unsigned maximum);

    /// \returns the limit, from 1 to the maximum.
    unsigned current() const;

    unsigned maximum() const;

    /// \brief Sets the maximum, at least 1, and lowers the limit to it where needed.
    void setMaximum(unsigned maximum);

    /// \brief Records a success.
    /// \param saturated whether as many requests were in flight as the limit allows; otherwise the limit is kept.
    void recordSuccess(bool saturated);

    /// \brief Records a shed request; several within one decrease interval lower the limit once.
    void recordShed(TimePoint now);

private:
    double limit_;     // Invariant: from 1 to maximum_.
    unsigned maximum_; // Invariant: at least 1.
    TimePoint nextDecrease_{};
};

} // namespace magnoliaspan
