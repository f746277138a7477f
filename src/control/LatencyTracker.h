/*
 * Quantiles of recent subrequest latencies.
 */
#pragma once

#include "core/Time.h"

#include <memory>

namespace magnoliaspan {

/// \brief Quantiles over the last complete window of samples.
/// Uses the extended P-square algorithm (Raatikainen, 1987) of Boost.Accumulators.
class LatencyTracker
{
public:
    LatencyTracker();
    ~LatencyTracker();
    LatencyTracker(LatencyTracker &&) noexcept;
    LatencyTracker &operator=(LatencyTracker &&) noexcept;

    void add(Duration latency);

    /// \returns the median, or zero while there are too few samples.
    Duration median() const;

    /// \returns the 95th percentile, or zero while there are too few samples.
    Duration p95() const;

private:
    class Window;
    void updateQuantiles(const Window &window);

    std::unique_ptr<Window> window_;
    Duration median_{};
    Duration p95_{};
    bool hasFullWindow_ = false; // Whether median_ and p95_ come from a complete window.
};

} // namespace magnoliaspan
