/*
 * Part forward: the estimate.
 */
#include "forward/LatencyEstimate.h"

#include <algorithm>
#include <cmath>

namespace magnoliaspan {

namespace {

// Five observations make up two thirds of the mean.
constexpr double weight = 0.2;
// Targets pause for some hundred milliseconds every few seconds; one pause must not look like a slow target.
constexpr double outlierFactor = 3;
constexpr double outlierSlack = 10'000; // Microseconds.
// Pauses are shorter; outliers that are further apart are of a target that is slow.
constexpr Duration longestPause = std::chrono::milliseconds(500);

} // namespace

void LatencyEstimate::add(Duration latency, TimePoint now)
{
    const auto sample = static_cast<double>(latency.count());
    const double bound = outlierFactor * mean_ + outlierSlack;
    const bool outlier = renewedAt_ && sample > bound;
    const bool slow = outlier && outlierSince_ && now - *outlierSince_ >= longestPause;
    if (!outlier || slow) {
        outlierSince_.reset();
    } else if (!outlierSince_) {
        outlierSince_ = now;
    }
    mean_ = renewedAt_ && !slow ? mean_ + weight * (std::min(sample, bound) - mean_) : sample;
    renewedAt_ = now;
}

Duration LatencyEstimate::expected(const UsualLatency &usual, TimePoint now) const
{
    if (!renewedAt_) {
        return usual.latency;
    }
    const auto toward = static_cast<double>(usual.latency.count());
    const double halfLives = static_cast<double>((now - *renewedAt_).count()) / static_cast<double>(usual.memory.count());
    return Duration(static_cast<Duration::rep>(toward + (mean_ - toward) * std::exp2(-halfLives)));
}

std::optional<Duration> LatencyEstimate::mean() const
{
    return renewedAt_ ? std::optional(Duration(static_cast<Duration::rep>(mean_))) : std::nullopt;
}

} // namespace magnoliaspan
