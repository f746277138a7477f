/*
 * Token bucket that limits extra requests (hedges and retries) to a fraction of the ordinary ones.
 */
#pragma once

namespace magnoliaspan {

/// \brief Token bucket refilled by ordinary requests and drained by extra ones.
class TokenBucket
{
public:
    /// \param ratio extra requests allowed per ordinary request, 0 to 1.
    /// \param burst capacity in tokens, and the initial fill; with a ratio of zero the bucket starts empty.
    TokenBucket(double ratio, double burst);

    void setRatio(double ratio);

    /// \brief Replaces ratio and capacity; the tokens held are kept, up to the new capacity.
    void setLimits(double ratio, double burst);

    /// \brief Adds the tokens that one ordinary request earns.
    void recordRequest();

    /// \brief Adds \p tokens, up to the capacity.
    void add(double tokens);

    /// \brief Takes one token.
    /// \returns false when less than one token is left.
    bool tryAcquire();

private:
    double ratio_;
    double burst_;
    double tokens_; // Invariant: from 0 to burst_.
};

} // namespace magnoliaspan
