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
// Half of what is unusual is forgotten in this time, so that a target that was slow is tried again within seconds.
constexpr double forgetHalfLife = 2'000'000; // Microseconds.

} // namespace

void LatencyEstimate::add(Duration latency, TimePoint now)
{
    const auto sample = static_cast<double>(latency.count());
    mean_ = renewedAt_ ? mean_ + weight * (std::min(sample, outlierFactor * mean_ + outlierSlack) - mean_) : sample;
    renewedAt_ = now;
}

Duration LatencyEstimate::expected(Duration usual, TimePoint now) const
{
    if (!renewedAt_) {
        return usual;
    }
    const auto toward = static_cast<double>(usual.count());
    const double age = static_cast<double>((now - *renewedAt_).count());
    return Duration(static_cast<Duration::rep>(toward + (mean_ - toward) * std::exp2(-age / forgetHalfLife)));
}

std::optional<Duration> LatencyEstimate::mean() const
{
    return renewedAt_ ? std::optional(Duration(static_cast<Duration::rep>(mean_))) : std::nullopt;
}

} // namespace magnoliaspan
