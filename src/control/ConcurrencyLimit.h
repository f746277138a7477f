/*
 * Part control: the number of requests that one entry host has at a target,
 * learned from the target's sheds.
 */
#pragma once

#include "core/Time.h"

namespace magnoliaspan {

/// \brief Additive increase, multiplicative decrease (Chiu and Jain, 1989).
class ConcurrencyLimit
{
public:
    /// \param start first limit, from 1 to \p maximum.
    /// \param maximum the published share of connections.
    ConcurrencyLimit(unsigned start, unsigned maximum);

    /// \returns the limit, from 1 to the maximum.
    unsigned current() const;

    unsigned maximum() const;

    /// \brief Sets another maximum; the limit is lowered to it where it exceeds it.
    void setMaximum(unsigned maximum);

    /// \brief Tells of an answer; \p saturated when as many requests were in flight as the limit allows.
    void recordSuccess(bool saturated);

    /// \brief Tells of a shed request; several within one decrease interval count once.
    void recordShed(TimePoint now);

private:
    double limit_;     // Invariant: from 1 to maximum_.
    unsigned maximum_; // Invariant: at least 1.
    TimePoint nextDecrease_{};
};

} // namespace magnoliaspan
