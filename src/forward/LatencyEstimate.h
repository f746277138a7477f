/*
 * Part forward: what an exchange with one target is expected to take.
 */
#pragma once

#include "core/Time.h"

#include <optional>

namespace magnoliaspan {

/// \brief What is known of replicas of a kind.
struct LatencyBaseline {
    Duration latency{};
    Duration halfLife{}; ///< In which half of what is unusual about one replica is forgotten.
};

/// \brief Exponentially weighted mean of latencies that one outlier cannot move far.
/// A belief that nothing renews moves back towards what is usual, so that a target that was slow is tried again.
class LatencyEstimate
{
public:
    /// \brief Adds one observation taken at \p now.
    void add(Duration latency, TimePoint now);

    /// \returns the expectation at \p now; the usual latency before the first observation.
    Duration expected(const LatencyBaseline &baseline, TimePoint now) const;

    /// \returns the mean itself, nothing before the first observation.
    std::optional<Duration> mean() const;

private:
    double mean_ = 0; // Microseconds.
    std::optional<TimePoint> updatedAt_;
    std::optional<TimePoint> firstOutlierAt_; // Of the first in a row of outliers.
};

} // namespace magnoliaspan
