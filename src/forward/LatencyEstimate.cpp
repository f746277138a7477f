/*
 * Updates the mean with outliers clipped, and decays it towards the baseline.
 */
#include "forward/LatencyEstimate.h"

#include <algorithm>
#include <cmath>

namespace magnoliaspan {

namespace {

// The last five observations make up two thirds of the mean.
constexpr double sampleWeight = 0.2;
// Targets pause for a few hundred milliseconds every few seconds; a single pause must not make a target look slow.
constexpr double outlierFactor = 3;
constexpr double outlierSlack = 10'000; // Microseconds.
// Pauses are shorter; outliers further apart come from a target that is slow.
constexpr Duration maxPause = std::chrono::milliseconds(500);

} // namespace

void LatencyEstimate::add(Duration latency, TimePoint now)
{
    const auto sample = static_cast<double>(latency.count());
    const double limit = outlierFactor * mean_ + outlierSlack;
    const bool outlier = updatedAt_ && sample > limit;
    const bool slow = outlier && firstOutlierAt_ && now - *firstOutlierAt_ >= maxPause;
    if (!outlier || slow) {
        firstOutlierAt_.reset();
    } else if (!firstOutlierAt_) {
        firstOutlierAt_ = now;
    }
    mean_ = updatedAt_ && !slow ? mean_ + sampleWeight * (std::min(sample, limit) - mean_) : sample;
    updatedAt_ = now;
}

Duration LatencyEstimate::expected(const LatencyBaseline &baseline, TimePoint now) const
{
    if (!updatedAt_) {
        return baseline.latency;
    }
    const auto baselineMicroseconds = static_cast<double>(baseline.latency.count());
    const double halfLives = static_cast<double>((now - *updatedAt_).count()) / static_cast<double>(baseline.halfLife.count());
    return Duration(static_cast<Duration::rep>(baselineMicroseconds + (mean_ - baselineMicroseconds) * std::exp2(-halfLives)));
}

std::optional<Duration> LatencyEstimate::mean() const
{
    return updatedAt_ ? std::optional(Duration(static_cast<Duration::rep>(mean_))) : std::nullopt;
}

} // namespace magnoliaspan
