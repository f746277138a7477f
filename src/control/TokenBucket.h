/*
 * Part control: bounds extra subrequests to a share of the needed ones.
 */
#pragma once

namespace magnoliaspan {

/// \brief A token bucket filled by ordinary work and emptied by extra work.
class TokenBucket
{
public:
    /// \param ratio extra requests allowed for each ordinary one, 0 to 1.
    /// \param burst tokens held at most and at the start; none at the start when the ratio is zero.
    TokenBucket(double ratio, double burst);

    void setRatio(double ratio);

    /// \brief Replaces both bounds; tokens held are kept, up to the new burst.
    void setLimits(double ratio, double burst);

    /// \brief Tells of one ordinary request.
    void recordRequest();

    /// \brief Adds tokens, up to the burst.
    void add(double tokens);

    /// \brief Takes one token. \returns false when there is none.
    bool tryAcquire();

private:
    double ratio_;
    double burst_;
    double tokens_; // Invariant: from 0 to burst_.
};

} // namespace magnoliaspan
