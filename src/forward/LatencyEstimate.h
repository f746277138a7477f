/*
 * Estimates the latency of one target from the exchanges with it.
 */
#pragma once

#include "core/Time.h"

#include <optional>

namespace magnoliaspan {

/// \brief Latency that is typical of a group of replicas.
struct LatencyBaseline {
    Duration latency{};
    Duration halfLife{}; ///< In which a replica's difference from the baseline decays to half.
};

/// \brief Exponentially weighted mean of latencies that limits the weight of a single outlier.
/// Without new observations the estimate decays towards the baseline, so that a target that was slow is tried again.
class LatencyEstimate
{
public:
    /// \brief Adds one observation taken at \p now.
    void add(Duration latency, TimePoint now);

    /// \returns the estimate at \p now; the baseline latency before the first observation.
    Duration expected(const LatencyBaseline &baseline, TimePoint now) const;

    /// \returns the mean without decay; nothing before the first observation.
    std::optional<Duration> mean() const;

private:
    double mean_ = 0; // Microseconds.
    std::optional<TimePoint> updatedAt_;
    std::optional<TimePoint> firstOutlierAt_; // Of the current run of outliers.
};

} // namespace magnoliaspan
