/*
 * Part control: recent quantiles of subrequest latency.
 */
#pragma once

#include "core/Time.h"

#include <memory>

namespace magnoliaspan {

/// \brief Quantiles over the last completed window of samples.
/// Uses the extended P-square algorithm (Raatikainen, 1987) of Boost.Accumulators.
class LatencyTracker
{
public:
    LatencyTracker();
    ~LatencyTracker();
    LatencyTracker(LatencyTracker &&) noexcept;
    LatencyTracker &operator=(LatencyTracker &&) noexcept;

    void add(Duration latency);

    /// \returns the median, or zero before the first samples.
    Duration median() const;

    /// \returns the 95th percentile, or zero before the first samples.
    Duration p95() const;

private:
    class Window;
    void updateQuantiles(const Window &window);

    std::unique_ptr<Window> window_;
    Duration median_{};
    Duration p95_{};
    bool hasFullWindow_ = false; // Whether median_ and p95_ come from a completed window.
};

} // namespace magnoliaspan
