/*
 * Decaying mean of the refused share, and the forecast from it.
 */
#include "forward/RefusalForecast.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace magnoliaspan {

namespace {

constexpr double sampleWeight = 0.5;
constexpr double halfLife = 4'000'000; // Microseconds.
// Some of the requests that are expected to miss a few shards too many still succeed.
constexpr double unlikelyFactor = 1.25;
constexpr double unlikelySlack = 1;

} // namespace

void RefusalShare::add(unsigned refused, unsigned attempts, TimePoint now)
{
    assert(attempts > 0 && refused <= attempts && "the refused attempts are a part of all attempts, of which there is at least one");
    const double sample = static_cast<double>(refused) / attempts;
    const double before = current(now);
    share_ = before + sampleWeight * (sample - before);
    updatedAt_ = now;
}

double RefusalShare::current(TimePoint now) const
{
    return share_ * std::exp2(-static_cast<double>((now - updatedAt_).count()) / halfLife);
}

double expectedMissingShards(double refusalShare, std::span<const unsigned> retries)
{
    double missing = 0;
    for (const unsigned count : retries) {
        missing += std::pow(refusalShare, 1 + count);
    }
    return missing;
}

bool isCoverageUnlikely(double expectedMissing, double allowedMissing)
{
    return expectedMissing > unlikelyFactor * allowedMissing + unlikelySlack;
}

} // namespace magnoliaspan
